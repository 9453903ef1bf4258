//! Splitting a stream into its events.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Longest event, in bytes; a longer one is no event of a model engine.
const EVENT_MAX_BYTES: usize = 1024 * 1024;

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its number, if it has one.
    pub id: Option<u64>,
    /// Its bytes, with the empty line that ends it.
    pub bytes: Bytes,
}

/// The stream holds no events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("an event has more than {EVENT_MAX_BYTES} bytes")]
pub struct SplitError;

/// Cuts bytes into whole events; what is broken off is never given out.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes that were searched for an end before.
    searched: usize,
}

impl EventSplitter {
    /// Takes bytes as they come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event.
    ///
    /// # Errors
    /// What has come is longer than any event.
    pub fn next_event(&mut self) -> Result<Option<Event>, SplitError> {
        let Some(end) = self.find_end() else {
            if self.buffer.len() > EVENT_MAX_BYTES {
                return Err(SplitError);
            }
            self.searched = self.buffer.len().saturating_sub(3);
            return Ok(None);
        };
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        Ok(Some(Event {
            id: number(&bytes),
            bytes,
        }))
    }

    /// The end of the first event: after an empty line.
    fn find_end(&self) -> Option<usize> {
        let rest = self.buffer.get(self.searched..)?;
        let place = rest.iter().enumerate().find_map(|(place, byte)| {
            if *byte != b'\n' {
                return None;
            }
            let after = rest.get(place + 1..)?;
            if after.first() == Some(&b'\n') {
                return Some(place + 2);
            }
            (after.get(..2) == Some(b"\r\n")).then_some(place + 3)
        })?;
        Some(self.searched + place)
    }

    /// Whether an event was begun and not ended.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Forgets what was begun.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }
}

fn number(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}
