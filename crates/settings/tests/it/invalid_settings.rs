use lentil_settings::{Exposure, parse_process};

use crate::ENTRY;

/// Returns the error message for the entry settings after one replacement.
fn message(from: &str, to: &str) -> String {
    assert!(ENTRY.contains(from));
    let text = ENTRY.replace(from, to);
    match parse_process(&text) {
        Ok(_) => format!("{to:?} is accepted"),
        Err(error) => error.to_string(),
    }
}

const AGENT: &str = "agent:\n  endpoint_url: http://127.0.0.1:8000\n";

#[test]
fn messages_name_line_and_field() {
    let agent = |rest: &str| message("entry:\n  workers: 2\n", &format!("{AGENT}{rest}"));
    let messages = [
        message("workers: 2", "worker: 2"),
        message("workers: 2", "workers: two"),
        message("workers: 2", "workers: 0"),
        message("workers: 2", "workers: 65"),
        message("workers: 2", "workers: 2\n  queue_max: 0"),
        message("workers: 2", "deadline_ms: 5s"),
        message("workers: 2", "workers: [2]"),
        message("workers: 2", "workers: 2\n  workers: 3"),
        message("workers: 2", "workers: 2\n\tqueue_max: 3"),
        message("zone: kurume-a\n", ""),
        message("zone: kurume-a", "zone: kurume a"),
        message("zone: kurume-a", "zone: ''"),
        message("127.0.0.1:0", "localhost:80"),
        message("127.0.0.1:0", "127.0.0.1:70000"),
        message("127.0.0.1:0", "127.0.0.1:80\n  peers: 127.0.0.1:80"),
        message("a-peer-key-for-tests", "short"),
        message(
            "a-peer-key-for-tests",
            "a-peer-key-for-tests\n  operator_key: a-peer-key-for-tests",
        ),
        message(
            "a-peer-key-for-tests",
            "a-peer-key-for-tests\n  certificate_file: a.pem",
        ),
        message(
            "a-peer-key-for-tests",
            "a-peer-key-for-tests\n  authority_file: a.pem",
        ),
        message("entry:\n  workers: 2\n", ""),
        message("entry:\n", "log: {format: xml}\nentry:\n"),
        message("entry:\n", "platform: {log_url: 'ftp://1.2.3.4'}\nentry:\n"),
        message("entry:\n", "trace: {sample_permille: 1001}\nentry:\n"),
        message("entry:\n", "stop: {grace_ms: -1}\nentry:\n"),
        message(
            "entry:\n",
            "agent: {kind: engine, endpoint_url: 'http://1.2.3.4:5'}\nentry:\n",
        ),
        agent("  kind: unknown\n"),
        agent("  kind: engine\n"),
        agent("  kind: engine\n  models: [a, 'b c']\n"),
        agent("  kind: engine\n  models: [a]\n  slots: 2\n  cold_slots: 3\n"),
        agent("  kind: service\n  models: [a]\n"),
        agent(
            "  kind: service\n  service: s\n  idempotent:\n    - {method: put, path_prefix: /}\n",
        ),
        agent(
            "  kind: service\n  service: s\n  idempotent:\n    - {method: PUT, path_prefix: x}\n",
        ),
    ];
    insta::assert_snapshot!(messages.join("\n"));
}

#[test]
fn keys_do_not_appear_in_output() {
    let text = ENTRY.replace("peer_key:", "peer_key: secret-peer-key\n  peerkey:");
    let error = parse_process(&text).unwrap_err().to_string();
    assert!(
        !error.contains("secret") && !error.contains("a-peer"),
        "{error}"
    );
    let process = parse_process(ENTRY).unwrap();
    assert!(!format!("{process:?}").contains("a-peer-key"));
}

#[test]
fn disabled_protections_are_listed() {
    let process = parse_process(ENTRY).unwrap();
    assert_eq!(
        process.exposures(),
        vec![Exposure::PlainText, Exposure::NoOperatorKey]
    );
}
