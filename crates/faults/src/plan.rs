//! The faults injected into a simulation, and their times.

use std::fmt;

use lentil_core::{Span, Time};
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

/// Whether the mechanism under test is active. A simulation with [`Guard::Off`] shows that the
/// checks detect violations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guard {
    /// As in production: agents share one claim stream, entries check the order of tokens and
    /// refuse requests that crash endpoints.
    On,
    /// Each agent process has its own claim stream, so that every claim wins. Entries write tokens as they
    /// arrive and refuse no request that crashes endpoints.
    Off,
}

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// An agent is killed; a replacement starts later.
    AgentKill,
    /// An entry is killed; its callers retry at other entries.
    EntryKill,
    /// An agent is paused and resumes later.
    AgentPause,
    /// An agent is paused and replaced at once; it later resumes and runs beside its replacement.
    PausedAndReplaced,
    /// Messages between entries and an agent are held until the fault ends.
    LinkStall,
    /// The connection between an agent and its endpoint stalls until the fault ends.
    EndpointStall,
    /// Answers to appends are lost; the log may have stored the records.
    LostLogAnswer,
    /// The log refuses requests or doesn't answer them.
    LogOutage,
    /// Messages are delivered twice.
    Duplicate,
    /// Messages are delivered late and out of order.
    Delay,
}

impl FaultKind {
    /// All kinds of fault.
    pub const ALL: [Self; 10] = [
        Self::AgentKill,
        Self::EntryKill,
        Self::AgentPause,
        Self::PausedAndReplaced,
        Self::LinkStall,
        Self::EndpointStall,
        Self::LostLogAnswer,
        Self::LogOutage,
        Self::Duplicate,
        Self::Delay,
    ];
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::AgentKill => "agent_kill",
            Self::EntryKill => "entry_kill",
            Self::AgentPause => "agent_pause",
            Self::PausedAndReplaced => "paused_and_replaced",
            Self::LinkStall => "link_stall",
            Self::EndpointStall => "endpoint_stall",
            Self::LostLogAnswer => "lost_log_answer",
            Self::LogOutage => "log_outage",
            Self::Duplicate => "duplicate",
            Self::Delay => "delay",
        })
    }
}

/// One fault of a simulation.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    /// Kind of fault.
    pub kind: FaultKind,
    /// Start of the fault, inclusive.
    pub starts_at: Time,
    /// End of the fault, exclusive.
    pub ends_at: Time,
    /// Index of the affected agent or entry.
    pub target: usize,
}

/// A point in the processing of a call at which the executing agent is killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KillPoint {
    /// Before its claim is sent to the log.
    BeforeClaimAppend,
    /// While its claim is in flight; the log stores it before the replacement starts.
    ClaimStoredBeforeRestart,
    /// While its claim is in flight; the log stores it after the replacement has started.
    ClaimStoredAfterRestart,
    /// After its claim won, before the request is sent to the endpoint.
    BeforeSend,
    /// After the request was sent, before the answer arrives.
    BeforeAnswer,
    /// After the answer arrived, before the outcome is in the log.
    BeforeOutcomeRecord,
    /// After the outcome is in the log.
    AfterOutcomeRecord,
    /// After it released its claim and read the release from the log.
    AfterRelease,
}

/// The faults of one simulation.
#[derive(Debug, Clone, Default)]
pub struct FaultPlan {
    /// Faults with a start and end time.
    pub faults: Vec<Fault>,
    /// Point at which the first agent of endpoint 0 is killed.
    pub kill_point: Option<KillPoint>,
}

/// Upper bound of the duration of a fault.
const FAULT_MAX: Span = Span::from_s(6);

impl FaultPlan {
    /// Draws one fault of each kind that starts within `horizon`.
    #[must_use]
    pub fn random(kinds: &[FaultKind], rng: &mut ChaCha8Rng, horizon: Span) -> Self {
        let faults = kinds
            .iter()
            .map(|kind| {
                let starts_at = Time::from_us(rng.random_range(0..horizon.as_us()));
                let len = Span::from_us(rng.random_range(1_000..FAULT_MAX.as_us()));
                Fault {
                    kind: *kind,
                    starts_at,
                    ends_at: starts_at + len,
                    target: rng.random_range(0..3),
                }
            })
            .collect();
        Self {
            faults,
            kill_point: None,
        }
    }

    /// Returns the first fault of this kind that is active at `now`.
    pub(crate) fn active(&self, kind: FaultKind, now: Time) -> Option<&Fault> {
        self.faults
            .iter()
            .find(|f| f.kind == kind && f.starts_at <= now && now < f.ends_at)
    }

    /// Returns the end of a fault of this kind that is active at `now` for `target`.
    pub(crate) fn active_until(&self, kind: FaultKind, now: Time, target: usize) -> Option<Time> {
        self.faults
            .iter()
            .find(|f| f.kind == kind && f.target == target && f.starts_at <= now && now < f.ends_at)
            .map(|f| f.ends_at)
    }
}
