//! The choice between a relay and the log itself.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;

use lentil_core::{Span, Time};

use crate::LogTopic;
use crate::timing::{RelayTiming, SLOW_LOG, SLOW_LOG_GRACE};

/// How long a relay is not asked after it failed.
const RELAY_BACKOFF: Span = Span::from_ms(2_000);
/// Age of a confirmation beyond which a relay counts as failed, in percent of the time
/// for which the configuration is trusted.
const CONFIRMATION_AGE_MAX_PERCENT: u64 = 55;

/// Where to read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadSource {
    /// The platform's log.
    Log,
    /// A relay.
    Relay(SocketAddr),
}

impl fmt::Display for ReadSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Log => f.write_str("log"),
            Self::Relay(relay) => write!(f, "relay {relay}"),
        }
    }
}

/// Chooses where one gateway reads one topic.
///
/// Few gateways read the log themselves. In a larger fleet each gateway asks the first
/// relay of its list that works. After a relay has failed, the log is read once before
/// the next relay is tried, so that two bad relays in a row don't use up the time for
/// which the configuration is trusted. After the log has failed, a relay is tried, even
/// one that has failed, since the log may turn only some hosts away.
///
/// An answer of a relay that the log has not confirmed lately counts as a failure. While the log
/// itself is slow, older answers are accepted, as the log would be no faster for all gateways.
#[derive(Debug)]
pub struct SourceChooser {
    direct_readers_max: u32,
    confirmation_age_max: Span,
    readers: u32,
    relays: Vec<SocketAddr>,
    failed_until: HashMap<SocketAddr, Time>,
    log_is_next: bool,
    log_failed: bool,
    /// Until when older copies are accepted.
    log_slow_until: Time,
}

impl SourceChooser {
    /// Creates a chooser. Up to `direct_readers_max` gateways read the log themselves;
    /// `trust` is the time for which a confirmation by the log is valid.
    #[must_use]
    pub fn new(direct_readers_max: u32, trust: Span) -> Self {
        Self {
            direct_readers_max,
            confirmation_age_max: Span::from_us(trust.as_us() / 100 * CONFIRMATION_AGE_MAX_PERCENT),
            readers: 0,
            relays: Vec::new(),
            failed_until: HashMap::new(),
            log_is_next: true,
            log_failed: false,
            log_slow_until: Time::ZERO,
        }
    }

    /// Updates the number of gateways and the relays, the preferred one first.
    pub fn update(&mut self, readers: u32, relays: &[SocketAddr]) {
        self.readers = readers;
        if self.relays != relays {
            self.relays = relays.to_vec();
            self.failed_until.retain(|relay, _| relays.contains(relay));
        }
    }

    /// Whether there are more gateways than may read the log themselves, and relays.
    #[must_use]
    pub fn uses_relays(&self) -> bool {
        self.readers > self.direct_readers_max && !self.relays.is_empty()
    }

    /// Chooses where to read next.
    #[must_use]
    pub fn choose(&self, now: Time) -> ReadSource {
        if self.log_is_next || !self.uses_relays() {
            return ReadSource::Log;
        }
        let failed_until = |relay: &&SocketAddr| {
            let until = self.failed_until.get(*relay).copied();
            until.unwrap_or(Time::ZERO)
        };
        let mut relays = self.relays.iter();
        let relay = if self.log_failed {
            relays.min_by_key(failed_until)
        } else {
            relays.find(|relay| failed_until(relay).has_passed(now))
        };
        relay.map_or(ReadSource::Log, |relay| ReadSource::Relay(*relay))
    }

    /// Returns whether a confirmation is recent enough to go on reading the topic at a relay.
    #[must_use]
    pub fn is_recent(&self, topic: LogTopic, now: Time, confirmed_at: Time) -> bool {
        let bounded = RelayTiming::of(topic).age_max;
        let age_max = bounded.filter(|_| self.log_slow_until.has_passed(now));
        let is_bounded_age = age_max.is_none_or(|age| !(confirmed_at + age).has_passed(now));
        is_bounded_age && self.is_usable(now, confirmed_at)
    }

    /// Returns whether a copy with this confirmation may be used while the log fails: it renews
    /// the trust in the configuration although it is too old while the log answers.
    #[must_use]
    pub fn is_usable(&self, now: Time, confirmed_at: Time) -> bool {
        !(confirmed_at + self.confirmation_age_max).has_passed(now)
    }

    /// Records how long the log took for a read without a wait. If it is slow, the relays whose
    /// copies were old have not failed.
    pub fn record_response_time(&mut self, now: Time, took: Span) {
        if took >= SLOW_LOG {
            self.log_slow_until = now + SLOW_LOG_GRACE;
            self.failed_until.clear();
        }
    }

    /// Records the result of a read.
    pub fn record(&mut self, now: Time, source: ReadSource, succeeded: bool) {
        match source {
            ReadSource::Log => {
                self.log_is_next = false;
                self.log_failed = !succeeded;
            }
            ReadSource::Relay(relay) if succeeded => {
                self.failed_until.remove(&relay);
            }
            ReadSource::Relay(relay) => {
                self.failed_until.insert(relay, now + RELAY_BACKOFF);
                self.log_is_next = true;
            }
        }
    }
}
