//! Scores of prompt parts by the crashes at which requests with them were present.
//!
//! Every part of every request at a crashed endpoint is a candidate, and a part that most prompts begin with is present
//! at nearly every crash. Three observations distinguish the cause from such bystanders:
//!
//! - A run that gets past the start of its answer shows that none of its parts is the cause. Crashes before it do not
//!   count against them.
//! - A crash that a stronger suspect explains does not count against others. A suspect is stronger if no good run with it
//!   is known, then if it was present at more crashes, then if it is further back in the prompt, where parts are less
//!   widely shared.
//! - Repetitions of one request show that this request is the cause, rather than one of its parts.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::crash::Crash;
use super::crash_scores::{
    EARLY_SCORE, OTHER_SCORE, QUARANTINE_SCORE, SHARED_ENDPOINTS, SHARED_WINDOW_MS, TRIAL_SCORE, is_past_start,
};
use crate::direct::Fingerprint;

/// Number of crashed endpoints from which a part runs only as a trial, even if they crashed at the same time.
const TRIAL_ENDPOINTS: usize = 4;
/// Number of requests with a part that must have been present at crashes before the part is quarantined.
const MIN_REQUESTS: usize = 2;
/// Number of trials with a part that must have crashed their endpoints before a part with good runs is quarantined. It is
/// in use, and may be at every crash.
const USED_PART_TRIALS: usize = 2;

/// What an entry knows of a part apart from the crashes.
#[derive(Debug, Clone, Copy, Default)]
pub struct PartHistory {
    /// Number of good runs with the part.
    pub good_runs: u32,
    /// When the last one of them was known to be good.
    pub last_good_ms: Option<u64>,
    /// Whether the part is quarantined.
    pub is_quarantined: bool,
}

/// Presence of a part at a crash, in one request.
#[derive(Debug, Clone, Copy)]
struct Presence {
    /// Index of the crash.
    crash: usize,
    request: Fingerprint,
    is_early: bool,
    is_trial: bool,
}

#[derive(Debug, Clone, Default)]
struct Candidate {
    history: PartHistory,
    position: usize,
    presences: Vec<Presence>,
}

/// Order in which candidates are considered, from the strongest suspect.
type Rank = (bool, Reverse<usize>, Reverse<usize>);

impl Candidate {
    fn rank(&self) -> Rank {
        (self.history.good_runs > 0, Reverse(self.crash_count()), Reverse(self.position))
    }

    fn crash_count(&self) -> usize {
        self.presences.iter().map(|presence| presence.crash).collect::<BTreeSet<_>>().len()
    }

    fn was_at(&self, crash: usize) -> bool {
        self.presences.iter().any(|presence| presence.crash == crash)
    }
}

/// How strongly a part is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartScore {
    score: u32,
    /// Number of trials with the part that crashed their endpoints.
    pub failed_trials: usize,
    /// Whether good runs with the part are known.
    pub is_used: bool,
    /// Number of crashes since the last good run at which the part was present.
    pub crashes: usize,
    /// The first of the stronger suspects that explain some of these crashes.
    pub explained_by: Option<Fingerprint>,
}

impl PartScore {
    /// Returns whether requests with the part run only as a trial.
    pub const fn is_suspected(self) -> bool {
        self.score >= TRIAL_SCORE
    }

    /// Returns whether requests with the part are refused.
    pub const fn is_quarantined(self) -> bool {
        self.score >= QUARANTINE_SCORE && (!self.is_used || self.failed_trials >= USED_PART_TRIALS)
    }
}

/// Returns the score of each part that was present at a crash since its last good run.
pub fn score_parts(crashes: &[Crash], history: impl Fn(Fingerprint) -> PartHistory) -> HashMap<Fingerprint, PartScore> {
    let moments = moments(crashes);
    let mut candidates: Vec<(Rank, Fingerprint, Candidate)> =
        candidates(crashes, history).into_iter().map(|(part, candidate)| (candidate.rank(), part, candidate)).collect();
    candidates.sort_by_key(|(rank, part, _)| (*rank, *part));
    let mut suspects: Vec<(Rank, Fingerprint, Candidate)> = Vec::new();
    let mut scores = HashMap::new();
    for (rank, part, candidate) in candidates {
        let explanation = |crash: usize| {
            let mut stronger = suspects.iter().filter(|(stronger, ..)| *stronger < rank);
            stronger.find(|(.., suspect)| suspect.was_at(crash)).map(|(_, part, _)| *part)
        };
        let unexplained: Vec<Presence> =
            candidate.presences.iter().filter(|presence| explanation(presence.crash).is_none()).copied().collect();
        let score = PartScore {
            score: score(&unexplained, &moments),
            failed_trials: unexplained.iter().filter(|presence| presence.is_trial).count(),
            is_used: candidate.history.good_runs > 0,
            crashes: candidate.crash_count(),
            explained_by: candidate.presences.iter().find_map(|presence| explanation(presence.crash)),
        };
        scores.insert(part, score);
        if score.is_suspected() || candidate.history.is_quarantined {
            suspects.push((rank, part, candidate));
        }
    }
    scores
}

fn candidates(crashes: &[Crash], history: impl Fn(Fingerprint) -> PartHistory) -> HashMap<Fingerprint, Candidate> {
    let mut candidates: HashMap<Fingerprint, Candidate> = HashMap::new();
    for (index, crash) in crashes.iter().enumerate() {
        for (request, present) in &crash.present {
            for (position, part) in present.parts.iter().enumerate() {
                let fingerprint = part.part.fingerprint();
                let candidate = candidates
                    .entry(fingerprint)
                    .or_insert_with(|| Candidate { history: history(fingerprint), ..Candidate::default() });
                candidate.history.good_runs = candidate.history.good_runs.max(part.good_runs);
                candidate.history.last_good_ms = candidate.history.last_good_ms.max(part.good_ms);
                candidate.position = candidate.position.max(position);
                let is_early = present.ran_ms.is_some_and(|ran_ms| !is_past_start(ran_ms));
                candidate.presences.push(Presence {
                    crash: index,
                    request: *request,
                    is_early,
                    is_trial: present.is_trial,
                });
            }
        }
    }
    for candidate in candidates.values_mut() {
        let last_good_ms = candidate.history.last_good_ms;
        candidate
            .presences
            .retain(|presence| last_good_ms.is_none_or(|good_ms| good_ms < crashes[presence.crash].at_ms));
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

fn score(presences: &[Presence], moments: &[usize]) -> u32 {
    let mut scores_by_moment: BTreeMap<usize, u32> = BTreeMap::new();
    let mut early_endpoints = BTreeSet::new();
    let mut requests = BTreeSet::new();
    for presence in presences {
        let score = if presence.is_early { EARLY_SCORE } else { OTHER_SCORE };
        if presence.is_early {
            early_endpoints.insert(presence.crash);
        }
        requests.insert(presence.request);
        let best = scores_by_moment.entry(moments[presence.crash]).or_insert(0);
        *best = score.max(*best);
    }
    let sum: u32 = scores_by_moment.values().sum();
    let sum = if early_endpoints.len() >= TRIAL_ENDPOINTS { sum.max(TRIAL_SCORE) } else { sum };
    if requests.len() < MIN_REQUESTS { sum.min(QUARANTINE_SCORE - 1) } else { sum }
}
