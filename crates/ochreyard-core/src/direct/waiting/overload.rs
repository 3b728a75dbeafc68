//! The rate at which an overloaded service accepts late requests, and how long one more late request would wait.
//!
//! An overload is three or four times the usual requests for some seconds. Slots that become free go to requests that
//! can still meet their latency target, so a late request waits until the overload ends; most callers of requests held
//! that long are gone by then. The wait is estimated from the late requests that the endpoints accepted since they
//! were full.

use super::decaying_count::DecayingCount;
use crate::direct::urgency::Urgency;

/// Decay time of the count of dispatched requests, in milliseconds: about the run time of one request.
const DECAY_MS: f64 = 1_000.0;
/// How long a service must be full before its rate is used, in milliseconds: slots become free in batches, with each
/// step of a group and the end of each stream.
const MIN_AGE_MS: u64 = 500;
/// The overload is over once no request has found the service full for this long, in milliseconds.
const END_AFTER_MS: u64 = 300;
/// Added to the count of dispatched requests: a box that gets a few slots a second may see none for a while by chance.
const PRIOR_COUNT: f64 = 1.0;

/// The late requests that a service accepts while it is full.
#[derive(Debug, Clone, Copy)]
pub struct Overload {
    since_ms: Option<u64>,
    last_full_ms: u64,
    late: DecayingCount,
}

impl Default for Overload {
    fn default() -> Self {
        Self { since_ms: None, last_full_ms: 0, late: DecayingCount::new(DECAY_MS) }
    }
}

impl Overload {
    /// A request found no free slot.
    pub fn on_full(&mut self, now_ms: u64) {
        self.end_if_over(now_ms);
        self.since_ms.get_or_insert(now_ms);
        self.last_full_ms = now_ms;
    }

    /// A request was sent to an endpoint.
    pub fn on_dispatched(&mut self, urgency: Urgency, now_ms: u64) {
        self.end_if_over(now_ms);
        if self.since_ms.is_some() && urgency == Urgency::Late {
            self.late.record(now_ms);
        }
    }

    /// The service is stalled: its rate before the stall does not predict the rate after it.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    fn end_if_over(&mut self, now_ms: u64) {
        if now_ms > self.last_full_ms + END_AFTER_MS {
            self.reset();
        }
    }

    /// Returns how long a late request waits that has `ahead` late ones before it, in milliseconds; `None` while the
    /// rate is not known.
    #[must_use]
    pub fn late_wait_ms(&self, ahead: usize, now_ms: u64) -> Option<u64> {
        let age_ms = now_ms.saturating_sub(self.since_ms?);
        (age_ms >= MIN_AGE_MS).then(|| {
            let dispatched = self.late.at(now_ms) + PRIOR_COUNT;
            let wait_ms = ahead as f64 * self.late.effective_window_ms(age_ms) / dispatched;
            wait_ms as u64
        })
    }
}
