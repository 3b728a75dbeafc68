//! Which requests are kept in the log because they were present at several crashes.

use std::collections::HashMap;

use super::crash_scores::{QUARANTINE_SCORE, STORED_SCORE};
use super::update::RequestScore;
use super::{Fingerprint, Quarantine};

/// Highest score that is stored: a request is not refused again without another crash.
pub const MAX_STORED_SCORE: u32 = QUARANTINE_SCORE - 1;

impl Quarantine {
    /// Returns the score of a request that was present at several crashes; `None` if it was cleared since.
    #[must_use]
    pub fn request_score(&self, fingerprint: Fingerprint, now_ms: u64) -> Option<RequestScore> {
        let score = self.scores.get(&fingerprint).copied().filter(|score| *score >= STORED_SCORE)?;
        let stored_ms = self.stored_scores.get(fingerprint).map(|stored| stored.at_ms);
        let at_ms = self.last_crash_ms(fingerprint).max(stored_ms)?;
        Some(RequestScore { fingerprint, score: score.min(MAX_STORED_SCORE), age_ms: now_ms.saturating_sub(at_ms) })
    }

    /// Returns the requests whose score is to be stored since it has risen, and forgets that it has.
    pub fn take_risen_scores(&mut self) -> impl Iterator<Item = Fingerprint> + use<> {
        std::mem::take(&mut self.risen_scores).into_iter()
    }

    /// Notes which of the new `scores` are higher than what is known to be stored.
    pub(super) fn record_risen_scores(&mut self, scores: &HashMap<Fingerprint, u32>) {
        let known_score = |fingerprint: Fingerprint| {
            let stored = self.stored_scores.get(fingerprint).map(|stored| stored.score);
            stored.max(self.scores.get(&fingerprint).copied()).unwrap_or(0)
        };
        let risen = scores
            .iter()
            .filter(|(fingerprint, score)| **score >= STORED_SCORE && **score > known_score(**fingerprint))
            .map(|(fingerprint, _)| *fingerprint);
        self.risen_scores.extend(risen);
    }
}
