//! The memory for the bodies of all requests to a process, however they are framed.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use lentil_core::ByteCount;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Bodies up to this size don't count. Ordinary requests are served while others use up the
/// memory, and the number of connections limits them.
const UNCOUNTED_BYTES: usize = 4 * 1024;
/// What a connection holds besides while it receives a body: the read buffer of the HTTP
/// library.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Smallest buffer of a body.
const CAPACITY_MIN_BYTES: usize = 1024;
/// Longest wait until a body that gives way has released its memory.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time in which an ordinary body is received. One that takes longer gives way to others
/// under [`Eviction::LargestOrSlow`], also if it is smaller than they.
const RECEIVE_TIME: Duration = Duration::from_millis(500);

/// Why a body is not read on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BodyRefused {
    /// It is longer than allowed.
    #[error("the body is longer than allowed")]
    TooLong,
    /// There is no memory for it beside the other requests' bodies.
    #[error("there is no memory for the body")]
    NoMemory,
}

/// Which bodies that are still being received give way if there is no memory for another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eviction {
    /// The largest one, if it is larger than the other.
    Largest,
    /// The largest one, if it is larger than the other, or else the one that is being received
    /// the longest. Many bodies of equal size that are received slowly, or whose senders have
    /// left, would otherwise refuse every larger one.
    LargestOrSlow,
}

/// Limits the memory of all bodies of a process. A body that is still being received gives
/// way to one that needs less, the largest first.
#[derive(Debug, Clone)]
pub struct BodyBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    max_bytes: usize,
    eviction: Eviction,
    state: Mutex<State>,
    /// Wakes the bodies that wait for memory.
    released: Notify,
}

#[derive(Debug, Default)]
struct State {
    used_bytes: usize,
    /// What bodies that were told to give way still hold.
    leaving_bytes: usize,
    /// Bodies that are being received, by their size and number.
    incomplete: BTreeMap<(usize, u64), Incomplete>,
    next_number: u64,
}

/// A body that is being received.
#[derive(Debug)]
struct Incomplete {
    since: Instant,
    evicted: Arc<Notify>,
}

impl State {
    /// Tells the largest body that holds more than `bytes` to give way. Returns `false` if
    /// there is none.
    fn evict_larger_than(&mut self, bytes: usize) -> bool {
        let Some(largest) = self.incomplete.last_entry() else {
            return false;
        };
        let (held_bytes, _) = *largest.key();
        if held_bytes <= bytes {
            return false;
        }
        largest.remove().evicted.notify_one();
        self.leaving_bytes += held_bytes;
        true
    }

    /// Tells the body that is being received the longest, other than number `own`, to give
    /// way. Returns `false` if none takes longer than ordinary ones.
    fn evict_slowest(&mut self, own: u64) -> bool {
        let slow_since = Instant::now().checked_sub(RECEIVE_TIME);
        let others = self.incomplete.iter().filter(|((_, it), _)| *it != own);
        let slowest = others.min_by_key(|(_, body)| body.since);
        let slowest = slowest.filter(|(_, body)| Some(body.since) <= slow_since);
        let Some(key) = slowest.map(|(key, _)| *key) else {
            return false;
        };
        if let Some(body) = self.incomplete.remove(&key) {
            body.evicted.notify_one();
            self.leaving_bytes += key.0;
        }
        true
    }
}

impl BodyBudget {
    /// Allows `max` for all bodies together. A single body is always allowed.
    #[must_use]
    pub fn new(max: ByteCount) -> Self {
        Self::with_eviction(max, Eviction::Largest)
    }

    /// Like [`Self::new`], with the choice of the bodies that give way.
    #[must_use]
    pub fn with_eviction(max: ByteCount, eviction: Eviction) -> Self {
        Self(Arc::new(Shared {
            max_bytes: usize::try_from(max.get()).unwrap_or(usize::MAX),
            eviction,
            state: Mutex::default(),
            released: Notify::new(),
        }))
    }

    /// Returns an empty buffer for a body of at most `max_bytes`.
    #[must_use]
    pub fn buffer(&self, max_bytes: usize) -> BodyBuffer {
        BodyBuffer {
            bytes: Vec::new(),
            max_bytes,
            reservation: self.reservation(),
        }
    }

    /// Returns the memory of a message that another library buffers.
    pub(crate) fn message(&self) -> MessageMemory {
        MessageMemory {
            received_bytes: 0,
            reservation: self.reservation(),
        }
    }

    fn reservation(&self) -> Reservation {
        let mut state = self.state();
        state.next_number += 1;
        Reservation {
            budget: self.clone(),
            number: state.next_number,
            held_bytes: 0,
            since: Instant::now(),
            stage: Stage::Uncounted,
            evicted: Arc::default(),
        }
    }

    /// Memory that counts towards the limit now.
    #[must_use]
    pub fn used(&self) -> ByteCount {
        ByteCount::new(u64::try_from(self.state().used_bytes).unwrap_or(u64::MAX))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a body's memory is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Nothing counts yet.
    Uncounted,
    /// The body is being received, and may have to give way.
    Receiving,
    /// The body is complete.
    Complete,
}

/// The memory that one body takes up. Dropping it releases the memory.
#[derive(Debug)]
struct Reservation {
    budget: BodyBudget,
    number: u64,
    held_bytes: usize,
    /// When the body began.
    since: Instant,
    stage: Stage,
    /// Notified when the body has to give way.
    evicted: Arc<Notify>,
}

impl Reservation {
    /// Sets what a body that is being received holds, once there is room.
    async fn grow_to(&mut self, bytes: usize) -> Result<(), BodyRefused> {
        let give_up_at = Instant::now() + RELEASE_TIMEOUT;
        let shared = Arc::clone(&self.budget.0);
        loop {
            let mut released = std::pin::pin!(shared.released.notified());
            released.as_mut().enable();
            if self.try_grow_to(bytes)? {
                return Ok(());
            }
            let wait = tokio::time::timeout_at(give_up_at, released).await;
            wait.map_err(|_| BodyRefused::NoMemory)?;
        }
    }

    /// Returns `false` if bodies that were told to give way still hold the memory.
    fn try_grow_to(&mut self, bytes: usize) -> Result<bool, BodyRefused> {
        let max_bytes = self.budget.0.max_bytes;
        let key = (self.held_bytes, self.number);
        let mut state = self.budget.state();
        if self.stage == Stage::Receiving && !state.incomplete.contains_key(&key) {
            return Err(BodyRefused::NoMemory);
        }
        let others_bytes = state.used_bytes - self.held_bytes;
        if others_bytes > 0 {
            while others_bytes - state.leaving_bytes + bytes > max_bytes {
                let may_evict_slow = self.budget.0.eviction == Eviction::LargestOrSlow;
                let has_evicted = state.evict_larger_than(bytes)
                    || (may_evict_slow && state.evict_slowest(self.number));
                if !has_evicted {
                    return Err(BodyRefused::NoMemory);
                }
            }
            if others_bytes + bytes > max_bytes {
                return Ok(false);
            }
        }
        state.incomplete.remove(&key);
        let body = Incomplete {
            since: self.since,
            evicted: Arc::clone(&self.evicted),
        };
        state.incomplete.insert((bytes, self.number), body);
        state.used_bytes = others_bytes + bytes;
        drop(state);
        self.held_bytes = bytes;
        self.stage = Stage::Receiving;
        Ok(true)
    }

    /// Sets what a body holds that has been received. From now on it does not give way.
    fn complete(&mut self, bytes: usize) -> Result<(), BodyRefused> {
        if self.stage == Stage::Uncounted {
            return Ok(());
        }
        let mut state = self.budget.state();
        let key = (self.held_bytes, self.number);
        if state.incomplete.remove(&key).is_none() {
            return Err(BodyRefused::NoMemory);
        }
        state.used_bytes = state.used_bytes - self.held_bytes + bytes;
        drop(state);
        self.held_bytes = bytes;
        self.stage = Stage::Complete;
        self.budget.0.released.notify_waiters();
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.budget.state();
        state.used_bytes -= self.held_bytes;
        let key = (self.held_bytes, self.number);
        if self.stage == Stage::Receiving && state.incomplete.remove(&key).is_none() {
            state.leaving_bytes -= self.held_bytes;
        }
        drop(state);
        if self.stage != Stage::Uncounted {
            self.budget.0.released.notify_waiters();
        }
    }
}

/// The body of one request while it is received.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    max_bytes: usize,
    reservation: Reservation,
}

/// The memory of a message while another library receives it.
#[derive(Debug)]
pub(crate) struct MessageMemory {
    received_bytes: usize,
    reservation: Reservation,
}

impl MessageMemory {
    /// Counts received bytes. Waits if others have to give way first.
    pub(crate) async fn add(&mut self, bytes: usize) -> Result<(), BodyRefused> {
        self.received_bytes += bytes;
        let is_counted = self.received_bytes > UNCOUNTED_BYTES;
        if !is_counted || self.received_bytes <= self.reservation.held_bytes {
            return Ok(());
        }
        let held_bytes = self.received_bytes.next_multiple_of(READ_BUFFER_BYTES);
        self.reservation.grow_to(held_bytes).await
    }

    /// Returns once this message has to give way.
    pub(crate) async fn evicted(&self) {
        self.reservation.evicted.notified().await;
    }
}

/// A complete body with its reservation.
struct CompleteBody {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for CompleteBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyBuffer {
    /// Checks the length that a request announces.
    ///
    /// # Errors
    /// It is longer than allowed.
    pub fn check_announced(&self, bytes: u64) -> Result<(), BodyRefused> {
        let fits = usize::try_from(bytes).is_ok_and(|bytes| bytes <= self.max_bytes);
        fits.then_some(()).ok_or(BodyRefused::TooLong)
    }

    /// Appends received bytes. Waits if other bodies have to give way first.
    ///
    /// # Errors
    /// The body is too long, or there is no memory for it. It must not be read on.
    pub async fn push(&mut self, chunk: &[u8]) -> Result<(), BodyRefused> {
        let length = self.bytes.len() + chunk.len();
        if length > self.max_bytes {
            return Err(BodyRefused::TooLong);
        }
        if length > self.bytes.capacity() {
            let doubled = (self.bytes.capacity() * 2).max(CAPACITY_MIN_BYTES);
            let capacity = doubled.min(self.max_bytes).max(length);
            if capacity > UNCOUNTED_BYTES {
                let held_bytes = capacity + READ_BUFFER_BYTES;
                self.reservation.grow_to(held_bytes).await?;
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }

    /// Returns once this body has to give way.
    pub async fn evicted(&self) {
        self.reservation.evicted.notified().await;
    }

    /// Returns the complete body. Its memory counts until the last clone is dropped.
    ///
    /// # Errors
    /// The body had to give way.
    pub fn finish(mut self) -> Result<Bytes, BodyRefused> {
        self.bytes.shrink_to_fit();
        self.reservation.complete(self.bytes.len())?;
        if self.reservation.stage == Stage::Uncounted {
            return Ok(Bytes::from(self.bytes));
        }
        Ok(Bytes::from_owner(CompleteBody {
            bytes: self.bytes,
            _reservation: self.reservation,
        }))
    }
}
