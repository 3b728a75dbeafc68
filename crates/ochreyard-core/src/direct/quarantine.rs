//! Quarantine of requests that crash the endpoints which run them.
//!
//! A request is identified by its [`Fingerprint`], regardless of the attempt and of the entry at which it arrives.
//! Entries report crashes to each other, and each entry evaluates all reports by the same rule. No entry has to decide
//! for the others, and an entry that is cut off continues with the crashes that it saw itself.
//!
//! After one crash a request remains allowed, since most requests at a crashed endpoint are bystanders. After two
//! crashes, one of them soon after the request began to run, it runs only as a trial: one copy at a time across all
//! entries, without retries by the entry. After three crashes it is refused for a time. A successful run clears it.
//!
//! Requests that differ may share the cause: a part of their prompts. Parts are judged by the same crashes, and a
//! request is treated like the most suspect of its parts.

mod crash;
mod crash_list;
mod crash_scores;
mod decision;
mod good_runs;
mod part_decision;
mod part_scores;
mod part_suspicion;
mod quarantine_period;
mod quarantined_request;
mod recurrence;
mod replication;
mod run_age;
mod update;

use std::collections::{BTreeMap, HashMap, HashSet};

use self::crash::{Crash, CrashTime};
use self::crash_list::CrashList;
use self::crash_scores::{QUARANTINE_SCORE, TRIAL_SCORE};
pub use self::crash_scores::{is_long_run, is_past_start};
pub use self::decision::QuarantineDecision;
use self::good_runs::GoodRunCounter;
use self::part_decision::CLAIM_MS;
pub use self::part_decision::{PartDecision, TrialClaim};
use self::part_scores::PartScore;
pub use self::part_suspicion::PartFinding;
use self::part_suspicion::Suspicion;
use self::quarantine_period::{QuarantinePeriod, REQUEST_PERIODS, part_periods};
pub use self::quarantined_request::QuarantinedRequest;
pub use self::update::{
    ClearedRequest, CrashReport, GoodRun, LostPart, LostRequest, QuarantineEntry, QuarantineUpdate, RunningTrial,
};
use super::fingerprint::Fingerprint;
use super::prompt_part::PromptPart;

/// How long copies of a suspect are held back during its trial, in milliseconds. Endpoints crashed 40 to 110 ms after
/// they began to run such a request, and before that it may be queued for a second or two.
const TRIAL_MS: u64 = 3_000;
/// Maximum number of quarantine periods that are kept, at 64 bytes each. The one that ends first is removed first.
const MAX_PERIODS: usize = 1_024;
/// Maximum number of trials that are kept.
const MAX_TRIALS: usize = 1_024;
/// Time from a crash until a part is quarantined for it, in milliseconds. Reports of the same crash that name good runs
/// may arrive within it.
const REPORTS_MS: u64 = 50;

#[derive(Debug, Clone, Copy)]
struct Clearance {
    at_ms: u64,
    version: u64,
}

/// A trial of a suspect.
#[derive(Debug, Clone, Copy)]
struct Trial {
    /// The time until which others with the same suspect are held back.
    until_ms: u64,
    /// When the trial was claimed.
    since_ms: u64,
    /// The request that claimed the trial of a part; `None` for the trial of a request.
    claimant: Option<u64>,
}

impl Trial {
    /// Returns whether the trial prevails over a claim of another request.
    fn prevails(&self, claimant: u64, now_ms: u64) -> bool {
        let is_settled = now_ms >= self.since_ms + CLAIM_MS;
        is_settled || self.claimant.is_none_or(|other| other < claimant)
    }
}

/// The quarantine of requests that crash endpoints.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    crashes: CrashList,
    cleared: HashMap<Fingerprint, Clearance>,
    periods: HashMap<Fingerprint, QuarantinePeriod>,
    trials: HashMap<Fingerprint, Trial>,
    scores: HashMap<Fingerprint, u32>,
    part_scores: HashMap<Fingerprint, PartScore>,
    /// Identifiers of the parts that were present at crashes or are quarantined.
    part_ids: HashMap<Fingerprint, String>,
    /// What was last reported of parts.
    reported_suspicions: BTreeMap<Fingerprint, Suspicion>,
    good_runs: GoodRunCounter,
    version: u64,
}

impl Quarantine {
    /// Returns whether no request is suspected, in which case fingerprints need not be computed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.all().is_empty() && self.periods.is_empty()
    }

    /// Returns the number of requests that are currently refused.
    #[must_use]
    pub fn quarantined_count(&self, now_ms: u64) -> usize {
        self.periods.values().filter(|period| period.left_ms(now_ms).is_some()).count()
    }

    /// Returns the requests with a decision that still applies: those that are refused and those that were released.
    #[must_use]
    pub fn active_decisions(&self, now_ms: u64) -> Vec<Fingerprint> {
        let refused = self
            .periods
            .iter()
            .filter(|(_, period)| period.left_ms(now_ms).is_some())
            .map(|(fingerprint, _)| *fingerprint);
        let released = self.cleared.keys().filter(|fingerprint| !self.periods.contains_key(fingerprint)).copied();
        refused.chain(released).collect()
    }

    /// Returns the quarantine entry of a request that is currently refused.
    #[must_use]
    pub fn entry(&self, fingerprint: Fingerprint, now_ms: u64) -> Option<QuarantineEntry> {
        let period = self.periods.get(&fingerprint).filter(|period| period.left_ms(now_ms).is_some())?;
        Some(self.quarantine_entry(fingerprint, period, now_ms))
    }

    fn quarantine_entry(&self, fingerprint: Fingerprint, period: &QuarantinePeriod, now_ms: u64) -> QuarantineEntry {
        QuarantineEntry {
            fingerprint,
            part: self.part_ids.get(&fingerprint).cloned(),
            age_ms: now_ms.saturating_sub(period.started_ms),
            left_ms: period.until_ms.saturating_sub(now_ms),
            times: period.times,
        }
    }

    /// Returns all requests that are currently refused, for operators. Those with the longest remaining time come
    /// first.
    #[must_use]
    pub fn quarantined_requests(&self, now_ms: u64) -> Vec<QuarantinedRequest> {
        let refused = self.periods.iter().filter(|(_, period)| period.left_ms(now_ms).is_some());
        let mut quarantined: Vec<QuarantinedRequest> =
            refused.map(|(fingerprint, period)| self.quarantined_request(*fingerprint, period, now_ms)).collect();
        quarantined.sort_by_key(|request| std::cmp::Reverse(request.for_ms));
        quarantined
    }

    /// Releases a request on behalf of an operator, so that its earlier crashes no longer count. Returns the update for
    /// other entries.
    pub fn release(&mut self, fingerprint: Fingerprint, now_ms: u64) -> QuarantineUpdate {
        self.clear(fingerprint, now_ms);
        self.evaluate(now_ms);
        QuarantineUpdate { cleared: vec![ClearedRequest { fingerprint, age_ms: 0 }], ..QuarantineUpdate::default() }
    }

    /// Returns what may be done with a request now.
    #[must_use]
    pub fn decision(&self, fingerprint: Fingerprint, now_ms: u64) -> QuarantineDecision {
        let period = self.periods.get(&fingerprint);
        if let Some(left_ms) = period.and_then(|period| period.left_ms(now_ms)) {
            return QuarantineDecision::Refuse { left_ms };
        }
        let score = self.scores.get(&fingerprint).copied().unwrap_or(0);
        if period.is_none() && score < TRIAL_SCORE {
            return QuarantineDecision::Allow;
        }
        match self.trials.get(&fingerprint) {
            Some(trial) if trial.until_ms > now_ms => {
                QuarantineDecision::WaitForTrial { left_ms: trial.until_ms - now_ms }
            }
            _ => QuarantineDecision::AllowAsTrial,
        }
    }

    /// Records that a suspect is being sent to an endpoint. Returns the update that makes other entries hold back
    /// copies of it.
    pub fn begin_trial(&mut self, fingerprint: Fingerprint, now_ms: u64) -> QuarantineUpdate {
        self.hold_back(fingerprint, Trial { until_ms: now_ms + TRIAL_MS, since_ms: now_ms, claimant: None });
        QuarantineUpdate {
            trials: vec![RunningTrial { fingerprint, left_ms: TRIAL_MS, claimant: None }],
            ..QuarantineUpdate::default()
        }
    }

    fn hold_back(&mut self, fingerprint: Fingerprint, trial: Trial) {
        let until_ms = self.trials.get(&fingerprint).map_or(0, |known| known.until_ms).max(trial.until_ms);
        self.trials.insert(fingerprint, Trial { until_ms, ..trial });
        if self.trials.len() > MAX_TRIALS
            && let Some(first) =
                self.trials.iter().min_by_key(|(_, trial)| trial.until_ms).map(|(fingerprint, _)| *fingerprint)
        {
            self.trials.remove(&first);
        }
    }

    /// Cancels a trial in which the request did not run.
    pub fn cancel_trial(&mut self, fingerprint: Fingerprint) {
        self.trials.remove(&fingerprint);
    }

    /// Records a request that was at an endpoint when it crashed. Returns the requests that are quarantined as a
    /// result.
    pub fn on_crash(
        &mut self,
        endpoint: &str,
        service: &str,
        lost: LostRequest,
        at_ms: u64,
        now_ms: u64,
    ) -> Vec<QuarantinedRequest> {
        if !self.record_crash(endpoint, service, &[lost], CrashTime::exact(at_ms, now_ms)) {
            return Vec::new();
        }
        self.evaluate(now_ms)
    }

    /// Records a crash. Returns whether it adds information.
    fn record_crash(&mut self, endpoint: &str, service: &str, lost: &[LostRequest], time: CrashTime) -> bool {
        let version = self.version + 1;
        let is_new_information = self.crashes.record_requests(endpoint, service, lost, time, version);
        if is_new_information {
            self.version = version;
            for part in lost.iter().flat_map(|lost| &lost.parts).map(|part| PromptPart::new(&part.id)) {
                self.part_ids.insert(part.fingerprint(), part.id().to_owned());
            }
        }
        is_new_information
    }

    /// Records that a request succeeded. Returns whether it was a suspect.
    pub fn on_success(&mut self, fingerprint: Fingerprint, now_ms: u64) -> bool {
        if !self.periods.contains_key(&fingerprint) && !self.scores.contains_key(&fingerprint) {
            return false;
        }
        self.clear(fingerprint, now_ms);
        self.evaluate(now_ms);
        true
    }

    fn clear(&mut self, fingerprint: Fingerprint, at_ms: u64) -> bool {
        if !self.is_new_clearance(fingerprint, at_ms) {
            return false;
        }
        let is_last_crash_cleared = self.last_crash_ms(fingerprint).is_some_and(|crashed_ms| crashed_ms <= at_ms);
        self.version += 1;
        self.cleared.insert(fingerprint, Clearance { at_ms, version: self.version });
        let is_period_cleared = |period: &QuarantinePeriod| period.started_ms <= at_ms || is_last_crash_cleared;
        if self.periods.get(&fingerprint).is_some_and(is_period_cleared) {
            self.periods.remove(&fingerprint);
        }
        self.trials.remove(&fingerprint);
        true
    }

    /// Returns whether a clearance clears a crash or a quarantine period that the last clearance did not. The time of a clearance is computed from its age, which does not include transit times,
    /// so a clearance that is passed on would look newer each time.
    fn is_new_clearance(&self, fingerprint: Fingerprint, at_ms: u64) -> bool {
        let known_ms = self.cleared.get(&fingerprint).map(|known| known.at_ms);
        let period = self.periods.get(&fingerprint);
        let is_cleared_now =
            |happened_ms: u64| known_ms.is_none_or(|known_ms| happened_ms > known_ms) && happened_ms <= at_ms;
        period.is_some_and(|period| is_cleared_now(period.started_ms))
            || self.crash_times(fingerprint).any(is_cleared_now)
    }

    fn crash_times(&self, fingerprint: Fingerprint) -> impl Iterator<Item = u64> {
        self.crashes.involving(fingerprint).map(|crash| crash.at_ms)
    }

    /// Evaluates all crashes. Returns the requests that are newly quarantined.
    fn evaluate(&mut self, now_ms: u64) -> Vec<QuarantinedRequest> {
        let last_success_ms = |fingerprint: Fingerprint| self.cleared.get(&fingerprint).map(|cleared| cleared.at_ms);
        let part_scores = part_scores::score_parts(self.crashes.all(), |part| self.part_history(part, now_ms));
        let causes = self.causes(&part_scores, now_ms);
        let is_explained = |crash: &Crash| crash.is_explained_by(&causes);
        self.scores = crash_scores::score_requests(self.crashes.all(), is_explained, last_success_ms);
        self.part_scores = part_scores;
        self.release_explained_requests(&causes, now_ms);
        let is_settled = |part: Fingerprint| self.last_crash_ms(part).is_none_or(|at_ms| now_ms >= at_ms + REPORTS_MS);
        let requests = self.scores.iter().filter(|(_, score)| **score >= QUARANTINE_SCORE).map(|(request, _)| *request);
        let above_threshold = self.part_scores.iter().filter(|(_, score)| score.is_quarantined());
        let parts = above_threshold.map(|(part, _)| *part).filter(|part| is_settled(*part));
        let mut quarantined = Vec::new();
        for fingerprint in requests.chain(parts).chain(self.failed_trials(now_ms)).collect::<Vec<_>>() {
            let former = self.periods.get(&fingerprint);
            if former.is_some_and(|period| period.left_ms(now_ms).is_some())
                || self.is_covered_by_last_period(fingerprint)
            {
                continue;
            }
            self.version += 1;
            let is_in_doubt = self.part_scores.get(&fingerprint).is_some_and(|score| score.may_be_bystander());
            let is_part = self.part_ids.contains_key(&fingerprint);
            let lengths = if is_part { part_periods(is_in_doubt) } else { REQUEST_PERIODS };
            let period = QuarantinePeriod::after(former, lengths, now_ms, self.version);
            self.periods.insert(fingerprint, period);
            quarantined.push(self.quarantined_request(fingerprint, &period, now_ms));
        }
        self.limit_periods();
        quarantined
    }

    /// Returns the parts that are known to be causes, each with the time at which its last good run began.
    fn causes(&self, part_scores: &HashMap<Fingerprint, PartScore>, now_ms: u64) -> HashMap<Fingerprint, u64> {
        let is_refused = |part: &Fingerprint| {
            self.part_ids.contains_key(part)
                && self.periods.get(part).is_some_and(|period| period.left_ms(now_ms).is_some())
        };
        let found = part_scores.iter().filter(|(_, score)| score.is_quarantined()).map(|(part, _)| part);
        let causes: HashSet<Fingerprint> =
            found.chain(self.periods.keys().filter(|part| is_refused(part))).copied().collect();
        let seen_here = |part: Fingerprint| self.good_runs.whole(part).map(|runs| runs.last_began_ms());
        let last_good_ms =
            |part: Fingerprint| self.crashes.last_reported_good_ms(part).max(seen_here(part)).unwrap_or(0);
        causes.into_iter().map(|part| (part, last_good_ms(part))).collect()
    }

    /// Ends the quarantine of requests that is based on crashes which a part explains by now.
    fn release_explained_requests(&mut self, causes: &HashMap<Fingerprint, u64>, now_ms: u64) {
        let is_released = |fingerprint: &Fingerprint| {
            !self.part_ids.contains_key(fingerprint)
                && self.crashes.involving(*fingerprint).any(|crash| crash.is_explained_by(causes))
                && self.scores.get(fingerprint).is_none_or(|score| *score < TRIAL_SCORE)
        };
        let refused = self.periods.iter().filter(|(_, period)| period.left_ms(now_ms).is_some());
        let released: Vec<Fingerprint> =
            refused.map(|(fingerprint, _)| *fingerprint).filter(|fingerprint| is_released(fingerprint)).collect();
        for fingerprint in released {
            self.clear(fingerprint, now_ms);
        }
    }

    /// Returns whether the last crash of a request happened before its last quarantine period began, so that it starts
    /// no new period.
    fn is_covered_by_last_period(&self, fingerprint: Fingerprint) -> bool {
        let Some(period) = self.periods.get(&fingerprint) else { return false };
        self.last_renewing_crash_ms(fingerprint).is_none_or(|at_ms| at_ms <= period.started_ms)
    }

    fn last_crash_ms(&self, fingerprint: Fingerprint) -> Option<u64> {
        self.crash_times(fingerprint).max()
    }

    /// Returns the time of the last crash that may renew a quarantine. After its first quarantine a part runs only in
    /// trials: other requests with it that were at a crash had begun before.
    fn last_renewing_crash_ms(&self, fingerprint: Fingerprint) -> Option<u64> {
        let is_part = self.part_ids.contains_key(&fingerprint);
        let crashes = self.crashes.involving(fingerprint);
        crashes.filter(|crash| !is_part || crash.ended_trial_of(fingerprint)).map(|crash| crash.at_ms).max()
    }

    /// Returns the requests that have crashed an endpoint after their quarantine period ended, and the parts whose trial
    /// has.
    fn failed_trials(&self, now_ms: u64) -> Vec<Fingerprint> {
        let ended = self.periods.iter().filter(|(_, period)| period.left_ms(now_ms).is_none());
        let has_failed = |fingerprint: Fingerprint, since_ms: u64| {
            self.last_renewing_crash_ms(fingerprint).is_some_and(|at_ms| at_ms > since_ms)
        };
        ended
            .filter(|(fingerprint, period)| has_failed(**fingerprint, period.until_ms))
            .map(|(fingerprint, _)| *fingerprint)
            .collect()
    }

    fn quarantined_request(
        &self,
        fingerprint: Fingerprint,
        period: &QuarantinePeriod,
        now_ms: u64,
    ) -> QuarantinedRequest {
        let crashes = self.crashes.involving(fingerprint);
        QuarantinedRequest {
            fingerprint,
            part: self.part_ids.get(&fingerprint).cloned(),
            times: period.times,
            for_ms: period.until_ms - now_ms,
            crashes: crashes.map(|crash| (crash.endpoint.clone(), now_ms.saturating_sub(crash.at_ms))).collect(),
        }
    }

    fn limit_periods(&mut self) {
        while self.periods.len() > MAX_PERIODS {
            let first =
                self.periods.iter().min_by_key(|(_, period)| period.until_ms).map(|(fingerprint, _)| *fingerprint);
            first.map(|fingerprint| self.periods.remove(&fingerprint));
        }
    }

    /// Removes state that no longer matters. Called periodically. Returns the parts that are quarantined since the
    /// reports of their last crash are complete.
    pub fn remove_expired(&mut self, now_ms: u64) -> Vec<QuarantinedRequest> {
        self.trials.retain(|_, trial| trial.until_ms > now_ms);
        self.periods.retain(|_, period| !period.is_expired(now_ms));
        self.crashes.remove_expired(now_ms);
        let quarantined = self.evaluate(now_ms);
        let present = self.crashes.present();
        let periods = &self.periods;
        let is_known = |fingerprint: &Fingerprint| present.contains(fingerprint) || periods.contains_key(fingerprint);
        self.cleared.retain(|fingerprint, _| is_known(fingerprint));
        self.part_ids.retain(|fingerprint, _| is_known(fingerprint));
        quarantined
    }
}
