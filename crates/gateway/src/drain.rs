//! Moving runs off an engine that is shutting down.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

use lentil_catalog::PriorityLevel;
use lentil_core::{EndpointId, Span, Time, TokenCount};
use lentil_fleet::{
    GenerationSize, LeavingEndpoint, PlacementRequest, VersionNeed, ZonePreference,
};
use lentil_handoff::{Action, MigrationPlanner, RunStatus};
use tokio::sync::oneshot;

use crate::endpoints::{CopyError, CopyRequest, KvCopy};
use crate::gateway::{Gateway, Permit};
use crate::link_lock::{LinkGuard, LinkLock};
use crate::runs::{Continuation, Run, RunKey};

/// How long an engine may outlive its expected shutdown.
const EXIT_GRACE: Span = Span::from_ms(300);

/// Number of candidate engines whose links are tried. If all are busy, the copy
/// goes to the first candidate anyway.
const RECEIVERS_PROBED_MAX: usize = 3;

/// Moves runs off one engine that is shutting down.
struct EngineDrain {
    gateway: Rc<Gateway>,
    leaving: LeavingEndpoint,
    plan: MigrationPlanner<RunKey>,
    link_lock: LinkLock,
    /// Engines to which moving a run has failed.
    rejected_by: BTreeMap<RunKey, Vec<EndpointId>>,
}

/// Lets one drain at a time give orders to an engine. Answers to the orders of two would be
/// taken for one another's.
#[derive(Debug, Default)]
pub(crate) struct DrainTurn {
    lock: tokio::sync::Mutex<()>,
    /// The number of the drain that was begun last. Earlier ones end after their present step.
    latest: Cell<u64>,
}

/// Moves runs off an engine until it has shut down.
pub(crate) async fn drain_engine(gateway: Rc<Gateway>, leaving: LeavingEndpoint) {
    let endpoint = leaving.endpoint.clone();
    let turn = {
        let mut drains = gateway.drains.borrow_mut();
        Rc::clone(drains.entry(endpoint.clone()).or_default())
    };
    let number = turn.latest.get() + 1;
    turn.latest.set(number);
    let _turn = turn.lock.lock().await;
    drain_in_turn(Rc::clone(&gateway), leaving, || turn.latest.get() == number).await;
    if turn.latest.get() == number {
        gateway.drains.borrow_mut().remove(&endpoint);
    }
}

/// Moves runs off an engine until it has shut down or another drain of it waits.
async fn drain_in_turn(
    gateway: Rc<Gateway>,
    leaving: LeavingEndpoint,
    is_latest: impl Fn() -> bool,
) {
    let mut drain = EngineDrain {
        plan: MigrationPlanner::new(leaving.terminates_at),
        link_lock: gateway.link_lock(leaving.address),
        gateway,
        leaving,
        rejected_by: BTreeMap::new(),
    };
    while is_latest()
        && let Some(terminates_at) = drain.terminates_at()
    {
        let now = drain.gateway.now();
        if (terminates_at + EXIT_GRACE).has_passed(now) {
            break;
        }
        drain.plan.set_terminates_at(terminates_at);
        match drain.plan.next_action(now, &drain.run_views()) {
            Action::LiveMigrate(key) => drain.move_run(key, true).await,
            Action::StopAndCopy(key) => drain.move_run(key, false).await,
            Action::Wait(until) => tokio::time::sleep(until.since(now).into()).await,
        }
    }
}

impl EngineDrain {
    fn terminates_at(&self) -> Option<Time> {
        self.gateway
            .fleet
            .borrow()
            .terminates_at(&self.leaving.endpoint)
    }

    /// The runs to move. A run that is stopped has to continue first: another order would
    /// find no run, and its outcome would replace the copy to continue from.
    fn run_views(&self) -> Vec<RunStatus<RunKey>> {
        self.gateway
            .runs
            .on_endpoint(&self.leaving.endpoint)
            .iter()
            .filter(|run| self.gateway.supports_moves(&run.service) && !run.stopped.get())
            .map(|run| self.run_status(run))
            .collect()
    }

    /// The status of a run. Without adaptive scheduling it does not say when the run ends, so
    /// that all runs are moved.
    fn run_status(&self, run: &Run) -> RunStatus<RunKey> {
        let mut status = run.status(self.gateway.now());
        if !self.gateway.fleet.borrow().is_adaptive(&run.service) {
            status.ends_in = None;
        }
        status
    }

    /// Reserves capacity for a run, preferably at an engine whose link is free.
    /// Concurrent copies to one engine share its link, so each takes as long as
    /// all of them together, and keeps the source's link locked for that time.
    async fn find_receiver(&self, run: &Run) -> Option<(Permit, Option<LinkGuard>)> {
        let mut busy = Vec::new();
        let mut fallback = None;
        for _ in 0..RECEIVERS_PROBED_MAX {
            let Some(permit) = self.find_target(run, &busy) else {
                break;
            };
            let mut link_lock = self.gateway.link_lock(permit.place.address);
            if let Some(link) = link_lock.acquire_soon(&self.gateway).await {
                return Some((permit, Some(link)));
            }
            busy.push(permit.place.endpoint.clone());
            fallback.get_or_insert(permit);
        }
        fallback.map(|permit| (permit, None))
    }

    /// Reserves capacity for a run at an engine that is not in `busy`.
    fn find_target(&self, run: &Run, busy: &[EndpointId]) -> Option<Permit> {
        let need = PlacementRequest {
            service: run.service.clone(),
            generation: Some(GenerationSize {
                prompt_tokens: run.cached_tokens.get(),
                expected_output_tokens: run.remaining_tokens.get(),
            }),
            zone_preference: ZonePreference::CopySource(self.leaving.zone.clone()),
            jitter_seed: run.request.stable_hash(),
            wanted_by: None,
            priority: PriorityLevel::default(),
            gap_target: run.gap_target,
            // Another version may not understand the copied memory either.
            version: VersionNeed::Only(run.version()),
        };
        let mut tried = self.rejected_by.get(&run.key).cloned().unwrap_or_default();
        tried.push(self.leaving.endpoint.clone());
        tried.extend_from_slice(busy);
        let permit = self
            .gateway
            .try_place(self.gateway.now(), &need, &tried)
            .ok()?;
        permit.record_progress(TokenCount::ZERO);
        Some(permit)
    }

    fn copy_request(&self, run: &Run, target: &Permit, stop: bool) -> CopyRequest {
        CopyRequest {
            source: self.leaving.address,
            request: run.request.clone(),
            target: target.place.address,
            stop_run: stop,
            deadline: self.terminates_at().unwrap_or(self.leaving.terminates_at) + EXIT_GRACE,
        }
    }

    /// Moves one run while holding the lock on the source's link. With
    /// `copy_first` the KV cache is copied while the run continues, before the
    /// switch.
    async fn move_run(&mut self, key: RunKey, copy_first: bool) {
        let terminates_at = self.terminates_at().unwrap_or(self.leaving.terminates_at);
        let _link = self.link_lock.acquire(&self.gateway, terminates_at).await;
        let Some(run) = self.gateway.runs.get(key) else {
            return;
        };
        if run.place.borrow().endpoint != self.leaving.endpoint {
            return;
        }
        let receiver = if copy_first {
            self.find_receiver(&run).await
        } else {
            self.find_target(&run, &[]).map(|permit| (permit, None))
        };
        let Some((permit, _receiver_link)) = receiver else {
            self.gateway.metrics.count_move("no_room");
            log::info!(request:% = run.request; "no engine has capacity for a run that must move");
            self.rejected_by.remove(&key);
            self.plan.record_failure(self.gateway.now(), key);
            return;
        };
        let kv_copy = if copy_first {
            match self.copy(&run, &permit).await {
                Some(kv_copy) => Some(kv_copy),
                None => return,
            }
        } else {
            None
        };
        self.switch(&run, permit, kv_copy).await;
    }

    async fn copy(&mut self, run: &Run, target: &Permit) -> Option<KvCopy> {
        let started_at = self.gateway.now();
        let request = self.copy_request(run, target, false);
        let result = self.gateway.endpoint_client.copy(request).await;
        let now = self.gateway.now();
        let took_ms = now.since(started_at).as_ms();
        let endpoint = &target.place.endpoint;
        match result {
            Ok(completed) => {
                self.gateway.metrics.count_move("copied");
                log::info!(request:% = run.request, to:% = endpoint, tokens = run.cached_tokens.get().get(), took_ms = took_ms; "KV cache copied to the target engine");
                Some(KvCopy {
                    source: self.leaving.address,
                    handle: completed.handle,
                })
            }
            Err(error) => {
                self.gateway.metrics.count_move("copy_failed");
                log::info!(request:% = run.request, to:% = endpoint, took_ms = took_ms; "KV cache not copied to the target engine: {error}");
                let rejected_by = self.rejected_by.entry(run.key).or_default();
                rejected_by.push(endpoint.clone());
                self.plan.record_failure(now, run.key);
                None
            }
        }
    }

    /// Stops a run so that it continues at the engine of `permit`, unless that engine has
    /// restarted or changed its version since it was chosen: the run would be lost.
    async fn switch(&mut self, run: &Run, permit: Permit, copy: Option<KvCopy>) {
        if !self.gateway.fleet.borrow().is_unchanged(&permit.place) {
            let endpoint = &permit.place.endpoint;
            log::info!(request:% = run.request, to:% = endpoint; "run not moved, as the target engine has changed");
            self.plan.record_failure(self.gateway.now(), run.key);
            self.release_copy(Some(permit), copy);
            return;
        }
        let request = self.copy_request(run, &permit, true);
        let continuation = run.prepare_switch();
        let started_at = self.gateway.now();
        let result = self.gateway.endpoint_client.copy(request).await;
        let now = self.gateway.now();
        let took_ms = now.since(started_at).as_ms();
        let endpoint = permit.place.endpoint.clone();
        match result {
            Ok(completed) => {
                self.gateway.metrics.count_move("switched");
                log::info!(request:% = run.request, to:% = endpoint, endpoint_version = permit.place.version_text(), took_ms = took_ms; "run continued at the target engine");
                let kv_copy = KvCopy {
                    source: self.leaving.address,
                    handle: completed.handle,
                };
                // Should the target not continue the run, it goes on at its source, and moves
                // again to another engine.
                self.rejected_by.entry(run.key).or_default().push(endpoint);
                self.plan.record_failure(now, run.key);
                let permit = Box::new(permit);
                let outcome = Continuation::FromCopy { permit, kv_copy };
                self.continue_stopped(run, continuation, outcome);
            }
            Err(CopyError::RunNotFound) => {
                self.plan.record_migrated(run.key);
                drop(continuation.send(Continuation::Ended { answered_at: now }));
                self.release_copy(Some(permit), copy);
            }
            Err(error) => {
                self.gateway.metrics.count_move("switch_failed");
                log::warn!(request:% = run.request, to:% = endpoint, took_ms = took_ms; "run not continued at the target engine: {error}");
                let rejected_by = self.rejected_by.entry(run.key).or_default();
                rejected_by.push(endpoint);
                self.plan.record_failure(now, run.key);
                let not_carried_out = matches!(error, CopyError::Busy | CopyError::NotSent(_));
                let retained = self.retained_copy(error);
                // Releasing a handle frees everything that the source keeps under it.
                let copy = copy.filter(|copy| retained.as_ref() != Some(copy));
                let outcome = match retained {
                    Some(kv_copy) => Continuation::AtSource { kv_copy },
                    None if not_carried_out => Continuation::NotStopped,
                    None => Continuation::Unsettled,
                };
                self.continue_stopped(run, continuation, outcome);
                self.release_copy(Some(permit), copy);
            }
        }
    }

    /// Tells the relay what came of an order. If it no longer waits for that, the run has ended
    /// or goes on elsewhere, and its memory is released.
    fn continue_stopped(
        &self,
        run: &Run,
        relay: oneshot::Sender<Continuation>,
        outcome: Continuation,
    ) {
        let stops = matches!(
            outcome,
            Continuation::FromCopy { .. } | Continuation::AtSource { .. }
        );
        let Err(untaken) = relay.send(outcome) else {
            if stops {
                run.stopped.set(true);
            }
            return;
        };
        match untaken {
            Continuation::FromCopy { permit, kv_copy } => {
                self.release_copy(Some(*permit), Some(kv_copy));
            }
            Continuation::AtSource { kv_copy } => self.release_copy(None, Some(kv_copy)),
            Continuation::Ended { .. } | Continuation::NotStopped | Continuation::Unsettled => {}
        }
    }

    /// Returns the KV cache that the source retains after a failed switch.
    fn retained_copy(&self, error: CopyError) -> Option<KvCopy> {
        let source = self.leaving.address;
        match error {
            CopyError::TargetUnavailable { handle } => {
                handle.map(|handle| KvCopy { source, handle })
            }
            CopyError::RunNotFound
            | CopyError::Busy
            | CopyError::NotSent(_)
            | CopyError::Unknown(_) => None,
        }
    }

    /// Releases an unused copy, and then the capacity that was reserved for it, if any.
    fn release_copy(&self, permit: Option<Permit>, copy: Option<KvCopy>) {
        let Some(kv_copy) = copy else {
            return;
        };
        let endpoints = Rc::clone(&self.gateway.endpoint_client);
        tokio::task::spawn_local(async move {
            endpoints.release(kv_copy).await;
            drop(permit);
        });
    }
}
