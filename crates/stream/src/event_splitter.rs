//! Splitting a byte stream into server-sent events.

use std::str::Utf8Error;

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Longest event, in bytes. Model engines send no events longer than this, and a faulty
/// one may send bytes without end on every stream of a small host.
const EVENT_MAX_BYTES: usize = 128 * 1024;

/// One complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The event's ID, if it has a numeric one.
    pub id: Option<u64>,
    /// Whether the event has data. Comments have none.
    pub has_data: bool,
    /// The event's bytes, including the empty line that ends it.
    pub bytes: Bytes,
}

impl Event {
    /// The event's data, whose lines are joined.
    ///
    /// # Errors
    /// It is not UTF-8.
    pub fn data(&self) -> Result<String, Utf8Error> {
        let values = lines(&self.bytes).filter_map(|line| line.strip_prefix(b"data:"));
        let values = values.map(|value| value.strip_prefix(b" ").unwrap_or(value));
        let texts: Result<Vec<_>, _> = values.map(std::str::from_utf8).collect();
        Ok(texts?.join("\n"))
    }
}

/// The bytes of a stream are no events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SplitError {
    /// An event is too long.
    #[error("an event has more than {EVENT_MAX_BYTES} bytes")]
    TooLong,
    /// A line has no field, as where an endpoint writes an error into a stream.
    #[error("a line of an event has no field")]
    NoField,
}

/// Splits bytes into complete events. An incomplete event is never returned.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Length of the prefix that is known to contain no end of an event.
    searched_bytes: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, if there is one.
    ///
    /// # Errors
    /// The incomplete event is too long, or the complete one has a line without a field.
    /// Both are returned by each further call too.
    pub fn next_event(&mut self) -> Result<Option<Event>, SplitError> {
        let Some(end) = self.find_end() else {
            if self.buffer.len() > EVENT_MAX_BYTES {
                return Err(SplitError::TooLong);
            }
            self.searched_bytes = self.buffer.len().saturating_sub(3);
            return Ok(None);
        };
        if !lines(self.buffer.get(..end).unwrap_or_default()).all(has_field) {
            return Err(SplitError::NoField);
        }
        let bytes = self.buffer.split_to(end).freeze();
        self.searched_bytes = 0;
        let has_data = lines(&bytes).any(|line| line.starts_with(b"data"));
        Ok(Some(Event {
            id: event_id(&bytes),
            has_data,
            bytes,
        }))
    }

    /// Returns the length of the first event, including the empty line that ends it.
    fn find_end(&self) -> Option<usize> {
        let rest = self.buffer.get(self.searched_bytes..)?;
        let position = rest.iter().enumerate().find_map(|(position, byte)| {
            if *byte != b'\n' {
                return None;
            }
            let after = rest.get(position + 1..)?;
            if after.first() == Some(&b'\n') {
                return Some(position + 2);
            }
            (after.get(..2) == Some(b"\r\n")).then_some(position + 3)
        })?;
        Some(self.searched_bytes + position)
    }

    /// Returns whether an incomplete event is buffered.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards the buffered bytes.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.searched_bytes = 0;
    }
}

/// The lines of an event, without the empty one that ends it.
fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    event
        .split(|byte| *byte == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
        .filter(|line| !line.is_empty())
}

/// Whether a line is a comment, or begins with the name of a field.
fn has_field(line: &[u8]) -> bool {
    let is_name_byte = |byte: &u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
    let name_bytes = line.iter().take_while(|byte| is_name_byte(byte)).count();
    line.get(name_bytes) == Some(&b':') || line == b"data"
}

fn event_id(event: &[u8]) -> Option<u64> {
    lines(event)
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}
