//! Why a connection gave no head of an answer.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;

/// Why a request got no head of an answer.
#[derive(Debug, thiserror::Error)]
pub enum SendFailure {
    /// No byte of it was written.
    #[error("not sent")]
    NotSent(Box<Request<Full<Bytes>>>),
    /// It may have been read.
    #[error("lost: {0}")]
    Lost(hyper::Error),
}
