//! How tries have ended of late, so that holding stops where it serves fewer than sending back.

use super::decaying_count::DecayingCount;

/// The time in which a try loses most of its weight, in milliseconds: a few stands that recur within seconds
/// count together, and holding is tried anew some time after they have ceased.
const FADE_MS: f64 = 15_000.0;
/// Weight from which tries say something.
const LEAST_KNOWN: f64 = 8.0;

/// Share of held tries that have to be served for others to be held. Those that are not have cost their callers
/// the wait, and others the places that they took at the return: with seven stands of 2.6 s, 4 s apart, comparing with
/// those that were sent back alone served .49 of all requests, this .54, and holding none .56.
const LEAST_HELD: f64 = 0.5;

/// The share of tries that were served, the last ones weighing most.
#[derive(Debug, Clone, Copy)]
struct ServedShare {
    served: DecayingCount,
    all: DecayingCount,
}

impl Default for ServedShare {
    fn default() -> Self {
        Self { served: DecayingCount::new(FADE_MS), all: DecayingCount::new(FADE_MS) }
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
        (all >= LEAST_KNOWN).then(|| self.served.at(now_ms) / all)
    }
}

/// How a try met a service that stood.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StallHandling {
    /// It was held until the service went on, or until it was given up.
    Held,
    /// Its caller had been sent back, and came again.
    CallerRetried,
}

/// How tries that met a standing service have ended, by what was done with them.
#[derive(Debug, Clone, Copy, Default)]
pub struct StallOutcomes {
    held: ServedShare,
    sent_back: ServedShare,
}

impl StallOutcomes {
    /// A try has ended: served whole, or in any other way (cut, refused, its caller gone).
    pub fn record(&mut self, met: StallHandling, is_served: bool, now_ms: u64) {
        match met {
            StallHandling::Held => self.held.record(is_served, now_ms),
            StallHandling::CallerRetried => self.sent_back.record(is_served, now_ms),
        }
    }

    /// Whether holding serves most of those that are held, and as many as sending back, as far as known.
    #[must_use]
    pub fn is_holding_worth_it(&self, now_ms: u64) -> bool {
        let Some(held) = self.held.share(now_ms) else { return true };
        let sent_back = self.sent_back.share(now_ms).unwrap_or(0.0);
        held >= sent_back.max(LEAST_HELD)
    }
}
