//! Streams that run, by the engine that makes them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use lentil_core::{EndpointId, ServiceName, TokenCount};
use lentil_fleet::PlacedRequest;
use tokio::sync::oneshot;

use crate::endpoints::KvCopy;
use crate::gateway::Permit;
use crate::request::RequestId;

/// Names a run within this process.
pub(crate) type RunKey = u64;

/// What becomes of a run whose engine was told to stop it.
#[derive(Debug)]
pub(crate) enum Continuation {
    /// It goes on from a copy.
    From {
        /// Where.
        permit: Permit,
        /// The copy.
        memory: KvCopy,
    },
    /// It goes on at the engine that stopped it, which keeps its memory.
    Back {
        /// What that engine keeps.
        memory: KvCopy,
    },
    /// It had ended by itself.
    Ended,
}

/// One stream that runs.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) key: RunKey,
    pub(crate) request: RequestId,
    pub(crate) service: ServiceName,
    pub(crate) place: RefCell<PlacedRequest>,
    /// Tokens of the prompt and those made so far.
    pub(crate) memory: Cell<TokenCount>,
    /// Tokens that are expected to follow.
    pub(crate) growth: Cell<TokenCount>,
    /// Whether its first event has come.
    pub(crate) begun: Cell<bool>,
    continuation: RefCell<Option<oneshot::Receiver<Continuation>>>,
}

impl Run {
    /// The engine is about to be told to stop this run.
    pub(crate) fn expect_switch(&self) -> oneshot::Sender<Continuation> {
        let (sender, receiver) = oneshot::channel();
        self.continuation.replace(Some(receiver));
        sender
    }

    /// What was announced by [`Self::expect_switch`].
    pub(crate) fn take_continuation(&self) -> Option<oneshot::Receiver<Continuation>> {
        self.continuation.take()
    }

    fn endpoint(&self) -> EndpointId {
        self.place.borrow().endpoint.clone()
    }
}

/// All streams that run.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    table: RefCell<BTreeMap<RunKey, Rc<Run>>>,
    next: Cell<RunKey>,
}

/// Keeps a run in the table.
#[derive(Debug)]
pub(crate) struct RunTicket {
    runs: Rc<Runs>,
    pub(crate) run: Rc<Run>,
}

impl Drop for RunTicket {
    fn drop(&mut self) {
        self.runs.table.borrow_mut().remove(&self.run.key);
    }
}

impl Runs {
    pub(crate) fn begin(
        self: &Rc<Self>,
        request: RequestId,
        service: ServiceName,
        place: PlacedRequest,
        (prompt, output): (TokenCount, TokenCount),
    ) -> RunTicket {
        let key = self.next.get();
        self.next.set(key + 1);
        let run = Rc::new(Run {
            key,
            request,
            service,
            place: RefCell::new(place),
            memory: Cell::new(prompt),
            growth: Cell::new(output),
            begun: Cell::new(false),
            continuation: RefCell::new(None),
        });
        self.table.borrow_mut().insert(key, Rc::clone(&run));
        RunTicket {
            runs: Rc::clone(self),
            run,
        }
    }

    /// Streams that this engine makes.
    pub(crate) fn at(&self, endpoint: &EndpointId) -> Vec<Rc<Run>> {
        self.table
            .borrow()
            .values()
            .filter(|run| run.endpoint() == *endpoint)
            .cloned()
            .collect()
    }

    pub(crate) fn get(&self, key: RunKey) -> Option<Rc<Run>> {
        self.table.borrow().get(&key).cloned()
    }

    pub(crate) fn len(&self) -> usize {
        self.table.borrow().len()
    }
}
