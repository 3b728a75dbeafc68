//! When those that wait get their turn where all endpoints of a service name limits.

use crate::direct::endpoint_pool::LimitUsage;

/// How long it counts that this box had used its part, in milliseconds: who is first in line looks several times within it.
const LIFE_MS: u64 = 50;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// The turns that the limits of a service leave to this box.
#[derive(Debug, Clone, Copy)]
pub struct LimitedTurns {
    first_ms: u64,
    /// `None` where this box has no part of any limit.
    interval_ms: Option<u64>,
    noted_ms: u64,
}

impl LimitedTurns {
    /// The next request may go at `first_ms`, and others by this box's part.
    pub fn new(first_ms: u64, part: LimitUsage, now_ms: u64) -> Self {
        let has_part = part.share_per_s > 0.0;
        Self { first_ms, interval_ms: has_part.then_some((MS_PER_S / part.share_per_s) as u64), noted_ms: now_ms }
    }

    /// Whether that was noted just now.
    pub const fn is_recent(&self, now_ms: u64) -> bool {
        now_ms < self.noted_ms + LIFE_MS
    }

    /// When a request may go that has so many before it.
    pub fn turn_ms(&self, ahead: usize) -> u64 {
        let after_first_ms = self.interval_ms.map_or(u64::MAX, |interval_ms| interval_ms.saturating_mul(ahead as u64));
        if ahead == 0 { self.first_ms } else { self.first_ms.saturating_add(after_first_ms) }
    }
}
