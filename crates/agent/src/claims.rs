//! The claims thread, which lets the log decide which keyed calls run here.
//!
//! It drives [`lentil_once::ClaimStateMachine`], which holds all the rules. A
//! keyed call waits here until the state machine runs it, then goes through
//! admission like any other request.

mod codec;
mod runner;
mod stream;

use lentil_core::{AttemptId, BootId, Offset, Outcome, RequestKey};
use lentil_once::{AppendResult, Batch, EndpointResult};
use lentil_wire::v1;
use tokio::sync::oneshot;

use crate::request::ServiceCall;

pub(crate) use runner::run;

/// Commands to the claims thread, from other threads and from its own tasks.
#[derive(Debug)]
pub(crate) enum ClaimCommand {
    /// A keyed call arrived.
    Call {
        call: ServiceCall,
        key: RequestKey,
        boot: BootId,
        reply: oneshot::Sender<v1::CallReply>,
    },
    /// An entry asks for the outcome of an attempt.
    Settle {
        attempt: AttemptId,
        key: RequestKey,
        boot: BootId,
        reply: oneshot::Sender<Outcome>,
    },
    /// The endpoint has finished a claim's request.
    Finished {
        claim: AttemptId,
        result: EndpointResult,
    },
    /// An append to the log completed, or received no answer.
    Appended { sequence: u64, result: AppendResult },
    /// A read from the log completed.
    Read {
        from: Offset,
        batches: Vec<(Offset, Batch)>,
        next: Offset,
        first: Offset,
    },
    /// A read from the log failed.
    ReadFailed,
    /// The process is stopping: refuse new calls and signal `done` once the log
    /// holds all results.
    Drain {
        done: std::sync::mpsc::SyncSender<()>,
    },
}
