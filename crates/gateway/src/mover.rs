//! Carrying out moves of running generations off one leaving engine.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use lentil_core::Time;
use lentil_core::{Span, TokenCount};
use lentil_fleet::{GenerationNeed, Leaving, Need};
use lentil_handoff::{Action, Departure, RunView};

use crate::endpoints::{CopyError, CopyOrder, Memory};
use crate::gateway::{Gateway, Permit};
use crate::runs::{Continuation, Run, RunKey};

/// Longest time between two looks at the runs of a leaving engine.
const LOOK: Span = Span::from_ms(40);
/// How long after its expected end an engine may still be there.
const AFTER_END: Span = Span::from_ms(300);
/// Pause after no engine had room for a copy.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(60);

/// A copy that lies at another engine.
struct CopyAt {
    permit: Permit,
    memory: Memory,
}

/// One leaving engine.
struct Mover {
    gateway: Rc<Gateway>,
    leaving: Leaving,
    plan: Departure<RunKey>,
    copies: BTreeMap<RunKey, CopyAt>,
}

/// Moves runs off a leaving engine until it is gone.
pub(crate) async fn depart(gateway: Rc<Gateway>, leaving: Leaving) {
    let mut mover = Mover {
        plan: Departure::new(leaving.gone_at),
        gateway,
        leaving,
        copies: BTreeMap::new(),
    };
    while let Some(gone_at) = mover.gone_at() {
        let now = mover.gateway.now();
        if (gone_at + AFTER_END).has_passed(now) {
            break;
        }
        mover.plan.expect_end(gone_at);
        mover.free_unused();
        let runs = mover.movable();
        match mover.plan.next(now, &views(&runs)) {
            Action::Copy(key) => mover.copy(key).await,
            Action::Switch(key) => mover.switch(key).await,
            Action::Wait(until) => mover.wait(now, until).await,
        }
    }
    mover.free_all();
}

fn views(runs: &[Rc<Run>]) -> Vec<RunView<RunKey>> {
    runs.iter()
        .map(|run| RunView {
            run: run.key,
            memory: run.memory.get(),
            begun: run.begun.get(),
        })
        .collect()
}

impl Mover {
    fn gone_at(&self) -> Option<Time> {
        self.gateway
            .fleet
            .borrow()
            .gone_at(&self.leaving.endpoint)
    }

    fn movable(&self) -> Vec<Rc<Run>> {
        let mut runs = self.gateway.runs.at(&self.leaving.endpoint);
        runs.retain(|run| self.gateway.moves(&run.service));
        runs
    }

    async fn wait(&self, now: Time, until: Time) {
        let until = until.min(now + LOOK);
        let least = Duration::from_millis(1);
        tokio::time::sleep(Duration::from(until.since(now)).max(least)).await;
    }

    /// A place for a run's memory at another engine.
    fn find_target(&self, run: &Run) -> Option<Permit> {
        let need = Need {
            service: run.service.clone(),
            generation: Some(GenerationNeed {
                prompt: run.memory.get(),
                output: run.growth.get(),
            }),
            near: Some(self.leaving.zone.clone()),
            draw: run.request.draw(),
        };
        let tried = std::slice::from_ref(&self.leaving.endpoint);
        let permit = self
            .gateway
            .try_place(self.gateway.now(), &need, tried)
            .ok()?;
        permit.progress(TokenCount::ZERO);
        Some(permit)
    }

    fn order(&self, run: &Run, target: &Permit, stop: bool) -> CopyOrder {
        CopyOrder {
            source: self.leaving.address,
            request: run.request.clone(),
            target: target.place.address,
            stop,
            until: self.gone_at().unwrap_or(self.leaving.gone_at) + AFTER_END,
        }
    }

    async fn copy(&mut self, key: RunKey) {
        let Some(run) = self.gateway.runs.get(key) else {
            return;
        };
        let Some(permit) = self.find_target(&run) else {
            self.gateway.counters.moved("no_room");
            tokio::time::sleep(NO_ROOM_PAUSE).await;
            return;
        };
        let order = self.order(&run, &permit, false);
        let began = self.gateway.now();
        let result = self.gateway.endpoints.copy(order).await;
        let took_ms = self.gateway.now().since(began).as_ms();
        match result {
            Ok(copied) => {
                self.gateway.counters.moved("copied");
                log::debug!(request:% = run.request, took_ms = took_ms; "run copied");
                let memory = Memory {
                    source: self.leaving.address,
                    handle: copied.handle,
                };
                self.copies.insert(key, CopyAt { permit, memory });
                self.plan.copied(key);
            }
            Err(error) => {
                self.gateway.counters.moved("copy_failed");
                log::info!(request:% = run.request, took_ms = took_ms; "run not copied: {error}");
                self.plan.failed(key);
            }
        }
    }

    async fn switch(&mut self, key: RunKey) {
        let Some(run) = self.gateway.runs.get(key) else {
            return;
        };
        let copy = self.copies.remove(&key);
        let permit = match copy {
            Some(copy) => copy.permit,
            None => match self.find_target(&run) {
                Some(permit) => permit,
                None => {
                    tokio::time::sleep(NO_ROOM_PAUSE).await;
                    return;
                }
            },
        };
        let order = self.order(&run, &permit, true);
        let word = run.expect_switch();
        let began = self.gateway.now();
        let result = self.gateway.endpoints.copy(order).await;
        let took_ms = self.gateway.now().since(began).as_ms();
        let source = self.leaving.address;
        match result {
            Ok(copied) => {
                self.gateway.counters.moved("switched");
                log::info!(request:% = run.request, took_ms = took_ms, to:% = permit.place.endpoint; "run switched");
                let memory = Memory {
                    source,
                    handle: copied.handle,
                };
                self.plan.switched(key);
                drop(word.send(Continuation::From { permit, memory }));
            }
            Err(CopyError::NoRun) => {
                self.plan.switched(key);
                drop(word.send(Continuation::Ended));
            }
            Err(error) => {
                self.gateway.counters.moved("switch_failed");
                log::warn!(request:% = run.request, took_ms = took_ms; "run not switched: {error}");
                self.plan.failed(key);
            }
        }
    }

    /// Frees copies of runs that ended by themselves.
    fn free_unused(&mut self) {
        let here: Vec<_> = self
            .gateway
            .runs
            .at(&self.leaving.endpoint)
            .iter()
            .map(|run| run.key)
            .collect();
        let unused: Vec<_> = self
            .copies
            .keys()
            .filter(|key| !here.contains(key))
            .copied()
            .collect();
        for key in unused {
            if let Some(copy) = self.copies.remove(&key) {
                self.free(copy);
            }
        }
    }

    fn free_all(&mut self) {
        for (_, copy) in std::mem::take(&mut self.copies) {
            self.free(copy);
        }
    }

    fn free(&self, copy: CopyAt) {
        let endpoints = Rc::clone(&self.gateway.endpoints);
        tokio::task::spawn_local(async move {
            endpoints.release(copy.memory).await;
            drop(copy.permit);
        });
    }
}
