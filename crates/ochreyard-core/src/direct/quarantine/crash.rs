//! A crash of an endpoint, and the requests that were at the endpoint.

use std::collections::BTreeMap;

use super::update::LostRequest;
use crate::direct::Fingerprint;

/// Crash reports of one endpoint within this time belong to the same crash, in milliseconds. Each entry detects the
/// crash by itself, and an endpoint needs seconds to restart.
const SAME_CRASH_MS: u64 = 500;
/// Maximum number of requests that are kept per crash. An endpoint runs at most one or two dozen at once and queues a
/// few more.
const MAX_PRESENT: usize = 64;

/// One crash of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// Identifier of the endpoint.
    pub endpoint: String,
    /// Service of the endpoint.
    pub service: String,
    /// The time at which the connections to the endpoint broke.
    pub at_ms: u64,
    /// The requests at the endpoint, each with the time that it had been running, in milliseconds; `None` if it is not
    /// known to have started.
    pub present: BTreeMap<Fingerprint, Option<u64>>,
    /// The version of the quarantine in which this crash was last changed.
    pub version: u64,
}

impl Crash {
    /// Returns whether this is the crash of `endpoint` at `at_ms`.
    pub fn is_at(&self, endpoint: &str, at_ms: u64) -> bool {
        self.endpoint == endpoint && self.at_ms.abs_diff(at_ms) <= SAME_CRASH_MS
    }

    /// Adds requests that were at the endpoint. Returns whether any of them was new.
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
