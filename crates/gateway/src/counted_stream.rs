//! Counts what a peer sends, to limit bytes without content and to notice a request
//! that is being sent.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Counts the bytes that were read since it was last reset.
#[derive(Debug, Clone)]
pub(crate) struct InboundCounter {
    bytes: Rc<Cell<usize>>,
    max_bytes: usize,
}

impl InboundCounter {
    /// Starts to count anew.
    pub(crate) fn reset(&self) {
        self.bytes.set(0);
    }

    /// Returns whether nothing was read since the last reset.
    pub(crate) fn is_zero(&self) -> bool {
        self.bytes.get() == 0
    }

    fn add(&self, bytes: usize) -> io::Result<()> {
        let total = self.bytes.get().saturating_add(bytes);
        self.bytes.set(total);
        if total > self.max_bytes {
            let text = format!("{total} bytes without content");
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        }
        Ok(())
    }
}

/// A connection that fails once its peer has sent more bytes than allowed since its
/// counter was reset.
#[derive(Debug)]
pub(crate) struct CountedStream {
    stream: TcpStream,
    counter: InboundCounter,
}

impl CountedStream {
    pub(crate) fn new(stream: TcpStream, max_bytes: usize) -> (Self, InboundCounter) {
        let counter = InboundCounter {
            bytes: Rc::default(),
            max_bytes,
        };
        let counted = Self {
            stream,
            counter: counter.clone(),
        };
        (counted, counter)
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.counter.add(buffer.filled().len() - filled))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }
}
