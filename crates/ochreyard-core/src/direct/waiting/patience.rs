//! How long callers wait for the start of an answer before they go away.

use std::collections::VecDeque;

/// Waits that are remembered: a stand of a few seconds brings as many to one entry.
const REMEMBERED: usize = 32;
/// Waits from which the median says something.
const LEAST_KNOWN: usize = 6;
/// Shorter waits say nothing: callers go away for other reasons, too, at any moment.
const LEAST_WAIT_MS: u64 = 250;
/// Share of the usual patience for which a request is held: its answer has to arrive in time.
const HELD_SHARE: f64 = 0.93;

/// The silences after which callers of a service went away of late: what they heard last is what their patience
/// counts from, be it a wait here, an endpoint that says nothing, or a stream that has stopped. Counted from the
/// start of the wait here, streams that had stood for 1.5 s before made it 0.4 s in place of 2 s.
///
/// A caller that goes away unanswered has lost the time that it waited, and often its last try.
/// Told just before when to come back, it comes back once a stand is over: of callers that give
/// 8 s and wait for 2 s, one that came at the start of a stand of 6 s is then still there at its end.
#[derive(Debug, Clone, Default)]
pub struct Patience {
    waits_ms: VecDeque<u64>,
}

impl Patience {
    /// A caller that waited here went away after it had heard nothing for so long.
    pub fn record_abandonment(&mut self, silent_ms: u64) {
        if silent_ms < LEAST_WAIT_MS {
            return;
        }
        if self.waits_ms.len() == REMEMBERED {
            self.waits_ms.pop_front();
        }
        self.waits_ms.push_back(silent_ms);
    }

    /// The longest time for which a request should wait, in milliseconds; `None` while too
    /// little is known.
    #[must_use]
    pub fn hold_limit_ms(&self) -> Option<u64> {
        if self.waits_ms.len() < LEAST_KNOWN {
            return None;
        }
        let mut sorted: Vec<u64> = self.waits_ms.iter().copied().collect();
        sorted.sort_unstable();
        Some(Self::hold_limit_for(sorted[sorted.len() / 2]))
    }

    /// How long a request is held whose caller hears nothing for `patience_ms` at the most, in milliseconds.
    #[must_use]
    pub fn hold_limit_for(patience_ms: u64) -> u64 {
        (patience_ms as f64 * HELD_SHARE) as u64
    }
}
