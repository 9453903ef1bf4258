//! Bounded channels between the threads of a process.

use async_channel::{Receiver, Sender, TrySendError};
use thiserror::Error;

/// The sending half of a bounded channel.
#[derive(Debug)]
pub struct BoundedSender<T>(Sender<T>);

/// The receiving half of a bounded channel.
#[derive(Debug)]
pub struct BoundedReceiver<T>(Receiver<T>);

/// A channel did not accept an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SendError {
    /// The channel is at its capacity.
    #[error("the ring is full")]
    Full,
    /// All receivers have been dropped.
    #[error("the ring has no reader")]
    Closed,
}

/// Creates a channel that holds at most `capacity` items, and at least one.
#[must_use]
pub fn bounded_channel<T>(capacity: usize) -> (BoundedSender<T>, BoundedReceiver<T>) {
    let (sender, receiver) = async_channel::bounded(capacity.max(1));
    (BoundedSender(sender), BoundedReceiver(receiver))
}

impl<T> Clone for BoundedSender<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T> BoundedSender<T> {
    /// Sends an item without waiting.
    ///
    /// # Errors
    /// The channel is full or closed; the item is dropped.
    pub fn try_send(&self, item: T) -> Result<(), SendError> {
        self.0.try_send(item).map_err(|error| match error {
            TrySendError::Full(_) => SendError::Full,
            TrySendError::Closed(_) => SendError::Closed,
        })
    }

    /// Sends an item, waiting until the channel has capacity.
    ///
    /// # Errors
    /// The channel is closed; the item is dropped.
    pub async fn send(&self, item: T) -> Result<(), SendError> {
        self.0.send(item).await.map_err(|_| SendError::Closed)
    }

    /// Whether the receiving half has been dropped.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

impl<T> BoundedReceiver<T> {
    /// Waits for the next item; returns `None` once all senders are dropped.
    pub async fn recv(&self) -> Option<T> {
        self.0.recv().await.ok()
    }

    /// Returns the next item if one is queued.
    #[must_use]
    pub fn try_recv(&self) -> Option<T> {
        self.0.try_recv().ok()
    }

    /// Converts the receiver into a stream of its items.
    #[must_use]
    pub fn into_stream(self) -> Receiver<T> {
        self.0
    }
}
