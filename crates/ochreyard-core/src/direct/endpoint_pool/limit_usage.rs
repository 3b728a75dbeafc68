//! The use of rate limits by this box.

/// The limits of one service's endpoints and their use by this box.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LimitUsage {
    /// Endpoints that report a limit.
    pub endpoints: usize,
    /// The sum of these limits, in requests per second.
    pub limit_per_s: f64,
    /// The share of this box, in requests per second.
    pub share_per_s: f64,
    /// The rate at which this box sends requests, in requests per second.
    pub sent_per_s: f64,
}
