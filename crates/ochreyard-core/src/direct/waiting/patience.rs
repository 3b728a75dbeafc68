//! How long callers wait without receiving anything before they disconnect.

use std::collections::VecDeque;

/// Number of waits that are kept: a stall of a few seconds brings as many to one entry.
const MAX_SAMPLES: usize = 32;
/// Number of waits from which the median is used.
const MIN_SAMPLES: usize = 6;
/// Shorter waits are ignored: callers also disconnect for other reasons at any time.
const MIN_WAIT_MS: u64 = 250;
/// Share of the patience for which a request is held, so that the answer reaches the caller before it disconnects.
const HELD_SHARE: f64 = 0.93;

/// How long callers of a service had received nothing when they recently disconnected. Patience counts from the last
/// byte that a caller received, whether it waits at this entry, for an endpoint that sends nothing, or for a stream
/// that has stalled. Counted from the start of the wait here, streams that had stalled for 1.5 s before made the
/// patience 0.4 s instead of 2 s.
///
/// A caller that disconnects unanswered has lost the time that it waited, and often its last attempt. If it is told
/// shortly before that when to retry, its retry comes after the stall: of callers with a timeout of 8 s and a patience
/// of 2 s, one that sent its request at the start of a stall of 6 s can then still be served at its end.
#[derive(Debug, Clone, Default)]
pub struct Patience {
    waits_ms: VecDeque<u64>,
}

impl Patience {
    /// Records that a waiting caller disconnected after it had received nothing for `silent_ms`.
    pub fn record_abandonment(&mut self, silent_ms: u64) {
        if silent_ms < MIN_WAIT_MS {
            return;
        }
        if self.waits_ms.len() == MAX_SAMPLES {
            self.waits_ms.pop_front();
        }
        self.waits_ms.push_back(silent_ms);
    }

    /// Returns the longest silence up to which a request should be held, in milliseconds; `None`
    /// while too few waits are known.
    #[must_use]
    pub fn hold_limit_ms(&self) -> Option<u64> {
        if self.waits_ms.len() < MIN_SAMPLES {
            return None;
        }
        let mut sorted: Vec<u64> = self.waits_ms.iter().copied().collect();
        sorted.sort_unstable();
        Some(Self::hold_limit_for(sorted[sorted.len() / 2]))
    }

    /// Returns how long a request is held whose caller waits `patience_ms` without receiving anything, in milliseconds.
    #[must_use]
    pub fn hold_limit_for(patience_ms: u64) -> u64 {
        (patience_ms as f64 * HELD_SHARE) as u64
    }
}
