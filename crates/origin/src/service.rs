//! The versions of one service.

use std::collections::BTreeMap;

use lentil_core::{Span, Time};
use lentil_rollout::Version;

/// The number of known endpoints by version; `None` stands for endpoints that state no valid one.
pub type VersionCounts = BTreeMap<Option<Version>, u32>;

/// Time after which every gateway lists a version that this one lists, and a change of the default
/// that was decided before has been carried out or never will be: 1.5 s for the list, 2 s in the
/// store's queue, and the way.
const SETTLE_TIME: Span = Span::from_ms(5_000);

/// How long a default that was read is relied on while other versions are known.
const DEFAULT_LEASE: Span = Span::from_ms(3_000);

/// Shortest take-up time. A gateway begins streams at a version for some seconds after others have
/// seen it leave: its list is older, and engines answer while they drain.
const TAKE_UP_TIME_MIN: Span = Span::from_ms(10_000);

/// Longest time between two lists of endpoints of which the second still tells what served
/// meanwhile. Lists are read every second and reach a gateway up to 1.5 s late.
const LIST_GAP_MAX: Span = Span::from_ms(5_000);

/// The default version as read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ReadDefault {
    version: Option<Option<Version>>,
    /// When the log was asked.
    asked_at: Time,
}

/// What is known about the versions of one service.
#[derive(Debug)]
pub(crate) struct ServiceVersions {
    /// The versions that have endpoints.
    counts: VersionCounts,
    /// When each of them appeared.
    listed_since: BTreeMap<Option<Version>, Time>,
    /// When they were last taken over.
    observed_at: Option<Time>,
    /// When the last of them appeared.
    appeared_at: Time,
    /// When streams that began before this process knew the service, or while it did not read the
    /// list, can no longer be taken up.
    earlier_until: Time,
    /// When streams of each version can no longer be taken up, as far as endpoints were known.
    taken_up_until: BTreeMap<Option<Version>, Time>,
    default: Option<ReadDefault>,
    /// The last default that the log held.
    last_default: Option<Option<Version>>,
    /// The longest time after its first event at which a stream may be taken up.
    take_up_time: Span,
}

impl ServiceVersions {
    pub(crate) const fn new(now: Time) -> Self {
        Self {
            counts: VersionCounts::new(),
            listed_since: BTreeMap::new(),
            observed_at: None,
            appeared_at: now,
            earlier_until: Time::NEVER,
            taken_up_until: BTreeMap::new(),
            default: None,
            last_default: None,
            take_up_time: Span::ZERO,
        }
    }

    pub(crate) const fn take_up_time(&self) -> Span {
        self.take_up_time
    }

    pub(crate) fn observe(&mut self, now: Time, counts: VersionCounts, take_up_time: Span) {
        self.take_up_time = take_up_time.max(TAKE_UP_TIME_MIN);
        let until = now + self.take_up_time;
        let has_gap = !self.is_list_current(now);
        if has_gap {
            self.earlier_until = until;
        }
        self.observed_at = Some(now);
        self.taken_up_until.retain(|_, at| !at.has_passed(now));
        self.listed_since
            .retain(|version, _| !has_gap && counts.contains_key(version));
        for version in counts.keys() {
            if !self.listed_since.contains_key(version) {
                self.listed_since.insert(version.clone(), now);
                self.appeared_at = now;
            }
        }
        // Streams may have begun at a version until the first list without it.
        for version in self.counts.keys().chain(counts.keys()) {
            let at = self.taken_up_until.entry(version.clone()).or_insert(until);
            *at = until.max(*at);
        }
        self.counts = counts;
    }

    /// Whether the list is known without a gap up to now.
    fn is_list_current(&self, now: Time) -> bool {
        let observed_at = self.observed_at;
        observed_at.is_some_and(|at| !(at + LIST_GAP_MAX).has_passed(now))
    }

    pub(crate) fn record_default(&mut self, asked_at: Time, version: Option<Option<Version>>) {
        if self
            .default
            .as_ref()
            .is_none_or(|known| known.asked_at <= asked_at)
        {
            self.last_default = version.clone().or_else(|| self.last_default.take());
            self.default = Some(ReadDefault { version, asked_at });
        }
    }

    /// The last default that the log held.
    pub(crate) const fn last_default(&self) -> Option<&Option<Version>> {
        self.last_default.as_ref()
    }

    /// Whether the version has endpoints.
    pub(crate) fn is_listed(&self, version: &Option<Version>) -> bool {
        self.counts.contains_key(version)
    }

    pub(crate) fn forget_read(&mut self) {
        self.default = None;
    }

    /// The default version, if it was read.
    fn default_version(&self) -> Option<&Option<Version>> {
        self.default.as_ref()?.version.as_ref()
    }

    /// The version of all known endpoints, if it is the same. While the log holds no default, every
    /// stream is recorded, so that one without a record has not begun at another version.
    fn only_version(&self) -> Option<&Option<Version>> {
        let mut versions = self.counts.keys();
        versions.next().filter(|_| versions.next().is_none())
    }

    /// Whether all known versions are the default.
    fn is_alone(&self) -> bool {
        let default = self.default_version();
        self.counts.keys().all(|version| Some(version) == default)
    }

    /// The default version, if it was read recently enough to rely on it.
    pub(crate) fn current_default(&self, now: Time) -> Option<&Option<Version>> {
        let read = self.default.as_ref()?;
        let is_recent = self.is_alone() || !(read.asked_at + DEFAULT_LEASE).has_passed(now);
        (read.asked_at >= self.appeared_at && is_recent)
            .then_some(read.version.as_ref())
            .flatten()
    }

    /// The default version of streams that are taken up by requests of `arrived_at`. Another gateway
    /// may have changed it since an earlier read, and have left streams unrecorded at the new one.
    pub(crate) fn default_read_after(
        &self,
        now: Time,
        arrived_at: Time,
    ) -> Option<&Option<Version>> {
        let read = self.default.as_ref()?;
        if read.asked_at < arrived_at {
            return None;
        }
        if read.version.is_none() && read.asked_at >= self.appeared_at {
            return self.only_version();
        }
        self.current_default(now)
    }

    /// The default version whose streams need no record. While a version that came back is not
    /// listed everywhere, a gateway that does not list it may still change the default.
    pub(crate) fn settled_default(&self, now: Time) -> Option<&Option<Version>> {
        let default = self.current_default(now)?;
        (self.no_other_in_use(now, default) || self.is_settled(default)).then_some(default)
    }

    /// Whether the default was read when every gateway listed this version.
    fn is_settled(&self, version: &Option<Version>) -> bool {
        let since = self.listed_since.get(version);
        let read = self.default.as_ref();
        since
            .zip(read)
            .is_some_and(|(since, read)| read.asked_at >= *since + SETTLE_TIME)
    }

    /// Whether the default has to be read: it is not current, or it may be changed soon.
    pub(crate) fn wants_default(&self, now: Time, read_interval: Span) -> bool {
        if self.counts.is_empty() {
            return false;
        }
        let Some(read) = &self.default else {
            return true;
        };
        if read.asked_at < self.appeared_at || read.version.is_none() {
            return true;
        }
        let settled_at = self.appeared_at + SETTLE_TIME;
        let is_unsettled = read.asked_at < settled_at && settled_at.has_passed(now);
        is_unsettled || !self.is_alone() && (read.asked_at + read_interval).has_passed(now)
    }

    /// Whether a stream that may be taken up may have begun at this version.
    fn is_in_use(&self, now: Time, version: &Option<Version>) -> bool {
        let until = self.taken_up_until.get(version);
        self.counts.contains_key(version) || until.is_some_and(|until| !until.has_passed(now))
    }

    fn no_other_in_use(&self, now: Time, version: &Option<Version>) -> bool {
        let mut others = self.taken_up_until.keys().filter(|it| *it != version);
        others.all(|other| !self.is_in_use(now, other))
    }

    /// Whether every stream that may be taken up began at the default version: no other one was
    /// known for the take-up time.
    pub(crate) fn only_default_served(&self, now: Time) -> bool {
        let default = self.current_default(now);
        default.is_some_and(|default| self.no_other_in_use(now, default))
            && self.is_list_current(now)
            && self.earlier_until.has_passed(now)
    }

    /// The version that should become the default: the one with the most endpoints if there is no
    /// default, or if no stream that may be taken up began there. A default that the log has lost
    /// is written again, as unrecorded streams began there.
    pub(crate) fn due_default(&self, now: Time) -> Option<&Option<Version>> {
        let read = self.default.as_ref()?;
        if !self.is_list_current(now) {
            return None;
        }
        if let Some(default) = &read.version
            && (self.is_in_use(now, default) || !self.earlier_until.has_passed(now))
        {
            return None;
        }
        let lost = self.last_default.as_ref();
        let lost = lost.filter(|it| read.version.is_none() && self.is_in_use(now, it));
        let most = self.counts.iter().filter(|(_, count)| **count > 0);
        let most = most.max_by_key(|(_, count)| **count);
        lost.or_else(|| most.map(|(version, _)| version))
    }
}
