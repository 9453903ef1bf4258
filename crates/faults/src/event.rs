//! Events of a call simulation, ordered by time.

use std::cmp::Ordering;

use lentil_core::{AttemptId, BootId, Fingerprint, Offset, Outcome, Time};
use lentil_once::{Answer, AppendResult, Batch, Call, EndpointResult, KeyDigest, Reply};

/// An agent process, identified by its endpoint and boot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ProcessId {
    pub(crate) endpoint: usize,
    pub(crate) boot: BootId,
}

/// Index of a request in the simulation's list of requests.
pub(crate) type RequestIndex = usize;

/// A message to an agent process.
#[derive(Debug, Clone)]
pub(crate) enum AgentMessage {
    Call(Call),
    Settle {
        attempt: AttemptId,
        key: KeyDigest,
        boot: BootId,
    },
    Appended {
        sequence: u64,
        result: AppendResult,
    },
    Read {
        from: Offset,
        batches: Vec<(Offset, Batch)>,
        next: Offset,
    },
    ReadFailed,
    Finished {
        claim: AttemptId,
        result: EndpointResult,
    },
    Tick,
}

/// A message to an entry about an attempt.
#[derive(Debug, Clone)]
pub(crate) enum EntryMessage {
    Reply(Reply),
    Settled(Outcome),
    LinkClosed,
    AttemptTimeout,
    SettleTimeout,
}

/// A request that an agent sent to its endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndpointCall {
    pub(crate) from: ProcessId,
    pub(crate) claim: AttemptId,
    pub(crate) attempt: AttemptId,
    pub(crate) key: KeyDigest,
    pub(crate) fingerprint: Fingerprint,
}

/// An event of the simulation.
#[derive(Debug, Clone)]
pub(crate) enum SimulationEvent {
    /// Delivers a message to the process that serves the endpoint at delivery time.
    DeliverToEndpoint(usize, AgentMessage),
    /// Delivers a message to one process, if it still exists.
    DeliverToProcess(ProcessId, AgentMessage),
    DeliverToEntry(RequestIndex, AttemptId, EntryMessage),
    CallerTimeout(RequestIndex),
    SendAttempt(RequestIndex),
    LogAppend(ProcessId, Batch),
    LogRead(ProcessId, Offset),
    EndpointExecute(EndpointCall),
    EndpointRespond(EndpointCall, Answer),
    StartFault(usize),
    RestartProcess(usize),
}

/// A scheduled event. Ordered by time, then by creation; reversed, because the queue is a max-heap.
#[derive(Debug)]
pub(crate) struct ScheduledEvent {
    pub(crate) at: Time,
    pub(crate) sequence: u64,
    pub(crate) event: SimulationEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}
