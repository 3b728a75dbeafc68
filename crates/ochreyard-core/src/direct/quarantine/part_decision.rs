//! Decisions about requests by the parts of their prompts.
//!
//! Requests that share a suspected part with a trial are held rather than refused, since most of them are healthy. The next
//! one is tried once the trial is past the start of its answer; all go on once enough runs have been whole.

use std::collections::HashMap;

use super::good_runs::RunProgress;
use super::part_scores::PartHistory;
use super::quarantine_period::part_periods;
use super::update::{ClearedRequest, GoodRun, LostPart, QuarantineUpdate, RunningTrial};
use super::{Quarantine, TRIAL_MS, Trial};
use crate::direct::{Fingerprint, PromptPart};

/// Time for which a trial is claimed before the request is sent, in milliseconds. Claims of two entries at the same time
/// meet within it, and one of them withdraws.
pub(super) const CLAIM_MS: u64 = 50;
/// Time from the last crash with a part until its trial may begin, in milliseconds. Runs that began before the part was
/// suspected have crashed their endpoints by then.
const FORMER_RUNS_MS: u64 = 200;
/// Bits of a claim's number that are random. Those above count the reasons for which a trial may fail apart from the
/// suspected part.
const RANDOM_BITS: u32 = 62;
const MAX_DOUBTS: u64 = 3;
/// A claim is renewed when less than this is left of it, in milliseconds.
const RENEW_MS: u64 = TRIAL_MS / 2;

/// What may be done with a request because of the parts of its prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartDecision {
    /// No part is suspected.
    Allow,
    /// The parts that are suspected: the request may be sent only as their trial.
    Suspected(Vec<Fingerprint>),
    /// A part is quarantined.
    Refuse {
        /// The part.
        part: Fingerprint,
        /// Remaining time of the quarantine, in milliseconds.
        left_ms: u64,
    },
}

/// State of the claim of a request on the trials of its suspected parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TrialClaim {
    /// The trials belong to this request, which may be sent.
    Granted,
    /// The claim has been made or renewed. The update tells other entries of it.
    Announced(QuarantineUpdate),
    /// The claim has been made, and other claims may still arrive.
    Pending,
    /// A trial belongs to another request.
    Taken {
        /// How long other requests keep it at most, in milliseconds.
        left_ms: u64,
    },
}

impl Quarantine {
    /// Returns what may be done now with a request whose prompt has these parts.
    #[must_use]
    pub fn part_decision(&self, parts: &[PromptPart], now_ms: u64) -> PartDecision {
        let fingerprints = || parts.iter().map(PromptPart::fingerprint);
        let refused = fingerprints().find_map(|part| Some((part, self.part_refusal_ms(part, now_ms)?)));
        if let Some((part, left_ms)) = refused {
            return PartDecision::Refuse { part, left_ms };
        }
        let suspected: Vec<Fingerprint> = fingerprints().filter(|part| self.is_suspected_part(*part)).collect();
        if suspected.is_empty() { PartDecision::Allow } else { PartDecision::Suspected(suspected) }
    }

    /// Returns how long requests with a part are still refused. The scores decide before the quarantine period begins,
    /// which is only once all reports of the last crash have arrived.
    fn part_refusal_ms(&self, part: Fingerprint, now_ms: u64) -> Option<u64> {
        if let Some(period) = self.periods.get(&part)
            && let Some(left_ms) = period.left_ms(now_ms)
        {
            return Some(left_ms);
        }
        let score = self.part_scores.get(&part).filter(|score| score.is_quarantined())?;
        (!self.is_covered_by_last_period(part)).then(|| part_periods(score.may_be_bystander()).first_ms)
    }

    fn is_suspected_part(&self, part: Fingerprint) -> bool {
        self.periods.contains_key(&part) || self.part_scores.get(&part).is_some_and(|score| score.is_suspected())
    }

    /// Returns the number by which a request with these parts claims trials, from a random number. A trial is conclusive if
    /// it tries one suspect alone, and the other parts are known to be healthy: the fewer of them are not, the lower the
    /// number.
    #[must_use]
    pub fn claimant(&self, parts: &[PromptPart], random: u64) -> u64 {
        let (suspected, others): (Vec<Fingerprint>, Vec<Fingerprint>) =
            parts.iter().map(PromptPart::fingerprint).partition(|part| self.is_suspected_part(*part));
        let unknown = others.iter().filter(|part| self.good_runs.whole(**part).is_none()).count() as u64;
        let doubts = if suspected.len() > 1 { MAX_DOUBTS } else { unknown.min(MAX_DOUBTS) };
        doubts << RANDOM_BITS | random & ((1 << RANDOM_BITS) - 1)
    }

    /// Claims the trials of suspected parts for a request, or renews the claims. Each part has one trial at a time in a
    /// service, so that few endpoints are lost if it is the cause; trials of different parts run at the same time. Of two
    /// claims at the same time, the one with the lower number prevails.
    pub fn claim_trials(&mut self, service: &str, parts: &[Fingerprint], claimant: u64, now_ms: u64) -> TrialClaim {
        let keys: Vec<Fingerprint> = parts.iter().map(|part| trial_key(service, *part)).collect();
        let active = |trials: &HashMap<Fingerprint, Trial>, key: &Fingerprint| {
            trials.get(key).copied().filter(|trial| trial.until_ms > now_ms)
        };
        let prevailing = |key: &Fingerprint| {
            active(&self.trials, key)
                .filter(|trial| trial.claimant != Some(claimant) && trial.prevails(claimant, now_ms))
        };
        if let Some(until_ms) = keys.iter().filter_map(prevailing).map(|trial| trial.until_ms).max() {
            return TrialClaim::Taken { left_ms: until_ms - now_ms };
        }
        let last_crash_ms = parts.iter().filter_map(|part| self.last_crash_ms(*part)).max();
        let mut is_settled = last_crash_ms.is_none_or(|crashed_ms| now_ms >= crashed_ms + FORMER_RUNS_MS);
        let mut trials = Vec::new();
        for key in keys {
            let own = active(&self.trials, &key).filter(|trial| trial.claimant == Some(claimant));
            let since_ms = own.map_or(now_ms, |trial| trial.since_ms);
            is_settled &= now_ms >= since_ms + CLAIM_MS;
            if own.is_none_or(|trial| trial.until_ms <= now_ms + RENEW_MS) {
                self.trials.remove(&key);
                self.hold_back(key, Trial { until_ms: now_ms + TRIAL_MS, since_ms, claimant: Some(claimant) });
                trials.push(RunningTrial { fingerprint: key, left_ms: TRIAL_MS, claimant: Some(claimant) });
            }
        }
        match (trials.is_empty(), is_settled) {
            (false, _) => TrialClaim::Announced(QuarantineUpdate { trials, ..QuarantineUpdate::default() }),
            (true, true) => TrialClaim::Granted,
            (true, false) => TrialClaim::Pending,
        }
    }

    /// Ends all claims of a request on trials. Returns the update for other entries, if any claim was still in force.
    pub fn release_claims(&mut self, claimant: u64) -> Option<QuarantineUpdate> {
        let released = self.trials.extract_if(|_, trial| trial.claimant == Some(claimant));
        let to_end = |(key, _)| RunningTrial { fingerprint: key, left_ms: 0, claimant: Some(claimant) };
        let trials: Vec<RunningTrial> = released.map(to_end).collect();
        (!trials.is_empty()).then(|| QuarantineUpdate { trials, ..QuarantineUpdate::default() })
    }

    /// Applies another entry's claim on a trial, or its end.
    pub(super) fn apply_trial(&mut self, reported: &RunningTrial, now_ms: u64) {
        let known = self.trials.get(&reported.fingerprint).filter(|trial| trial.until_ms > now_ms);
        if reported.left_ms == 0 {
            if known.is_some_and(|trial| trial.claimant == reported.claimant) {
                self.trials.remove(&reported.fingerprint);
            }
            return;
        }
        let prevails = known.is_none_or(|trial| match (trial.claimant, reported.claimant) {
            (Some(own), Some(other)) => other <= own,
            _ => true,
        });
        if prevails {
            let until_ms = now_ms + reported.left_ms.min(TRIAL_MS);
            self.hold_back(reported.fingerprint, Trial { until_ms, since_ms: now_ms, claimant: reported.claimant });
        }
    }

    /// Records that the answer to a request with these parts, whose run began at `began_ms`, is whole, or has gone on for
    /// long. Later crashes still count. Returns the update for other entries, if any part was suspected.
    pub fn on_good_run(&mut self, parts: &[PromptPart], began_ms: u64, now_ms: u64) -> Option<QuarantineUpdate> {
        self.record_progress(parts, RunProgress::Whole, began_ms, now_ms)
    }

    /// Records that a run got past the start of its answer, which outweighs crashes soon after the start of others. Returns
    /// the update for other entries, if any part was suspected.
    pub fn on_run_past_start(&mut self, parts: &[PromptPart], began_ms: u64, now_ms: u64) -> Option<QuarantineUpdate> {
        self.record_progress(parts, RunProgress::PastStart, began_ms, now_ms)
    }

    fn record_progress(
        &mut self,
        parts: &[PromptPart],
        progress: RunProgress,
        began_ms: u64,
        now_ms: u64,
    ) -> Option<QuarantineUpdate> {
        self.good_runs.record(parts.iter().map(PromptPart::fingerprint), progress, began_ms);
        let involved = parts.iter().map(PromptPart::fingerprint).filter(|part| self.is_involved(*part));
        let involved: Vec<Fingerprint> = involved.collect();
        if involved.is_empty() {
            return None;
        }
        let suspected: Vec<Fingerprint> = involved.into_iter().filter(|part| self.is_suspected_part(*part)).collect();
        self.evaluate(now_ms);
        let mut update = QuarantineUpdate::default();
        for fingerprint in suspected {
            let age_ms = now_ms.saturating_sub(began_ms);
            if self.clear_outweighed(fingerprint, began_ms) {
                update.cleared.push(ClearedRequest { fingerprint, age_ms });
            } else {
                update.good_runs.push(GoodRun { fingerprint, age_ms, is_whole: progress == RunProgress::Whole });
            }
        }
        if !update.cleared.is_empty() {
            self.evaluate(now_ms);
        }
        (!update.is_empty()).then_some(update)
    }

    /// Returns whether a part was present at crashes that count, or is quarantined or was.
    fn is_involved(&self, part: Fingerprint) -> bool {
        self.part_scores.contains_key(&part) || self.periods.contains_key(&part)
    }

    /// Records how far a run with a part has got that is suspected at another entry. Scores are evaluated later.
    pub(super) fn apply_good_run(&mut self, run: &GoodRun, began_ms: u64) {
        let progress = if run.is_whole { RunProgress::Whole } else { RunProgress::PastStart };
        self.good_runs.record_reported(run.fingerprint, progress, began_ms);
    }

    /// Clears a part if its good runs outweigh all crashes at which it was present. Returns whether they do.
    fn clear_outweighed(&mut self, part: Fingerprint, began_ms: u64) -> bool {
        let is_outweighed = !self.part_scores.contains_key(&part)
            && self.last_crash_ms(part).is_none_or(|crashed_ms| began_ms >= crashed_ms);
        is_outweighed && self.clear(part, began_ms)
    }

    /// Returns the parts of a request that was at a crashed endpoint as the trial of those in `tried`, for the report of the
    /// crash.
    #[must_use]
    pub fn lost_parts(&self, parts: &[PromptPart], tried: &[Fingerprint], now_ms: u64) -> Vec<LostPart> {
        let lost = parts.iter().map(|part| {
            let runs = self.good_runs.whole(part.fingerprint());
            LostPart {
                id: part.id().to_owned(),
                good_runs: runs.map_or(0, |runs| runs.count),
                good_age_ms: runs.map(|runs| now_ms.saturating_sub(runs.last_began_ms())),
                is_tried: tried.contains(&part.fingerprint()),
            }
        });
        lost.collect()
    }

    pub(super) fn part_history(&self, part: Fingerprint, now_ms: u64) -> PartHistory {
        PartHistory {
            good_runs: self.good_runs.of(part).unwrap_or_default(),
            reported_good_runs: 0,
            reported_good_ms: None,
            cleared_ms: self.cleared.get(&part).map(|cleared| cleared.at_ms),
            share: self.good_runs.share(part),
            is_in_most_requests: self.good_runs.is_in_most(part),
            is_quarantined: self.periods.get(&part).is_some_and(|period| period.left_ms(now_ms).is_some()),
        }
    }
}

/// Returns the key of the trial of a part in a service among all trials.
fn trial_key(service: &str, part: Fingerprint) -> Fingerprint {
    Fingerprint::of(&[b"trial of a prompt part", service.as_bytes(), part.to_string().as_bytes()])
}
