//! Ways of judging requests by the crashes that they were at.

use std::collections::{HashMap, HashSet};

use ochreyard_core::direct::{Fingerprint, LostRequest, Quarantine, QuarantineDecision};

/// A way of judging.
pub trait Judge {
    fn decision(&self, request: Fingerprint, now_ms: u64) -> QuarantineDecision;
    fn begin_trial(&mut self, request: Fingerprint, now_ms: u64);
    fn cancel_trial(&mut self, request: Fingerprint);
    fn on_crash(&mut self, endpoint: usize, lost: LostRequest, now_ms: u64);
    fn on_success(&mut self, request: Fingerprint, now_ms: u64);
}

impl Judge for Quarantine {
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

/// Refuses whatever was at so many crashes, for good.
pub struct PlainCount {
    most: usize,
    crashes: HashMap<Fingerprint, HashSet<(usize, u64)>>,
}

impl PlainCount {
    pub fn new(most: usize) -> Self {
        Self { most, crashes: HashMap::new() }
    }
}

impl Judge for PlainCount {
    fn decision(&self, request: Fingerprint, _now_ms: u64) -> QuarantineDecision {
        let count = self.crashes.get(&request).map_or(0, HashSet::len);
        if count >= self.most { QuarantineDecision::Refuse { left_ms: u64::MAX } } else { QuarantineDecision::Allow }
    }

    fn begin_trial(&mut self, _request: Fingerprint, _now_ms: u64) {}

    fn cancel_trial(&mut self, _request: Fingerprint) {}

    fn on_crash(&mut self, endpoint: usize, lost: LostRequest, now_ms: u64) {
        self.crashes.entry(lost.fingerprint).or_default().insert((endpoint, now_ms));
    }

    fn on_success(&mut self, _request: Fingerprint, _now_ms: u64) {}
}
