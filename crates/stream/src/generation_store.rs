//! The generations held by an agent, within a memory limit.

use std::collections::{BTreeMap, HashMap};

use lentil_core::{Fingerprint, GenerationId, RequestKey, Span, Time, TokenIndex};
use thiserror::Error;

use crate::journal::{GenerationEnd, JournalError, PushResult, ReadResult, TokenJournal};

/// Limits of [`GenerationStore`].
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of generations held. Further ones are refused if none can be evicted.
    pub generations_max: usize,
    /// Maximum size of all tokens in bytes. Ended generations without readers are evicted first, in
    /// order of their expiry; if none is left, the generation that is growing is ended.
    pub tokens_max_bytes: usize,
    /// How long a generation without readers is held after it was opened, it ended or its last reader
    /// left.
    pub hold: Span,
}

/// A command for the agent to execute at the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineCommand {
    /// Cancel the generation at the engine.
    Cancel(GenerationId),
    /// Read the engine's stream again from this index.
    Reread(GenerationId, TokenIndex),
}

/// Why a generation is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retention {
    /// At least one reader is attached.
    InUse,
    /// No reader is attached; the generation is held until this time for a caller that resumes.
    Until(Time),
}

/// Why a generation can't be opened or extended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum GenerationStoreError {
    /// No generation is held under this identifier.
    #[error("the generation is not held")]
    NotHeld,
    /// The key was used for another request.
    #[error("the key was used for another request")]
    KeyConflict,
    /// The limit on generations is reached, and none can be evicted.
    #[error("the limit on held generations is reached")]
    Full,
    /// A generation with this identifier is already held.
    #[error("a generation with this identifier is already held")]
    AlreadyHeld,
    /// The token contradicts the tokens held, or the generation has ended.
    #[error(transparent)]
    Token(#[from] JournalError),
}

/// Counters of the store since its creation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Generations evicted before their expiry because of a limit.
    pub dropped_early: u64,
    /// Generations ended because of the memory limit.
    pub overflowed: u64,
    /// Generations cancelled because no reader was attached.
    pub abandoned: u64,
    /// Generations refused because of the limit on generations.
    pub refused: u64,
    /// Tokens received more than once from the engine.
    pub repeated_tokens: u64,
}

#[derive(Debug)]
struct HeldGeneration {
    journal: TokenJournal,
    key: Option<(RequestKey, Fingerprint)>,
    readers: usize,
    expires: Time,
}

impl HeldGeneration {
    fn has_no_readers(&self) -> bool {
        self.readers == 0
    }
}

/// The generations held by one agent.
#[derive(Debug)]
pub struct GenerationStore {
    limits: Limits,
    held: BTreeMap<GenerationId, HeldGeneration>,
    keys: HashMap<RequestKey, GenerationId>,
    len_bytes: usize,
    counters: Counters,
}

impl GenerationStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            held: BTreeMap::new(),
            keys: HashMap::new(),
            len_bytes: 0,
            counters: Counters::default(),
        }
    }

    /// Counters since creation.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// Size of all tokens held in bytes.
    #[must_use]
    pub const fn len_bytes(&self) -> usize {
        self.len_bytes
    }

    /// Number of generations held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no generation is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns the generation started under a caller's key, if it is still held.
    ///
    /// # Errors
    /// The key was used for another request.
    pub fn find_by_key(
        &self,
        key: &RequestKey,
        fingerprint: Fingerprint,
    ) -> Result<Option<&GenerationId>, GenerationStoreError> {
        let Some(id) = self.keys.get(key) else {
            return Ok(None);
        };
        let same = self
            .held
            .get(id)
            .and_then(|held| held.key.as_ref())
            .is_some_and(|(_, known)| *known == fingerprint);
        same.then_some(Some(id))
            .ok_or(GenerationStoreError::KeyConflict)
    }

    /// Adds a new generation, or one that is taken over from index `first` on.
    ///
    /// # Errors
    /// The limit on generations is reached, or the identifier is already in use.
    pub fn open(
        &mut self,
        now: Time,
        id: &GenerationId,
        key: Option<(RequestKey, Fingerprint)>,
        first: TokenIndex,
    ) -> Result<(), GenerationStoreError> {
        if self.held.contains_key(id) {
            return Err(GenerationStoreError::AlreadyHeld);
        }
        if self.held.len() >= self.limits.generations_max && !self.evict_ended() {
            self.counters.refused += 1;
            return Err(GenerationStoreError::Full);
        }
        if let Some((text, _)) = &key {
            self.keys.insert(text.clone(), id.clone());
        }
        let held = HeldGeneration {
            journal: TokenJournal::starting_at(first),
            key,
            readers: 0,
            expires: now + self.limits.hold,
        };
        self.held.insert(id.clone(), held);
        Ok(())
    }

    /// Adds a token from the engine.
    ///
    /// # Errors
    /// The generation is not held or has ended, or the token contradicts the tokens held.
    pub fn push(
        &mut self,
        now: Time,
        id: &GenerationId,
        index: TokenIndex,
        text: &str,
    ) -> Result<Option<EngineCommand>, GenerationStoreError> {
        let held = self.held.get_mut(id).ok_or(GenerationStoreError::NotHeld)?;
        let before = held.journal.len_bytes();
        let pushed = held.journal.push(index, text)?;
        self.len_bytes += held.journal.len_bytes() - before;
        match pushed {
            PushResult::Added => Ok(self.enforce_memory_limit(now, id)),
            PushResult::Duplicate => {
                self.counters.repeated_tokens += 1;
                Ok(None)
            }
            PushResult::Gap(next) => Ok(Some(EngineCommand::Reread(id.clone(), next))),
        }
    }

    /// Ends a generation and keeps holding it for callers that resume.
    pub fn finish(&mut self, now: Time, id: &GenerationId, end: GenerationEnd) {
        let expires = now + self.limits.hold;
        if let Some(held) = self.held.get_mut(id) {
            held.journal.finish(end);
            held.expires = expires;
        }
    }

    /// Reads tokens from an index on.
    #[must_use]
    pub fn read(&self, id: &GenerationId, from: TokenIndex, max_tokens: usize) -> ReadResult {
        self.held
            .get(id)
            .map_or(ReadResult::Gone, |held| held.journal.read(from, max_tokens))
    }

    /// Index of the next token from the engine.
    #[must_use]
    pub fn next(&self, id: &GenerationId) -> Option<TokenIndex> {
        self.held.get(id).map(|held| held.journal.next())
    }

    /// Attaches a reader. Returns false if the generation is not held.
    pub fn attach_reader(&mut self, id: &GenerationId) -> bool {
        let Some(held) = self.held.get_mut(id) else {
            return false;
        };
        held.readers = held.readers.saturating_add(1);
        true
    }

    /// Detaches a reader and keeps holding the generation for one that resumes.
    pub fn detach_reader(&mut self, now: Time, id: &GenerationId) {
        let expires = now + self.limits.hold;
        if let Some(held) = self.held.get_mut(id) {
            held.readers = held.readers.saturating_sub(1);
            held.expires = held.expires.max(expires);
        }
    }

    /// Cancels a generation that the caller no longer wants.
    pub fn cancel(&mut self, now: Time, id: &GenerationId) -> Option<EngineCommand> {
        let running = self.held.get(id).is_some_and(|h| h.journal.end().is_none());
        self.finish(now, id, GenerationEnd::Cancelled);
        running.then(|| EngineCommand::Cancel(id.clone()))
    }

    /// Why a generation is held, and until when.
    #[must_use]
    pub fn retention(&self, id: &GenerationId) -> Option<Retention> {
        let held = self.held.get(id)?;
        Some(if held.has_no_readers() {
            Retention::Until(held.expires)
        } else {
            Retention::InUse
        })
    }

    /// Removes generations past their expiry and cancels those among them that are still running.
    pub fn expire(&mut self, now: Time) -> Vec<EngineCommand> {
        let expired: Vec<GenerationId> = self
            .held
            .iter()
            .filter(|(_, held)| held.has_no_readers() && held.expires.has_passed(now))
            .map(|(id, _)| id.clone())
            .collect();
        let mut commands = Vec::new();
        for id in expired {
            if let Some(command) = self.cancel(now, &id) {
                self.counters.abandoned += 1;
                commands.push(command);
            }
            self.remove(&id);
        }
        commands
    }

    /// The earliest time at which [`Self::expire`] has work to do.
    #[must_use]
    pub fn next_expiry(&self) -> Time {
        self.held
            .values()
            .filter(|held| held.has_no_readers())
            .map(|held| held.expires)
            .min()
            .unwrap_or(Time::NEVER)
    }

    fn enforce_memory_limit(&mut self, now: Time, growing: &GenerationId) -> Option<EngineCommand> {
        while self.len_bytes > self.limits.tokens_max_bytes {
            if !self.evict_ended() {
                self.counters.overflowed += 1;
                self.finish(now, growing, GenerationEnd::Overflow);
                return Some(EngineCommand::Cancel(growing.clone()));
            }
        }
        None
    }

    /// Evicts the ended generation without readers that expires first.
    fn evict_ended(&mut self) -> bool {
        let earliest = self
            .held
            .iter()
            .filter(|(_, held)| held.has_no_readers() && held.journal.end().is_some())
            .min_by_key(|(_, held)| held.expires)
            .map(|(id, _)| id.clone());
        let Some(id) = earliest else {
            return false;
        };
        self.counters.dropped_early += 1;
        self.remove(&id);
        true
    }

    fn remove(&mut self, id: &GenerationId) {
        let Some(held) = self.held.remove(id) else {
            return;
        };
        self.len_bytes -= held.journal.len_bytes();
        if let Some((key, _)) = held.key
            && self.keys.get(&key) == Some(id)
        {
            self.keys.remove(&key);
        }
    }
}
