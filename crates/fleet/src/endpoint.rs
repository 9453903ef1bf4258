//! The state of one endpoint as known to this entry.

use std::fmt;
use std::net::SocketAddr;

use lentil_capacity::{EndpointCapacity, RunProgress};
use lentil_core::{EndpointId, ServiceName, Span, Time, TokenCount, ZoneId};
use lentil_rollout::Version;

use crate::cold_window::ColdWindow;
use crate::fleet::REPORT_TTL;
use crate::health::Health;
use crate::in_flight::AttemptResult;
use crate::named_limit::NamedLimit;
use crate::pauses::UsualInterval;
use crate::rest::Rest;

/// An endpoint's record in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointRecord {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The service that it is a replica of.
    pub service: ServiceName,
    /// Its network address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The version of its software, if it states a valid one.
    pub version: Option<Version>,
    /// Whether it has announced that it is leaving.
    pub draining: bool,
    /// How long it stays cold, counted from when the record was read.
    pub cold_remaining: Span,
    /// Start time in Unix milliseconds, if reported; it changes with every restart.
    pub started_at_ms: Option<u64>,
    /// Rises each time the endpoint renews its record.
    pub sequence: u64,
    /// The latest time that is known to be before the record was written; `None` if there
    /// is none.
    pub written_after: Option<Time>,
}

/// Whether an engine is serving or leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineStage {
    /// The engine is serving.
    Serving,
    /// The engine is leaving.
    Leaving {
        /// When it terminates, if known.
        at: Option<Time>,
    },
}

/// An engine's report about itself, read by the observer on its host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Whether the engine is serving or leaving.
    pub stage: EngineStage,
    /// Start time in Unix milliseconds, if reported.
    pub started_at_ms: Option<u64>,
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Memory in use that cannot be evicted, in tokens.
    pub memory_used: TokenCount,
    /// Total memory, in tokens.
    pub memory_total: TokenCount,
    /// Number of entries that subscribe to these reports.
    pub followers: u32,
    /// The measured time per output token of one run, if known.
    pub token_interval: Option<Span>,
    /// Running requests without an event.
    pub prefilling: u32,
    /// Size of the first waiting prompt, if known.
    pub next_prompt: Option<TokenCount>,
    /// The runs' progress, from which the observer measures; empty in its own reports.
    pub runs: Vec<RunProgress>,
    /// Runs that entries have announced and that have produced no event.
    pub announced_runs: u32,
    /// Prompt tokens of these runs that the engine still has to prefill.
    pub announced_prompt: TokenCount,
}

/// How long work takes at an endpoint at the moment, as it states it: 100 is usual, more is
/// slower. Other users of its host change it several times a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PacePercent(u32);

impl PacePercent {
    /// Creates a pace; 0 counts as 1.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        Self(percent.max(1))
    }

    /// The pace in percent.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl fmt::Display for PacePercent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} %", self.0)
    }
}

/// The load that an endpoint states with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadNotice {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Its pace, if it states it.
    pub pace: Option<PacePercent>,
}

/// The load that an endpoint of a plain service reported with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReportedLoad {
    pub(crate) load: LoadNotice,
    pub(crate) reported_at: Time,
}

/// Whether an endpoint may get new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Availability {
    /// It gets new requests.
    Available,
    /// Its record disappeared and may have expired while the platform's store was failing.
    /// It counts as available until this time and as leaving afterwards.
    Unlisted { until: Time },
    /// Another endpoint claims its address. It gets no new requests until it is shown to live.
    Contested,
    /// It gets no new requests and terminates at this time. Unless it `announced`
    /// this, only its record disappeared, and it becomes available again if the
    /// record returns.
    Leaving {
        terminates_at: Time,
        announced: bool,
    },
}

#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    pub(crate) record: EndpointRecord,
    pub(crate) availability: Availability,
    pub(crate) listed: bool,
    pub(crate) cold_until: Time,
    pub(crate) cold_window: ColdWindow,
    pub(crate) health: Health,
    pub(crate) report: Option<(Time, EngineReport)>,
    pub(crate) reported_load: Option<ReportedLoad>,
    pub(crate) named_limit: Option<NamedLimit>,
    pub(crate) rest: Option<Rest>,
    usual_interval: UsualInterval,
    /// What was learned from its answers, if its service is plain and scheduled adaptively.
    pub(crate) capacity: EndpointCapacity,
}

impl Endpoint {
    pub(crate) fn new(now: Time, record: EndpointRecord) -> Self {
        Self {
            cold_until: now + record.cold_remaining,
            record,
            availability: Availability::Available,
            listed: true,
            cold_window: ColdWindow::default(),
            health: Health::default(),
            report: None,
            reported_load: None,
            named_limit: None,
            rest: None,
            usual_interval: UsualInterval::default(),
            capacity: EndpointCapacity::default(),
        }
    }

    pub(crate) const fn usual_interval(&self) -> UsualInterval {
        self.usual_interval
    }

    /// Records a report of the engine's.
    pub(crate) fn record_report(&mut self, now: Time, report: EngineReport) {
        if let Some(interval) = report.token_interval {
            self.usual_interval.record(interval);
        }
        self.report = Some((now, report));
    }

    /// Whether the endpoint may get new requests.
    pub(crate) fn is_available(&self, now: Time) -> bool {
        match self.availability {
            Availability::Available => true,
            Availability::Unlisted { until } => !until.has_passed(now),
            Availability::Contested | Availability::Leaving { .. } => false,
        }
    }

    /// Whether the endpoint is leaving.
    pub(crate) const fn is_leaving(&self) -> bool {
        matches!(self.availability, Availability::Leaving { .. })
    }

    /// Records the end of a plain request that found `ahead` others. The load that the answer
    /// states counts where it is higher, as others may have come after the request.
    ///
    /// A request without a successful answer counts if it took longer than expected: a hedged
    /// request is cancelled just where its endpoint is slow. A fast failure does not count.
    pub(crate) fn record_call(
        &mut self,
        now: Time,
        latency: Span,
        ahead: u32,
        result: AttemptResult,
    ) {
        let is_slow = latency > self.capacity.expected_latency(now, ahead);
        match result {
            AttemptResult::Overloaded => {
                self.capacity.record_overload();
                return;
            }
            AttemptResult::Succeeded => {}
            AttemptResult::Failed | AttemptResult::Unreachable | AttemptResult::Inconclusive => {
                if !is_slow {
                    return;
                }
            }
        }
        let stated = self
            .reported_load
            .filter(|load| now.since(load.reported_at) <= latency)
            .map_or(0, |reported| reported.load.running + reported.load.waiting);
        let concurrency = stated.max(ahead.saturating_add(1));
        self.capacity.record_answer(now, latency, concurrency);
    }

    /// Whether its record may have expired by now, as the endpoint did not renew it in
    /// time.
    pub(crate) fn may_have_expired(&self, now: Time, record_ttl: Span) -> bool {
        let written_after = self.record.written_after;
        written_after.is_none_or(|at| (at + record_ttl).has_passed(now))
    }

    /// When it may get a request, if it named a limit or asked for rest: the later of both.
    pub(crate) fn limited_until(&self, now: Time) -> Option<Time> {
        let rest = self.rest.filter(|rest| !rest.until.has_passed(now));
        let limit = self.named_limit.map(|limit| limit.next_at);
        limit.max(rest.map(|rest| rest.until))
    }

    /// Number of entries that share a limit of this endpoint: those that follow it, if it
    /// reports them, or else all `entries`.
    pub(crate) fn sharing_entries(&self, now: Time, entries: u32) -> u32 {
        self.report
            .as_ref()
            .filter(|(at, report)| report.followers > 0 && !(*at + REPORT_TTL).has_passed(now))
            .map_or(entries, |(_, report)| report.followers)
    }

    /// Whether a start time is of another lifetime than the endpoint's record; `false` if
    /// either start time is unknown.
    pub(crate) const fn is_other_lifetime(&self, started_at_ms: Option<u64>) -> bool {
        match (self.record.started_at_ms, started_at_ms) {
            (Some(known), Some(reported)) => known != reported,
            _ => false,
        }
    }

    /// Whether a record is of a later lifetime, or of an endpoint that has moved.
    pub(crate) fn is_succeeded_by(&self, record: &EndpointRecord) -> bool {
        !self.is_earlier_lifetime(record.started_at_ms)
            && (self.is_other_lifetime(record.started_at_ms)
                || self.record.address != record.address)
    }

    /// Whether a start time is of an earlier lifetime than the endpoint's record, as in a
    /// record that was written late.
    pub(crate) const fn is_earlier_lifetime(&self, started_at_ms: Option<u64>) -> bool {
        match (self.record.started_at_ms, started_at_ms) {
            (Some(known), Some(reported)) => reported < known,
            _ => false,
        }
    }
}
