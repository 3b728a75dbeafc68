//! A bounded list of the latest crashes.

use std::collections::{BTreeMap, HashSet};

use super::crash::{Crash, CrashTime};
use super::update::LostRequest;
use crate::direct::Fingerprint;

/// Maximum number of crashes that are kept. With 64 requests of 32 bytes each they take about 300 KB, and scoring them
/// takes about a millisecond (example `quarantine_cost`).
const MAX_CRASHES: usize = 128;
/// How long a crash counts against the requests at the endpoint, in milliseconds: half an hour.
const CRASH_LIFETIME_MS: u64 = 30 * 60 * 1_000;

/// The latest crashes.
#[derive(Debug, Clone, Default)]
pub struct CrashList {
    crashes: Vec<Crash>,
}

impl CrashList {
    /// All crashes, in no particular order.
    pub fn all(&self) -> &[Crash] {
        &self.crashes
    }

    /// Records requests that were at an endpoint when it crashed. Returns whether this adds information.
    pub fn record_requests(
        &mut self,
        endpoint: &str,
        service: &str,
        lost: &[LostRequest],
        time: CrashTime,
        version: u64,
    ) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|crash| crash.is_at(endpoint, time)) {
            let is_new_information = known.add(lost, time.arrived_ms);
            if is_new_information {
                known.version = version;
            }
            return is_new_information;
        }
        let mut crash = Crash {
            endpoint: endpoint.to_owned(),
            service: service.to_owned(),
            at_ms: time.at_ms,
            present: BTreeMap::new(),
            version,
        };
        crash.add(lost, time.arrived_ms);
        self.crashes.push(crash);
        if self.crashes.len() > MAX_CRASHES {
            self.remove_least_informative();
        }
        true
    }

    /// Removes crashes that are too old to count. Returns whether there were any.
    pub fn remove_expired(&mut self, now_ms: u64) -> bool {
        let before = self.crashes.len();
        self.crashes.retain(|crash| now_ms < crash.at_ms + CRASH_LIFETIME_MS);
        self.crashes.len() < before
    }

    /// Removes the oldest crash that shares no request with another crash, since it carries the least information. If
    /// there is none, removes the oldest crash.
    fn remove_least_informative(&mut self) {
        let is_unrelated = |crash: &Crash| crash.present.keys().all(|fingerprint| self.count(*fingerprint) < 2);
        let oldest = |crashes: &mut dyn Iterator<Item = (usize, &Crash)>| {
            crashes.min_by_key(|(_, crash)| crash.at_ms).map(|(at, _)| at)
        };
        let numbered = || self.crashes.iter().enumerate();
        let removed =
            oldest(&mut numbered().filter(|(_, crash)| is_unrelated(crash))).or_else(|| oldest(&mut numbered()));
        if let Some(at) = removed {
            self.crashes.swap_remove(at);
        }
    }

    /// Returns the number of crashes at which a request was present.
    fn count(&self, fingerprint: Fingerprint) -> usize {
        self.crashes.iter().filter(|crash| crash.present.contains_key(&fingerprint)).count()
    }

    /// Returns all requests and prompt parts that were present at crashes.
    pub fn present(&self) -> HashSet<Fingerprint> {
        let requests = self.crashes.iter().flat_map(|crash| crash.present.keys().copied());
        requests.chain(self.crashes.iter().flat_map(Crash::parts).map(|present| present.part.fingerprint())).collect()
    }

    /// Returns when the last good run with a part began, as far as crashes were reported with it.
    pub fn last_reported_good_ms(&self, part: Fingerprint) -> Option<u64> {
        let presences = self.crashes.iter().flat_map(Crash::parts);
        presences.filter(|present| present.part.fingerprint() == part).filter_map(|present| present.good_ms).max()
    }

    /// Returns the crashes at which a request or prompt part was present.
    pub fn involving(&self, fingerprint: Fingerprint) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(move |crash| crash.involves(fingerprint))
    }
}
