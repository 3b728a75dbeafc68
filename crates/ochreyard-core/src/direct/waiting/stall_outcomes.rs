//! Outcomes of recent requests that arrived while a service was stalled, so that an entry stops holding requests where
//! that serves fewer of them than sending callers back.

use super::decaying_count::DecayingCount;

/// Decay time of a request in the shares, in milliseconds: a few stalls that recur within seconds count together, and
/// requests are held again some time after the stalls have ended.
const DECAY_MS: f64 = 15_000.0;
/// Decayed number of requests from which a share is used.
const MIN_WEIGHT: f64 = 8.0;

/// Smallest share of held requests that must be served for further requests to be held. A held request that is not
/// served has cost its caller the wait, and other requests the slot that it took when the service recovered. With seven
/// stalls of 2.6 s, 4 s apart, .49 of all requests were served without this minimum (only the comparison with callers
/// that were sent back), .54 with it, and .56 with no request held.
const MIN_HELD_SHARE: f64 = 0.5;

/// The share of requests that were served, weighted towards recent ones.
#[derive(Debug, Clone, Copy)]
struct ServedShare {
    served: DecayingCount,
    all: DecayingCount,
}

impl Default for ServedShare {
    fn default() -> Self {
        Self { served: DecayingCount::new(DECAY_MS), all: DecayingCount::new(DECAY_MS) }
    }
}

impl ServedShare {
    fn record(&mut self, is_served: bool, now_ms: u64) {
        self.all.record(now_ms);
        if is_served {
            self.served.record(now_ms);
        }
    }

    fn share(&self, now_ms: u64) -> Option<f64> {
        let all = self.all.at(now_ms);
        (all >= MIN_WEIGHT).then(|| self.served.at(now_ms) / all)
    }
}

/// How a request that arrived while the service was stalled was handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StallHandling {
    /// The request was held until the service resumed, or until it was given up.
    Held,
    /// The request is the retry of a caller that had been sent back.
    CallerRetried,
}

/// Shares of served requests among those that arrived while the service was stalled, by how they were handled.
#[derive(Debug, Clone, Copy, Default)]
pub struct StallOutcomes {
    held: ServedShare,
    sent_back: ServedShare,
}

impl StallOutcomes {
    /// Records the end of a request: served completely, or not (cut off, refused, caller gone).
    pub fn record(&mut self, handling: StallHandling, is_served: bool, now_ms: u64) {
        match handling {
            StallHandling::Held => self.held.record(is_served, now_ms),
            StallHandling::CallerRetried => self.sent_back.record(is_served, now_ms),
        }
    }

    /// Returns whether at least half of the held requests are served, and no smaller share than of the retries of
    /// callers that were sent back, as far as known.
    #[must_use]
    pub fn is_holding_worthwhile(&self, now_ms: u64) -> bool {
        let Some(held) = self.held.share(now_ms) else { return true };
        let sent_back = self.sent_back.share(now_ms).unwrap_or(0.0);
        held >= sent_back.max(MIN_HELD_SHARE)
    }
}
