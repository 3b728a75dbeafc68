//! Why a connection returned no response head.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;

/// Why a request got no response head.
#[derive(Debug, thiserror::Error)]
pub enum SendFailure {
    /// No byte of the request was written.
    #[error("not sent")]
    NotSent(Box<Request<Full<Bytes>>>),
    /// The peer may have read the request.
    #[error("connection lost: {0}")]
    Lost(hyper::Error),
    /// The peer has sent something that is no head of an answer.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl From<hyper::Error> for SendFailure {
    fn from(error: hyper::Error) -> Self {
        if error.is_parse() { Self::Malformed(error.to_string()) } else { Self::Lost(error) }
    }
}
