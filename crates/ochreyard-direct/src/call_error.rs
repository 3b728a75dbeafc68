//! Why a call over a [`HttpClient`](crate::CallLink) gave no answer.

use crate::exchange::ExchangeError;

/// Why a call gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The connection did not come up.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// No whole answer came in time.
    #[error("no answer in {0} ms")]
    Timeout(u128),
    /// What was to be sent cannot be written as a request.
    #[error("cannot be sent: {0}")]
    InvalidRequest(String),
    /// The connection broke.
    #[error("connection lost: {0}")]
    ConnectionLost(String),
}

impl From<ExchangeError> for CallError {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::Unreachable(error) => Self::Connect(error.to_string()),
            ExchangeError::Lost(error) => error.into(),
            error @ (ExchangeError::Unwanted | ExchangeError::ClosedBeforeSend) => {
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
