//! When topics are read, and how old a relay's copy may be.
//!
//! A record must be acted on within [`RECORD_DELAY_MAX`] after the log has acknowledged it, also
//! by a gateway whose relay is cut from the log and goes on answering with its old copy. The sums
//! for each path are in the design note on copies of the log; the test `record_delay` checks them.

use lentil_core::{Span, Time};

use crate::LogTopic;

/// Time after a record's acknowledgement within which gateways must act on it: the drain timeout
/// and the bound for configurations.
pub const RECORD_DELAY_MAX: Span = Span::from_ms(2_000);
/// Response time from which on the log counts as slow. Copies of all relays are then older than
/// usual, and reading the log in their place would only slow it down further.
pub const SLOW_LOG: Span = Span::from_ms(250);
/// How long older copies are accepted after the log was slow. It is shorter than the time for
/// which the log must have answered normally before the bounds apply again.
pub const SLOW_LOG_GRACE: Span = Span::from_ms(2_000);

/// Long-poll wait of a relay for the topics where records are rare.
pub const RELAY_LOG_WAIT: Span = Span::from_ms(900);
/// The same after the store has come back from an older copy, until readers have confirmations of
/// what was written again.
pub const RELAY_RESTORED_WAIT: Span = Span::from_ms(250);
/// Pause of a relay between two reads of the endpoints' topic, where records are frequent.
pub const RELAY_ENDPOINTS_PAUSE: Span = Span::from_ms(400);

/// Pause of a gateway between two reads of a relay's copy of the endpoints, which cost the log
/// nothing.
pub const SHARED_READ_PAUSE: Span = Span::from_ms(800);
/// Shortest pause between two such reads, however old the copy is.
pub const SHARED_READ_PAUSE_MIN: Span = Span::from_ms(100);
/// Age at which a gateway replaces its copy of the endpoints, and up to which it accepts one. A
/// relay's copy gets as old as its pause and two response times of the log.
pub const ENDPOINTS_AGE_MAX: Span = Span::from_ms(950);
/// Age up to which a relay returns its copy of the endpoints at once.
pub const ENDPOINTS_RECENT: Span = Span::from_ms(900);
/// Age up to which a gateway accepts the operators' records from a relay: the relay's wait, a
/// response time of the log and 50 ms between the processes. It is below
/// [`OPERATORS_RELAY_WAIT`], so that a relay that got no answer from the log meanwhile is not
/// accepted.
pub const OPERATORS_AGE_MAX: Span = Span::from_ms(1_200);
/// Wait at a relay for a newer confirmation of the operators' records.
pub const OPERATORS_RELAY_WAIT: Span = Span::from_ms(1_250);
/// Wait at a relay for a newer confirmation of the endpoints' records.
pub const ENDPOINTS_RELAY_WAIT: Span = Span::from_ms(250);
/// Wait at a relay for the default versions, which no time bound applies to.
const VERSIONS_RELAY_WAIT: Span = Span::from_ms(400);
/// Response timeout of a relay, in addition to the wait. A paused relay uses it up before the
/// log is read.
pub const RELAY_RESPONSE_TIMEOUT: Span = Span::from_ms(150);
/// The same for the default versions.
const VERSIONS_RESPONSE_TIMEOUT: Span = Span::from_ms(500);

/// What a gateway asks of a relay, and what it accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayTiming {
    /// How long the relay may wait for a newer confirmation.
    pub wait: Span,
    /// Age up to which the relay returns its copy without waiting.
    pub confirmed_within: Span,
    /// Response timeout in addition to the wait.
    pub response_timeout: Span,
    /// Age up to which the answer is accepted, if the topic has a bound of its own.
    pub age_max: Option<Span>,
}

impl RelayTiming {
    /// The timing for a topic.
    #[must_use]
    pub const fn of(topic: LogTopic) -> Self {
        match topic {
            LogTopic::Operators => Self {
                wait: OPERATORS_RELAY_WAIT,
                confirmed_within: Span::ZERO,
                response_timeout: RELAY_RESPONSE_TIMEOUT,
                age_max: Some(OPERATORS_AGE_MAX),
            },
            LogTopic::Endpoints => Self {
                wait: ENDPOINTS_RELAY_WAIT,
                confirmed_within: ENDPOINTS_RECENT,
                response_timeout: RELAY_RESPONSE_TIMEOUT,
                age_max: Some(ENDPOINTS_AGE_MAX),
            },
            LogTopic::DefaultVersions => Self {
                wait: VERSIONS_RELAY_WAIT,
                confirmed_within: ENDPOINTS_RECENT,
                response_timeout: VERSIONS_RESPONSE_TIMEOUT,
                age_max: None,
            },
        }
    }
}

/// Returns when a gateway that shares a relay's copy of the endpoints reads it next, given when
/// the log confirmed the copy that it has.
#[must_use]
pub fn next_shared_read(now: Time, confirmed_at: Time) -> Time {
    let latest = (confirmed_at + ENDPOINTS_AGE_MAX).max(now + SHARED_READ_PAUSE_MIN);
    (now + SHARED_READ_PAUSE).min(latest)
}
