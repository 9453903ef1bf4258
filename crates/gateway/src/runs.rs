//! The table of active runs and the engines that they run on.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

use lentil_core::{EndpointId, ServiceName, Span, Time, TokenCount};
use lentil_fleet::PlacedRequest;
use lentil_handoff::{OrderOutcome, RunStatus};
use lentil_rollout::Version;
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::TryRecvError;

use crate::backups::Backup;
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
        permit: Box<Permit>,
        /// The copy.
        kv_copy: KvCopy,
    },
    /// It continues at the engine that stopped it, which retained its KV cache.
    AtSource {
        /// The retained KV cache.
        kv_copy: KvCopy,
    },
    /// Its engine says that it had already ended.
    Ended {
        /// When the engine's answer arrived.
        answered_at: Time,
    },
    /// The engine did not carry out the order.
    NotStopped,
    /// It is unknown whether the engine stopped it.
    Unsettled,
}

impl fmt::Display for Continuation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::FromCopy { .. } => "copied",
            Self::AtSource { .. } => "kept at its engine",
            Self::Ended { .. } => "no such run",
            Self::NotStopped => "not carried out",
            Self::Unsettled => "unknown",
        })
    }
}

/// An order to stop a run, from before it is sent until the relay has taken its outcome.
#[derive(Debug)]
pub(crate) struct Switch {
    outcome: oneshot::Receiver<Continuation>,
    /// Whether an earlier order may have stopped the run. A later one then finds no run.
    follows_unsettled: bool,
}

impl Switch {
    /// Waits for the outcome of the order.
    pub(crate) async fn outcome(self) -> Continuation {
        let outcome = self.outcome.await.unwrap_or(Continuation::Unsettled);
        match outcome {
            Continuation::Ended { .. } | Continuation::NotStopped if self.follows_unsettled => {
                Continuation::Unsettled
            }
            outcome => outcome,
        }
    }

    /// Returns whether another order may replace this one only as unsettled.
    fn is_unsettled(&mut self) -> bool {
        let outcome = match self.outcome.try_recv() {
            Ok(Continuation::FromCopy { .. } | Continuation::AtSource { .. }) => {
                OrderOutcome::Stopped
            }
            Ok(Continuation::Ended { .. }) => OrderOutcome::NoSuchRun,
            Ok(Continuation::NotStopped) => OrderOutcome::NotCarriedOut,
            Ok(Continuation::Unsettled) | Err(TryRecvError::Closed) => OrderOutcome::Unknown,
            Err(TryRecvError::Empty) => OrderOutcome::InFlight,
        };
        self.follows_unsettled || outcome.is_unsettled_if_replaced()
    }
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
    /// Longest pause between two events, if the route states one.
    pub(crate) gap_target: Option<Span>,
    /// Whether the first event has arrived.
    pub(crate) started: Cell<bool>,
    /// When the first event arrived.
    pub(crate) first_event_at: Cell<Time>,
    /// Output tokens since the first event.
    pub(crate) tokens_since_first: Cell<TokenCount>,
    /// The engine that receives copies of it.
    pub(crate) backup: RefCell<Option<Backup>>,
    switch: RefCell<Option<Switch>>,
    /// Whether an order to its present engine may yet stop it, though a later one was settled.
    unsettled: Cell<bool>,
    /// Whether its engine has stopped it, and it has not continued yet.
    pub(crate) stopped: Cell<bool>,
}

impl Run {
    /// Prepares to stop this run at its engine. The sender tells the relay how the
    /// run continues.
    pub(crate) fn prepare_switch(&self) -> oneshot::Sender<Continuation> {
        let (sender, outcome) = oneshot::channel();
        let earlier = self.switch.take();
        if earlier.is_some_and(|mut switch| switch.is_unsettled()) {
            self.unsettled.set(true);
        }
        self.switch.replace(Some(Switch {
            outcome,
            follows_unsettled: self.unsettled.get(),
        }));
        sender
    }

    /// Takes the switch announced by [`Self::prepare_switch`].
    pub(crate) fn take_switch(&self) -> Option<Switch> {
        self.switch.take()
    }

    /// Forgets orders to an engine that no longer has the run.
    pub(crate) fn clear_switch(&self) {
        self.switch.take();
        self.unsettled.set(false);
    }

    /// Returns whether a replaced order to its present engine may have stopped it.
    pub(crate) fn is_unsettled(&self) -> bool {
        self.unsettled.get()
    }

    /// Its status for the planner of moves.
    pub(crate) fn status(&self, now: Time) -> RunStatus<RunKey> {
        RunStatus {
            run: self.key,
            remaining_tokens: self.remaining_tokens.get(),
            started: self.started.get(),
            ends_in: self.ends_in(now),
        }
    }

    /// The time in which it ends if it goes on at its mean pace; `None` before its second
    /// event.
    fn ends_in(&self, now: Time) -> Option<Span> {
        let took_us = now.since(self.first_event_at.get()).as_us();
        let remaining = u64::from(self.remaining_tokens.get().get());
        let made = u64::from(self.tokens_since_first.get().get());
        let us = took_us.saturating_mul(remaining).checked_div(made)?;
        Some(Span::from_us(us))
    }

    /// The version of its engine's software when it was placed there.
    pub(crate) fn version(&self) -> Option<Version> {
        self.place.borrow().version.clone()
    }

    pub(crate) fn endpoint(&self) -> EndpointId {
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
        gap_target: Option<Span>,
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
            gap_target,
            started: Cell::new(false),
            first_event_at: Cell::new(Time::ZERO),
            tokens_since_first: Cell::default(),
            backup: RefCell::default(),
            switch: RefCell::default(),
            unsettled: Cell::default(),
            stopped: Cell::default(),
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

    /// Returns all runs.
    pub(crate) fn all(&self) -> Vec<Rc<Run>> {
        self.table.borrow().values().cloned().collect()
    }

    /// Returns the runs whose backup engine this is.
    pub(crate) fn with_backup_at(&self, endpoint: &EndpointId) -> Vec<Rc<Run>> {
        let is_there = |run: &&Rc<Run>| {
            let backup = run.backup.borrow();
            backup.as_ref().is_some_and(|it| it.endpoint == *endpoint)
        };
        let table = self.table.borrow();
        table.values().filter(is_there).cloned().collect()
    }

    /// Returns the run with the fewest tokens to come of those whose backup engine this is.
    pub(crate) fn cheapest_backup_at(&self, endpoint: &EndpointId) -> Option<Rc<Run>> {
        let runs = self.with_backup_at(endpoint).into_iter();
        runs.min_by_key(|run| (run.remaining_tokens.get(), run.key))
    }

    pub(crate) fn get(&self, key: RunKey) -> Option<Rc<Run>> {
        self.table.borrow().get(&key).cloned()
    }

    pub(crate) fn len(&self) -> usize {
        self.table.borrow().len()
    }
}
