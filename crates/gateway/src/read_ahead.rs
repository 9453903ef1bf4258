//! Reading streams ahead of callers that read slowly.
//!
//! An engine aborts an answer that stays unread for some seconds. The gateway therefore reads
//! on, within a limit for each stream and one for all.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use crate::body::BodyInterrupted;

/// Most bytes that are buffered for one stream.
const STREAM_MAX_BYTES: usize = 256 * 1024;
/// Most bytes that are buffered for all streams.
const TOTAL_MAX_BYTES: usize = 8 * 1024 * 1024;

type Chunk = Result<Bytes, BodyInterrupted>;

/// What was read of one stream and not yet taken by its caller.
#[derive(Debug, Default)]
struct Buffer {
    chunks: RefCell<VecDeque<Chunk>>,
    bytes: Cell<usize>,
    has_ended: Cell<bool>,
    /// Wakes the caller's side.
    filled: Notify,
    /// Wakes the side that reads from the engine.
    drained: Notify,
}

impl Buffer {
    fn has_room(&self, bytes: usize) -> bool {
        self.bytes.get() == 0 || self.bytes.get() + bytes <= STREAM_MAX_BYTES
    }
}

/// One stream that is read ahead.
#[derive(Debug)]
struct Reader {
    buffer: Rc<Buffer>,
    task: Option<AbortHandle>,
}

/// The streams that are read ahead of their callers.
#[derive(Debug, Default)]
pub(crate) struct ReadAhead {
    readers: RefCell<BTreeMap<u64, Reader>>,
    next_key: Cell<u64>,
    total_bytes: Cell<usize>,
}

/// Ends the reading of a stream when its caller's side is dropped.
struct CallerSide {
    key: u64,
    buffer: Rc<Buffer>,
    shared: Rc<ReadAhead>,
}

impl Drop for CallerSide {
    fn drop(&mut self) {
        let reader = self.shared.readers.borrow_mut().remove(&self.key);
        self.shared.subtract(self.buffer.bytes.take());
        if let Some(task) = reader.and_then(|reader| reader.task) {
            task.abort();
        }
    }
}

impl CallerSide {
    async fn next(&self) -> Option<Chunk> {
        loop {
            let chunk = self.buffer.chunks.borrow_mut().pop_front();
            if let Some(chunk) = chunk {
                let bytes = chunk.as_ref().map_or(0, Bytes::len);
                self.buffer.bytes.set(self.buffer.bytes.get() - bytes);
                self.shared.subtract(bytes);
                self.buffer.drained.notify_one();
                return Some(chunk);
            }
            if self.buffer.has_ended.get() {
                return None;
            }
            self.buffer.filled.notified().await;
        }
    }
}

impl ReadAhead {
    /// Returns a stream with the same chunks as `source`, which is read as long as there is
    /// room. Dropping it drops `source`.
    pub(crate) fn start(
        self: &Rc<Self>,
        source: LocalBoxStream<'static, Chunk>,
    ) -> LocalBoxStream<'static, Chunk> {
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        let buffer = Rc::<Buffer>::default();
        let reader = Reader {
            buffer: Rc::clone(&buffer),
            task: None,
        };
        self.readers.borrow_mut().insert(key, reader);
        let caller = CallerSide {
            key,
            buffer: Rc::clone(&buffer),
            shared: Rc::clone(self),
        };
        let task = tokio::task::spawn_local(Rc::clone(self).fill(source, buffer));
        if let Some(reader) = self.readers.borrow_mut().get_mut(&key) {
            reader.task = Some(task.abort_handle());
        }
        futures_util::stream::unfold(caller, |caller| async move {
            let chunk = caller.next().await?;
            Some((chunk, caller))
        })
        .boxed_local()
    }

    async fn fill(self: Rc<Self>, mut source: LocalBoxStream<'static, Chunk>, buffer: Rc<Buffer>) {
        while let Some(chunk) = source.next().await {
            let bytes = chunk.as_ref().map_or(0, Bytes::len);
            while !buffer.has_room(bytes) {
                buffer.drained.notified().await;
            }
            buffer.chunks.borrow_mut().push_back(chunk);
            buffer.bytes.set(buffer.bytes.get() + bytes);
            self.total_bytes.set(self.total_bytes.get() + bytes);
            buffer.filled.notify_one();
            while self.total_bytes.get() > TOTAL_MAX_BYTES && self.disconnect_slowest() {}
            if buffer.has_ended.get() {
                return;
            }
        }
        buffer.has_ended.set(true);
        buffer.filled.notify_one();
    }

    fn subtract(&self, bytes: usize) {
        self.total_bytes.set(self.total_bytes.get() - bytes);
    }

    /// Interrupts the stream for which most is buffered. Returns `false` if there is none.
    fn disconnect_slowest(&self) -> bool {
        let readers = self.readers.borrow();
        let slowest = readers.values().max_by_key(|it| it.buffer.bytes.get());
        let Some(slowest) = slowest.filter(|it| it.buffer.bytes.get() > 0) else {
            return false;
        };
        let bytes = slowest.buffer.bytes.take();
        self.subtract(bytes);
        log::info!(buffered_bytes = bytes, streams = readers.len(); "disconnected the caller that reads slowest");
        let interrupted = VecDeque::from([Err(BodyInterrupted)]);
        slowest.buffer.chunks.replace(interrupted);
        slowest.buffer.has_ended.set(true);
        slowest.buffer.filled.notify_one();
        if let Some(task) = &slowest.task {
            task.abort();
        }
        true
    }
}
