//! Counts of runs that got past the start of their answers, by prompt part.

use std::collections::HashMap;

use crate::direct::Fingerprint;

/// Maximum number of parts that are counted. When there are more, the half with the fewest good runs is dropped, so that
/// callers cannot displace parts in wide use by naming new ones.
const MAX_PARTS: usize = 4_096;

/// Good runs with one part.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GoodRuns {
    /// Number of the runs.
    pub count: u32,
    /// When the last one of them began.
    pub last_began_ms: u64,
}

/// Good runs by part.
#[derive(Debug, Clone, Default)]
pub struct GoodRunCounter {
    parts: HashMap<Fingerprint, GoodRuns>,
}

impl GoodRunCounter {
    /// Records a good run with this part.
    pub fn record(&mut self, part: Fingerprint, began_ms: u64) {
        let runs = self.parts.entry(part).or_default();
        runs.count = runs.count.saturating_add(1);
        runs.last_began_ms = runs.last_began_ms.max(began_ms);
        if self.parts.len() > MAX_PARTS {
            self.drop_rarest();
        }
    }

    fn drop_rarest(&mut self) {
        let mut ranked: Vec<(GoodRuns, Fingerprint)> = self.parts.iter().map(|(part, runs)| (*runs, *part)).collect();
        ranked.sort_unstable_by_key(|(runs, part)| (runs.count, runs.last_began_ms, *part));
        for (_, part) in ranked.iter().take(MAX_PARTS / 2) {
            self.parts.remove(part);
        }
    }

    /// Returns the good runs with this part, if any are known.
    pub fn of(&self, part: Fingerprint) -> Option<GoodRuns> {
        self.parts.get(&part).copied()
    }
}
