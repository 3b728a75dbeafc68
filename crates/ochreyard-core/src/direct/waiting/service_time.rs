//! How long serving a request takes of late.

/// Share of one more answer in the mean: a hundred answers count, some fifteen seconds of one
/// entry. A slow spell before a stand says little of what serving takes after it: with a mean of
/// two seconds, callers with 5 s left were told that nothing could be done for them.
const NEWEST_SHARE: f64 = 0.01;
/// How much longer than usual serving takes where requests had to wait: the group is full then.
const AFTER_WAIT: f64 = 1.25;

/// The mean time from the start of an attempt to the end of its answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTime {
    mean_ms: Option<f64>,
}

impl ServiceTime {
    /// An answer has come to its end.
    pub fn record(&mut self, took_ms: u64) {
        let took_ms = took_ms as f64;
        self.mean_ms = Some(self.mean_ms.map_or(took_ms, |mean| mean + NEWEST_SHARE * (took_ms - mean)));
    }

    /// How long it takes for a request that waited, in milliseconds; `None` before the first answer.
    #[must_use]
    pub fn estimate_after_wait_ms(&self) -> Option<u64> {
        self.mean_ms.map(|mean| (mean * AFTER_WAIT).round() as u64)
    }
}
