//! Carrying out moves of running generations off one leaving engine.

use std::collections::BTreeMap;
use std::rc::Rc;

use lentil_core::{EndpointId, Span, Time, TokenCount};
use lentil_fleet::{GenerationSize, LeavingEndpoint, PlacementRequest, ZonePreference};
use lentil_handoff::{Action, MigrationPlanner, RunStatus};

use crate::endpoints::{CopyError, CopyRequest, KvCopy};
use crate::gateway::{Gateway, Permit};
use crate::runs::{Continuation, Run, RunKey};
use crate::turns::{Turn, Turns};

/// How long after its expected end an engine may still be there.
const AFTER_END: Span = Span::from_ms(300);

/// Engines that are asked whether their links are free before a copy is sent to
/// the first of them anyway.
const RECEIVERS_ASKED: usize = 3;

/// One leaving engine.
struct Mover {
    gateway: Rc<Gateway>,
    leaving: LeavingEndpoint,
    plan: MigrationPlanner<RunKey>,
    turns: Turns,
    /// Engines that did not take a run.
    declined: BTreeMap<RunKey, Vec<EndpointId>>,
}

/// Moves runs off a leaving engine until it is gone.
pub(crate) async fn depart(gateway: Rc<Gateway>, leaving: LeavingEndpoint) {
    let mut mover = Mover {
        plan: MigrationPlanner::new(leaving.terminates_at),
        turns: gateway.turns_at(leaving.address),
        gateway,
        leaving,
        declined: BTreeMap::new(),
    };
    while let Some(gone_at) = mover.gone_at() {
        let now = mover.gateway.now();
        if (gone_at + AFTER_END).has_passed(now) {
            break;
        }
        mover.plan.set_terminates_at(gone_at);
        match mover.plan.next_action(now, &mover.views()) {
            Action::LiveMigrate(key) => mover.take_turn(key, true).await,
            Action::StopAndCopy(key) => mover.take_turn(key, false).await,
            Action::Wait(until) => tokio::time::sleep(until.since(now).into()).await,
        }
    }
}

impl Mover {
    fn gone_at(&self) -> Option<Time> {
        self.gateway
            .fleet
            .borrow()
            .terminates_at(&self.leaving.endpoint)
    }

    fn views(&self) -> Vec<RunStatus<RunKey>> {
        self.gateway
            .runs
            .at(&self.leaving.endpoint)
            .iter()
            .filter(|run| self.gateway.moves(&run.service))
            .map(|run| RunStatus {
                run: run.key,
                remaining_tokens: run.growth.get(),
                started: run.begun.get(),
            })
            .collect()
    }

    /// A place for a run's memory at an engine whose link is free, if there is one:
    /// copies that meet at an engine take as long as all of them together, and
    /// the leaving engine's link waits for them.
    async fn find_receiver(&self, run: &Run) -> Option<(Permit, Option<Turn>)> {
        let mut busy = Vec::new();
        let mut first = None;
        for _ in 0..RECEIVERS_ASKED {
            let Some(permit) = self.find_target(run, &busy) else {
                break;
            };
            let mut turns = self.gateway.turns_at(permit.place.address);
            if let Some(turn) = turns.hold_soon(&self.gateway).await {
                return Some((permit, Some(turn)));
            }
            busy.push(permit.place.endpoint.clone());
            first.get_or_insert(permit);
        }
        first.map(|permit| (permit, None))
    }

    /// A place for a run's memory at another engine than these.
    fn find_target(&self, run: &Run, busy: &[EndpointId]) -> Option<Permit> {
        let need = PlacementRequest {
            service: run.service.clone(),
            generation: Some(GenerationSize {
                prompt_tokens: run.memory.get(),
                expected_output_tokens: run.growth.get(),
            }),
            zone_preference: ZonePreference::CopySource(self.leaving.zone.clone()),
            jitter_seed: run.request.stable_hash(),
        };
        let mut tried = self.declined.get(&run.key).cloned().unwrap_or_default();
        tried.push(self.leaving.endpoint.clone());
        tried.extend_from_slice(busy);
        let permit = self
            .gateway
            .try_place(self.gateway.now(), &need, &tried)
            .ok()?;
        permit.progress(TokenCount::ZERO);
        Some(permit)
    }

    fn order(&self, run: &Run, target: &Permit, stop: bool) -> CopyRequest {
        CopyRequest {
            source: self.leaving.address,
            request: run.request.clone(),
            target: target.place.address,
            stop_run: stop,
            deadline: self.gone_at().unwrap_or(self.leaving.terminates_at) + AFTER_END,
        }
    }

    /// Moves one run, alone on the engine's link.
    async fn take_turn(&mut self, key: RunKey, copies_first: bool) {
        let gone_at = self.gone_at().unwrap_or(self.leaving.terminates_at);
        let _turn = self.turns.hold(&self.gateway, gone_at).await;
        let Some(run) = self.gateway.runs.get(key) else {
            return;
        };
        if run.place.borrow().endpoint != self.leaving.endpoint {
            return;
        }
        let receiver = if copies_first {
            self.find_receiver(&run).await
        } else {
            self.find_target(&run, &[]).map(|permit| (permit, None))
        };
        let Some((permit, _receiving)) = receiver else {
            self.gateway.counters.moved("no_room");
            log::info!(request:% = run.request; "no engine has room for a run that must move");
            self.declined.remove(&key);
            self.plan.record_failure(self.gateway.now(), key);
            return;
        };
        let memory = if copies_first {
            match self.copy(&run, &permit).await {
                Some(memory) => Some(memory),
                None => return,
            }
        } else {
            None
        };
        self.switch(&run, permit, memory).await;
    }

    async fn copy(&mut self, run: &Run, target: &Permit) -> Option<KvCopy> {
        let began = self.gateway.now();
        let order = self.order(run, target, false);
        let result = self.gateway.endpoints.copy(order).await;
        let now = self.gateway.now();
        let took_ms = now.since(began).as_ms();
        let endpoint = &target.place.endpoint;
        match result {
            Ok(copied) => {
                self.gateway.counters.moved("copied");
                log::info!(request:% = run.request, to:% = endpoint, tokens = run.memory.get().get(), took_ms = took_ms; "run copied");
                Some(KvCopy {
                    source: self.leaving.address,
                    handle: copied.handle,
                })
            }
            Err(error) => {
                self.gateway.counters.moved("copy_failed");
                log::info!(request:% = run.request, to:% = endpoint, took_ms = took_ms; "run not copied: {error}");
                let declined = self.declined.entry(run.key).or_default();
                declined.push(endpoint.clone());
                self.plan.record_failure(now, run.key);
                None
            }
        }
    }

    async fn switch(&mut self, run: &Run, permit: Permit, copy: Option<KvCopy>) {
        let order = self.order(run, &permit, true);
        let word = run.expect_switch();
        let began = self.gateway.now();
        let result = self.gateway.endpoints.copy(order).await;
        let now = self.gateway.now();
        let took_ms = now.since(began).as_ms();
        let endpoint = permit.place.endpoint.clone();
        match result {
            Ok(copied) => {
                self.gateway.counters.moved("switched");
                log::info!(request:% = run.request, to:% = endpoint, took_ms = took_ms; "run switched");
                let memory = KvCopy {
                    source: self.leaving.address,
                    handle: copied.handle,
                };
                self.plan.record_migrated(run.key);
                drop(word.send(Continuation::From { permit, memory }));
            }
            Err(CopyError::RunNotFound) => {
                self.plan.record_migrated(run.key);
                drop(word.send(Continuation::Ended));
                self.free(permit, copy);
            }
            Err(error) => {
                self.gateway.counters.moved("switch_failed");
                log::warn!(request:% = run.request, to:% = endpoint, took_ms = took_ms; "run not switched: {error}");
                let declined = self.declined.entry(run.key).or_default();
                declined.push(endpoint);
                self.plan.record_failure(now, run.key);
                let kept = self.kept(error);
                // Freeing a copy at its source frees all that has its name.
                let copy = copy.filter(|copy| kept.as_ref() != Some(copy));
                if let Some(memory) = kept {
                    drop(word.send(Continuation::Back { memory }));
                }
                self.free(permit, copy);
            }
        }
    }

    /// What the leaving engine keeps of a run that it stopped in vain.
    fn kept(&self, error: CopyError) -> Option<KvCopy> {
        let source = self.leaving.address;
        match error {
            CopyError::TargetUnavailable { handle } => {
                handle.map(|handle| KvCopy { source, handle })
            }
            CopyError::RunNotFound | CopyError::Busy | CopyError::Unknown(_) => None,
        }
    }

    /// Frees a copy that nobody will use.
    fn free(&self, permit: Permit, copy: Option<KvCopy>) {
        let Some(memory) = copy else {
            return;
        };
        let endpoints = Rc::clone(&self.gateway.endpoints);
        tokio::task::spawn_local(async move {
            endpoints.release(memory).await;
            drop(permit);
        });
    }
}
