//! Response bodies.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;
use http_body::{Body, Frame, SizeHint};
use thiserror::Error;

/// A response body ended early. Its connection is closed, so that the body does
/// not look complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the response was interrupted")]
pub struct BodyInterrupted;

/// The body of a response.
pub enum ResponseBody {
    /// A buffered body; `None` if it is empty.
    Whole(Option<Bytes>),
    /// A streamed body.
    Pieces(LocalBoxStream<'static, Result<Bytes, BodyInterrupted>>),
}

impl std::fmt::Debug for ResponseBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Whole(_) => "Whole",
            Self::Pieces(_) => "Pieces",
        })
    }
}

impl From<Bytes> for ResponseBody {
    fn from(bytes: Bytes) -> Self {
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyInterrupted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyInterrupted>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Pieces(chunks) => chunks
                .as_mut()
                .poll_next(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(u64::try_from(length).unwrap_or(u64::MAX))
            }
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}

/// Why a body was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CollectError {
    /// The body is longer than allowed.
    #[error("the body is longer than allowed")]
    TooLong,
    /// The body was interrupted.
    #[error("the body was interrupted")]
    Interrupted,
}

/// Concatenates byte chunks. A single chunk is not copied.
#[derive(Debug, Default)]
pub(crate) struct ChunkJoiner {
    single: Option<Bytes>,
    joined: BytesMut,
}

impl ChunkJoiner {
    pub(crate) fn len(&self) -> usize {
        self.joined.len() + self.single.as_ref().map_or(0, Bytes::len)
    }

    pub(crate) fn push(&mut self, chunk: Bytes) {
        if self.len() == 0 {
            self.single = Some(chunk);
            return;
        }
        if let Some(single) = self.single.take() {
            self.joined.extend_from_slice(&single);
        }
        self.joined.extend_from_slice(&chunk);
    }

    pub(crate) fn into_bytes(self) -> Bytes {
        self.single.unwrap_or_else(|| self.joined.freeze())
    }
}

/// Reads a body to its end.
///
/// # Errors
/// The body is too long or was interrupted.
pub async fn collect(
    mut body: LocalBoxStream<'static, Result<Bytes, BodyInterrupted>>,
    max_bytes: usize,
) -> Result<Bytes, CollectError> {
    let mut joiner = ChunkJoiner::default();
    while let Some(chunk) = body.next().await {
        let chunk = chunk.map_err(|BodyInterrupted| CollectError::Interrupted)?;
        if joiner.len() + chunk.len() > max_bytes {
            return Err(CollectError::TooLong);
        }
        joiner.push(chunk);
    }
    Ok(joiner.into_bytes())
}
