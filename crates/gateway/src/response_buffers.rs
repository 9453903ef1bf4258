//! The memory for responses that are read whole before they are passed on.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;

use crate::body::{BodyInterrupted, ChunkJoiner, CollectError};

/// Largest response that is buffered, in bytes.
const RESPONSE_MAX_BYTES: usize = 1024 * 1024;
/// Largest size of all buffered responses together, in bytes.
const TOTAL_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Size up to which a response does not count towards the total, so that ordinary
/// responses are served while faulty endpoints send bytes without end.
const UNCOUNTED_BYTES: usize = 16 * 1024;

/// Limits the memory of all buffered responses.
#[derive(Debug, Default)]
pub(crate) struct ResponseBuffers {
    used_bytes: Rc<Cell<usize>>,
}

/// The bytes that one response takes up. Dropping it releases them.
struct Reservation {
    used_bytes: Rc<Cell<usize>>,
    reserved_bytes: usize,
}

impl Reservation {
    /// Grows the reservation; returns `false` if a limit would be exceeded.
    fn grow_to(&mut self, bytes: usize) -> bool {
        let counted = bytes.saturating_sub(UNCOUNTED_BYTES);
        let used = self.used_bytes.get() - self.reserved_bytes + counted;
        if bytes > RESPONSE_MAX_BYTES || used > TOTAL_MAX_BYTES {
            return false;
        }
        self.used_bytes.set(used);
        self.reserved_bytes = counted;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let used = self.used_bytes.get();
        self.used_bytes.set(used - self.reserved_bytes);
    }
}

impl ResponseBuffers {
    /// Reads a body to its end.
    ///
    /// # Errors
    /// The body was interrupted, is too long, or there is no memory left for it.
    pub(crate) async fn collect(
        &self,
        mut body: LocalBoxStream<'static, Result<Bytes, BodyInterrupted>>,
    ) -> Result<Bytes, CollectError> {
        let mut reservation = Reservation {
            used_bytes: Rc::clone(&self.used_bytes),
            reserved_bytes: 0,
        };
        let mut joiner = ChunkJoiner::default();
        while let Some(chunk) = body.next().await {
            let chunk = chunk.map_err(|BodyInterrupted| CollectError::Interrupted)?;
            if !reservation.grow_to(joiner.len() + chunk.len()) {
                return Err(CollectError::TooLong);
            }
            joiner.push(chunk);
        }
        Ok(joiner.into_bytes())
    }
}
