//! At most one execution for each idempotency key, decided by the order of claims in the platform's
//! log.
//!
//! An agent appends a claim for a key and runs the request only after it has read its own claim
//! from the log as the first valid one. [`ClaimStateMachine`] is the agent's state machine,
//! [`ClaimLedger`] derives the state of all keys from the log, [`select_recovery`] decides how a
//! repeated call is handled, and [`CallTracker`] tracks the attempts of a call at the entry.

mod active_keys;
mod attempt_registry;
mod batcher;
mod claims;
mod key_share;
mod ledger;
mod record;
mod recovery;
mod tracker;

pub use attempt_registry::{Admission, AttemptRegistry, AttemptState};
pub use batcher::AppendResult;
pub use claims::{Action, Call, ClaimStateMachine, Counters, EndpointResult, Event, Limits, Reply};
pub use key_share::{KeyOwner, KeyShare, ShareError, SharePhase};
pub use ledger::{ClaimDecision, ClaimLedger, DecisionKind, Holder, HolderState};
pub use record::{Answer, Batch, Executor, KeyDigest, Record};
pub use recovery::{
    ClaimState, Evidence, ExecutorState, OutcomeState, RECOVERY_TABLE, RecoveryAction,
    RecoveryInput, RecoveryRow, select_recovery,
};
pub use tracker::{AttemptReport, CallTracker, NextStep};
