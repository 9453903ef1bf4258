//! Bodies of answers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;
use http_body::{Body, Frame, SizeHint};
use thiserror::Error;

/// An answer broke off; its connection is closed so that it can't look whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the answer broke off")]
pub struct BodyInterrupted;

/// The body of an answer.
pub enum ResponseBody {
    /// All of it is there.
    Whole(Option<Bytes>),
    /// It comes piece by piece.
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
            Self::Pieces(pieces) => pieces
                .as_mut()
                .poll_next(context)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
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

/// A body was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CollectError {
    /// It is longer than allowed.
    #[error("the body is longer than allowed")]
    TooLong,
    /// It broke off.
    #[error("the body broke off")]
    Interrupted,
}

/// Joins pieces; a single piece is not copied.
#[derive(Debug, Default)]
pub(crate) struct Joiner {
    only: Option<Bytes>,
    joined: BytesMut,
}

impl Joiner {
    pub(crate) fn len(&self) -> usize {
        self.joined.len() + self.only.as_ref().map_or(0, Bytes::len)
    }

    pub(crate) fn push(&mut self, piece: Bytes) {
        if self.len() == 0 {
            self.only = Some(piece);
            return;
        }
        if let Some(only) = self.only.take() {
            self.joined.extend_from_slice(&only);
        }
        self.joined.extend_from_slice(&piece);
    }

    pub(crate) fn into_bytes(self) -> Bytes {
        self.only.unwrap_or_else(|| self.joined.freeze())
    }
}

/// Reads a body to its end.
///
/// # Errors
/// It is too long, or breaks off.
pub async fn collect(
    mut body: LocalBoxStream<'static, Result<Bytes, BodyInterrupted>>,
    max_bytes: usize,
) -> Result<Bytes, CollectError> {
    let mut whole = Joiner::default();
    while let Some(piece) = body.next().await {
        let piece = piece.map_err(|BodyInterrupted| CollectError::Interrupted)?;
        if whole.len() + piece.len() > max_bytes {
            return Err(CollectError::TooLong);
        }
        whole.push(piece);
    }
    Ok(whole.into_bytes())
}
