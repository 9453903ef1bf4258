//! The position up to which a caller has received a generation.

use thiserror::Error;

/// The received tokens do not continue at the expected index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("tokens are missing: expected index {expected}, got {found}")]
pub(crate) struct Gap {
    expected: u64,
    found: u64,
}

/// Drops tokens that were already received and detects missing ones.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Cursor {
    next: u64,
}

impl Cursor {
    pub(crate) fn at(next: u64) -> Self {
        Self { next }
    }

    pub(crate) fn next(self) -> u64 {
        self.next
    }

    /// Returns the tokens of `texts` that are new, with the index of the first one.
    ///
    /// # Errors
    /// Fails if the tokens between the current position and `first_index` are missing.
    pub(crate) fn accept(
        &mut self,
        first_index: u64,
        mut texts: Vec<String>,
    ) -> Result<(u64, Vec<String>), Gap> {
        let already_sent = self.next.checked_sub(first_index).ok_or(Gap {
            expected: self.next,
            found: first_index,
        })?;
        let already_sent = usize::try_from(already_sent).unwrap_or(usize::MAX);
        let new_texts = texts.split_off(already_sent.min(texts.len()));
        let first = self.next;
        self.next += u64::try_from(new_texts.len()).unwrap_or(0);
        Ok((first, new_texts))
    }
}
