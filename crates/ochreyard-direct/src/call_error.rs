//! Why a call of an [`HttpClient`](crate::HttpClient) failed.

use crate::exchange::ExchangeError;

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// No complete answer arrived in time.
    #[error("no answer in {0} ms")]
    Timeout(u128),
    /// The message or its head cannot be written as an HTTP request.
    #[error("invalid request: {0}")]
    InvalidRequest(String),
    /// The connection broke.
    #[error("connection lost: {0}")]
    ConnectionLost(String),
    /// The answer is malformed, or longer than allowed.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl From<ExchangeError> for CallError {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::Unreachable(error) => Self::Connect(error.to_string()),
            ExchangeError::Lost(error) => error.into(),
            ExchangeError::Malformed(problem) => Self::Malformed(problem),
            error @ (ExchangeError::Withheld | ExchangeError::ClosedBeforeSend) => {
                Self::ConnectionLost(error.to_string())
            }
        }
    }
}

impl From<hyper::Error> for CallError {
    fn from(error: hyper::Error) -> Self {
        Self::ConnectionLost(error.to_string())
    }
}
