//! Endpoints that decline, break off, or answer what nobody asked.

use std::time::Duration;

use crate::platform_site::{Replica, Site, good, head, signed, until, write};
use crate::standin_http::{After, Request, chunk, framed};

fn declines(request: &Request, stream: &mut std::net::TcpStream) -> After {
    let headers = format!("{}Not-Executed: 1\r\n", signed(request));
    write(stream, &framed(503, &headers, b""))
}

#[test]
fn declined_goes_elsewhere() {
    let (full, free) = (Replica::start("i-1", declines), Replica::start("i-2", good));
    let site = Site::start("declined", &[(&full, "desk"), (&free, "desk")]);
    for number in 0..6 {
        let id = format!("r{number}");
        assert_eq!(site.call("/confirm/a", &id, "").unwrap().status, 200);
    }
    assert_eq!(free.requests().len(), 6);
}

/// All declined: the refusal promises that it has not run, and it has not.
#[test]
fn all_declined() {
    let full = Replica::start("i-1", declines);
    let site = Site::start("all_declined", &[(&full, "desk")]);
    let got = site.call("/confirm/a", "r1", "").unwrap();
    assert_eq!(got.status, 503);
    assert!(got.header("retry-after").is_some());
}

/// A connection that closes promises nothing, so the request is not repeated
/// and its caller is not told that it has not run.
#[test]
fn closed_runs_once() {
    let closing = Replica::start("i-1", |_, _| After::Close);
    let other = Replica::start("i-2", good);
    let site = Site::start("closed", &[(&closing, "desk"), (&other, "desk")]);
    let mut statuses = Vec::new();
    for number in 0..8 {
        let id = format!("r{number}");
        statuses.push(site.call("/confirm/a", &id, "").unwrap().status);
    }
    assert!(statuses.iter().all(|status| [200, 502].contains(status)));
    assert!(statuses.contains(&502), "{statuses:?}");
    let mut ids: Vec<_> = [closing.requests(), other.requests()]
        .concat()
        .iter()
        .map(|seen| seen.header("attempt-id").unwrap().to_owned())
        .collect();
    ids.sort();
    let sent = ids.len();
    ids.dedup();
    assert_eq!(ids.len(), sent, "a request was sent twice");
}

#[test]
fn lookup_repeated() {
    let closing = Replica::start("i-1", |_, _| After::Close);
    let other = Replica::start("i-2", good);
    let site = Site::start("lookup_repeated", &[(&closing, "desk"), (&other, "desk")]);
    for number in 0..4 {
        let id = format!("r{number}");
        assert_eq!(site.call("/lookup/a", &id, "").unwrap().status, 200);
    }
}

/// A silent endpoint does not hold up a lookup until its deadline.
#[test]
fn silent_is_hedged() {
    let silent = Replica::start("i-1", |_, _| {
        std::thread::sleep(Duration::from_secs(8));
        After::Close
    });
    let other = Replica::start("i-2", good);
    let site = Site::start("hedged", &[(&silent, "desk"), (&other, "desk")]);
    for number in 0..4 {
        let id = format!("r{number}");
        assert_eq!(site.call("/lookup/a", &id, "").unwrap().status, 200);
    }
}

/// A failure that comes while the second endpoint is still at work does not
/// end the request.
#[test]
fn hedge_outlives_failure() {
    let failing = Replica::start("i-1", |request, stream| {
        std::thread::sleep(Duration::from_millis(200));
        write(stream, &framed(500, &signed(request), b"no"))
    });
    let slow = Replica::start("i-2", |request, stream| {
        std::thread::sleep(Duration::from_millis(400));
        good(request, stream)
    });
    let site = Site::start("outlives", &[(&failing, "desk"), (&slow, "desk")]);
    for number in 0..3 {
        let id = format!("r{number}");
        assert_eq!(site.call("/lookup/a", &id, "").unwrap().status, 200);
    }
}

/// One endpoint declines while the other is still at work: the request may run,
/// so its caller is not told otherwise.
#[test]
fn hedge_is_no_refusal() {
    let declining = Replica::start("i-1", |request, stream| {
        std::thread::sleep(Duration::from_millis(300));
        declines(request, stream)
    });
    let silent = Replica::start("i-2", |_, _| {
        std::thread::sleep(Duration::from_secs(8));
        After::Close
    });
    let site = Site::start("no_refusal", &[(&declining, "desk"), (&silent, "desk")]);
    for number in 0..2 {
        let id = format!("r{number}");
        assert_eq!(site.call("/lookup/a", &id, "").unwrap().status, 504);
    }
}

/// A second answer belongs to no request, also when it comes where the next
/// answer is due.
#[test]
fn extra_answer_reaches_nobody() {
    let extra = Replica::start("i-1", |request, stream| {
        let answer = framed(200, &signed(request), request.target.as_bytes());
        let after = write(stream, &[answer.clone(), answer.clone()].concat());
        std::thread::sleep(Duration::from_millis(20));
        write(stream, &answer);
        after
    });
    let site = Site::start("extra", &[(&extra, "desk")]);
    let mut line = site.line();
    for number in 0..20 {
        let (target, id) = (format!("/lookup/{number}"), format!("r{number}"));
        line.send(&head(&target, &id, ""), "");
        let got = line.receive().unwrap();
        if got.status == 200 {
            assert_eq!(got.body, target);
            assert_eq!(got.header("attempt-id"), Some(id.as_str()));
        }
    }
}

/// An answer for another request, and one that no endpoint stands for.
#[test]
fn crossed_answer() {
    let crossed = Replica::start("i-1", |request, stream| {
        let headers = match request.target.as_str() {
            "/confirm/crossed" => "Attempt-Id: other\r\nResponse-Signature: s\r\n".to_owned(),
            _ => format!("Attempt-Id: {}\r\n", request.header("attempt-id").unwrap()),
        };
        write(stream, &framed(200, &headers, b"secret"))
    });
    let site = Site::start("crossed", &[(&crossed, "desk")]);
    for target in ["/confirm/crossed", "/confirm/unsigned"] {
        let got = site.call(target, "r1", "").unwrap();
        assert_eq!(got.status, 502, "{target}");
        assert!(!got.body.contains("secret"));
    }
}

/// Without a length an answer ends with its connection.
#[test]
fn unframed_answer() {
    let unframed = Replica::start("i-1", |request, stream| {
        let head = format!("HTTP/1.1 200 OK\r\n{}\r\nall of it", signed(request));
        write(stream, head.as_bytes());
        After::Close
    });
    let site = Site::start("unframed", &[(&unframed, "desk")]);
    let got = site.call("/confirm/a", "r1", "").unwrap();
    assert_eq!((got.status, got.body.as_str()), (200, "all of it"));
    assert!(got.whole);
}

#[test]
fn short_answer() {
    let short = Replica::start("i-1", |request, stream| {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}Content-Length: 50\r\n\r\n",
            signed(request)
        );
        write(stream, head.as_bytes());
        write(stream, b"half");
        After::Close
    });
    let site = Site::start("short", &[(&short, "desk")]);
    assert_eq!(site.call("/confirm/a", "r1", "").unwrap().status, 502);
}

/// A stream that breaks off does not look complete, and no part of an event
/// reaches the caller.
#[test]
fn broken_stream() {
    let engine = Replica::start("i-1", |request, stream| {
        if request.target == "/v1/report" {
            return write(stream, &framed(503, "", b""));
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}Transfer-Encoding: chunked\r\n\r\n",
            signed(request)
        );
        write(stream, head.as_bytes());
        write(stream, &chunk("id: 1\ndata: a\n\nid: 2\nda"));
        std::thread::sleep(Duration::from_millis(50));
        After::Close
    });
    let site = Site::start("broken_stream", &[(&engine, "writers")]);
    let got = site.call("/report/a", "r1", "").unwrap();
    assert_eq!(got.status, 200);
    assert_eq!(got.body, "id: 1\ndata: a\n\n");
    assert!(!got.whole);
    assert_eq!(engine.requests().len(), 1);
}

/// A stream that may be resumed goes on elsewhere after its last whole event.
#[test]
fn resumed_stream() {
    let engine = |name| {
        Replica::start(name, |request, stream| {
            if request.target == "/v1/report" {
                return write(stream, &framed(503, "", b""));
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\n{}Transfer-Encoding: chunked\r\n\r\n",
                signed(request)
            );
            write(stream, head.as_bytes());
            match request.header("last-event-id") {
                None => {
                    write(stream, &chunk("id: 1\ndata: a\n\nid: 2\nda"));
                    std::thread::sleep(Duration::from_millis(50));
                }
                Some(last) => {
                    assert_eq!(last, "1");
                    write(stream, &chunk("id: 2\ndata: b\n\n"));
                    write(stream, b"0\r\n\r\n");
                }
            }
            After::Close
        })
    };
    let (one, two) = (engine("i-1"), engine("i-2"));
    let site = Site::start("resumed", &[(&one, "writers"), (&two, "writers")]);
    let got = site.call("/note/a", "r1", "").unwrap();
    assert_eq!(got.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert!(got.whole);
}

/// A caller that leaves takes its request with it.
#[test]
fn vanished_caller_cancels() {
    let left = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let noted = std::sync::Arc::clone(&left);
    let engine = Replica::start("i-1", move |request, stream| {
        use std::io::Read;
        if request.target == "/v1/report" {
            return write(stream, &framed(503, "", b""));
        }
        let mut rest = [0; 1];
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        if matches!(stream.read(&mut rest), Ok(0)) {
            noted.store(true, std::sync::atomic::Ordering::SeqCst);
        }
        After::Close
    });
    let site = Site::start("vanished", &[(&engine, "writers")]);
    let mut line = site.line();
    line.send(&head("/report/a", "r1", ""), "");
    until("the request arrives", || engine.requests().len() == 1);
    drop(line);
    until("the engine sees its caller leave", || {
        left.load(std::sync::atomic::Ordering::SeqCst)
    });
}
