//! The versions at which the streams of all services began.

use std::collections::BTreeMap;

use lentil_core::{ServiceName, Span, Time};
use lentil_rollout::Version;

use crate::records::{Records, StreamRecord};
use crate::service::{ServiceVersions, VersionCounts};
use crate::stream_key::StreamKey;

/// Time after which all gateways have noticed a restore of the store and have appended their own
/// records again: they read the default every second, and a call takes up to half a second.
const RESTORE_TIME: Span = Span::from_ms(2_000);

/// Interval at which the default is read while other versions are known.
const DEFAULT_READ_INTERVAL: Span = Span::from_ms(1_000);

/// How long records are kept that were read while no service was known.
const UNKNOWN_TAKE_UP_TIME: Span = Span::from_s(600);

/// What is known about the version at which a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// It began at this version; `None` stands for endpoints that state no valid one.
    Began(Option<Version>),
    /// The log has to be read.
    Unread {
        /// The service's default version is not current.
        default: bool,
        /// Records may have been appended since they were read.
        records: bool,
    },
    /// Several versions have served, and nothing names the stream.
    Unknown,
}

/// A change of a service's default version that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DefaultChange {
    /// The service.
    pub service: ServiceName,
    /// The new default.
    pub version: Option<Version>,
}

/// What one gateway knows about the versions at which streams began.
#[derive(Debug, Default)]
pub struct Origins {
    services: BTreeMap<ServiceName, ServiceVersions>,
    records: Records,
    /// When the store was asked for the list of endpoints, the last time that it was complete.
    list_confirmed_at: Option<Time>,
    /// When the records were read, to their end.
    records_read_at: Option<Time>,
    /// Reads from before this time do not count.
    forgotten_at: Time,
    /// Reads of records from before this time may miss records that were lost in a restore.
    restored_until: Time,
}

impl Origins {
    /// Takes over the versions of a service's known endpoints. `take_up_time` is the longest time
    /// after its first event at which a stream of the service may be taken up.
    ///
    /// It is called at least every second while the list of endpoints is current, also if nothing
    /// has changed, and not while the list can't be read: what serves during a gap of 5 s or more
    /// counts as unknown.
    pub fn observe(
        &mut self,
        now: Time,
        service: &ServiceName,
        counts: VersionCounts,
        take_up_time: Span,
    ) {
        let versions = self
            .services
            .entry(service.clone())
            .or_insert_with(|| ServiceVersions::new(now));
        versions.observe(now, counts, take_up_time);
        self.records.expire(now);
    }

    /// Notes that the list of endpoints holds all entries that were written before this time.
    pub fn confirm_list(&mut self, asked_at: Time) {
        self.list_confirmed_at = self.list_confirmed_at.max(Some(asked_at));
    }

    /// Takes over the default versions that the log held at `asked_at` or later; a relay's copy
    /// counts from when the relay asked. Services without one have none yet.
    pub fn record_defaults(
        &mut self,
        asked_at: Time,
        defaults: &BTreeMap<ServiceName, Option<Version>>,
    ) {
        if asked_at < self.forgotten_at {
            return;
        }
        for (service, versions) in &mut self.services {
            versions.record_default(asked_at, defaults.get(service).cloned());
        }
    }

    /// Takes over records that were read from the log. `asked_at` is given if they reach its end.
    pub fn record_read(
        &mut self,
        now: Time,
        records: impl IntoIterator<Item = StreamRecord>,
        asked_at: Option<Time>,
    ) {
        self.records.expire(now);
        for record in records {
            self.insert(now, record);
        }
        let asked_at = asked_at.filter(|at| *at >= self.restored_until);
        self.records_read_at = self.records_read_at.max(asked_at);
    }

    /// Forgets up to when the log was read, after the store has come back from an older copy. What
    /// was appended since that copy is lost: the caller appends its own records of the last seconds
    /// again. For 2 s no read of records counts, so that others have done so too.
    pub fn forget_reads(&mut self, now: Time) {
        self.forgotten_at = now;
        self.restored_until = now + RESTORE_TIME;
        self.records_read_at = None;
        for versions in self.services.values_mut() {
            versions.forget_read();
        }
    }

    /// Notes that this process has started on a store whose reads are complete from `restored_at` on.
    /// What it had lost, a default version too, is not known to this process, so that no earlier
    /// read counts.
    pub const fn start(&mut self, restored_at: Time) {
        self.forgotten_at = restored_at;
        self.restored_until = restored_at;
    }

    /// Takes over from when on reads of records count again.
    pub const fn set_restored_at(&mut self, restored_at: Time) {
        self.restored_until = restored_at;
    }

    /// Notes that the store did not answer a request of this time. If reads do not count yet, the
    /// time in which lost records are written again begins anew.
    pub fn record_store_failure(&mut self, asked_at: Time) {
        if !self.restored_until.has_passed(asked_at) {
            self.restored_until = self.restored_until.max(asked_at + RESTORE_TIME);
        }
    }

    /// When reads of records count again, after the store has come back from an older copy.
    #[must_use]
    pub const fn reads_count_from(&self) -> Time {
        self.restored_until
    }

    /// Whether the records were read to their end, after `wanted_at`.
    #[must_use]
    pub fn has_read_records(&self, wanted_at: Time) -> bool {
        self.records_read_at >= Some(wanted_at)
    }

    /// Keeps the version of a stream that this gateway has begun or taken up.
    pub fn insert(&mut self, now: Time, record: StreamRecord) {
        let times = self.services.values().map(ServiceVersions::take_up_time);
        // Records may be read before the first service is known.
        let take_up_time = times.max().unwrap_or(UNKNOWN_TAKE_UP_TIME);
        self.records.expire(now);
        self.records.insert(record, now + take_up_time);
    }

    /// The version of a stream whose record is known.
    #[must_use]
    pub fn get(&self, key: &StreamKey) -> Option<&Option<Version>> {
        self.records.get(key)
    }

    /// Whether a stream that begins at this version has to be recorded in the log before its first
    /// event reaches the caller.
    #[must_use]
    pub fn needs_record(
        &self,
        now: Time,
        service: &ServiceName,
        version: Option<&Version>,
    ) -> bool {
        let default = self
            .services
            .get(service)
            .and_then(|versions| versions.settled_default(now));
        default.is_none_or(|default| default.as_ref() != version)
    }

    /// The default version of a service that was last read, also if it may have changed since. The
    /// holders of streams are ranked by it.
    #[must_use]
    pub fn last_default(&self, service: &ServiceName) -> Option<&Option<Version>> {
        self.services.get(service)?.last_default()
    }

    /// The longest time after its first event at which a stream of the service may be taken up.
    #[must_use]
    pub fn take_up_time(&self, service: &ServiceName) -> Span {
        let versions = self.services.get(service);
        versions.map_or(UNKNOWN_TAKE_UP_TIME, ServiceVersions::take_up_time)
    }

    /// The version at which a stream has to begin that can't be recorded anywhere: the default that
    /// was last read. Without endpoints of it no stream can go on there, so that any version is
    /// possible.
    #[must_use]
    pub fn unrecorded_version(&self, service: &ServiceName) -> Option<&Option<Version>> {
        let versions = self.services.get(service)?;
        let default = versions.last_default();
        default.filter(|default| versions.is_listed(default))
    }

    /// Returns the version at which a stream began that a request of `arrived_at` takes up.
    #[must_use]
    pub fn look_up(
        &self,
        now: Time,
        service: &ServiceName,
        key: &StreamKey,
        arrived_at: Time,
    ) -> Lookup {
        if let Some(version) = self.records.get(key) {
            return Lookup::Began(version.clone());
        }
        match self.default_if_read(now, service, arrived_at) {
            Ok(default) => Lookup::Began(default.clone()),
            Err(unread) => unread,
        }
    }

    /// Returns the version at which a stream began that a request of `arrived_at` takes up without
    /// naming the attempt that began it.
    #[must_use]
    pub fn look_up_unnamed(&self, now: Time, service: &ServiceName, arrived_at: Time) -> Lookup {
        match self.default_if_read(now, service, arrived_at) {
            Ok(default)
                if self.only_default_served(now, service)
                    || self.records.versions().all(|version| version == default) =>
            {
                Lookup::Began(default.clone())
            }
            Ok(_) => Lookup::Unknown,
            Err(unread) => unread,
        }
    }

    /// Returns the version at which a stream began that a request of `arrived_at` takes up, without
    /// the records: the default, if this gateway has seen no other version for the take-up time, and
    /// its list was confirmed since the request arrived. Without that, streams may have begun at a
    /// version that other gateways have listed and this one has not.
    #[must_use]
    pub fn look_up_without_log(
        &self,
        now: Time,
        service: &ServiceName,
        arrived_at: Time,
    ) -> Option<Option<Version>> {
        if self.list_confirmed_at < Some(arrived_at) {
            return None;
        }
        let versions = self.services.get(service)?;
        let default = versions.current_default(now)?;
        versions.only_default_served(now).then(|| default.clone())
    }

    fn only_default_served(&self, now: Time, service: &ServiceName) -> bool {
        let versions = self.services.get(service);
        versions.is_some_and(|versions| versions.only_default_served(now))
    }

    /// The default version, if it and the records were read after `arrived_at`. The gateway's list
    /// may lag behind those of others, so that it does not tell whether records exist.
    fn default_if_read(
        &self,
        now: Time,
        service: &ServiceName,
        arrived_at: Time,
    ) -> Result<&Option<Version>, Lookup> {
        let versions = self.services.get(service);
        let default = versions.and_then(|it| it.default_read_after(now, arrived_at));
        let are_read = self.has_read_records(arrived_at);
        default.filter(|_| are_read).ok_or(Lookup::Unread {
            default: default.is_none(),
            records: !are_read,
        })
    }

    /// Whether the default versions have to be read.
    #[must_use]
    pub fn wants_defaults(&self, now: Time) -> bool {
        self.services
            .values()
            .any(|versions| versions.wants_default(now, DEFAULT_READ_INTERVAL))
    }

    /// A change of a default version that is due.
    #[must_use]
    pub fn due_change(&self, now: Time) -> Option<DefaultChange> {
        self.services.iter().find_map(|(service, versions)| {
            let version = versions.due_default(now)?.clone();
            let service = service.clone();
            Some(DefaultChange { service, version })
        })
    }

    /// Number of records that are kept.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.records.len()
    }
}
