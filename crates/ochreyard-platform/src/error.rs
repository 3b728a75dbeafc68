//! What can go wrong with the platform's services.

use ochreyard_core::error_kind::ErrorKind;

/// Why the platform gave no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// No answer, or a broken one: an append may have taken effect all the same.
    #[error("the platform cannot be reached: {0}")]
    Unavailable(String),
    /// It refused for now.
    #[error("the platform asks to wait {retry_after_ms} ms")]
    Busy {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
}

impl PlatformError {
    /// The kind in the closed list.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        ErrorKind::PlatformUnavailable
    }
}
