//! Ways of judging requests by the crashes that they were at.

use std::collections::{HashMap, HashSet};

use ochreyard_core::direct::{Clearance, Fingerprint, LostRequest, Quarantine};

/// A way of judging.
pub trait Judge {
    fn clearance(&self, request: Fingerprint, now_ms: u64) -> Clearance;
    fn begin_trial(&mut self, request: Fingerprint, now_ms: u64);
    fn end_trial(&mut self, request: Fingerprint);
    fn on_crash(&mut self, endpoint: usize, lost: LostRequest, now_ms: u64);
    fn on_good_end(&mut self, request: Fingerprint, now_ms: u64);
}

impl Judge for Quarantine {
    fn clearance(&self, request: Fingerprint, now_ms: u64) -> Clearance {
        Self::clearance(self, request, now_ms)
    }

    fn begin_trial(&mut self, request: Fingerprint, now_ms: u64) {
        Self::begin_trial(self, request, now_ms);
    }

    fn end_trial(&mut self, request: Fingerprint) {
        Self::end_trial(self, request);
    }

    fn on_crash(&mut self, endpoint: usize, lost: LostRequest, now_ms: u64) {
        Self::on_crash(self, &format!("e{endpoint}"), "model", lost, now_ms, now_ms);
    }

    fn on_good_end(&mut self, request: Fingerprint, now_ms: u64) {
        Self::on_good_end(self, request, now_ms);
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
    fn clearance(&self, request: Fingerprint, _now_ms: u64) -> Clearance {
        let count = self.crashes.get(&request).map_or(0, HashSet::len);
        if count >= self.most { Clearance::Quarantined { left_ms: u64::MAX } } else { Clearance::Free }
    }

    fn begin_trial(&mut self, _request: Fingerprint, _now_ms: u64) {}

    fn end_trial(&mut self, _request: Fingerprint) {}

    fn on_crash(&mut self, endpoint: usize, lost: LostRequest, now_ms: u64) {
        self.crashes.entry(lost.fingerprint).or_default().insert((endpoint, now_ms));
    }

    fn on_good_end(&mut self, _request: Fingerprint, _now_ms: u64) {}
}
