//! A fake engine whose streams can be resumed.

use std::collections::BTreeMap;
use std::sync::Arc;

use lentil_core::{GenerationId, Outcome, TokenIndex};
use lentil_stream::GenerationEnd;

use super::token_text;

/// Tokens that a forgetful engine still gives again.
const REPEATABLE: u64 = 60;

#[derive(Debug)]
struct Running {
    caller: usize,
    made: u64,
    total: u64,
    dead: bool,
}

/// Makes one token of each generation at each step.
#[derive(Debug)]
pub(super) struct FakeEngine {
    pub(super) alive: bool,
    keeps_all: bool,
    running: BTreeMap<GenerationId, Running>,
}

impl FakeEngine {
    pub(super) const fn new(keeps_all: bool) -> Self {
        Self {
            alive: true,
            keeps_all,
            running: BTreeMap::new(),
        }
    }

    pub(super) fn begin(&mut self, id: &GenerationId, caller: usize, total: u64) -> bool {
        let running = Running {
            caller,
            made: 0,
            total,
            dead: false,
        };
        self.alive && self.running.insert(id.clone(), running).is_none()
    }

    pub(super) fn step(&mut self) {
        if !self.alive {
            return;
        }
        for running in self.running.values_mut() {
            if !running.dead && running.made < running.total {
                running.made += 1;
            }
        }
    }

    pub(super) fn die(&mut self) {
        self.alive = false;
        for running in self.running.values_mut() {
            running.dead = true;
        }
    }

    pub(super) fn cancel(&mut self, id: &GenerationId) {
        self.running.remove(id);
    }

    pub(super) fn known(&self) -> Vec<GenerationId> {
        self.running.keys().cloned().collect()
    }

    /// Generations that still need the engine.
    pub(super) fn running(&self) -> usize {
        self.running
            .values()
            .filter(|running| !running.dead && running.made < running.total)
            .count()
    }

    /// What a new agent can take over, and from which token on.
    pub(super) fn resumable(&self) -> Vec<(GenerationId, TokenIndex)> {
        self.running
            .iter()
            .filter(|(_, running)| !running.dead)
            .map(|(id, running)| (id.clone(), TokenIndex::new(self.first_kept(running))))
            .collect()
    }

    fn first_kept(&self, running: &Running) -> u64 {
        if self.keeps_all {
            0
        } else {
            running.made.saturating_sub(REPEATABLE)
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
        if running.dead {
            return Vec::new();
        }
        (from.get()..running.made)
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
        if running.dead {
            return Some(GenerationEnd::Failed(Outcome::Ran));
        }
        (running.made == running.total).then(|| GenerationEnd::Finished(Arc::from("stop")))
    }
}
