//! How fast a service's error budget is spent, over a short and a long window.

use std::collections::BTreeMap;

use crate::error_kind::ErrorKind;

/// Length of a short bucket, in milliseconds; 30 of them make the short window of 5 minutes.
const SHORT_BUCKET_MS: u64 = 10_000;
/// Length of a long bucket, in milliseconds; 60 of them make the long window of an hour.
const LONG_BUCKET_MS: u64 = 60_000;
const SHORT_BUCKETS: usize = 30;
const LONG_BUCKETS: usize = 60;

/// Requests and failures in one window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RequestCounts {
    /// All requests.
    pub requests: u32,
    /// Those that were not answered whole and in time.
    pub missed: u32,
}

#[derive(Debug, Clone)]
struct Window<const N: usize> {
    bucket_ms: u64,
    newest: u64,
    buckets: [RequestCounts; N],
}

impl<const N: usize> Window<N> {
    const fn new(bucket_ms: u64) -> Self {
        Self { bucket_ms, newest: 0, buckets: [RequestCounts { requests: 0, missed: 0 }; N] }
    }

    fn advance(&mut self, now_ms: u64) {
        let bucket = now_ms / self.bucket_ms;
        let passed = bucket.saturating_sub(self.newest).min(N as u64);
        for step in 0..passed {
            let at = (bucket - step) as usize % N;
            self.buckets[at] = RequestCounts::default();
        }
        self.newest = self.newest.max(bucket);
    }

    fn add(&mut self, missed: bool, now_ms: u64) {
        self.advance(now_ms);
        let tally = &mut self.buckets[self.newest as usize % N];
        tally.requests += 1;
        tally.missed += u32::from(missed);
    }

    fn sum(&mut self, now_ms: u64) -> RequestCounts {
        self.advance(now_ms);
        self.buckets.iter().fold(RequestCounts::default(), |sum, t| RequestCounts {
            requests: sum.requests + t.requests,
            missed: sum.missed + t.missed,
        })
    }
}

/// The meter of one service and workspace.
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
    /// Counts a request. `failure` is its error kind; `late` says that a whole
    /// answer missed its time.
    pub fn record(&mut self, failure: Option<ErrorKind>, late: bool, now_ms: u64) {
        let missed = failure.is_some() || late;
        self.short.add(missed, now_ms);
        self.long.add(missed, now_ms);
        match failure {
            Some(kind) => *self.spent_by.entry(kind).or_default() += 1,
            None => self.late += u64::from(late),
        }
    }

    /// Requests of the short window (5 minutes).
    pub fn short_window(&mut self, now_ms: u64) -> RequestCounts {
        self.short.sum(now_ms)
    }

    /// Requests of the long window (an hour).
    pub fn long_window(&mut self, now_ms: u64) -> RequestCounts {
        self.long.sum(now_ms)
    }

    /// What spent the budget since the start: error kinds, and `late`.
    #[must_use]
    pub fn spent_by(&self) -> Vec<(String, u64)> {
        let kinds = self.spent_by.iter().map(|(kind, count)| (kind.to_string(), *count));
        kinds.chain((self.late > 0).then(|| ("late".to_owned(), self.late))).collect()
    }
}

/// Burn rate: 1.0 spends the budget of `objective_permille` exactly.
#[must_use]
pub fn burn_rate(tally: RequestCounts, objective_permille: u64) -> f64 {
    if tally.requests == 0 {
        return 0.0;
    }
    let missed_share = f64::from(tally.missed) / f64::from(tally.requests);
    let budget = (1000 - objective_permille.min(999)) as f64 / 1000.0;
    missed_share / budget
}
