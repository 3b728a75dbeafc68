//! One crash of an endpoint, and the requests that it had.

use std::collections::BTreeSet;

use crate::direct::Fingerprint;

/// Reports of one endpoint within this time tell of one crash: each entry looks at the endpoint by itself, and
/// an endpoint needs seconds to start again. In milliseconds.
const SAME_CRASH_MS: u64 = 500;
/// Requests that are kept of one crash. An endpoint runs at most a dozen or two at once and queues a few more.
const MAX_PRESENT: usize = 64;

/// One crash of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: String,
    /// Its service.
    pub service: String,
    /// When its connections broke.
    pub at_ms: u64,
    /// The requests that it had.
    pub present: BTreeSet<Fingerprint>,
    /// The number of the change that brought the latest of this.
    pub change: u64,
}

impl Crash {
    /// Whether this is the crash of `endpoint` at `at_ms`.
    pub fn is_at(&self, endpoint: &str, at_ms: u64) -> bool {
        self.endpoint == endpoint && self.at_ms.abs_diff(at_ms) <= SAME_CRASH_MS
    }

    /// Adds requests that it had. Says whether that is news.
    pub fn add(&mut self, present: impl IntoIterator<Item = Fingerprint>) -> bool {
        let before = self.present.len();
        for fingerprint in present {
            if self.present.len() < MAX_PRESENT {
                self.present.insert(fingerprint);
            }
        }
        self.present.len() > before
    }
}
