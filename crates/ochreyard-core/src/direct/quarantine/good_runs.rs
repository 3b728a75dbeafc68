//! Good runs, by prompt part.

use std::collections::HashMap;

use crate::direct::Fingerprint;

/// Maximum number of parts that are counted. When there are more, the half with the fewest good runs is dropped, so that
/// callers cannot displace parts in wide use by naming new ones.
const MAX_PARTS: usize = 4_096;
/// Number of runs after which all counts are halved, so that the shares of parts follow what is in use now.
const MAX_RUNS: u32 = 1 << 14;
/// Number of runs from which the shares of parts are known.
const MIN_RUNS: u32 = 16;
/// Largest number of good runs that may be required to outweigh a crash.
pub const MAX_REQUIRED_RUNS: usize = 8;

/// How far a run has got without a crash of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunProgress {
    /// Past the start of its answer.
    PastStart,
    /// Its answer is whole, or has gone on for long.
    Whole,
}

/// When the last runs of a kind began, from the latest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct LastRuns([u64; MAX_REQUIRED_RUNS]);

impl LastRuns {
    fn add(&mut self, began_ms: u64) {
        let at = self.0.partition_point(|other| *other > began_ms);
        if at < MAX_REQUIRED_RUNS {
            self.0[at..].rotate_right(1);
            self.0[at] = began_ms;
        }
    }

    fn count_since(&self, at_ms: u64) -> usize {
        self.0.iter().take_while(|began_ms| **began_ms > 0 && **began_ms >= at_ms).count()
    }
}

/// Good runs with one part.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GoodRuns {
    /// Number of whole answers.
    pub count: u32,
    /// The last whole answers, those at other entries included.
    whole: LastRuns,
    /// The last runs that got past the start of their answers.
    past_start: LastRuns,
}

impl GoodRuns {
    /// Returns when the last run with a whole answer began.
    pub const fn last_began_ms(&self) -> u64 {
        self.whole.0[0]
    }

    /// Returns how many of the last runs that have got this far began at this time or later.
    pub fn count_since(&self, progress: RunProgress, at_ms: u64) -> usize {
        match progress {
            RunProgress::PastStart => self.past_start.count_since(at_ms).max(self.whole.count_since(at_ms)),
            RunProgress::Whole => self.whole.count_since(at_ms),
        }
    }

    fn add(&mut self, progress: RunProgress, began_ms: u64) {
        match progress {
            RunProgress::PastStart => self.past_start.add(began_ms),
            RunProgress::Whole => self.whole.add(began_ms),
        }
    }
}

/// Good runs by part.
#[derive(Debug, Clone, Default)]
pub struct GoodRunCounter {
    parts: HashMap<Fingerprint, GoodRuns>,
    /// Number of whole answers, whatever the parts of their prompts.
    runs: u32,
}

impl GoodRunCounter {
    /// Records how far a run with these parts has got.
    pub fn record(&mut self, parts: impl Iterator<Item = Fingerprint>, progress: RunProgress, began_ms: u64) {
        let is_whole = progress == RunProgress::Whole;
        for part in parts {
            let runs = self.parts.entry(part).or_default();
            runs.count = runs.count.saturating_add(u32::from(is_whole));
            runs.add(progress, began_ms);
        }
        self.runs += u32::from(is_whole);
        if self.runs >= MAX_RUNS {
            self.runs /= 2;
            self.parts.values_mut().for_each(|runs| runs.count = runs.count.div_ceil(2));
        }
        if self.parts.len() > MAX_PARTS {
            self.drop_rarest();
        }
    }

    /// Records how far a run with this part has got at another entry.
    pub fn record_reported(&mut self, part: Fingerprint, progress: RunProgress, began_ms: u64) {
        let runs = self.parts.entry(part).or_default();
        runs.count = runs.count.max(u32::from(progress == RunProgress::Whole));
        runs.add(progress, began_ms);
    }

    fn drop_rarest(&mut self) {
        let mut ranked: Vec<(u32, u64, Fingerprint)> =
            self.parts.iter().map(|(part, runs)| (runs.count, runs.last_began_ms(), *part)).collect();
        ranked.sort_unstable();
        for (.., part) in ranked.iter().take(MAX_PARTS / 2) {
            self.parts.remove(part);
        }
    }

    /// Returns the good runs with this part, if any are known.
    pub fn of(&self, part: Fingerprint) -> Option<GoodRuns> {
        self.parts.get(&part).copied()
    }

    /// Returns the good runs with this part if any of their answers was whole.
    pub fn whole(&self, part: Fingerprint) -> Option<GoodRuns> {
        self.of(part).filter(|runs| runs.count > 0)
    }

    /// Returns the share of requests that name this part, judging by the good runs.
    pub fn share(&self, part: Fingerprint) -> f64 {
        let count = self.parts.get(&part).map_or(0, |runs| runs.count);
        // While few runs are known, any part may be in wide use.
        (f64::from(count + 2) / f64::from(self.runs + 2)).min(1.0)
    }

    /// Returns whether most requests name this part, judging by enough good runs.
    pub fn is_in_most(&self, part: Fingerprint) -> bool {
        let count = self.parts.get(&part).map_or(0, |runs| runs.count);
        self.runs >= MIN_RUNS && count > self.runs / 2
    }
}
