//! How fast a service that has no room takes late requests, and how long one more would wait.
//!
//! The load that this answers: three or four times the usual requests for some seconds. The places that become free go to
//! requests that can still be in their aim, so one that is late waits until the load is over; held until then, most of
//! them are served to nobody. What the endpoints really took since they had no room tells how long that is.

use super::Urgency;
use super::decaying_count::DecayingCount;

/// The time over which requests that were taken are counted, in milliseconds: about one run of a request.
const FADE_MS: f64 = 1_000.0;
/// How long a service has to be without room until its rate is known, in milliseconds: places become free in bunches,
/// with each step of a group and the end of each stream.
const LEAST_AGE_MS: u64 = 500;
/// Without a request that found no room for this long, there is some again, in milliseconds.
const OVER_MS: u64 = 300;
/// Requests that count as taken beyond those that were: a box that gets a few places a second sees none for a while by
/// chance.
const PRIOR: f64 = 1.0;

/// What a service without room takes of late requests.
#[derive(Debug, Clone, Copy)]
pub struct Overload {
    since_ms: Option<u64>,
    last_full_ms: u64,
    late: DecayingCount,
}

impl Default for Overload {
    fn default() -> Self {
        Self { since_ms: None, last_full_ms: 0, late: DecayingCount::new(FADE_MS) }
    }
}

impl Overload {
    /// A request found no room.
    pub fn on_full(&mut self, now_ms: u64) {
        self.end_if_over(now_ms);
        self.since_ms.get_or_insert(now_ms);
        self.last_full_ms = now_ms;
    }

    /// A request went to an endpoint.
    pub fn on_taken(&mut self, urgency: Urgency, now_ms: u64) {
        self.end_if_over(now_ms);
        if self.since_ms.is_some() && urgency == Urgency::Late {
            self.late.record(now_ms);
        }
    }

    /// The service stands: what it took before says nothing of what it takes after.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    fn end_if_over(&mut self, now_ms: u64) {
        if now_ms > self.last_full_ms + OVER_MS {
            self.reset();
        }
    }

    /// How long a late request waits that has so many late ones before it, in milliseconds; `None` while the rate is not
    /// known.
    #[must_use]
    pub fn late_wait_ms(&self, ahead: usize, now_ms: u64) -> Option<u64> {
        let age_ms = now_ms.saturating_sub(self.since_ms?);
        (age_ms >= LEAST_AGE_MS).then(|| {
            let taken = self.late.at(now_ms) + PRIOR;
            let wait_ms = ahead as f64 * self.late.counted_ms(age_ms) / taken;
            wait_ms as u64
        })
    }
}
