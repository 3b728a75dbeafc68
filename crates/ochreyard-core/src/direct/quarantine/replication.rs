//! What an entry tells others of what it knows, and what it takes over from them.

use super::quarantine_period::{MAX_LIFE_MS, Verdict};
use super::update::{ClearedRequest, CrashReport, LostRequest, QuarantineEntry, QuarantineUpdate};
use super::{Quarantine, QuarantinedRequest, TRIAL_MS, verdict_news};

impl Quarantine {
    /// How many changes there have been: what another entry names to be told only what came since.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.changes
    }

    /// What changed after the first `known` changes.
    #[must_use]
    pub fn update_since(&self, known: u64, now_ms: u64) -> QuarantineUpdate {
        let age_ms = |at_ms: u64| now_ms.saturating_sub(at_ms);
        let crashes = self.crashes.all().iter().filter(|crash| crash.change > known).map(|crash| CrashReport {
            endpoint: crash.endpoint.clone(),
            service: crash.service.clone(),
            age_ms: age_ms(crash.at_ms),
            lost: crash
                .present
                .iter()
                .map(|(one, ran_ms)| LostRequest { fingerprint: *one, ran_ms: *ran_ms })
                .collect(),
        });
        let cleared = self.cleared.iter().filter(|(_, cleared)| cleared.change > known);
        let verdicts = self.verdicts.iter().filter(|(_, verdict)| verdict.change > known);
        QuarantineUpdate {
            crashes: crashes.collect(),
            cleared: cleared
                .map(|(one, cleared)| ClearedRequest { fingerprint: *one, age_ms: age_ms(cleared.at_ms) })
                .collect(),
            entries: verdicts.map(|(one, verdict)| verdict_news(*one, verdict, now_ms)).collect(),
            trials: Vec::new(),
        }
    }

    /// Takes what another entry tells. Gives the requests that are judged by that.
    pub fn apply_update(&mut self, news: &QuarantineUpdate, now_ms: u64) -> Vec<QuarantinedRequest> {
        for crash in &news.crashes {
            let at_ms = now_ms.saturating_sub(crash.age_ms);
            self.take_crash(&crash.endpoint, &crash.service, &crash.lost, at_ms);
        }
        for verdict in &news.entries {
            self.take_verdict(verdict, now_ms);
        }
        for cleared in &news.cleared {
            self.clear(cleared.fingerprint, now_ms.saturating_sub(cleared.age_ms));
        }
        for trial in &news.trials {
            self.keep_back(trial.fingerprint, now_ms + trial.left_ms.min(TRIAL_MS));
        }
        self.judge(now_ms)
    }

    /// Takes another entry's verdict, unless one as late, or a clearance since, is known. Two entries that judge
    /// by themselves differ by milliseconds, which is no news.
    fn take_verdict(&mut self, told: &QuarantineEntry, now_ms: u64) {
        let until_ms = now_ms + told.left_ms.min(MAX_LIFE_MS);
        let made_ms = now_ms.saturating_sub(told.age_ms);
        let is_cleared = self.cleared.get(&told.fingerprint).is_some_and(|cleared| cleared.at_ms >= made_ms);
        let knows_later = self.verdicts.get(&told.fingerprint).is_some_and(|known| known.times >= told.times);
        if is_cleared || knows_later || told.times == 0 {
            return;
        }
        self.changes += 1;
        let verdict = Verdict { made_ms, until_ms, times: told.times, change: self.changes };
        self.verdicts.insert(told.fingerprint, verdict);
    }
}
