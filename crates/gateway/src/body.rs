//! Bodies of answers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use http_body::{Body, Frame, SizeHint};
use thiserror::Error;

/// An answer broke off; its connection is closed so that it can't look whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the answer broke off")]
pub struct Broken;

/// The body of an answer.
pub enum AnswerBody {
    /// All of it is there.
    Whole(Option<Bytes>),
    /// It comes piece by piece.
    Pieces(LocalBoxStream<'static, Result<Bytes, Broken>>),
}

impl std::fmt::Debug for AnswerBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Whole(_) => "Whole",
            Self::Pieces(_) => "Pieces",
        })
    }
}

impl From<Bytes> for AnswerBody {
    fn from(bytes: Bytes) -> Self {
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
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
