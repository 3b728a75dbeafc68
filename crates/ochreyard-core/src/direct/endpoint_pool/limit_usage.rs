//! What limits leave to one box.

/// What endpoints of one service take from all boxes together, and what this box sends of it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LimitUsage {
    /// Endpoints that name a limit.
    pub endpoints: usize,
    /// The sum of their limits, in requests a second.
    pub limit_per_s: f64,
    /// The part of this box, in requests a second.
    pub share_per_s: f64,
    /// What this box sends, in requests a second.
    pub sent_per_s: f64,
}
