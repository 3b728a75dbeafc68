//! What is suspected of the parts of prompts, as shown in logs.

use std::collections::BTreeMap;

use super::Quarantine;
use super::part_scores::PartScore;
use crate::direct::Fingerprint;

/// Why a part that was present at crashes is suspected, or is not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Suspicion {
    Suspected,
    /// Another part explains crashes at which the part was present, and too few others remain.
    ExplainedBy(Fingerprint),
}

/// A change of what is suspected of a part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartFinding {
    /// Identifier of the part.
    pub id: String,
    /// Whether requests with the part run only as trials, or are refused.
    pub is_suspected: bool,
    /// Identifier of the part that explains crashes at which this one was present.
    pub explained_by: Option<String>,
    /// Number of crashes since the last good run at which the part was present.
    pub crashes: usize,
    /// Number of trials with the part that crashed their endpoints and that no other part explains.
    pub failed_trials: usize,
    /// Number of good runs with the part that this entry has seen.
    pub good_runs: u32,
}

impl Quarantine {
    /// Returns what has changed since the last call in what is suspected of parts.
    pub fn take_part_findings(&mut self) -> Vec<PartFinding> {
        let present: BTreeMap<Fingerprint, Suspicion> =
            self.part_scores.iter().filter_map(|(part, score)| Some((*part, suspicion(score)?))).collect();
        let former = std::mem::replace(&mut self.reported_suspicions, present);
        let present = &self.reported_suspicions;
        let changed = present.iter().filter(|(part, suspicion)| former.get(part) != Some(suspicion));
        let ended = former.keys().filter(|part| !present.contains_key(part));
        changed.map(|(part, _)| part).chain(ended).filter_map(|part| self.part_finding(*part)).collect()
    }

    fn part_finding(&self, part: Fingerprint) -> Option<PartFinding> {
        let score = self.part_scores.get(&part);
        let explained_by = score.and_then(|score| score.explained_by);
        Some(PartFinding {
            id: self.part_ids.get(&part)?.clone(),
            is_suspected: score.is_some_and(|score| score.is_suspected()),
            explained_by: explained_by.and_then(|stronger| self.part_ids.get(&stronger).cloned()),
            crashes: score.map_or(0, |score| score.crashes),
            failed_trials: score.map_or(0, |score| score.failed_trials),
            good_runs: self.good_runs.of(part).map_or(0, |runs| runs.count),
        })
    }
}

fn suspicion(score: &PartScore) -> Option<Suspicion> {
    if score.is_suspected() { Some(Suspicion::Suspected) } else { score.explained_by.map(Suspicion::ExplainedBy) }
}
