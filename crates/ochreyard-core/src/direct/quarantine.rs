//! Requests that crash the endpoints which run them: found out, tried one at a time, and refused.
//!
//! A request is known by its [`Fingerprint`], whichever attempt it is and at whichever entry it arrives. Entries tell
//! each other of crashes, and each judges all that it knows by the same rule, so none has to decide for the others and
//! an entry that is cut off goes on by what it sees.
//!
//! One crash leaves a request free: most of those that an endpoint had are bystanders. After two, soon after it began to
//! run, it runs on trial: one copy at a time over all entries, and no repeat of ours. After three it is refused for a
//! time. A run that ends well clears it.

mod crash;
mod crash_list;
mod decision;
mod evidence;
mod quarantine_period;
mod quarantined_request;
mod replication;
mod update;

use std::collections::HashMap;

use self::crash_list::CrashList;
pub use self::decision::QuarantineDecision;
use self::evidence::{TRIAL_WEIGHT, VERDICT_WEIGHT};
use self::quarantine_period::Verdict;
pub use self::quarantined_request::QuarantinedRequest;
pub use self::update::{ClearedRequest, CrashReport, LostRequest, QuarantineEntry, QuarantineUpdate, RunningTrial};
use super::fingerprint::Fingerprint;

/// How long copies of a suspect are kept back while one is tried, in milliseconds. Endpoints that were crashed by a
/// request ended 40 to 110 ms after they began to run it; before that it may wait for a place for a second or two.
const TRIAL_MS: u64 = 3_000;
/// Verdicts that are kept: each takes 64 bytes. The one that ends first is forgotten first.
const MAX_VERDICTS: usize = 1_024;
/// Trials that are kept.
const MAX_TRIALS: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct Cleared {
    at_ms: u64,
    change: u64,
}

/// What is known of requests that crash endpoints.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    crashes: CrashList,
    cleared: HashMap<Fingerprint, Cleared>,
    verdicts: HashMap<Fingerprint, Verdict>,
    /// Until when copies of a suspect are kept back.
    trials: HashMap<Fingerprint, u64>,
    weights: HashMap<Fingerprint, u32>,
    changes: u64,
}

impl Quarantine {
    /// Whether nothing is suspected. Then no request needs its fingerprint.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.all().is_empty() && self.verdicts.is_empty()
    }

    /// Requests that are refused now.
    #[must_use]
    pub fn quarantined_count(&self, now_ms: u64) -> usize {
        self.verdicts.values().filter(|verdict| verdict.left_ms(now_ms).is_some()).count()
    }

    /// Requests on which something was decided that still holds: that they are refused, or that they were released.
    #[must_use]
    pub fn active_decisions(&self, now_ms: u64) -> Vec<Fingerprint> {
        let refused =
            self.verdicts.iter().filter(|(_, verdict)| verdict.left_ms(now_ms).is_some()).map(|(one, _)| *one);
        let released = self.cleared.keys().filter(|one| !self.verdicts.contains_key(one)).copied();
        refused.chain(released).collect()
    }

    /// The verdict on a request that is refused now.
    #[must_use]
    pub fn entry(&self, fingerprint: Fingerprint, now_ms: u64) -> Option<QuarantineEntry> {
        let verdict = self.verdicts.get(&fingerprint).filter(|verdict| verdict.left_ms(now_ms).is_some())?;
        Some(verdict_news(fingerprint, verdict, now_ms))
    }

    /// All requests that are refused now, for operators: those that are refused longest first.
    #[must_use]
    pub fn quarantined_requests(&self, now_ms: u64) -> Vec<QuarantinedRequest> {
        let refused = self.verdicts.iter().filter(|(_, verdict)| verdict.left_ms(now_ms).is_some());
        let mut listed: Vec<QuarantinedRequest> =
            refused.map(|(one, verdict)| self.judged(*one, verdict, now_ms)).collect();
        listed.sort_by_key(|one| std::cmp::Reverse(one.for_ms));
        listed
    }

    /// An operator releases a request: nothing that it did before counts any longer. Gives what others are told.
    pub fn release(&mut self, fingerprint: Fingerprint, now_ms: u64) -> QuarantineUpdate {
        self.clear(fingerprint, now_ms);
        self.judge(now_ms);
        QuarantineUpdate { cleared: vec![ClearedRequest { fingerprint, age_ms: 0 }], ..QuarantineUpdate::default() }
    }

    /// What may be done with a request.
    #[must_use]
    pub fn decision(&self, fingerprint: Fingerprint, now_ms: u64) -> QuarantineDecision {
        let verdict = self.verdicts.get(&fingerprint);
        if let Some(left_ms) = verdict.and_then(|verdict| verdict.left_ms(now_ms)) {
            return QuarantineDecision::Refuse { left_ms };
        }
        let weight = self.weights.get(&fingerprint).copied().unwrap_or(0);
        if verdict.is_none() && weight < TRIAL_WEIGHT {
            return QuarantineDecision::Allow;
        }
        match self.trials.get(&fingerprint) {
            Some(until_ms) if *until_ms > now_ms => QuarantineDecision::WaitForTrial { left_ms: until_ms - now_ms },
            _ => QuarantineDecision::AllowAsTrial,
        }
    }

    /// A suspect is sent to an endpoint. Gives what others are told, so that they keep copies back.
    pub fn begin_trial(&mut self, fingerprint: Fingerprint, now_ms: u64) -> QuarantineUpdate {
        self.keep_back(fingerprint, now_ms + TRIAL_MS);
        QuarantineUpdate {
            trials: vec![RunningTrial { fingerprint, left_ms: TRIAL_MS }],
            ..QuarantineUpdate::default()
        }
    }

    fn keep_back(&mut self, fingerprint: Fingerprint, until_ms: u64) {
        let known = self.trials.entry(fingerprint).or_insert(until_ms);
        *known = (*known).max(until_ms);
        if self.trials.len() > MAX_TRIALS
            && let Some(first) = self.trials.iter().min_by_key(|(_, until_ms)| **until_ms).map(|(one, _)| *one)
        {
            self.trials.remove(&first);
        }
    }

    /// A trial ended without a verdict, and without the request having run.
    pub fn cancel_trial(&mut self, fingerprint: Fingerprint) {
        self.trials.remove(&fingerprint);
    }

    /// An endpoint crashed that had a request. Gives the requests that are judged by that.
    pub fn on_crash(
        &mut self,
        endpoint: &str,
        service: &str,
        lost: LostRequest,
        at_ms: u64,
        now_ms: u64,
    ) -> Vec<QuarantinedRequest> {
        if !self.take_crash(endpoint, service, &[lost], at_ms) {
            return Vec::new();
        }
        self.judge(now_ms)
    }

    /// Notes a crash. Says whether it is news.
    fn take_crash(&mut self, endpoint: &str, service: &str, lost: &[LostRequest], at_ms: u64) -> bool {
        let change = self.changes + 1;
        let is_news = self.crashes.take(endpoint, service, lost, at_ms, change);
        if is_news {
            self.changes = change;
        }
        is_news
    }

    /// A request ended well. Says whether it had been suspected.
    pub fn on_success(&mut self, fingerprint: Fingerprint, now_ms: u64) -> bool {
        if !self.verdicts.contains_key(&fingerprint) && !self.weights.contains_key(&fingerprint) {
            return false;
        }
        self.clear(fingerprint, now_ms);
        self.judge(now_ms);
        true
    }

    fn clear(&mut self, fingerprint: Fingerprint, at_ms: u64) -> bool {
        if !self.is_news_that_cleared(fingerprint, at_ms) {
            return false;
        }
        self.changes += 1;
        self.cleared.insert(fingerprint, Cleared { at_ms, change: self.changes });
        if self.verdicts.get(&fingerprint).is_some_and(|verdict| verdict.made_ms <= at_ms) {
            self.verdicts.remove(&fingerprint);
        }
        self.trials.remove(&fingerprint);
        true
    }

    /// Whether a clearance is the first one, or clears something that the last one did not. What is passed on grows
    /// older by the time that it travels, so it would look later each time that it comes round.
    fn is_news_that_cleared(&self, fingerprint: Fingerprint, at_ms: u64) -> bool {
        let Some(known) = self.cleared.get(&fingerprint) else { return true };
        let verdict = self.verdicts.get(&fingerprint);
        let clears = |made_ms: u64| made_ms > known.at_ms && made_ms <= at_ms;
        verdict.is_some_and(|verdict| clears(verdict.made_ms)) || self.crash_times(fingerprint).any(clears)
    }

    fn crash_times(&self, fingerprint: Fingerprint) -> impl Iterator<Item = u64> {
        let crashes = self.crashes.all().iter().filter(move |crash| crash.present.contains_key(&fingerprint));
        crashes.map(|crash| crash.at_ms)
    }

    /// Weighs all that is known. Gives the requests that are judged anew.
    fn judge(&mut self, now_ms: u64) -> Vec<QuarantinedRequest> {
        let good_end_ms = |one: Fingerprint| self.cleared.get(&one).map(|cleared| cleared.at_ms);
        self.weights = evidence::weigh(self.crashes.all(), good_end_ms);
        let guilty = self.weights.iter().filter(|(_, weight)| **weight >= VERDICT_WEIGHT).map(|(one, _)| *one);
        let mut judged = Vec::new();
        for fingerprint in guilty.chain(self.failed_trials(now_ms)).collect::<Vec<_>>() {
            let former = self.verdicts.get(&fingerprint);
            if former.is_some_and(|verdict| verdict.left_ms(now_ms).is_some()) || self.was_judged(fingerprint) {
                continue;
            }
            self.changes += 1;
            let verdict = Verdict::after(former, now_ms, self.changes);
            self.verdicts.insert(fingerprint, verdict);
            judged.push(self.judged(fingerprint, &verdict, now_ms));
        }
        self.bound_verdicts();
        judged
    }

    /// Whether the last crash of a request lies before its last verdict, so that it brings no new one.
    fn was_judged(&self, fingerprint: Fingerprint) -> bool {
        let Some(verdict) = self.verdicts.get(&fingerprint) else { return false };
        self.last_crash_ms(fingerprint).is_none_or(|at_ms| at_ms <= verdict.made_ms)
    }

    fn last_crash_ms(&self, fingerprint: Fingerprint) -> Option<u64> {
        self.crash_times(fingerprint).max()
    }

    /// Requests whose verdict is over, and which have crashed an endpoint since.
    fn failed_trials(&self, now_ms: u64) -> Vec<Fingerprint> {
        let over = self.verdicts.iter().filter(|(_, verdict)| verdict.left_ms(now_ms).is_none());
        let crashed = |one: Fingerprint, since_ms: u64| self.last_crash_ms(one).is_some_and(|at_ms| at_ms > since_ms);
        over.filter(|(one, verdict)| crashed(**one, verdict.until_ms)).map(|(one, _)| *one).collect()
    }

    fn judged(&self, fingerprint: Fingerprint, verdict: &Verdict, now_ms: u64) -> QuarantinedRequest {
        let crashes = self.crashes.all().iter().filter(|crash| crash.present.contains_key(&fingerprint));
        QuarantinedRequest {
            fingerprint,
            times: verdict.times,
            for_ms: verdict.until_ms - now_ms,
            crashes: crashes.map(|crash| (crash.endpoint.clone(), now_ms.saturating_sub(crash.at_ms))).collect(),
        }
    }

    fn bound_verdicts(&mut self) {
        while self.verdicts.len() > MAX_VERDICTS {
            let first = self.verdicts.iter().min_by_key(|(_, verdict)| verdict.until_ms).map(|(one, _)| *one);
            first.map(|one| self.verdicts.remove(&one));
        }
    }

    /// Forgets what is too old to say anything. Called now and then.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.trials.retain(|_, until_ms| *until_ms > now_ms);
        self.verdicts.retain(|_, verdict| !verdict.is_forgotten(now_ms));
        if self.crashes.remove_expired(now_ms) {
            self.judge(now_ms);
        }
        let (crashes, verdicts) = (&self.crashes, &self.verdicts);
        self.cleared.retain(|one, _| crashes.count(*one) > 0 || verdicts.contains_key(one));
    }
}

const fn verdict_news(fingerprint: Fingerprint, verdict: &Verdict, now_ms: u64) -> QuarantineEntry {
    QuarantineEntry {
        fingerprint,
        age_ms: now_ms.saturating_sub(verdict.made_ms),
        left_ms: verdict.until_ms.saturating_sub(now_ms),
        times: verdict.times,
    }
}
