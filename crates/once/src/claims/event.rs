//! What the machine is told and what it asks for.

use lentil_core::{AttemptId, BootId, Fingerprint, Offset, Outcome, Refusal, Span, Time};

use crate::batcher::AppendResult;
use crate::key_share::KeyShare;
use crate::record::{Answer, Batch, Executor, KeyDigest};
use crate::recovery::Evidence;

/// Bounds and paces of [`crate::ClaimStateMachine`].
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Most attempts that wait, and most keys in work; more are refused.
    pub calls_max: usize,
    /// Most attempts remembered before the epoch rises.
    pub attempts_max: usize,
    /// Most keys remembered; new keys are refused beyond.
    pub keys_max: usize,
    /// Most records in a batch; the rest waits for the next.
    pub records_max: usize,
    /// Most bytes of kept answers; the oldest are dropped beyond.
    pub answers_max_bytes: usize,
    /// Longest answer that goes into the log.
    pub inline_max_bytes: usize,
    /// Least time between two appends of this process.
    pub append_interval: Span,
    /// Longest wait of records that nobody waits for.
    pub linger: Span,
    /// Time without an answer after which the log counts as unavailable.
    pub outage_after: Span,
    /// Time between two readings of the log when nothing waits.
    pub poll_interval: Span,
    /// Time after which the executor's start is written again; well below the
    /// log's retention.
    pub refresh_interval: Span,
    /// When callers are told to come back during an outage of the log.
    pub outage_retry_after: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            calls_max: 1024,
            attempts_max: 65_536,
            keys_max: 220_000,
            records_max: 512,
            answers_max_bytes: 8 * 1024 * 1024,
            inline_max_bytes: 1024,
            append_interval: Span::from_ms(20),
            linger: Span::from_ms(200),
            outage_after: Span::from_ms(1500),
            poll_interval: Span::from_ms(1000),
            refresh_interval: Span::from_s(3600),
            outage_retry_after: Span::from_s(5),
        }
    }
}

/// A call that must not repeat, as it arrives at the agent.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its key.
    pub key: KeyDigest,
    /// The digest of its request.
    pub fingerprint: Fingerprint,
    /// The boot it is meant for.
    pub boot: BootId,
    /// When nobody waits for it any more, on this process's clock.
    pub expires: Time,
    /// Which keys belong here.
    pub share: KeyShare,
    /// What the endpoint said of the key, where it can be asked.
    pub evidence: Evidence,
}

/// What came of handing a request to the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointResult {
    /// It answered.
    Answered(Answer),
    /// Not one byte of the request reached it.
    NotSent,
    /// The link broke after the request had begun to go out.
    ConnectionBroken,
}

/// What the machine is told.
#[derive(Debug, Clone)]
pub enum Event {
    /// A call arrived.
    Call(Call),
    /// An entry lost its link and asks what became of an attempt.
    Settle {
        /// The attempt.
        attempt: AttemptId,
        /// Its key.
        key: KeyDigest,
        /// The boot it was meant for.
        boot: BootId,
    },
    /// The log answered an append, or did not.
    Appended {
        /// Which batch.
        sequence: u64,
        /// What it said.
        result: AppendResult,
    },
    /// The log answered a read.
    Read {
        /// Where the read began.
        from: Offset,
        /// What stands there.
        batches: Vec<(Offset, Batch)>,
        /// Where the next read begins.
        next: Offset,
        /// The first offset that the log still holds.
        first: Offset,
    },
    /// The log did not answer a read.
    ReadFailed,
    /// The endpoint is done with a claim's request.
    Finished {
        /// The claim.
        claim: AttemptId,
        /// What came of it.
        result: EndpointResult,
    },
    /// Time went by.
    Tick,
}

/// The answer to an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The endpoint's answer.
    Answered {
        /// The answer.
        answer: Answer,
        /// Whether another attempt's execution gave it.
        replayed: bool,
    },
    /// A refusal.
    Refused(Refusal),
    /// Another process works on the key, or did.
    Follow(Executor),
}

/// What the machine asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append a batch to the claim stream.
    Append(Batch),
    /// Read the claim stream.
    Read {
        /// From this offset on.
        from: Offset,
    },
    /// Hand the request of `attempt` to the endpoint, now and once.
    Run {
        /// The claim it runs under, named in [`Event::Finished`].
        claim: AttemptId,
        /// Whose request it is.
        attempt: AttemptId,
    },
    /// Answer an attempt.
    Reply {
        /// Whom.
        attempt: AttemptId,
        /// What.
        reply: Reply,
    },
    /// Answer an entry's question.
    Settled {
        /// The attempt asked for.
        attempt: AttemptId,
        /// What is known of it. `NotRun` holds for all time.
        outcome: Outcome,
    },
    /// A later boot has taken over: take no more keyed calls.
    Fenced,
}

/// What happened so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests handed to the endpoint.
    pub runs: u64,
    /// Answers given from an earlier execution.
    pub replays: u64,
    /// Attempts that joined one in work.
    pub joins: u64,
    /// Refusals with a proof that the attempt did not run.
    pub not_run: u64,
    /// Refusals with `ran`.
    pub ran: u64,
    /// Refusals with `unknown`.
    pub unknown: u64,
    /// Claims that another process had won.
    pub lost_claims: u64,
    /// Appends whose answer did not come.
    pub lost_answers: u64,
    /// Refusals because the log was unavailable.
    pub log_unavailable: u64,
    /// Refusals because a table was full.
    pub full: u64,
    /// Appends sent, repeats included.
    pub appends: u64,
    /// How often the epoch rose.
    pub epochs: u64,
}
