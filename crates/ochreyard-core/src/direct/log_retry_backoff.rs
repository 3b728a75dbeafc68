//! Backoff of calls to the platform's log while they fail.

use super::read_role::ReadRole;

/// First delay of a box that is a source of others, in milliseconds.
const FIRST_DELAY_MS: u64 = 250;
/// Largest number of doublings of the first delay; it keeps the shift within a `u64`, and is never the effective limit.
const MAX_DOUBLINGS: u32 = 16;

/// Exponential backoff with a limit and with jitter, so that boxes that failed together do not retry together.
///
/// Readers and relays notice soon that the log has recovered. All boxes do within the time after which a leaving
/// endpoint must get no more requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct LogRetryBackoff {
    failures: u32,
}

impl LogRetryBackoff {
    /// Returns the delay of a box of this role after one more failure, in milliseconds: between half and all of the
    /// present maximum, by `draw`, a uniformly distributed random number. A leaving endpoint must get no more requests
    /// after `leave_propagation_ms`.
    pub fn next_delay_ms(&mut self, role: ReadRole, leave_propagation_ms: u64, draw: u64) -> u64 {
        let (first_ms, limit_ms) = match role {
            ReadRole::Reader | ReadRole::Relay => (FIRST_DELAY_MS, leave_propagation_ms / 2),
            ReadRole::Follower => (leave_propagation_ms / 2, leave_propagation_ms),
        };
        let max_ms = (first_ms << self.failures.min(MAX_DOUBLINGS)).min(limit_ms);
        self.failures = self.failures.saturating_add(1);
        max_ms - draw % (max_ms / 2 + 1)
    }

    /// Resets the backoff after a successful call.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }
}
