//! The tokens of one generation.

use std::collections::VecDeque;
use std::sync::Arc;

use lentil_core::{Outcome, TokenIndex};
use thiserror::Error;

/// How a generation ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GenerationEnd {
    /// The engine finished, with this finish reason.
    Finished(Arc<str>),
    /// The engine died or became unreachable: no further token will arrive.
    Failed(Outcome),
    /// The generation was cancelled, by its caller or because no reader was attached.
    Cancelled,
    /// The memory limit for tokens was exceeded.
    Overflow,
}

/// Result of pushing a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PushResult {
    /// The token is the next one and was added.
    Added,
    /// A token with this index was received before, or the index precedes the journal.
    Duplicate,
    /// Tokens are missing: the engine's stream must be read again from this index.
    Gap(TokenIndex),
}

/// Why a token was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum JournalError {
    /// A different token is held at this index: the engine is generating a different output.
    #[error("token {index} differs from the one already held")]
    Diverged {
        /// Index of the token.
        index: TokenIndex,
    },
    /// The generation has ended.
    #[error("the generation has ended")]
    Ended,
}

/// Result of reading a journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadResult {
    /// Tokens from the requested index on.
    Tokens {
        /// Index of the first token.
        first: TokenIndex,
        /// Texts of the tokens.
        texts: Vec<Arc<str>>,
    },
    /// No token is available yet.
    Waiting,
    /// The generation ended before this index, so no token will arrive.
    Ended(GenerationEnd),
    /// The index precedes the first token held, or lies beyond the next one.
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

/// Memory used by a token in addition to its text.
const TOKEN_OVERHEAD_BYTES: usize = 32;

impl Default for TokenJournal {
    fn default() -> Self {
        Self::starting_at(TokenIndex::new(0))
    }
}

impl TokenJournal {
    /// Creates a journal whose first token has this index. It is greater than 0 when an agent takes
    /// over a stream of which the engine provides only the remaining tokens.
    #[must_use]
    pub const fn starting_at(first: TokenIndex) -> Self {
        Self {
            first: first.get(),
            tokens: VecDeque::new(),
            len_bytes: 0,
            end: None,
        }
    }

    /// Index of the next token to receive.
    #[must_use]
    pub fn next(&self) -> TokenIndex {
        let held = u64::try_from(self.tokens.len()).unwrap_or(u64::MAX);
        TokenIndex::new(self.first.saturating_add(held))
    }

    /// Size of the tokens held in bytes.
    #[must_use]
    pub const fn len_bytes(&self) -> usize {
        self.len_bytes
    }

    /// How the generation ended, if it has ended.
    #[must_use]
    pub const fn end(&self) -> Option<&GenerationEnd> {
        self.end.as_ref()
    }

    /// Adds a token from the engine.
    ///
    /// # Errors
    /// The token contradicts the tokens held, or the generation has ended.
    pub fn push(&mut self, index: TokenIndex, text: &str) -> Result<PushResult, JournalError> {
        if let Some(held) = self.token_at(index) {
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

    /// Ends the generation; a later end does not replace the first one.
    pub fn finish(&mut self, end: GenerationEnd) {
        self.end.get_or_insert(end);
    }

    /// Reads at most `max_tokens` tokens from index `from` on.
    #[must_use]
    pub fn read(&self, from: TokenIndex, max_tokens: usize) -> ReadResult {
        if from.get() < self.first || from > self.next() {
            return ReadResult::Gone;
        }
        if from < self.next() {
            let skip = usize::try_from(from.get() - self.first).unwrap_or(usize::MAX);
            let texts = self
                .tokens
                .iter()
                .skip(skip)
                .take(max_tokens)
                .cloned()
                .collect();
            return ReadResult::Tokens { first: from, texts };
        }
        match &self.end {
            Some(end) => ReadResult::Ended(end.clone()),
            None => ReadResult::Waiting,
        }
    }

    fn token_at(&self, index: TokenIndex) -> Option<&Arc<str>> {
        let position = index.get().checked_sub(self.first)?;
        self.tokens.get(usize::try_from(position).ok()?)
    }
}
