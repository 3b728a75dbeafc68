//! The body of an answer to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::LocalBoxStream;
use http_body::{Body, Frame, SizeHint};

use crate::buffered_bytes::BufferedBytes;
use crate::dialect::Dialect;

/// Most that is handed over at a time of a body that is held for a caller.
const HELD_PIECE_BYTES: usize = 64 << 10;

/// The answer could not be completed. The caller's connection is closed, so that a partial answer never looks complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the answer was aborted")]
pub struct AnswerAborted;

/// A complete body, or one that arrives in pieces.
pub enum AnswerBody {
    /// All bytes; `None` once they have been taken.
    Complete(Option<Bytes>),
    /// Pieces as they arrive.
    Pieces {
        /// The pieces.
        pieces: LocalBoxStream<'static, Result<Bytes, AnswerAborted>>,
        /// Length of the whole body, if known.
        length_bytes: Option<u64>,
    },
}

impl AnswerBody {
    /// Creates a complete body from these bytes.
    #[must_use]
    pub fn complete(bytes: impl Into<Bytes>) -> Self {
        Self::Complete(Some(bytes.into()).filter(|bytes| !bytes.is_empty()))
    }

    /// Creates a complete body whose bytes stay counted until the caller has taken them.
    #[must_use]
    pub fn held<D: Dialect>(bytes: Bytes, buffer: BufferedBytes<D>) -> Self {
        if bytes.is_empty() {
            return Self::complete(bytes);
        }
        let length_bytes = Some(bytes.len() as u64);
        let pieces = futures::stream::unfold((bytes, buffer), |(mut rest, buffer)| async move {
            let piece = rest.split_to(rest.len().min(HELD_PIECE_BYTES));
            (!piece.is_empty()).then_some((Ok(piece), (rest, buffer)))
        });
        Self::Pieces { pieces: pieces.boxed_local(), length_bytes }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerAborted;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, AnswerAborted>>> {
        match self.get_mut() {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Pieces { pieces, .. } => {
                pieces.poll_next_unpin(cx).map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Self::Pieces { length_bytes, .. } => length_bytes.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
