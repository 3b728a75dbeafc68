//! Requests and retries of all boxes, and the bound that the platform sets for them.

use ochreyard_core::direct::RetryBudgetLimits;

/// Times at which callers sent requests and at which retries reached an endpoint, oldest first.
#[derive(Debug, Default)]
pub struct Arrivals {
    pub requests_ms: Vec<u64>,
    pub retries_ms: Vec<u64>,
}

impl Arrivals {
    /// Returns the most retries beyond the bound in any window; negative if the bound holds.
    ///
    /// The platform counts the requests in the window itself, in the one before it, or in the one half a window before
    /// it, whichever holds most, whether or not they reached a box.
    pub fn max_excess(&self, limits: RetryBudgetLimits) -> f64 {
        let excess_at = |end_ms| self.retries(limits, end_ms) - self.allowed(limits, end_ms);
        // The number of retries in a window is highest at windows that end with a retry.
        self.retries_ms.iter().map(|end_ms| excess_at(*end_ms)).fold(f64::NEG_INFINITY, f64::max)
    }

    /// Returns the share of the bound that the retries in the window before `end_ms` reach.
    pub fn used_share(&self, limits: RetryBudgetLimits, end_ms: u64) -> f64 {
        self.retries(limits, end_ms) / self.allowed(limits, end_ms)
    }

    fn retries(&self, limits: RetryBudgetLimits, end_ms: u64) -> f64 {
        count_within(&self.retries_ms, end_ms, limits.window_ms) as f64
    }

    fn allowed(&self, limits: RetryBudgetLimits, end_ms: u64) -> f64 {
        let offsets_ms = [0, limits.window_ms / 2, limits.window_ms];
        let ends_ms = offsets_ms.map(|offset_ms| end_ms.saturating_sub(offset_ms));
        let requests = ends_ms.map(|end_ms| count_within(&self.requests_ms, end_ms, limits.window_ms));
        limits.ratio * requests.into_iter().max().unwrap_or(0) as f64 + limits.fixed as f64
    }
}

/// Returns how many of the sorted times lie within the window that ends with `end_ms`.
fn count_within(times_ms: &[u64], end_ms: u64, window_ms: u64) -> usize {
    let until = times_ms.partition_point(|at_ms| *at_ms <= end_ms);
    let from = times_ms.partition_point(|at_ms| at_ms + window_ms <= end_ms);
    until - from.min(until)
}
