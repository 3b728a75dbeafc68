//! Reads the time that a peer names in `Retry-After`.

/// Longer times count as this one, in milliseconds: an hour. A peer that names more has most likely
/// mistaken the unit, and must not be lost for good by it.
pub const MAX_RETRY_AFTER_MS: u64 = 3_600_000;

const MS_PER_S: f64 = 1_000.0;

/// Why a `Retry-After` names no time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ParseRetryAfterError {
    /// It is no number: a date, which the clocks of two machines need not agree on, or anything else.
    #[error("not a number of seconds")]
    NotSeconds,
    /// It is below zero.
    #[error("below zero")]
    Negative,
}

/// The milliseconds that `value` names in seconds, with or without a fraction, rounded up.
///
/// # Errors
///
/// When it names no time from now on.
///
/// # Examples
///
/// ```
/// use ochreyard_core::retry_after::{NoRetryAfter, parse_ms};
///
/// assert_eq!(parse_ms("0.25"), Ok(250));
/// assert_eq!(parse_ms("soon"), Err(NoRetryAfter::NotSeconds));
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
