//! The tokens of one generation.

use std::collections::VecDeque;
use std::sync::Arc;

use lentil_core::{Outcome, TokenIndex};
use thiserror::Error;

/// How a generation ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GenerationEnd {
    /// The engine finished; this is its reason.
    Finished(Arc<str>),
    /// The engine died or was lost: no further token will come.
    Failed(Outcome),
    /// Nobody waited for it any more.
    Cancelled,
    /// Its tokens outgrew the memory for journals.
    Overflow,
}

/// What a pushed token did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PushResult {
    /// It is the next token.
    Added,
    /// The same token came before.
    Duplicate,
    /// Tokens between are missing: the engine must be read again from here.
    Gap(TokenIndex),
}

/// A token that can't belong to this generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum JournalError {
    /// Another token stands at the index: the engine generates anew.
    #[error("token {index} differs from the one already held")]
    Diverged {
        /// The index.
        index: TokenIndex,
    },
    /// The generation has ended.
    #[error("the generation has ended")]
    Ended,
}

/// What stands at an index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadResult {
    /// Tokens from the asked index on.
    Tokens {
        /// The index of the first.
        first: TokenIndex,
        /// Their texts.
        texts: Vec<Arc<str>>,
    },
    /// None yet.
    Waiting,
    /// None will come: the generation ended before this index.
    Ended(GenerationEnd),
    /// The token was held once and is no more, or was never made.
    Gone,
}

/// The tokens of one generation, by index.
#[derive(Debug, Clone)]
pub struct TokenJournal {
    first: u64,
    tokens: VecDeque<Arc<str>>,
    len_bytes: usize,
    end: Option<GenerationEnd>,
}

/// Bytes that a token occupies besides its text.
const TOKEN_OVERHEAD_BYTES: usize = 32;

impl Default for TokenJournal {
    fn default() -> Self {
        Self::starting_at(TokenIndex::new(0))
    }
}

impl TokenJournal {
    /// A journal whose first token will have this index: above 0 when an agent
    /// takes over a stream of which the engine gives only the rest.
    #[must_use]
    pub const fn starting_at(first: TokenIndex) -> Self {
        Self {
            first: first.get(),
            tokens: VecDeque::new(),
            len_bytes: 0,
            end: None,
        }
    }

    /// The index of the token that comes next.
    #[must_use]
    pub fn next(&self) -> TokenIndex {
        let held = u64::try_from(self.tokens.len()).unwrap_or(u64::MAX);
        TokenIndex::new(self.first.saturating_add(held))
    }

    /// Bytes held.
    #[must_use]
    pub const fn len_bytes(&self) -> usize {
        self.len_bytes
    }

    /// How it ended, if it did.
    #[must_use]
    pub const fn end(&self) -> Option<&GenerationEnd> {
        self.end.as_ref()
    }

    /// Adds a token from the engine.
    ///
    /// # Errors
    /// The token contradicts what is held.
    pub fn push(&mut self, index: TokenIndex, text: &str) -> Result<PushResult, JournalError> {
        if let Some(held) = self.at(index) {
            return match held.as_ref() == text {
                true => Ok(PushResult::Duplicate),
                false => Err(JournalError::Diverged { index }),
            };
        }
        if index.get() < self.first {
            return Ok(PushResult::Duplicate);
        }
        if index > self.next() {
            return Ok(PushResult::Gap(self.next()));
        }
        if self.end.is_some() {
            return Err(JournalError::Ended);
        }
        self.len_bytes += text.len() + TOKEN_OVERHEAD_BYTES;
        self.tokens.push_back(Arc::from(text));
        Ok(PushResult::Added)
    }

    /// Ends the generation; the first end stays.
    pub fn finish(&mut self, end: GenerationEnd) {
        self.end.get_or_insert(end);
    }

    /// Reads at most `most` tokens from `from` on.
    #[must_use]
    pub fn read(&self, from: TokenIndex, most: usize) -> ReadResult {
        if from.get() < self.first || from > self.next() {
            return ReadResult::Gone;
        }
        if from < self.next() {
            let skip = usize::try_from(from.get() - self.first).unwrap_or(usize::MAX);
            let texts = self.tokens.iter().skip(skip).take(most).cloned().collect();
            return ReadResult::Tokens { first: from, texts };
        }
        match &self.end {
            Some(end) => ReadResult::Ended(end.clone()),
            None => ReadResult::Waiting,
        }
    }

    fn at(&self, index: TokenIndex) -> Option<&Arc<str>> {
        let place = index.get().checked_sub(self.first)?;
        self.tokens.get(usize::try_from(place).ok()?)
    }
}
