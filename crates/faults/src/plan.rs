//! Which faults happen in a run, and when.

use std::fmt;

use lentil_core::{Span, Time};
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

/// Whether the agents share one claim stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guard {
    /// They do, as in the product.
    On,
    /// Each sees only its own claims, so that every claim wins.
    Off,
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// An agent dies; another process takes its place later.
    AgentKill,
    /// An entry dies; its callers repeat at others.
    EntryKill,
    /// An agent stops between two instructions and goes on.
    AgentPause,
    /// An agent stops, is replaced, and the first goes on beside the second.
    PausedAndReplaced,
    /// Messages between entries and an agent stand still.
    LinkStall,
    /// Messages to and from an endpoint stand still.
    EndpointStall,
    /// Answers of the log are lost after it acted.
    LostLogAnswer,
    /// The log does not answer.
    LogOutage,
    /// Messages arrive twice.
    Duplicate,
    /// Messages arrive late and out of order.
    Delay,
}

impl FaultKind {
    /// All kinds.
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

/// One fault in a run.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// From when.
    pub starts_at: Time,
    /// Until when.
    pub ends_at: Time,
    /// Which agent, or which entry.
    pub target: usize,
}

/// A point in an agent's work at which it is killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KillPoint {
    /// Before its claim leaves.
    BeforeClaimAppend,
    /// With its claim on the way: it is stored before the successor starts.
    ClaimStoredBeforeRestart,
    /// With its claim on the way: it is stored after the successor started.
    ClaimStoredAfterRestart,
    /// After its claim won, before the request leaves.
    BeforeSend,
    /// After the request left, before the answer arrives.
    BeforeAnswer,
    /// After the answer, before the outcome is in the log.
    BeforeOutcomeRecord,
    /// After the outcome is in the log.
    AfterOutcomeRecord,
    /// After it gave up its claim and the log says so.
    AfterRelease,
}

/// The faults of a run.
#[derive(Debug, Clone, Default)]
pub struct FaultPlan {
    /// Faults at points in time.
    pub faults: Vec<Fault>,
    /// A kill of the first agent at a point in its work.
    pub kill_point: Option<KillPoint>,
}

/// Longest fault.
const FAULT_MAX: Span = Span::from_s(6);

impl FaultPlan {
    /// Draws when and where each kind happens, within `horizon`.
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

    /// Whether a fault of this kind is on at `now`.
    pub(crate) fn active(&self, kind: FaultKind, now: Time) -> Option<&Fault> {
        self.faults
            .iter()
            .find(|f| f.kind == kind && f.starts_at <= now && now < f.ends_at)
    }

    /// Whether it is on for one victim.
    pub(crate) fn hits(&self, kind: FaultKind, now: Time, victim: usize) -> Option<Time> {
        self.faults
            .iter()
            .find(|f| f.kind == kind && f.target == victim && f.starts_at <= now && now < f.ends_at)
            .map(|f| f.ends_at)
    }
}
