//! Decisions about requests by the parts of their prompts.
//!
//! Requests that share a suspected part with a trial are held until the trial ends, rather than refused: most of them
//! are healthy, and a trial shows within half a second that its part is.

use std::collections::HashMap;

use super::part_scores::PartHistory;
use super::quarantine_period::part_periods;
use super::update::{ClearedRequest, LostPart, QuarantineUpdate, RunningTrial};
use super::{Quarantine, TRIAL_MS, Trial};
use crate::direct::{Fingerprint, PromptPart};

/// Time for which a trial is claimed before the request is sent, in milliseconds. Claims of two entries at the same time
/// meet within it, and one of them withdraws.
pub(super) const CLAIM_MS: u64 = 50;
/// Time from the last crash with a part until its trial may begin, in milliseconds. Runs that began before the part was
/// suspected have crashed their endpoints by then.
const FORMER_RUNS_MS: u64 = 200;
/// Bit of the claims of requests whose trial may fail for another reason than a suspected part.
const INCONCLUSIVE: u64 = 1 << 63;
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
        (!self.is_covered_by_last_period(part)).then(|| part_periods(score.is_used).first_ms)
    }

    fn is_suspected_part(&self, part: Fingerprint) -> bool {
        self.periods.contains_key(&part) || self.part_scores.get(&part).is_some_and(|score| score.is_suspected())
    }

    /// Returns the number by which a request with these parts claims trials, from a random number. A trial is conclusive if it tries one suspect alone: all other parts are known to be healthy. Such requests get
    /// lower numbers than others.
    #[must_use]
    pub fn claimant(&self, parts: &[PromptPart], random: u64) -> u64 {
        let fingerprints = || parts.iter().map(PromptPart::fingerprint);
        let suspects = fingerprints().filter(|part| self.is_suspected_part(*part)).count();
        let are_others_known =
            fingerprints().all(|part| self.is_suspected_part(part) || self.good_runs.of(part).is_some());
        if suspects <= 1 && are_others_known { random & !INCONCLUSIVE } else { random | INCONCLUSIVE }
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

    /// Records that a run which began at `began_ms` got past the start of its answer, which shows that the parts of its
    /// prompt did not crash endpoints then. Later crashes still count: the run says nothing of them, however long it goes
    /// on. Returns the update for other entries, if any part was suspected of a crash before.
    pub fn on_good_run(&mut self, parts: &[PromptPart], began_ms: u64, now_ms: u64) -> Option<QuarantineUpdate> {
        let mut cleared = Vec::new();
        let mut is_changed = false;
        for fingerprint in parts.iter().map(PromptPart::fingerprint) {
            let last_good_ms = self.good_runs.of(fingerprint).map_or(0, |runs| runs.last_began_ms);
            self.good_runs.record(fingerprint, began_ms);
            if self.is_suspected_part(fingerprint) && self.clear(fingerprint, began_ms) {
                cleared.push(ClearedRequest { fingerprint, age_ms: now_ms.saturating_sub(began_ms) });
            }
            is_changed |= self.part_scores.contains_key(&fingerprint)
                && self.crash_times(fingerprint).any(|at_ms| (last_good_ms..=began_ms).contains(&at_ms));
        }
        if is_changed || !cleared.is_empty() {
            self.evaluate(now_ms);
        }
        (!cleared.is_empty()).then(|| QuarantineUpdate { cleared, ..QuarantineUpdate::default() })
    }

    /// Returns the parts of a request that was at a crashed endpoint as the trial of those in `tried`, for the report of the
    /// crash.
    #[must_use]
    pub fn lost_parts(&self, parts: &[PromptPart], tried: &[Fingerprint], now_ms: u64) -> Vec<LostPart> {
        let lost = parts.iter().map(|part| {
            let runs = self.good_runs.of(part.fingerprint());
            LostPart {
                id: part.id().to_owned(),
                good_runs: runs.map_or(0, |runs| runs.count),
                good_age_ms: runs.map(|runs| now_ms.saturating_sub(runs.last_began_ms)),
                is_tried: tried.contains(&part.fingerprint()),
            }
        });
        lost.collect()
    }

    pub(super) fn part_history(&self, part: Fingerprint, now_ms: u64) -> PartHistory {
        let runs = self.good_runs.of(part);
        let cleared_ms = self.cleared.get(&part).map(|cleared| cleared.at_ms);
        PartHistory {
            good_runs: runs.map_or(0, |runs| runs.count),
            last_good_ms: runs.map(|runs| runs.last_began_ms).max(cleared_ms),
            is_quarantined: self.periods.get(&part).is_some_and(|period| period.left_ms(now_ms).is_some()),
        }
    }
}

/// Returns the key of the trial of a part in a service among all trials.
fn trial_key(service: &str, part: Fingerprint) -> Fingerprint {
    Fingerprint::of(&[b"trial of a prompt part", service.as_bytes(), part.to_string().as_bytes()])
}
