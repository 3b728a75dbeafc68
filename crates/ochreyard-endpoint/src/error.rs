//! What can go wrong with a call to the endpoint.

use ochreyard_core::error_kind::ErrorKind;

/// Why the endpoint gave no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum EndpointError {
    /// No connection could be made: the endpoint never had the request.
    #[error("the endpoint cannot be connected to: {0}")]
    Down(#[source] reqwest::Error),
    /// The endpoint had the request, or may have had it.
    #[error("the endpoint failed: {0}")]
    Failed(#[source] reqwest::Error),
}

impl EndpointError {
    /// The kind in the closed list.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::Down(_) => ErrorKind::EndpointDown,
            Self::Failed(_) => ErrorKind::EndpointFailed,
        }
    }
}

impl From<reqwest::Error> for EndpointError {
    fn from(error: reqwest::Error) -> Self {
        if error.is_connect() || error.is_builder() { Self::Down(error) } else { Self::Failed(error) }
    }
}
