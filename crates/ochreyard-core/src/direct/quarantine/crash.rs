//! One crash of an endpoint, and the requests that it had.

use std::collections::BTreeMap;

use super::update::LostRequest;
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
    /// The requests that it had, each with how long it had run, in milliseconds; `None` where it had
    /// not begun, as far as known.
    pub present: BTreeMap<Fingerprint, Option<u64>>,
    /// The number of the change that brought the latest of this.
    pub change: u64,
}

impl Crash {
    /// Whether this is the crash of `endpoint` at `at_ms`.
    pub fn is_at(&self, endpoint: &str, at_ms: u64) -> bool {
        self.endpoint == endpoint && self.at_ms.abs_diff(at_ms) <= SAME_CRASH_MS
    }

    /// Adds requests that it had. Says whether that is news.
    pub fn add(&mut self, lost: &[LostRequest]) -> bool {
        let before = self.present.len();
        for LostRequest { fingerprint, ran_ms } in lost {
            if self.present.len() < MAX_PRESENT {
                self.present.entry(*fingerprint).or_insert(*ran_ms);
            }
        }
        self.present.len() > before
    }
}
