//! Pauses between calls to the platform's log, for as long as it fails.

use super::read_role::ReadRole;

/// The first pause of a box that others rely on, in milliseconds.
const FIRST_MS: u64 = 250;
/// Most doublings of the first pause: keeps the shift within a `u64`, well beyond any bound.
const MAX_DOUBLINGS: u32 = 16;

/// Pauses that grow with each failure in a row up to a bound, drawn so that boxes which failed together do not try again
/// together.
///
/// Boxes that others rely on notice soon that the log is back. All do within the time in which an endpoint that leaves must
/// get no more work.
#[derive(Debug, Clone, Copy, Default)]
pub struct LogRetryBackoff {
    failures: u32,
}

impl LogRetryBackoff {
    /// The pause of a box of this duty after one more failure, in milliseconds: from half to the whole of what has grown so
    /// far, by `draw`, any evenly spread number. An endpoint that leaves must get no more work after `in_time_ms`.
    pub fn next_delay_ms(&mut self, duty: ReadRole, in_time_ms: u64, draw: u64) -> u64 {
        let (first_ms, most_ms) = match duty {
            ReadRole::Reader | ReadRole::Relay => (FIRST_MS, in_time_ms / 2),
            ReadRole::Follower => (in_time_ms / 2, in_time_ms),
        };
        let whole_ms = (first_ms << self.failures.min(MAX_DOUBLINGS)).min(most_ms);
        self.failures = self.failures.saturating_add(1);
        whole_ms - draw % (whole_ms / 2 + 1)
    }

    /// It has not failed: the next failure is the first one.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }
}
