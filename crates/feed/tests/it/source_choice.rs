//! Which source a gateway reads while relays fail, and the log turns it away.

use std::net::SocketAddr;

use lentil_core::{Span, Time};
use lentil_feed::{LogTopic, ReadSource, SLOW_LOG, SLOW_LOG_GRACE, SourceChooser};
use proptest::prelude::*;

const TRUST: Span = Span::from_ms(4_300);

fn ms(ms: u64) -> Time {
    Time::ZERO + Span::from_ms(ms)
}

fn relay(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn chooser(readers: u32) -> SourceChooser {
    let mut chooser = SourceChooser::new(6, TRUST);
    chooser.update(readers, &[relay(1), relay(2)]);
    chooser.record(ms(0), ReadSource::Log, true);
    chooser
}

#[test]
fn few_gateways_read_log() {
    assert_eq!(chooser(6).choose(ms(1)), ReadSource::Log);
    assert_eq!(chooser(7).choose(ms(1)), ReadSource::Relay(relay(1)));
}

/// A gateway that knows nothing yet starts from the log.
#[test]
fn first_read_is_direct() {
    let mut chooser = SourceChooser::new(6, TRUST);
    chooser.update(100, &[relay(1)]);
    assert_eq!(chooser.choose(ms(0)), ReadSource::Log);
}

#[test]
fn log_is_read_between_failed_relays() {
    let mut chooser = chooser(100);
    chooser.record(ms(1), ReadSource::Relay(relay(1)), false);
    assert_eq!(chooser.choose(ms(1)), ReadSource::Log);
    chooser.record(ms(2), ReadSource::Log, true);
    assert_eq!(chooser.choose(ms(2)), ReadSource::Relay(relay(2)));
    chooser.record(ms(3), ReadSource::Relay(relay(2)), false);
    chooser.record(ms(4), ReadSource::Log, true);
    assert_eq!(chooser.choose(ms(4)), ReadSource::Log, "both relays failed");
    assert_eq!(chooser.choose(ms(2_500)), ReadSource::Relay(relay(1)));
}

/// The log turns this host away and serves the relay.
#[test]
fn relay_serves_rejected_gateway() {
    let mut chooser = chooser(100);
    chooser.record(ms(1), ReadSource::Log, false);
    assert_eq!(chooser.choose(ms(1)), ReadSource::Relay(relay(1)));
    chooser.record(ms(2), ReadSource::Relay(relay(1)), false);
    chooser.record(ms(3), ReadSource::Log, false);
    assert_eq!(chooser.choose(ms(3)), ReadSource::Relay(relay(2)));
    chooser.record(ms(4), ReadSource::Relay(relay(2)), false);
    chooser.record(ms(5), ReadSource::Log, false);
    assert_eq!(
        chooser.choose(ms(5)),
        ReadSource::Relay(relay(1)),
        "not yet due"
    );
}

/// A relay that is cut off from the log goes on answering with its old copy.
#[test]
fn old_confirmation_counts_as_failure() {
    let chooser = chooser(100);
    for topic in [LogTopic::Operators, LogTopic::Endpoints] {
        assert!(chooser.is_recent(topic, ms(900), ms(0)));
        assert!(!chooser.is_recent(topic, ms(1_250), ms(0)));
    }
    assert!(chooser.is_usable(ms(2_000), ms(0)));
    assert!(!chooser.is_usable(ms(2_500), ms(0)));
    let versions = LogTopic::DefaultVersions;
    assert!(chooser.is_recent(versions, ms(2_000), ms(0)));
    assert!(!chooser.is_recent(versions, ms(2_500), ms(0)));
}

/// Guards against gateways that all read a slow log because their relays' copies get older with
/// it, and against old copies that are accepted for long after it was slow.
#[test]
fn slow_log_keeps_relay() {
    let mut chooser = chooser(100);
    chooser.record(ms(1), ReadSource::Relay(relay(1)), false);
    chooser.record(ms(300), ReadSource::Log, true);
    chooser.record_response_time(ms(300), SLOW_LOG);
    assert_eq!(chooser.choose(ms(300)), ReadSource::Relay(relay(1)));
    let end = ms(300) + SLOW_LOG_GRACE;
    let old = ms(100);
    assert!(chooser.is_recent(LogTopic::Operators, end - Span::from_ms(1), old));
    assert!(!chooser.is_recent(LogTopic::Operators, end, old));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 10_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(lentil_scenario::seed()),
        ..ProptestConfig::default()
    })]

    /// While the log answers, a gateway is confirmed often enough to go on serving
    /// keys, whatever relays do: they end, stop answering, or lose the log themselves.
    #[test]
    fn trust_outlives_failing_relays(
        relay_answers in prop::collection::vec((0_u8..3, 0_u64..900), 1..80),
    ) {
        const RELAY_TIMEOUT_MS: u64 = 1_700;
        let mut chooser = chooser(100);
        let mut now_ms = 0;
        let mut confirmed_at = ms(0);
        for (answer, took_ms) in relay_answers {
            let source = chooser.choose(ms(now_ms));
            let (took_ms, confirmation) = match (source, answer) {
                (ReadSource::Log, _) => (5, Some(ms(now_ms))),
                // It answers with what it confirmed when it got the request.
                (ReadSource::Relay(_), 0) => (took_ms, Some(ms(now_ms))),
                // It has lost the log.
                (ReadSource::Relay(_), 1) => (took_ms, Some(confirmed_at)),
                (ReadSource::Relay(_), _) => (RELAY_TIMEOUT_MS, None),
            };
            now_ms += took_ms;
            let recent = confirmation.filter(|at| chooser.is_recent(LogTopic::Operators, ms(now_ms), *at));
            chooser.record(ms(now_ms), source, recent.is_some());
            confirmed_at = confirmed_at.max(confirmation.unwrap_or_default());
            prop_assert!(!(confirmed_at + TRUST).has_passed(ms(now_ms)));
        }
    }
}
