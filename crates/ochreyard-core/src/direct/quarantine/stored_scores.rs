//! Scores of requests that outlive the crash reports on which they are based.

use std::collections::HashMap;

use super::crash::SAME_CRASH_MS;
use super::crash_list::CRASH_LIFETIME_MS;
use crate::direct::Fingerprint;

/// Maximum number of scores that are kept, at 64 bytes each. The one with the oldest crash is removed first.
const MAX_SCORES: usize = 1_024;

/// The score of a request for all its crashes until a time, some of which may be unknown here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredScore {
    /// Sum of the scores of the crashes.
    pub score: u32,
    /// The time of the last crash.
    pub at_ms: u64,
    /// The version of the quarantine in which the score was added.
    pub version: u64,
}

/// Stored scores by request.
#[derive(Debug, Clone, Default)]
pub struct StoredScores {
    by_request: HashMap<Fingerprint, StoredScore>,
}

impl StoredScores {
    /// Returns whether no score is known.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    /// Returns the score of a request.
    pub fn get(&self, fingerprint: Fingerprint) -> Option<&StoredScore> {
        self.by_request.get(&fingerprint)
    }

    /// Returns all scores.
    pub fn iter(&self) -> impl Iterator<Item = (Fingerprint, &StoredScore)> {
        self.by_request.iter().map(|(fingerprint, stored)| (*fingerprint, stored))
    }

    /// Returns whether the score of a request already includes a crash at `at_ms`.
    pub fn includes(&self, fingerprint: Fingerprint, at_ms: u64) -> bool {
        // The time of the stored crash is from the clock of another box.
        self.get(fingerprint).is_some_and(|stored| at_ms <= stored.at_ms + SAME_CRASH_MS)
    }

    /// Adds a score, unless one as high is known.
    pub fn add(&mut self, fingerprint: Fingerprint, stored: StoredScore) -> bool {
        if self.get(fingerprint).is_some_and(|known| known.score >= stored.score) {
            return false;
        }
        self.by_request.insert(fingerprint, stored);
        if self.by_request.len() > MAX_SCORES
            && let Some(oldest) = self.iter().min_by_key(|(_, stored)| stored.at_ms).map(|(fingerprint, _)| fingerprint)
        {
            self.by_request.remove(&oldest);
        }
        true
    }

    /// Removes scores that are too old to count.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.by_request.retain(|_, stored| now_ms < stored.at_ms + CRASH_LIFETIME_MS);
    }
}
