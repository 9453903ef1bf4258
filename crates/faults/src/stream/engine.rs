//! A fake engine whose streams can be resumed.

use std::collections::BTreeMap;
use std::sync::Arc;

use lentil_core::{GenerationId, Outcome, TokenIndex};
use lentil_stream::GenerationEnd;

use super::token_text;

/// Number of latest tokens that an engine without full retention can send again.
const TOKENS_RETAINED: u64 = 60;

#[derive(Debug)]
struct Running {
    caller: usize,
    generated: u64,
    total: u64,
    lost: bool,
}

/// A fake engine that generates one token of each running generation per step.
#[derive(Debug)]
pub(super) struct FakeEngine {
    pub(super) alive: bool,
    retains_all: bool,
    running: BTreeMap<GenerationId, Running>,
}

impl FakeEngine {
    pub(super) const fn new(retains_all: bool) -> Self {
        Self {
            alive: true,
            retains_all,
            running: BTreeMap::new(),
        }
    }

    pub(super) fn start(&mut self, id: &GenerationId, caller: usize, total: u64) -> bool {
        let running = Running {
            caller,
            generated: 0,
            total,
            lost: false,
        };
        self.alive && self.running.insert(id.clone(), running).is_none()
    }

    pub(super) fn step(&mut self) {
        if !self.alive {
            return;
        }
        for running in self.running.values_mut() {
            if !running.lost && running.generated < running.total {
                running.generated += 1;
            }
        }
    }

    pub(super) fn crash(&mut self) {
        self.alive = false;
        for running in self.running.values_mut() {
            running.lost = true;
        }
    }

    pub(super) fn cancel(&mut self, id: &GenerationId) {
        self.running.remove(id);
    }

    pub(super) fn generation_ids(&self) -> Vec<GenerationId> {
        self.running.keys().cloned().collect()
    }

    /// Number of generations that aren't complete.
    pub(super) fn running(&self) -> usize {
        self.running
            .values()
            .filter(|running| !running.lost && running.generated < running.total)
            .count()
    }

    /// Generations that a new agent can adopt, each with the first token still available.
    pub(super) fn resumable(&self) -> Vec<(GenerationId, TokenIndex)> {
        self.running
            .iter()
            .filter(|(_, running)| !running.lost)
            .map(|(id, running)| (id.clone(), TokenIndex::new(self.first_retained(running))))
            .collect()
    }

    fn first_retained(&self, running: &Running) -> u64 {
        if self.retains_all {
            0
        } else {
            running.generated.saturating_sub(TOKENS_RETAINED)
        }
    }

    pub(super) fn tokens_from(
        &self,
        id: &GenerationId,
        from: TokenIndex,
    ) -> Vec<(TokenIndex, Arc<str>)> {
        let Some(running) = self.running.get(id) else {
            return Vec::new();
        };
        if running.lost {
            return Vec::new();
        }
        (from.get()..running.generated)
            .map(|index| {
                (
                    TokenIndex::new(index),
                    token_text(id, running.caller, index),
                )
            })
            .collect()
    }

    pub(super) fn end(&self, id: &GenerationId) -> Option<GenerationEnd> {
        let running = self.running.get(id)?;
        if running.lost {
            return Some(GenerationEnd::Failed(Outcome::Ran));
        }
        (running.generated == running.total).then(|| GenerationEnd::Finished(Arc::from("stop")))
    }
}
