//! The thread that lets the log decide which keyed call runs here.
//!
//! It drives [`ClaimStateMachine`] and holds no rule of its own: requests wait here until
//! the machine says that they run, then take the same way as all others.

mod codec;
mod duty;
mod stream;

use lentil_core::{AttemptId, BootId, Offset, Outcome, RequestKey};
use lentil_once::{AppendResult, Batch, EndpointResult};
use lentil_wire::v1;
use tokio::sync::oneshot;

use crate::work::ServiceCall;

pub(crate) use duty::run;

/// What other threads, and the thread's own tasks, tell the claims thread.
#[derive(Debug)]
pub(crate) enum ClaimCommand {
    /// A keyed call came in.
    Call {
        call: ServiceCall,
        key: RequestKey,
        boot: BootId,
        reply: oneshot::Sender<v1::CallReply>,
    },
    /// An entry asks what became of an attempt.
    Settle {
        attempt: AttemptId,
        key: RequestKey,
        boot: BootId,
        reply: oneshot::Sender<Outcome>,
    },
    /// The endpoint is done with a claim's request.
    Finished {
        claim: AttemptId,
        result: EndpointResult,
    },
    /// The log answered an append, or did not.
    Appended { sequence: u64, result: AppendResult },
    /// The log answered a read.
    Read {
        from: Offset,
        batches: Vec<(Offset, Batch)>,
        next: Offset,
        first: Offset,
    },
    /// The log did not answer a read.
    ReadFailed,
    /// The process stops: take nothing new, say when all is in the log.
    Drain {
        done: std::sync::mpsc::SyncSender<()>,
    },
}
