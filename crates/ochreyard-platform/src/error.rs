//! Errors of the platform's services.

use ochreyard_core::error_kind::ErrorKind;

/// Why the platform gave no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The platform gave no answer or an invalid one. An append may have taken effect nevertheless.
    #[error("the platform cannot be reached: {0}")]
    Unavailable(String),
    /// The platform refused the call for now.
    #[error("the platform asks to wait {retry_after_ms} ms")]
    Busy {
        /// Time to wait before the next call, in milliseconds.
        retry_after_ms: u64,
    },
}

impl PlatformError {
    /// Returns the kind of this error in the closed list of error kinds.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        ErrorKind::PlatformUnavailable
    }
}
