//! Limits of the retry budget.

/// Limits of the retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Retries that all boxes together may send in a window beyond the ratio.
    pub fixed: u64,
    /// Length of the sliding window, in milliseconds.
    pub window_ms: u64,
}
