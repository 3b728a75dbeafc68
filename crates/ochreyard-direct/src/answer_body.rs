//! The body of an answer to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::LocalBoxStream;
use http_body::{Body, Frame, SizeHint};

/// The answer could not be completed. The caller's connection is closed, so that a partial answer never looks complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the answer was aborted")]
pub struct AnswerAborted;

/// A complete body, or one that arrives in pieces.
pub enum AnswerBody {
    /// All bytes; `None` once they have been taken.
    Complete(Option<Bytes>),
    /// Pieces as they arrive.
    Pieces(LocalBoxStream<'static, Result<Bytes, AnswerAborted>>),
}

impl AnswerBody {
    /// Creates a complete body from these bytes.
    #[must_use]
    pub fn complete(bytes: impl Into<Bytes>) -> Self {
        Self::Complete(Some(bytes.into()).filter(|bytes| !bytes.is_empty()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerAborted;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, AnswerAborted>>> {
        match self.get_mut() {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Pieces(pieces) => pieces.poll_next_unpin(cx).map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
