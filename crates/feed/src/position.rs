//! Positions in the log, which may come back from an older copy.

use std::fmt;

use lentil_core::{Offset, StoreEra};

/// A position in a topic of the log.
///
/// When the store comes back from an older copy, the offsets of the records that it has lost are
/// given out again. An offset therefore counts only within its era, and every position of a later
/// era is behind all those of an earlier one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// The era of the store.
    pub era: StoreEra,
    /// The offset in this era.
    pub offset: Offset,
}

impl Position {
    /// Creates a position.
    #[must_use]
    pub const fn new(era: StoreEra, offset: Offset) -> Self {
        Self { era, offset }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of era {}", self.offset, self.era)
    }
}
