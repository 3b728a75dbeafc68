//! Parses the `Retry-After` header of an answer.

/// Upper bound on a parsed time, in milliseconds. A peer that names more than an hour has most likely mistaken the
/// unit, and must not be excluded for that long.
pub const MAX_RETRY_AFTER_MS: u64 = 3_600_000;

const MS_PER_S: f64 = 1_000.0;

/// Why a `Retry-After` value could not be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ParseRetryAfterError {
    /// The value is not a number. Dates are not supported, because the clocks of two machines may differ.
    #[error("Retry-After is not a number of seconds")]
    NotSeconds,
    /// The value is negative.
    #[error("Retry-After is negative")]
    Negative,
}

/// Parses a number of seconds, with or without a fraction, and returns it in milliseconds, rounded up and at most
/// [`MAX_RETRY_AFTER_MS`].
///
/// # Errors
///
/// Returns a [`ParseRetryAfterError`] if `value` is not a number or is negative.
///
/// # Examples
///
/// ```
/// use ochreyard_core::retry_after::{ParseRetryAfterError, parse_ms};
///
/// assert_eq!(parse_ms("0.25"), Ok(250));
/// assert_eq!(parse_ms("soon"), Err(ParseRetryAfterError::NotSeconds));
/// ```
pub fn parse_ms(value: &str) -> Result<u64, ParseRetryAfterError> {
    let seconds: f64 = value.trim().parse().map_err(|_| ParseRetryAfterError::NotSeconds)?;
    if seconds.is_nan() {
        return Err(ParseRetryAfterError::NotSeconds);
    }
    if seconds < 0.0 {
        return Err(ParseRetryAfterError::Negative);
    }
    let ms = (seconds * MS_PER_S).ceil();
    Ok((ms as u64).min(MAX_RETRY_AFTER_MS))
}
