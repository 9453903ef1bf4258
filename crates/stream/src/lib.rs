//! Delivery of the tokens of one generation in order and exactly once.
//!
//! The agent keeps the tokens of each generation by index in [`GenerationStore`]. An entry writes
//! index n+1 only after index n, which [`Cursor`] ensures. Any entry can resume a held generation
//! at any index. [`EventSplitter`] reads the events that engines write.

mod cursor;
mod event_splitter;
mod generation_store;
mod journal;

pub use cursor::{Cursor, CursorStep, OutputToken, StreamEvent};
pub use event_splitter::{Event, EventSplitter, SplitError};
pub use generation_store::{
    Counters, EngineCommand, GenerationStore, GenerationStoreError, Limits, Retention,
};
pub use journal::{GenerationEnd, JournalError, PushResult, ReadResult, TokenJournal};
