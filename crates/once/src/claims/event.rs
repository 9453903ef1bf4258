//! Events, actions and limits of the claim state machine.

use lentil_core::{AttemptId, BootId, Fingerprint, Offset, Outcome, Refusal, Span, Time};

use crate::batcher::AppendResult;
use crate::key_share::KeyShare;
use crate::record::{Answer, Batch, Executor, KeyDigest};
use crate::recovery::Evidence;

/// Limits and intervals of [`crate::ClaimStateMachine`].
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of waiting attempts, and of keys in progress; further calls are refused.
    pub calls_max: usize,
    /// Maximum number of attempts kept before the epoch advances.
    pub attempts_max: usize,
    /// Maximum number of keys held; calls with further keys are refused.
    pub keys_max: usize,
    /// Maximum number of records in a batch; the rest goes into the next batch.
    pub records_max: usize,
    /// Maximum size of all kept answers; the oldest are dropped first.
    pub answers_max_bytes: usize,
    /// Maximum size of an answer that is written to the log.
    pub inline_max_bytes: usize,
    /// Minimum time between two appends of this process.
    pub append_interval: Span,
    /// Maximum delay of a record that no attempt waits for.
    pub linger: Span,
    /// Time after the append of a batch at which the log counts as unavailable if the batch has not
    /// been read back.
    pub outage_after: Span,
    /// Time between two reads of the log when no claim is pending.
    pub poll_interval: Span,
    /// Interval at which the executor's start record is appended again; it must be well below the
    /// retention time of the log.
    pub refresh_interval: Span,
    /// Retry delay given to callers during an outage of the log.
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

/// A call with an idempotency key, as received by the agent.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Digest of the idempotency key.
    pub key: KeyDigest,
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// The boot that the call was sent for.
    pub boot: BootId,
    /// Deadline of the attempt, on this process's clock.
    pub expires: Time,
    /// The share of keys that belongs to this system.
    pub share: KeyShare,
    /// What the endpoint reported about the key, if it can be asked.
    pub evidence: Evidence,
}

/// Result of handing a request to the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointResult {
    /// The endpoint answered.
    Answered(Answer),
    /// No byte of the request reached the endpoint.
    NotSent,
    /// The connection broke after sending of the request had begun.
    ConnectionBroken,
}

/// Input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// A call arrived.
    Call(Call),
    /// An entry lost its connection and asks for the outcome of an attempt.
    Settle {
        /// Identifier of the attempt.
        attempt: AttemptId,
        /// Key of the attempt.
        key: KeyDigest,
        /// The boot that the attempt was sent for.
        boot: BootId,
    },
    /// An append was answered, or failed without an answer.
    Appended {
        /// Sequence number of the batch.
        sequence: u64,
        /// Result of the append.
        result: AppendResult,
    },
    /// The log answered a read.
    Read {
        /// Offset at which the read began.
        from: Offset,
        /// Batches with their offsets.
        batches: Vec<(Offset, Batch)>,
        /// Offset of the next read.
        next: Offset,
        /// First offset that the log still holds.
        first: Offset,
    },
    /// A read of the log failed.
    ReadFailed,
    /// The endpoint has finished the request of a claim.
    Finished {
        /// Identifier of the claim.
        claim: AttemptId,
        /// Result from the endpoint.
        result: EndpointResult,
    },
    /// Time has passed.
    Tick,
}

/// The reply to an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The endpoint answered.
    Answered {
        /// The endpoint's answer.
        answer: Answer,
        /// Whether the answer is from the execution of another attempt.
        replayed: bool,
    },
    /// The attempt is refused.
    Refused(Refusal),
    /// Another process holds the key.
    Follow(Executor),
}

/// Output of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append a batch to the claim stream.
    Append(Batch),
    /// Read the claim stream.
    Read {
        /// Offset at which the read begins.
        from: Offset,
    },
    /// Hand the request of `attempt` to the endpoint immediately and exactly once.
    Run {
        /// The claim under which the request runs, to be named in [`Event::Finished`].
        claim: AttemptId,
        /// The attempt whose request is sent.
        attempt: AttemptId,
    },
    /// Reply to an attempt.
    Reply {
        /// The attempt.
        attempt: AttemptId,
        /// The reply.
        reply: Reply,
    },
    /// Answer an entry's request for the outcome of an attempt.
    Settled {
        /// The attempt asked about.
        attempt: AttemptId,
        /// The outcome as known now. `NotRun` is final.
        outcome: Outcome,
    },
    /// A later boot has replaced this process, which must not accept further keyed calls.
    Fenced,
}

/// Counters of the state machine since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests handed to the endpoint.
    pub runs: u64,
    /// Replies with the answer of an earlier execution.
    pub replays: u64,
    /// Attempts that joined an execution in progress.
    pub joins: u64,
    /// Refusals with proof that the attempt did not run.
    pub not_run: u64,
    /// Refusals with outcome `ran`.
    pub ran: u64,
    /// Refusals with outcome `unknown`.
    pub unknown: u64,
    /// Claims that lost to a claim of another process.
    pub lost_claims: u64,
    /// Appends that were not answered.
    pub lost_answers: u64,
    /// Refusals because the log was unavailable.
    pub log_unavailable: u64,
    /// Refusals because of a limit on calls or keys.
    pub over_limit: u64,
    /// Appends sent, including retries.
    pub appends: u64,
    /// Number of epoch advances.
    pub epoch_advances: u64,
}
