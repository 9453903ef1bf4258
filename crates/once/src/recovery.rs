//! Ordered decision table for calls, based on what is known of the key.

/// State of the claim that holds the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimState {
    /// The log has not been read far enough to decide.
    Unread,
    /// No claim holds the key: none was made, or it was released or void.
    None,
    /// A claim for the same request holds the key.
    Held,
    /// A claim for another request holds the key.
    HeldForOtherRequest,
    /// The key was recorded as belonging to the other system that runs beside this one.
    OtherSystem,
}

/// State of the process that made the claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutorState {
    /// This process, and it is still working on the key.
    Local,
    /// Another process, not known to be replaced.
    Remote,
    /// Another process that does not respond.
    Unreachable,
    /// The process was replaced, or it is this process and it did not learn the outcome from the
    /// endpoint.
    Gone,
}

/// Recorded outcome of the execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeState {
    /// No outcome is recorded.
    None,
    /// The request ran, and the complete answer is available.
    AnswerKept,
    /// The request ran, and the answer is no longer available.
    AnswerLost,
}

/// What the endpoint itself reports about the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// The endpoint can't be asked or does not respond.
    None,
    /// The endpoint ran the request.
    Ran,
    /// The endpoint did not run the request and will refuse it from now on.
    Barred,
}

/// Input of the decision table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecoveryInput {
    /// State of the claim.
    pub claim: ClaimState,
    /// State of the executor.
    pub executor: ExecutorState,
    /// Recorded outcome.
    pub outcome: OutcomeState,
    /// Evidence from the endpoint.
    pub evidence: Evidence,
}

/// How to handle the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecoveryAction {
    /// Wait until the log has been read.
    ReadLog,
    /// Refuse: the key is in use for another request. `not_run` is proven.
    Conflict,
    /// Refuse: the key belongs to the other system. `not_run` is proven.
    OtherSystem,
    /// Return the stored answer.
    Replay,
    /// Refuse with outcome `ran`.
    Ran,
    /// Wait for the execution in progress in this process.
    Join,
    /// Refer the call to the executor.
    Follow,
    /// Claim the key, and run the request if the claim wins.
    Claim,
    /// Release the claim, then claim the key again.
    ReleaseAndClaim,
    /// Refuse with outcome `unknown`.
    Unknown,
}

/// A row of the decision table.
#[derive(Debug, Clone, Copy)]
pub struct RecoveryRow {
    /// Short name, used in counters and in tests.
    pub name: &'static str,
    /// Whether the row matches the input.
    pub applies: fn(&RecoveryInput) -> bool,
    /// How to handle the call if the row matches.
    pub action: RecoveryAction,
}

const fn row(
    name: &'static str,
    applies: fn(&RecoveryInput) -> bool,
    action: RecoveryAction,
) -> RecoveryRow {
    RecoveryRow {
        name,
        applies,
        action,
    }
}

/// The last row: no process that knows the outcome responds.
const FALLBACK_ROW: RecoveryRow = row("executor_unreachable", |_| true, RecoveryAction::Unknown);

/// The rows in order; the first one that matches decides.
pub const RECOVERY_TABLE: [RecoveryRow; 12] = [
    row(
        "unread",
        |s| s.claim == ClaimState::Unread,
        RecoveryAction::ReadLog,
    ),
    row(
        "free",
        |s| s.claim == ClaimState::None,
        RecoveryAction::Claim,
    ),
    row(
        "other_request",
        |s| s.claim == ClaimState::HeldForOtherRequest,
        RecoveryAction::Conflict,
    ),
    row(
        "other_system",
        |s| s.claim == ClaimState::OtherSystem,
        RecoveryAction::OtherSystem,
    ),
    row(
        "answer_kept",
        |s| s.outcome == OutcomeState::AnswerKept,
        RecoveryAction::Replay,
    ),
    row(
        "answer_lost",
        |s| s.outcome == OutcomeState::AnswerLost,
        RecoveryAction::Ran,
    ),
    row(
        "running_here",
        |s| s.executor == ExecutorState::Local,
        RecoveryAction::Join,
    ),
    row(
        "running_away",
        |s| s.executor == ExecutorState::Remote,
        RecoveryAction::Follow,
    ),
    row(
        "endpoint_ran",
        |s| s.evidence == Evidence::Ran,
        RecoveryAction::Ran,
    ),
    row(
        "endpoint_barred",
        |s| s.executor == ExecutorState::Gone && s.evidence == Evidence::Barred,
        RecoveryAction::ReleaseAndClaim,
    ),
    row(
        "executor_gone",
        |s| s.executor == ExecutorState::Gone,
        RecoveryAction::Unknown,
    ),
    FALLBACK_ROW,
];

/// Returns the first row that matches.
#[must_use]
pub fn select_recovery(input: &RecoveryInput) -> RecoveryRow {
    RECOVERY_TABLE
        .into_iter()
        .find(|row| (row.applies)(input))
        .unwrap_or(FALLBACK_ROW)
}
