//! How long after its acknowledgement a record is acted on, for each path from the log to a
//! gateway.

use std::net::SocketAddr;

use lentil_core::{Span, Time};
use lentil_feed::{
    ENDPOINTS_AGE_MAX, ENDPOINTS_RELAY_WAIT, LogTopic, OPERATORS_AGE_MAX, OPERATORS_RELAY_WAIT,
    RECORD_DELAY_MAX, RELAY_ENDPOINTS_PAUSE, RELAY_LOG_WAIT, RELAY_RESPONSE_TIMEOUT, ReadSource,
    RelayTiming, SHARED_READ_PAUSE_MIN, SLOW_LOG, SourceChooser, next_shared_read,
};

const TRUST: Span = Span::from_ms(4_300);
/// Time between two processes, one way.
const HOP: Span = Span::from_ms(2);
/// The record is written after the readers have settled.
const SETTLED_MS: u64 = 20_000;
/// Response times of the log: usual ones, and one just below [`SLOW_LOG`].
const RESPONSE_TIMES_MS: [u64; 3] = [5, 60, 240];

/// What happens to the relay when the record is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RelayFault {
    None,
    /// The log's answers no longer reach it.
    Cut,
    /// It no longer answers.
    Paused,
}

/// The log and a relay that follows one topic of it.
struct Model {
    topic: LogTopic,
    response: Span,
    fault: RelayFault,
    written_at: Time,
    phase: Span,
}

/// A state of a copy.
#[derive(Debug, Clone, Copy)]
struct Copy {
    confirmed_at: Time,
    has_record: bool,
}

impl Model {
    /// A read of the log without a wait: the answer is made as soon as the request is there, and
    /// takes the whole response time to return.
    fn log_answer(&self, asked_at: Time) -> (Time, Copy) {
        let copy = Copy {
            confirmed_at: asked_at,
            has_record: asked_at >= self.written_at,
        };
        (asked_at + self.response, copy)
    }

    /// The relay's copies in order, each with the time at which it has it.
    fn relay_copies(&self, until: Time) -> Vec<(Time, Copy)> {
        let mut copies: Vec<(Time, Copy)> = Vec::new();
        let mut asked_at = Time::ZERO + self.phase;
        while asked_at <= until {
            let has_record = copies.last().is_some_and(|(_, copy)| copy.has_record);
            let made_at = match self.topic {
                LogTopic::Endpoints => asked_at,
                _ if has_record => asked_at + RELAY_LOG_WAIT,
                _ => (asked_at + RELAY_LOG_WAIT).min(self.written_at.max(asked_at)),
            };
            let received_at = made_at + self.response;
            if self.fault == RelayFault::Cut && received_at > self.written_at {
                break;
            }
            let copy = Copy {
                confirmed_at: asked_at,
                has_record: made_at >= self.written_at,
            };
            copies.push((received_at, copy));
            asked_at = match self.topic {
                LogTopic::Endpoints => received_at + RELAY_ENDPOINTS_PAUSE,
                _ => received_at,
            };
        }
        copies
    }

    /// The relay's answer to a gateway: when it arrives, and the copy.
    fn relay_answer(&self, copies: &[(Time, Copy)], asked_at: Time) -> (Time, Option<Copy>) {
        let timing = RelayTiming::of(self.topic);
        let timeout = asked_at + timing.wait + timing.response_timeout;
        let received_at = asked_at + HOP;
        let wait_ends = received_at + timing.wait;
        let known = copies.iter().rfind(|(at, _)| *at <= received_at);
        let known_at = known.map_or(Time::ZERO, |(_, copy)| copy.confirmed_at);
        let is_recent = timing.confirmed_within > Span::ZERO
            && known_at + timing.confirmed_within >= received_at;
        // Records that the gateway doesn't have are sent at once, unless the copy is too old.
        let has_news = known.is_some_and(|(_, copy)| copy.has_record)
            && timing
                .age_max
                .is_some_and(|age| known_at + age > received_at);
        let newer = copies.iter().find(|(at, copy)| {
            *at > received_at && *at <= wait_ends && copy.confirmed_at > known_at
        });
        let (sent_at, copy) = match (known, newer) {
            (Some((_, copy)), _) if is_recent || has_news => (received_at, *copy),
            (_, Some((at, copy))) => (*at, *copy),
            (Some((_, copy)), None) => (wait_ends, *copy),
            (None, None) => return (timeout, None),
        };
        if self.fault == RelayFault::Paused && sent_at >= self.written_at {
            return (timeout, None);
        }
        (sent_at + HOP, Some(copy))
    }

    /// Returns how long after its acknowledgement the gateway has the record.
    fn delay(&self, relays: u16) -> Span {
        let end = self.written_at + Span::from_ms(8_000);
        let copies = self.relay_copies(end);
        let mut chooser = SourceChooser::new(6, TRUST);
        let addresses: Vec<_> = (1..=relays)
            .map(|number| SocketAddr::from(([10, 0, 0, 1], number)))
            .collect();
        chooser.update(100, &addresses);
        let mut now = Time::ZERO + Span::from_ms(SETTLED_MS - 6_000);
        while now < end {
            let source = chooser.choose(now);
            let mut read = None;
            if let ReadSource::Relay(_) = source {
                let (at, answer) = self.relay_answer(&copies, now);
                now = at;
                read = answer.filter(|copy| chooser.is_recent(self.topic, now, copy.confirmed_at));
                chooser.record(now, source, read.is_some());
            }
            let copy = read.unwrap_or_else(|| {
                let asked_at = now;
                let (at, copy) = self.log_answer(asked_at);
                now = at;
                chooser.record(now, ReadSource::Log, true);
                chooser.record_response_time(now, now.since(asked_at));
                copy
            });
            if copy.has_record {
                return now.since(self.written_at);
            }
            if self.topic == LogTopic::Endpoints {
                now = next_shared_read(now, copy.confirmed_at);
            }
        }
        panic!("the record was never read");
    }
}

/// The largest delay of a record behind a relay, as in the design note. `response` is the log's
/// response time.
fn delay_max(topic: LogTopic, fault: RelayFault, response: Span) -> Span {
    // A reply of the relay, the next request and its reply.
    let hops = HOP + HOP + HOP;
    match (topic, fault) {
        (LogTopic::Endpoints, RelayFault::None) => {
            ENDPOINTS_AGE_MAX + SHARED_READ_PAUSE_MIN + hops + response
        }
        (LogTopic::Endpoints, _) => {
            ENDPOINTS_AGE_MAX
                + SHARED_READ_PAUSE_MIN
                + ENDPOINTS_RELAY_WAIT
                + RELAY_RESPONSE_TIMEOUT
                + response
        }
        // The log's empty answer is on its way when the record is written.
        (_, RelayFault::None) => response + response + hops,
        (_, RelayFault::Cut | RelayFault::Paused) => {
            response + hops + OPERATORS_RELAY_WAIT + RELAY_RESPONSE_TIMEOUT + response
        }
    }
}

fn largest_delay(topic: LogTopic, fault: RelayFault, response: Span, relays: u16) -> Span {
    let mut largest = Span::ZERO;
    for phase_ms in (0..1_500).step_by(7) {
        for written_ms in (0..1_500).step_by(31) {
            let model = Model {
                topic,
                response,
                fault,
                written_at: Time::ZERO + Span::from_ms(SETTLED_MS + written_ms),
                phase: Span::from_ms(phase_ms),
            };
            largest = largest.max(model.delay(relays));
        }
    }
    largest
}

/// Guards against a gateway that acts on the old copy of a relay after the bound, whatever the
/// phase of the reads in which the relay is cut or paused.
#[test]
fn every_path() {
    for topic in [LogTopic::Endpoints, LogTopic::Operators] {
        for fault in [RelayFault::None, RelayFault::Cut, RelayFault::Paused] {
            for response in RESPONSE_TIMES_MS.map(Span::from_ms) {
                let sum = delay_max(topic, fault, response);
                for relays in [1, 2] {
                    let largest = largest_delay(topic, fault, response, relays);
                    println!("{topic:?} {fault:?} response {response}: {largest} of {sum}");
                    assert!(
                        largest <= sum,
                        "{topic:?} {fault:?}: {largest}, {sum} stated"
                    );
                }
            }
        }
    }
}

/// Guards against constants that add up to more than the bound while the log isn't slow.
#[test]
fn sums_within_bound() {
    for topic in [LogTopic::Endpoints, LogTopic::Operators] {
        for fault in [RelayFault::None, RelayFault::Cut, RelayFault::Paused] {
            assert!(delay_max(topic, fault, SLOW_LOG) < RECORD_DELAY_MAX);
        }
    }
    // A relay that the log has not answered during the wait is not accepted.
    assert!(OPERATORS_AGE_MAX < OPERATORS_RELAY_WAIT);
    // Relays that work are accepted at each phase of their reads.
    assert!(RELAY_LOG_WAIT + SLOW_LOG + HOP < OPERATORS_AGE_MAX);
    assert!(RELAY_ENDPOINTS_PAUSE + SLOW_LOG + SLOW_LOG + HOP < ENDPOINTS_AGE_MAX);
}
