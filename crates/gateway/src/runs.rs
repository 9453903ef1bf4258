//! The table of active runs and the engines that they run on.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use lentil_core::{EndpointId, ServiceName, TokenCount};
use lentil_fleet::PlacedRequest;
use tokio::sync::oneshot;

use crate::endpoints::KvCopy;
use crate::gateway::Permit;
use crate::request::RequestId;

/// Identifies a run within this process.
pub(crate) type RunKey = u64;

/// How a run continues after its engine was told to stop it.
#[derive(Debug)]
pub(crate) enum Continuation {
    /// It continues at another engine, from a copy of its KV cache.
    FromCopy {
        /// The capacity reserved at that engine.
        permit: Permit,
        /// The copy.
        kv_copy: KvCopy,
    },
    /// It continues at the engine that stopped it, which retained its KV cache.
    AtSource {
        /// The retained KV cache.
        kv_copy: KvCopy,
    },
    /// It had already ended.
    Ended,
}

/// An active run: a generation whose events are forwarded to a caller.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) key: RunKey,
    pub(crate) request: RequestId,
    pub(crate) service: ServiceName,
    pub(crate) place: RefCell<PlacedRequest>,
    /// Tokens in the KV cache: the prompt and the output so far.
    pub(crate) cached_tokens: Cell<TokenCount>,
    /// Output tokens that are still expected.
    pub(crate) remaining_tokens: Cell<TokenCount>,
    /// Whether the first event has arrived.
    pub(crate) started: Cell<bool>,
    continuation: RefCell<Option<oneshot::Receiver<Continuation>>>,
}

impl Run {
    /// Prepares to stop this run at its engine. The sender tells the relay how the
    /// run continues.
    pub(crate) fn prepare_switch(&self) -> oneshot::Sender<Continuation> {
        let (sender, receiver) = oneshot::channel();
        self.continuation.replace(Some(receiver));
        sender
    }

    /// Takes the receiver of a switch announced by [`Self::prepare_switch`].
    pub(crate) fn take_continuation(&self) -> Option<oneshot::Receiver<Continuation>> {
        self.continuation.take()
    }

    fn endpoint(&self) -> EndpointId {
        self.place.borrow().endpoint.clone()
    }
}

/// All active runs.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    table: RefCell<BTreeMap<RunKey, Rc<Run>>>,
    next_key: Cell<RunKey>,
}

/// Removes the run from the table when dropped.
#[derive(Debug)]
pub(crate) struct RunGuard {
    runs: Rc<Runs>,
    pub(crate) run: Rc<Run>,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.runs.table.borrow_mut().remove(&self.run.key);
    }
}

impl Runs {
    pub(crate) fn register(
        self: &Rc<Self>,
        request: RequestId,
        service: ServiceName,
        place: PlacedRequest,
        (prompt, output): (TokenCount, TokenCount),
    ) -> RunGuard {
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        let run = Rc::new(Run {
            key,
            request,
            service,
            place: RefCell::new(place),
            cached_tokens: Cell::new(prompt),
            remaining_tokens: Cell::new(output),
            started: Cell::new(false),
            continuation: RefCell::new(None),
        });
        self.table.borrow_mut().insert(key, Rc::clone(&run));
        RunGuard {
            runs: Rc::clone(self),
            run,
        }
    }

    /// Returns the runs on this engine.
    pub(crate) fn on_endpoint(&self, endpoint: &EndpointId) -> Vec<Rc<Run>> {
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
