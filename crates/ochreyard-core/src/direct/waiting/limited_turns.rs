//! Turns of waiting requests where all endpoints of a service state rate limits.

use crate::direct::endpoint_pool::LimitUsage;

/// How long the turns stay valid after this box has used up its share, in milliseconds: the first request of the queue
/// is tried several times within it.
const MAX_AGE_MS: u64 = 50;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// The turns that the rate limits of a service leave to this box.
#[derive(Debug, Clone, Copy)]
pub struct LimitedTurns {
    first_ms: u64,
    /// Time between two turns; `None` where this box has no share of any limit.
    interval_ms: Option<u64>,
    updated_ms: u64,
}

impl LimitedTurns {
    /// Creates turns of which the first comes at `first_ms`, and further ones at the rate of this box's share.
    pub fn new(first_ms: u64, usage: LimitUsage, now_ms: u64) -> Self {
        let has_share = usage.share_per_s > 0.0;
        Self { first_ms, interval_ms: has_share.then_some((MS_PER_S / usage.share_per_s) as u64), updated_ms: now_ms }
    }

    /// Returns whether the turns are recent enough to be used.
    pub const fn is_recent(&self, now_ms: u64) -> bool {
        now_ms < self.updated_ms + MAX_AGE_MS
    }

    /// Returns when a request may be sent that has `ahead` others before it.
    pub fn turn_ms(&self, ahead: usize) -> u64 {
        let after_first_ms = self.interval_ms.map_or(u64::MAX, |interval_ms| interval_ms.saturating_mul(ahead as u64));
        if ahead == 0 { self.first_ms } else { self.first_ms.saturating_add(after_first_ms) }
    }
}
