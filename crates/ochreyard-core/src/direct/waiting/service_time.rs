//! Moving average of the time that serving a request takes.

/// Weight of the newest answer in the mean, which so covers about a hundred answers, or fifteen seconds of one entry.
/// Slow answers before a stall do not predict the service time after it: with a mean that covered two seconds,
/// callers with 5 s left were refused for good.
const NEWEST_WEIGHT: f64 = 0.01;
/// Factor on the mean service time of requests that had to wait, since the group is full then.
const AFTER_WAIT_FACTOR: f64 = 1.25;

/// The mean time from the start of an attempt to the end of its answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTime {
    mean_ms: Option<f64>,
}

impl ServiceTime {
    /// Records that an answer was completed in `took_ms`.
    pub fn record(&mut self, took_ms: u64) {
        let took_ms = took_ms as f64;
        self.mean_ms = Some(self.mean_ms.map_or(took_ms, |mean| mean + NEWEST_WEIGHT * (took_ms - mean)));
    }

    /// Returns the expected service time of a request that waited, in milliseconds; `None` before the first answer.
    #[must_use]
    pub fn estimate_after_wait_ms(&self) -> Option<u64> {
        self.mean_ms.map(|mean| (mean * AFTER_WAIT_FACTOR).round() as u64)
    }
}
