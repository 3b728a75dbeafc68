//! The body of an answer to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::LocalBoxStream;
use http_body::{Body, Frame, SizeHint};

/// The answer could not be brought to its end; the caller's connection is broken off,
/// so that half an answer never looks whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the answer was broken off")]
pub struct AnswerAborted;

/// A whole body, or one that arrives piece by piece.
pub enum AnswerBody {
    /// All bytes; `None` once they have been taken.
    Whole(Option<Bytes>),
    /// Pieces as they come.
    Pieces(LocalBoxStream<'static, Result<Bytes, AnswerAborted>>),
}

impl AnswerBody {
    /// A body of these bytes.
    #[must_use]
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()).filter(|bytes| !bytes.is_empty()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerAborted;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, AnswerAborted>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Pieces(pieces) => pieces.poll_next_unpin(cx).map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
