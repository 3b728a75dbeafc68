//! Rules that decide about requests by the crashes at which they were present.

use std::collections::{HashMap, HashSet};

use ochreyard_core::direct::{Fingerprint, LostRequest, Quarantine, QuarantineDecision};

/// A rule that decides about requests.
pub trait Rule {
    fn decision(&self, request: Fingerprint, now_ms: u64) -> QuarantineDecision;
    fn begin_trial(&mut self, request: Fingerprint, now_ms: u64);
    fn cancel_trial(&mut self, request: Fingerprint);
    fn on_crash(&mut self, endpoint: usize, lost: LostRequest, now_ms: u64);
    fn on_success(&mut self, request: Fingerprint, now_ms: u64);
}

impl Rule for Quarantine {
    fn decision(&self, request: Fingerprint, now_ms: u64) -> QuarantineDecision {
        Self::decision(self, request, now_ms)
    }

    fn begin_trial(&mut self, request: Fingerprint, now_ms: u64) {
        Self::begin_trial(self, request, now_ms);
    }

    fn cancel_trial(&mut self, request: Fingerprint) {
        Self::cancel_trial(self, request);
    }

    fn on_crash(&mut self, endpoint: usize, lost: LostRequest, now_ms: u64) {
        Self::on_crash(self, &format!("e{endpoint}"), "model", lost, now_ms, now_ms);
    }

    fn on_success(&mut self, request: Fingerprint, now_ms: u64) {
        Self::on_success(self, request, now_ms);
    }
}

/// Refuses requests that were present at a given number of crashes, without end.
pub struct CrashCounter {
    threshold: usize,
    crashes: HashMap<Fingerprint, HashSet<(usize, u64)>>,
}

impl CrashCounter {
    pub fn new(threshold: usize) -> Self {
        Self { threshold, crashes: HashMap::new() }
    }
}

impl Rule for CrashCounter {
    fn decision(&self, request: Fingerprint, _now_ms: u64) -> QuarantineDecision {
        let count = self.crashes.get(&request).map_or(0, HashSet::len);
        if count >= self.threshold {
            QuarantineDecision::Refuse { left_ms: u64::MAX }
        } else {
            QuarantineDecision::Allow
        }
    }

    fn begin_trial(&mut self, _request: Fingerprint, _now_ms: u64) {}

    fn cancel_trial(&mut self, _request: Fingerprint) {}

    fn on_crash(&mut self, endpoint: usize, lost: LostRequest, now_ms: u64) {
        self.crashes.entry(lost.fingerprint).or_default().insert((endpoint, now_ms));
    }

    fn on_success(&mut self, _request: Fingerprint, _now_ms: u64) {}
}
