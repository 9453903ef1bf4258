//! What a call gets, by what is known of its key: one ordered table.

/// The standing claim of the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimState {
    /// The log has not been read far enough to know.
    Unread,
    /// None stands: there was none, it was released or it was void.
    None,
    /// One stands, for the same request.
    Held,
    /// One stands, for another request.
    HeldForOtherRequest,
    /// The key was left to the system that runs beside this one.
    OtherSystem,
}

/// The process that the standing claim names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutorState {
    /// This process, which still works on it.
    Local,
    /// Another process, not known to be replaced.
    Remote,
    /// Another process that does not answer.
    Unreachable,
    /// It was replaced, or this process lost sight of the endpoint's answer.
    Gone,
}

/// What is recorded of the execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeState {
    /// Nothing.
    None,
    /// It ran, and the whole answer is kept.
    AnswerKept,
    /// It ran, and the answer is gone.
    AnswerLost,
}

/// What the endpoint itself says of the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// It can't be asked, or does not answer.
    None,
    /// It ran the request.
    Ran,
    /// It did not run the request and refuses it from now on.
    Barred,
}

/// Everything the table looks at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecoveryInput {
    /// The claim.
    pub claim: ClaimState,
    /// Its executor.
    pub executor: ExecutorState,
    /// Its outcome.
    pub outcome: OutcomeState,
    /// The endpoint's evidence.
    pub evidence: Evidence,
}

/// What to do with the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecoveryAction {
    /// Wait until the log has been read.
    ReadLog,
    /// Refuse: the key is in use for another request. `not_run` is proved.
    Conflict,
    /// Refuse: the key belongs to the other system. `not_run` is proved.
    OtherSystem,
    /// Give the kept answer.
    Replay,
    /// Refuse with `ran`.
    Ran,
    /// Wait for the execution that goes on here.
    Join,
    /// Ask the executor.
    Follow,
    /// Claim the key, and run when the claim wins.
    Claim,
    /// Release the claim, then claim the key anew.
    ReleaseAndClaim,
    /// Refuse with `unknown`.
    Unknown,
}

/// One row of the table.
#[derive(Debug, Clone, Copy)]
pub struct RecoveryRow {
    /// A short name, used in counters and in the tests.
    pub name: &'static str,
    /// Whether the row applies.
    pub applies: fn(&RecoveryInput) -> bool,
    /// What to do then.
    pub step: RecoveryAction,
}

const fn row(
    name: &'static str,
    applies: fn(&RecoveryInput) -> bool,
    step: RecoveryAction,
) -> RecoveryRow {
    RecoveryRow {
        name,
        applies,
        step,
    }
}

/// The last row: nobody who knows answers.
const UNREACHABLE: RecoveryRow = row("executor_unreachable", |_| true, RecoveryAction::Unknown);

/// The rows in order; the first that applies decides.
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
    UNREACHABLE,
];

/// The first row that applies.
#[must_use]
pub fn select_recovery(situation: &RecoveryInput) -> RecoveryRow {
    RECOVERY_TABLE
        .into_iter()
        .find(|row| (row.applies)(situation))
        .unwrap_or(UNREACHABLE)
}
