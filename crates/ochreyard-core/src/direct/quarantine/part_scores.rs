//! Scores of prompt parts by the crashes at which requests with them were present.
//!
//! Every part of every request at a crashed endpoint is a candidate, and a part that most prompts begin with is present
//! at nearly every crash. Three observations distinguish the cause from such bystanders:
//!
//! - A whole answer shows that none of its parts crashes endpoints on each run. Crashes before it began do not count
//!   against them, unless a part was at more crashes than its share of the requests explains: it may crash endpoints in some
//!   of its runs, and several whole answers are required.
//! - A crash that a stronger suspect explains does not count against others. A suspect is stronger the more observations
//!   speak against it since its last good run, less a handicap if it ever had one: a part that is in use is rarely the
//!   cause, but may become it. Of equal ones, a part without good runs is stronger, then one at more crashes, then one
//!   that is further back in the prompt, where parts are less widely shared.
//! - Repetitions of one request show that this request is the cause, rather than one of its parts. A part that only one
//!   request named is no suspect.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::crash::{Crash, PresentRequest};
use super::crash_scores::{QUARANTINE_SCORE, SHARED_ENDPOINTS, SHARED_WINDOW_MS, TRIAL_SCORE};
use super::good_runs::{GoodRuns, MAX_REQUIRED_RUNS};
use super::recurrence::{MIN_EVIDENCE_BITS, Recurrence};
use super::run_age::RunAge;
use crate::direct::Fingerprint;

/// Number of crashed endpoints from which a part runs only as a trial, even if they crashed at the same time.
const TRIAL_ENDPOINTS: usize = 4;
/// Number of requests with a part that must have been present at crashes before the part is suspected.
const MIN_REQUESTS: usize = 2;
/// Number of requests with a part that must have been present at crashes before it is quarantined without a trial.
const UNTRIED_REQUESTS: usize = 3;
/// Number of trials with a part that must have crashed their endpoints before a part with good runs is quarantined. It is
/// in use, and may be at every crash.
const USED_PART_TRIALS: usize = 2;
/// The same for a part that most requests name: whatever crashes an endpoint, the request names this part, too.
const COMMON_PART_TRIALS: usize = 4;
/// Weight of the observations by which a part with good runs must exceed one without to be the stronger suspect.
const USED_PART_HANDICAP: usize = 4;
/// Weight of the observations by which a part with good runs must exceed another one to explain its crashes.
const MIN_LEAD: usize = 4;
/// Evidence in a good run for a part that would crash a quarter of its runs, in bits.
const GOOD_RUN_BITS: f64 = 0.415;
/// Evidence that a part has to exceed before more than one good run is required, since most parts are bystanders, in bits.
const BYSTANDER_BITS: f64 = 2.0;

/// What an entry knows of a part apart from the crashes.
#[derive(Debug, Clone, Copy, Default)]
pub struct PartHistory {
    /// Good runs with the part.
    pub good_runs: GoodRuns,
    /// Number of good runs that other entries know.
    pub reported_good_runs: u32,
    /// When the last one of these began.
    pub reported_good_ms: Option<u64>,
    /// When the part was last cleared of all crashes.
    pub cleared_ms: Option<u64>,
    /// Share of requests that name the part.
    pub share: f64,
    /// Whether most requests are known to name the part.
    pub is_in_most_requests: bool,
    /// Whether the part is quarantined.
    pub is_quarantined: bool,
}

impl PartHistory {
    /// Returns how many runs that began after a crash got further than one that was lost in it.
    fn good_runs_since(&self, at_ms: u64, lost: RunAge) -> usize {
        let reported = self.reported_good_ms.is_some_and(|good_ms| good_ms >= at_ms);
        self.good_runs.count_since(lost.outrun_by(), at_ms) + usize::from(reported)
    }
}

/// Presence of a part at a crash, in one request.
#[derive(Debug, Clone, Copy)]
struct Presence {
    /// Index of the crash.
    crash: usize,
    request: Fingerprint,
    age: RunAge,
    /// Whether the request was the trial of the part.
    is_trial: bool,
}

#[derive(Debug, Clone, Default)]
struct Candidate {
    history: PartHistory,
    position: usize,
    /// Presences at crashes that the good runs since then do not outweigh.
    presences: Vec<Presence>,
    /// Evidence that the part was at more crashes than chance explains, in bits.
    evidence_bits: f64,
}

/// Order in which candidates are considered, from the strongest suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    weight: Reverse<usize>,
    is_used: bool,
    crashes: Reverse<usize>,
    position: Reverse<usize>,
}

impl Rank {
    /// Returns whether a suspect of this rank explains crashes for one of the other rank. Otherwise both are suspected, and
    /// trials decide.
    fn leads(&self, other: &Self) -> bool {
        let lead = self.weight.0.saturating_sub(other.weight.0);
        lead >= MIN_LEAD || (self < other && !self.is_used)
    }
}

impl Candidate {
    fn rank(&self, moments: &[usize]) -> Rank {
        let advantage = if self.is_used() { 0 } else { USED_PART_HANDICAP };
        let conviction = if self.history.is_quarantined { USED_PART_HANDICAP } else { 0 };
        Rank {
            weight: Reverse(self.observations(moments) + advantage + conviction),
            is_used: self.is_used(),
            crashes: Reverse(self.crash_count()),
            position: Reverse(self.position),
        }
    }

    const fn is_used(&self) -> bool {
        self.history.good_runs.count > 0 || self.history.reported_good_runs > 0
    }

    /// Returns whether chance does not explain at how many crashes the part was.
    fn is_recurrent(&self) -> bool {
        self.evidence_bits >= MIN_EVIDENCE_BITS
    }

    /// Returns whether crashes of this part may explain those of another one. A part that was at crashes by chance explains
    /// none of one that was there more often than that.
    fn may_explain_for(&self, other: &Self) -> bool {
        !other.is_recurrent() || self.evidence_bits >= other.evidence_bits
    }

    /// Returns the weight of the observations that speak against the part, in halves. Crashes at the same moment are one, and
    /// so are those of the same request.
    fn observations(&self, moments: &[usize]) -> usize {
        let mut weights: BTreeMap<usize, usize> = BTreeMap::new();
        for presence in &self.presences {
            let weight = weights.entry(moments[presence.crash]).or_insert(0);
            *weight = presence.age.weight().max(*weight);
        }
        weights.values().sum::<usize>().min(2 * request_count(&self.presences))
    }

    fn crash_count(&self) -> usize {
        crash_count(&self.presences)
    }

    /// Returns the crashes at which the part was present, in ascending order.
    fn crashes(&self) -> Vec<usize> {
        let mut crashes: Vec<usize> = self.presences.iter().map(|presence| presence.crash).collect();
        crashes.dedup();
        crashes
    }

    fn was_at(&self, crash: usize) -> bool {
        self.presences.iter().any(|presence| presence.crash == crash)
    }
}

/// How strongly a part is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartScore {
    /// Score of all crashes since the last good run.
    full_score: u32,
    /// Score of the crashes that no stronger suspect explains, and the requests with the part that were at these.
    score: u32,
    requests: usize,
    /// Number of trials with the part that crashed their endpoints.
    pub failed_trials: usize,
    /// Whether the part was at several crashes, and one of these trials could only fail because of it.
    is_convicted: bool,
    /// Whether good runs with the part are known.
    pub is_used: bool,
    /// Number of crashes since the last good run at which the part was present.
    pub crashes: usize,
    /// The first of the stronger suspects that explain some of these crashes.
    pub explained_by: Option<Fingerprint>,
    is_in_most_requests: bool,
    is_recurrent: bool,
}

impl PartScore {
    /// Returns whether the part is in use, and chance may have taken it to the crashes.
    pub const fn may_be_bystander(self) -> bool {
        self.is_used && !self.is_recurrent
    }

    /// Returns whether requests with the part run only as a trial.
    pub const fn is_suspected(self) -> bool {
        if self.is_used { self.is_explanation() } else { self.full_score >= TRIAL_SCORE }
    }

    /// Returns whether the part may explain crashes for others.
    const fn is_explanation(self) -> bool {
        self.score >= TRIAL_SCORE && self.requests >= MIN_REQUESTS
    }

    /// Returns whether requests with the part are refused.
    pub const fn is_quarantined(self) -> bool {
        if !self.is_explanation() {
            return false;
        }
        let is_due = if self.is_used {
            let trials = if self.is_in_most_requests { COMMON_PART_TRIALS } else { USED_PART_TRIALS };
            self.score >= QUARANTINE_SCORE && self.failed_trials >= trials
        } else {
            self.full_score >= QUARANTINE_SCORE && (self.failed_trials > 0 || self.requests >= UNTRIED_REQUESTS)
        };
        is_due || self.is_convicted
    }
}

/// Returns the score of each part that was present at a crash since its last good run.
pub fn score_parts(crashes: &[Crash], history: impl Fn(Fingerprint) -> PartHistory) -> HashMap<Fingerprint, PartScore> {
    let moments = moments(crashes);
    let candidates = candidates(crashes, history);
    // A part that nobody has used may crash its first endpoint. That is less likely than a part that chance does not explain.
    let is_bystander = |part: &Fingerprint, crash: usize, may_be_new: bool| {
        let is_elsewhere = |candidate: &Candidate| candidate.presences.iter().any(|other| other.crash != crash);
        let is_known = |candidate: &Candidate| may_be_new || candidate.is_used();
        candidates.get(part).is_none_or(|candidate| is_known(candidate) && !is_elsewhere(candidate))
    };
    let mut ranked: Vec<(Rank, Fingerprint, &Candidate)> =
        candidates.iter().map(|(part, candidate)| (candidate.rank(&moments), *part, candidate)).collect();
    ranked.sort_by_key(|(rank, part, _)| (*rank, *part));
    let mut suspects: Vec<(Rank, Fingerprint, &Candidate)> = Vec::new();
    let mut scores = HashMap::new();
    for (rank, part, candidate) in ranked {
        let explanation = |crash: usize| {
            let mut stronger = suspects
                .iter()
                .filter(|(stronger, _, suspect)| stronger.leads(&rank) && suspect.may_explain_for(candidate));
            stronger.find(|(.., suspect)| suspect.was_at(crash)).map(|(_, part, _)| *part)
        };
        let unexplained: Vec<Presence> =
            candidate.presences.iter().filter(|presence| explanation(presence.crash).is_none()).copied().collect();
        let explanations: BTreeSet<Fingerprint> =
            candidate.presences.iter().filter_map(|presence| explanation(presence.crash)).collect();
        let all = if explanations.len() > 1 { &candidate.presences } else { &unexplained };
        let is_conclusive = |trial: &Presence| {
            !candidate.is_used() || is_conclusive(&crashes[trial.crash], part, candidate.evidence_bits, &candidates)
        };
        let trials = unexplained.iter().filter(|presence| presence.is_trial && is_conclusive(presence));
        let failed_trials: Vec<Presence> = trials.copied().collect();
        let is_recurrent = candidate.is_recurrent();
        // No other part at the endpoint may be the cause, and no other endpoint crashed for the same reason.
        let is_sole_cause = |trial: &Presence| {
            let others = crashes[trial.crash].parts().map(|present| present.part.fingerprint());
            !is_shared(trial.crash, &moments)
                && others.filter(|other| *other != part).all(|other| is_bystander(&other, trial.crash, is_recurrent))
        };
        let score = PartScore {
            full_score: score(all, &moments),
            score: score(&unexplained, &moments),
            requests: request_count(&unexplained),
            failed_trials: request_count(&failed_trials),
            is_convicted: crash_count(&unexplained) >= TRIAL_ENDPOINTS && failed_trials.iter().any(is_sole_cause),
            is_used: candidate.is_used(),
            crashes: candidate.crash_count(),
            explained_by: explanations.first().copied(),
            is_in_most_requests: candidate.history.is_in_most_requests,
            is_recurrent,
        };
        scores.insert(part, score);
        if score.is_explanation() || candidate.history.is_quarantined {
            suspects.push((rank, part, candidate));
        }
    }
    scores
}

/// Returns whether a failed trial of a part in use speaks against this part: it may have taken place beside the trial of the
/// cause, or with the cause in one request.
fn is_conclusive(
    crash: &Crash,
    part: Fingerprint,
    evidence_bits: f64,
    candidates: &HashMap<Fingerprint, Candidate>,
) -> bool {
    let (own, others): (Vec<_>, Vec<_>) = crash.present.values().partition(|request| request.is_trial_of(part));
    let is_less_suspect =
        |other: Fingerprint| candidates.get(&other).is_none_or(|other| other.evidence_bits <= evidence_bits);
    !others.into_iter().any(PresentRequest::is_trial)
        && own.into_iter().flat_map(PresentRequest::tried).all(is_less_suspect)
}

/// Returns how many good runs outweigh this much evidence against a part.
fn required_runs(evidence_bits: f64) -> usize {
    let runs = (evidence_bits - BYSTANDER_BITS) / GOOD_RUN_BITS;
    (runs.ceil().max(1.0) as usize).min(MAX_REQUIRED_RUNS)
}

fn request_count(presences: &[Presence]) -> usize {
    presences.iter().map(|presence| presence.request).collect::<BTreeSet<_>>().len()
}

fn crash_count(presences: &[Presence]) -> usize {
    presences.iter().map(|presence| presence.crash).collect::<BTreeSet<_>>().len()
}

fn candidates(crashes: &[Crash], history: impl Fn(Fingerprint) -> PartHistory) -> HashMap<Fingerprint, Candidate> {
    let mut candidates: HashMap<Fingerprint, Candidate> = HashMap::new();
    for (index, crash) in crashes.iter().enumerate() {
        for (request, present) in &crash.present {
            let age = RunAge::at_crash(present, crash);
            for (position, part) in present.parts.iter().enumerate() {
                let fingerprint = part.part.fingerprint();
                let candidate = candidates
                    .entry(fingerprint)
                    .or_insert_with(|| Candidate { history: history(fingerprint), ..Candidate::default() });
                let known = &mut candidate.history;
                known.reported_good_runs = known.reported_good_runs.max(part.good_runs);
                known.reported_good_ms = known.reported_good_ms.max(part.good_ms);
                candidate.position = candidate.position.max(position);
                candidate.presences.push(Presence { crash: index, request: *request, age, is_trial: part.is_tried });
            }
        }
    }
    let recurrence = Recurrence::new(crashes);
    for candidate in candidates.values_mut() {
        candidate.evidence_bits = recurrence.evidence_bits(&candidate.crashes(), candidate.history.share);
        let (history, required) = (candidate.history, required_runs(candidate.evidence_bits));
        candidate.presences.retain(|presence| {
            let at_ms = crashes[presence.crash].at_ms;
            history.cleared_ms.is_none_or(|cleared_ms| cleared_ms < at_ms)
                && history.good_runs_since(at_ms, presence.age) < required
        });
    }
    candidates.retain(|_, candidate| !candidate.presences.is_empty());
    candidates
}

/// Returns a number for each crash that it shares with the crashes of its service that have the same cause. Several
/// endpoints that crash together are one observation.
fn moments(crashes: &[Crash]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..crashes.len()).collect();
    order.sort_by_key(|index| (&crashes[*index].service, crashes[*index].at_ms));
    let is_same = |before: &usize, after: &usize| {
        let (before, after) = (&crashes[*before], &crashes[*after]);
        before.service == after.service && after.at_ms - before.at_ms <= SHARED_WINDOW_MS
    };
    let mut moments: Vec<usize> = (0..crashes.len()).collect();
    for together in order.chunk_by(is_same).filter(|together| together.len() >= SHARED_ENDPOINTS) {
        together.iter().for_each(|index| moments[*index] = together[0]);
    }
    moments
}

fn is_shared(crash: usize, moments: &[usize]) -> bool {
    moments.iter().filter(|moment| **moment == moments[crash]).count() > 1
}

fn score(presences: &[Presence], moments: &[usize]) -> u32 {
    let mut scores_by_moment: BTreeMap<usize, u32> = BTreeMap::new();
    let mut early_endpoints = BTreeSet::new();
    for presence in presences {
        let score = presence.age.score();
        if presence.age == RunAge::Early {
            early_endpoints.insert(presence.crash);
        }
        let best = scores_by_moment.entry(moments[presence.crash]).or_insert(0);
        *best = score.max(*best);
    }
    let sum: u32 = scores_by_moment.values().sum();
    if early_endpoints.len() >= TRIAL_ENDPOINTS { sum.max(TRIAL_SCORE) } else { sum }
}
