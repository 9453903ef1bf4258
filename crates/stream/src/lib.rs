//! Tokens exactly once and in order, from one generation.
//!
//! The agent keeps each generation's tokens by index in [`GenerationStore`]; an entry
//! writes index n+1 only after n, which [`Cursor`] decides. Any entry reads a
//! held generation on from any index.

mod cursor;
mod generation_store;
mod journal;

pub use cursor::{Cursor, CursorStep, OutputToken, StreamEvent};
pub use generation_store::{
    Counters, EngineCommand, GenerationStore, GenerationStoreError, Limits, Retention,
};
pub use journal::{GenerationEnd, JournalError, PushResult, ReadResult, TokenJournal};
