//! Errors of calls to the endpoint.

use ochreyard_core::error_kind::ErrorKind;

/// Why the endpoint returned no complete answer.
#[derive(Debug, thiserror::Error)]
pub enum EndpointError {
    /// No connection could be established, so the endpoint never received the request.
    #[error("the endpoint cannot be connected to: {0}")]
    Down(#[source] reqwest::Error),
    /// The endpoint received the request, or may have received it.
    #[error("the endpoint failed: {0}")]
    Failed(#[source] reqwest::Error),
    /// The endpoint received the request, and sends more than an answer may have.
    #[error("the answer of the endpoint is longer than {max_bytes} bytes")]
    TooLong {
        /// Allowed length in bytes.
        max_bytes: usize,
    },
    /// The endpoint answered with a status that does not exist. It may have run the request.
    #[error("the endpoint answered with status {status}, which does not exist")]
    InvalidStatus {
        /// The status.
        status: u16,
    },
    /// The endpoint sent something other than the document that was asked for.
    #[error("the answer of the endpoint is unreadable: {0}")]
    Unreadable(#[source] serde_json::Error),
}

impl EndpointError {
    /// Returns the matching error kind.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::Down(_) => ErrorKind::EndpointDown,
            Self::Failed(_) | Self::TooLong { .. } | Self::InvalidStatus { .. } | Self::Unreadable(_) => {
                ErrorKind::EndpointFailed
            }
        }
    }
}

impl From<reqwest::Error> for EndpointError {
    fn from(error: reqwest::Error) -> Self {
        if error.is_connect() || error.is_builder() { Self::Down(error) } else { Self::Failed(error) }
    }
}
