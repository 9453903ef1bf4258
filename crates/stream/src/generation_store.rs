//! All generations that an agent holds, within a bound of memory.

use std::collections::{BTreeMap, HashMap};

use lentil_core::{Fingerprint, GenerationId, RequestKey, Span, Time, TokenIndex};
use thiserror::Error;

use crate::journal::{GenerationEnd, JournalError, PushResult, ReadResult, TokenJournal};

/// Bounds of [`GenerationStore`].
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Most generations held; further ones are refused while none can be dropped.
    pub generations_max: usize,
    /// Most bytes of tokens. Finished generations are dropped first, the
    /// earliest deadline first; then the one that grows is ended.
    pub tokens_max_bytes: usize,
    /// How long a finished generation, or a running one that nobody reads, is held.
    pub hold: Span,
}

/// What the shell is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineCommand {
    /// End the generation at the engine.
    Cancel(GenerationId),
    /// Read the engine's stream again from this index.
    Reread(GenerationId, TokenIndex),
}

/// Why a generation is held without a running engine behind it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retention {
    /// It is read, or runs.
    InUse,
    /// It is kept until this time for a caller that comes back.
    Until(Time),
}

/// Why a generation can't be opened or read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum GenerationStoreError {
    /// Nothing is held under this identifier or key.
    #[error("the generation is not held")]
    NotHeld,
    /// The key was used for another request.
    #[error("the key was used for another request")]
    KeyConflict,
    /// All places are taken by running generations.
    #[error("no place is free for another generation")]
    Full,
    /// The generation belongs to another organisation's request.
    #[error("a generation of this identifier is held already")]
    AlreadyHeld,
    /// The token contradicts what is held.
    #[error(transparent)]
    Token(#[from] JournalError),
}

/// What happened so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Generations dropped before their time for lack of memory.
    pub dropped_early: u64,
    /// Generations ended for lack of memory.
    pub overflowed: u64,
    /// Generations cancelled because nobody read them.
    pub abandoned: u64,
    /// Generations refused for lack of places.
    pub refused: u64,
    /// Tokens that came twice from the engine.
    pub repeated_tokens: u64,
}

#[derive(Debug)]
struct Held {
    journal: TokenJournal,
    key: Option<(RequestKey, Fingerprint)>,
    readers: usize,
    expires: Time,
}

impl Held {
    fn idle(&self) -> bool {
        self.readers == 0
    }
}

/// The generations of one agent.
#[derive(Debug)]
pub struct GenerationStore {
    limits: Limits,
    held: BTreeMap<GenerationId, Held>,
    keys: HashMap<RequestKey, GenerationId>,
    len_bytes: usize,
    counters: Counters,
}

impl GenerationStore {
    /// No generations yet.
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

    /// What happened so far.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// Bytes of tokens held.
    #[must_use]
    pub const fn len_bytes(&self) -> usize {
        self.len_bytes
    }

    /// Generations held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether none is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// The generation that was begun under a caller's key, while it is held.
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

    /// Holds a generation that begins, or one taken over from index `first` on.
    ///
    /// # Errors
    /// No place is free, or the identifier is taken.
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
        if self.held.len() >= self.limits.generations_max && !self.drop_ended() {
            self.counters.refused += 1;
            return Err(GenerationStoreError::Full);
        }
        if let Some((text, _)) = &key {
            self.keys.insert(text.clone(), id.clone());
        }
        let held = Held {
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
    /// The generation is not held, has ended, or the token contradicts it.
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
            PushResult::Added => Ok(self.keep_within(now, id)),
            PushResult::Duplicate => {
                self.counters.repeated_tokens += 1;
                Ok(None)
            }
            PushResult::Gap(next) => Ok(Some(EngineCommand::Reread(id.clone(), next))),
        }
    }

    /// Ends a generation; it stays held for callers that come back.
    pub fn finish(&mut self, now: Time, id: &GenerationId, end: GenerationEnd) {
        let expires = now + self.limits.hold;
        if let Some(held) = self.held.get_mut(id) {
            held.journal.finish(end);
            held.expires = expires;
        }
    }

    /// Reads from an index on.
    #[must_use]
    pub fn read(&self, id: &GenerationId, from: TokenIndex, most: usize) -> ReadResult {
        self.held
            .get(id)
            .map_or(ReadResult::Gone, |held| held.journal.read(from, most))
    }

    /// The index of the token that comes next.
    #[must_use]
    pub fn next(&self, id: &GenerationId) -> Option<TokenIndex> {
        self.held.get(id).map(|held| held.journal.next())
    }

    /// A reader began; false when the generation is not held.
    pub fn attach_reader(&mut self, id: &GenerationId) -> bool {
        let Some(held) = self.held.get_mut(id) else {
            return false;
        };
        held.readers = held.readers.saturating_add(1);
        true
    }

    /// A reader left; the generation is held on for one that comes back.
    pub fn detach_reader(&mut self, now: Time, id: &GenerationId) {
        let expires = now + self.limits.hold;
        if let Some(held) = self.held.get_mut(id) {
            held.readers = held.readers.saturating_sub(1);
            held.expires = held.expires.max(expires);
        }
    }

    /// The caller does not want the generation any more.
    pub fn cancel(&mut self, now: Time, id: &GenerationId) -> Option<EngineCommand> {
        let running = self.held.get(id).is_some_and(|h| h.journal.end().is_none());
        self.finish(now, id, GenerationEnd::Cancelled);
        running.then(|| EngineCommand::Cancel(id.clone()))
    }

    /// Why and until when a generation is held.
    #[must_use]
    pub fn retention(&self, id: &GenerationId) -> Option<Retention> {
        let held = self.held.get(id)?;
        Some(if held.idle() {
            Retention::Until(held.expires)
        } else {
            Retention::InUse
        })
    }

    /// Drops what was held long enough, and cancels what nobody reads.
    pub fn expire(&mut self, now: Time) -> Vec<EngineCommand> {
        let due: Vec<GenerationId> = self
            .held
            .iter()
            .filter(|(_, held)| held.idle() && held.expires.has_passed(now))
            .map(|(id, _)| id.clone())
            .collect();
        let mut orders = Vec::new();
        for id in due {
            if let Some(order) = self.cancel(now, &id) {
                self.counters.abandoned += 1;
                orders.push(order);
            }
            self.remove(&id);
        }
        orders
    }

    /// The first time at which [`Self::expire`] would do something.
    #[must_use]
    pub fn next_expiry(&self) -> Time {
        self.held
            .values()
            .filter(|held| held.idle())
            .map(|held| held.expires)
            .min()
            .unwrap_or(Time::NEVER)
    }

    fn keep_within(&mut self, now: Time, growing: &GenerationId) -> Option<EngineCommand> {
        while self.len_bytes > self.limits.tokens_max_bytes {
            if !self.drop_ended() {
                self.counters.overflowed += 1;
                self.finish(now, growing, GenerationEnd::Overflow);
                return Some(EngineCommand::Cancel(growing.clone()));
            }
        }
        None
    }

    /// Drops the ended generation without readers whose deadline comes first.
    fn drop_ended(&mut self) -> bool {
        let oldest = self
            .held
            .iter()
            .filter(|(_, held)| held.idle() && held.journal.end().is_some())
            .min_by_key(|(_, held)| held.expires)
            .map(|(id, _)| id.clone());
        let Some(id) = oldest else {
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
