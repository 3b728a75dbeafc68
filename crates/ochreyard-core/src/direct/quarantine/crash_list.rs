//! The latest crashes, bounded.

use std::collections::BTreeMap;

use super::crash::Crash;
use super::update::LostRequest;
use crate::direct::Fingerprint;

/// Crashes that are kept. With 64 requests of 32 bytes each they take about 300 KB, and weighing them
/// all takes about a millisecond (example `quarantine_cost`).
const MAX_CRASHES: usize = 128;
/// How long a crash counts against the requests that its endpoint had, in milliseconds: half an hour.
const CRASH_LIFE_MS: u64 = 30 * 60 * 1_000;

/// The latest crashes.
#[derive(Debug, Clone, Default)]
pub struct CrashList {
    crashes: Vec<Crash>,
}

impl CrashList {
    /// All crashes, in no order.
    pub fn all(&self) -> &[Crash] {
        &self.crashes
    }

    /// Takes requests that an endpoint had when it crashed. Says whether that is news.
    pub fn take(&mut self, endpoint: &str, service: &str, lost: &[LostRequest], at_ms: u64, change: u64) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|crash| crash.is_at(endpoint, at_ms)) {
            let is_news = known.add(lost);
            if is_news {
                known.change = change;
            }
            return is_news;
        }
        let mut crash = Crash {
            endpoint: endpoint.to_owned(),
            service: service.to_owned(),
            at_ms,
            present: BTreeMap::new(),
            change,
        };
        crash.add(lost);
        self.crashes.push(crash);
        if self.crashes.len() > MAX_CRASHES {
            self.forget_one();
        }
        true
    }

    /// Forgets what is too old to count. Says whether there was any.
    pub fn remove_expired(&mut self, now_ms: u64) -> bool {
        let before = self.crashes.len();
        self.crashes.retain(|crash| now_ms < crash.at_ms + CRASH_LIFE_MS);
        self.crashes.len() < before
    }

    /// Forgets the oldest crash none of whose requests had another one: it tells least. Where each
    /// has such a request, the oldest of all.
    fn forget_one(&mut self) {
        let is_alone = |crash: &Crash| crash.present.keys().all(|fingerprint| self.count(*fingerprint) < 2);
        let oldest = |crashes: &mut dyn Iterator<Item = (usize, &Crash)>| {
            crashes.min_by_key(|(_, crash)| crash.at_ms).map(|(at, _)| at)
        };
        let numbered = || self.crashes.iter().enumerate();
        let found = oldest(&mut numbered().filter(|(_, crash)| is_alone(crash))).or_else(|| oldest(&mut numbered()));
        if let Some(at) = found {
            self.crashes.swap_remove(at);
        }
    }

    /// How many crashes a request was at.
    pub fn count(&self, fingerprint: Fingerprint) -> usize {
        self.crashes.iter().filter(|crash| crash.present.contains_key(&fingerprint)).count()
    }
}
