//! A crash of an endpoint, and the requests that were at the endpoint.

use std::collections::{BTreeMap, HashMap};

use super::update::{LostPart, LostRequest};
use crate::direct::{Fingerprint, PromptPart};

/// Crash reports of one endpoint within this time belong to the same crash, in milliseconds. Each entry detects the
/// crash by itself, and an endpoint needs seconds to restart.
const SAME_CRASH_MS: u64 = 500;
/// Maximum number of requests that are kept per crash. An endpoint runs at most one or two dozen at once and queues a
/// few more.
const MAX_PRESENT: usize = 64;
/// Maximum number of prompt parts that are kept per crash.
const MAX_PARTS: usize = 128;

/// A prompt part of a request that was at a crashed endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PresentPart {
    /// The part.
    pub part: PromptPart,
    /// Number of good runs with this part, as reported with the crash.
    pub good_runs: u32,
    /// When the last one of them began.
    pub good_ms: Option<u64>,
    /// Whether the request was the trial of this part.
    pub is_tried: bool,
}

impl PresentPart {
    /// Takes over good runs that another entry knows. Returns whether they are the first ones, or the first since the
    /// crash.
    fn merge_good_runs(&mut self, reported: &Self, crashed_ms: u64) -> bool {
        let is_past_crash = |good_ms: Option<u64>| good_ms.is_some_and(|good_ms| good_ms >= crashed_ms);
        let is_first = self.good_runs == 0 && reported.good_runs > 0;
        let is_first_since = !is_past_crash(self.good_ms) && is_past_crash(reported.good_ms);
        self.good_runs = self.good_runs.max(reported.good_runs);
        self.good_ms = self.good_ms.max(reported.good_ms);
        is_first || is_first_since
    }
}

/// A request that was at a crashed endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PresentRequest {
    /// How long the request had been running, in milliseconds; `None` if it is not known to have started.
    pub ran_ms: Option<u64>,
    /// Parts of its prompt, in their order.
    pub parts: Vec<PresentPart>,
}

impl PresentRequest {
    /// Returns whether the request was a trial of any part.
    pub fn is_trial(&self) -> bool {
        self.parts.iter().any(|present| present.is_tried)
    }

    /// Returns the parts that the request was a trial of.
    pub fn tried(&self) -> impl Iterator<Item = Fingerprint> {
        self.parts.iter().filter(|present| present.is_tried).map(|present| present.part.fingerprint())
    }

    /// Returns whether the request was the trial of a part.
    pub fn is_trial_of(&self, part: Fingerprint) -> bool {
        self.parts.iter().any(|present| present.is_tried && present.part.fingerprint() == part)
    }
}

/// When a crash happened, as far as a report tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashTime {
    /// The time of the crash.
    pub at_ms: u64,
    /// When the report arrived at the earliest.
    pub arrived_ms: u64,
    /// By how much both may be too early.
    pub delay_ms: u64,
}

impl CrashTime {
    /// Returns the time of a crash that is reported at once.
    pub const fn exact(at_ms: u64, now_ms: u64) -> Self {
        Self { at_ms, arrived_ms: now_ms, delay_ms: 0 }
    }
}

/// One crash of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// Identifier of the endpoint.
    pub endpoint: String,
    /// Service of the endpoint.
    pub service: String,
    /// The time at which the connections to the endpoint broke.
    pub at_ms: u64,
    /// The requests at the endpoint.
    pub present: BTreeMap<Fingerprint, PresentRequest>,
    /// The version of the quarantine in which this crash was last changed.
    pub version: u64,
}

impl Crash {
    /// Returns whether this is the crash of `endpoint` at this time.
    pub fn is_at(&self, endpoint: &str, time: CrashTime) -> bool {
        self.endpoint == endpoint && self.at_ms.abs_diff(time.at_ms) <= SAME_CRASH_MS + time.delay_ms
    }

    /// Adds requests that were at the endpoint, as reported at `now_ms`. Returns whether this adds information: a request,
    /// or good runs with a part.
    pub fn add(&mut self, lost: &[LostRequest], now_ms: u64) -> bool {
        let before = self.present.len();
        let mut has_new_good_runs = false;
        for LostRequest { fingerprint, ran_ms, parts } in lost {
            let parts = parts.iter().map(|part| present_part(part, now_ms));
            if let Some(known) = self.present.get_mut(fingerprint) {
                for reported in parts {
                    let known = known.parts.iter_mut().find(|known| known.part == reported.part);
                    has_new_good_runs |= known.is_some_and(|known| known.merge_good_runs(&reported, self.at_ms));
                }
            } else if self.present.len() < MAX_PRESENT {
                let room = MAX_PARTS.saturating_sub(self.part_count());
                let parts = parts.take(room).collect();
                self.present.insert(*fingerprint, PresentRequest { ran_ms: *ran_ms, parts });
            }
        }
        has_new_good_runs || self.present.len() > before
    }

    /// Returns the requests whose prompt parts may have crashed the endpoint.
    pub fn candidates(&self) -> impl Iterator<Item = &PresentRequest> {
        self.present.values().filter(|request| !request.parts.is_empty())
    }

    fn part_count(&self) -> usize {
        self.present.values().map(|request| request.parts.len()).sum()
    }

    /// Returns whether a request or prompt part was at the endpoint.
    pub fn involves(&self, fingerprint: Fingerprint) -> bool {
        self.present.contains_key(&fingerprint) || self.parts().any(|present| present.part.fingerprint() == fingerprint)
    }

    /// Returns whether the endpoint crashed while it ran the trial of a prompt part.
    pub fn ended_trial_of(&self, part: Fingerprint) -> bool {
        self.present.values().any(|request| request.is_trial_of(part))
    }

    /// Returns whether the endpoint ran a request with one of these causes, each given with the time at which its last good
    /// run began. A part that had a good run later was none yet when the endpoint crashed.
    pub fn is_explained_by(&self, causes: &HashMap<Fingerprint, u64>) -> bool {
        let is_cause = |part: Fingerprint| causes.get(&part).is_some_and(|good_ms| *good_ms < self.at_ms);
        self.parts().any(|present| is_cause(present.part.fingerprint()))
    }

    /// Returns the prompt parts of all requests.
    pub fn parts(&self) -> impl Iterator<Item = &PresentPart> {
        self.present.values().flat_map(|request| &request.parts)
    }
}

fn present_part(lost: &LostPart, now_ms: u64) -> PresentPart {
    let good_ms = lost.good_age_ms.map(|age_ms| now_ms.saturating_sub(age_ms));
    PresentPart { part: PromptPart::new(&lost.id), good_runs: lost.good_runs, good_ms, is_tried: lost.is_tried }
}
