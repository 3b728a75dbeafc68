//! Burn rate of a service's error budget over a short and a long window.

use std::collections::BTreeMap;

use crate::error_kind::ErrorKind;

/// Length of a bucket of the short window, in milliseconds; 30 of them span 5 minutes.
const SHORT_BUCKET_MS: u64 = 10_000;
/// Length of a bucket of the long window, in milliseconds; 60 of them span an hour.
const LONG_BUCKET_MS: u64 = 60_000;
const SHORT_BUCKETS: usize = 30;
const LONG_BUCKETS: usize = 60;

/// The number of requests in a window, and how many of them missed the objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RequestCounts {
    /// All requests.
    pub requests: u32,
    /// Requests that were not answered completely and on time.
    pub missed: u32,
}

#[derive(Debug, Clone)]
struct Window<const N: usize> {
    bucket_ms: u64,
    newest_bucket: u64,
    buckets: [RequestCounts; N],
}

impl<const N: usize> Window<N> {
    const fn new(bucket_ms: u64) -> Self {
        Self { bucket_ms, newest_bucket: 0, buckets: [RequestCounts { requests: 0, missed: 0 }; N] }
    }

    fn advance(&mut self, now_ms: u64) {
        let bucket = now_ms / self.bucket_ms;
        let elapsed_buckets = bucket.saturating_sub(self.newest_bucket).min(N as u64);
        for age in 0..elapsed_buckets {
            let index = (bucket - age) as usize % N;
            self.buckets[index] = RequestCounts::default();
        }
        self.newest_bucket = self.newest_bucket.max(bucket);
    }

    fn add(&mut self, missed: bool, now_ms: u64) {
        self.advance(now_ms);
        let counts = &mut self.buckets[self.newest_bucket as usize % N];
        counts.requests += 1;
        counts.missed += u32::from(missed);
    }

    fn sum(&mut self, now_ms: u64) -> RequestCounts {
        self.advance(now_ms);
        self.buckets.iter().fold(RequestCounts::default(), |sum, bucket| RequestCounts {
            requests: sum.requests + bucket.requests,
            missed: sum.missed + bucket.missed,
        })
    }
}

/// Counts the requests of one service and workspace, for the burn rate of its error budget.
#[derive(Debug, Clone)]
pub struct BurnMeter {
    short: Window<SHORT_BUCKETS>,
    long: Window<LONG_BUCKETS>,
    spent_by: BTreeMap<ErrorKind, u64>,
    late: u64,
}

impl Default for BurnMeter {
    fn default() -> Self {
        Self {
            short: Window::new(SHORT_BUCKET_MS),
            long: Window::new(LONG_BUCKET_MS),
            spent_by: BTreeMap::new(),
            late: 0,
        }
    }
}

impl BurnMeter {
    /// Records a request. `failure` is its error kind; `late` says that a complete answer missed the latency target.
    pub fn record(&mut self, failure: Option<ErrorKind>, late: bool, now_ms: u64) {
        let missed = failure.is_some() || late;
        self.short.add(missed, now_ms);
        self.long.add(missed, now_ms);
        match failure {
            Some(kind) => *self.spent_by.entry(kind).or_default() += 1,
            None => self.late += u64::from(late),
        }
    }

    /// The counts of the short window (5 minutes).
    pub fn short_window(&mut self, now_ms: u64) -> RequestCounts {
        self.short.sum(now_ms)
    }

    /// The counts of the long window (an hour).
    pub fn long_window(&mut self, now_ms: u64) -> RequestCounts {
        self.long.sum(now_ms)
    }

    /// The number of missed requests since the start by cause: the error kind, or `late`.
    #[must_use]
    pub fn spent_by(&self) -> Vec<(String, u64)> {
        let kinds = self.spent_by.iter().map(|(kind, count)| (kind.to_string(), *count));
        kinds.chain((self.late > 0).then(|| ("late".to_owned(), self.late))).collect()
    }
}

/// Returns the burn rate of the error budget, which is 1.0 if the failures use up exactly the budget that
/// `objective_permille` leaves.
#[must_use]
pub fn burn_rate(counts: RequestCounts, objective_permille: u64) -> f64 {
    if counts.requests == 0 {
        return 0.0;
    }
    let missed_share = f64::from(counts.missed) / f64::from(counts.requests);
    let budget = (1000 - objective_permille.min(999)) as f64 / 1000.0;
    missed_share / budget
}
