//! How long the runs of a route usually take at the most.

use std::collections::HashMap;

/// Share of the difference by which a shorter run lowers the bound.
const DECAY: f64 = 0.02;

/// The longest recent runs by route.
#[derive(Debug, Clone, Default)]
pub struct LongestRuns {
    longest_ms: HashMap<String, f64>,
}

impl LongestRuns {
    /// Records a run that took `took_ms`.
    pub fn record(&mut self, route: &str, took_ms: u64) {
        let took_ms = took_ms as f64;
        match self.longest_ms.get_mut(route) {
            Some(longest_ms) => *longest_ms = took_ms.max(*longest_ms - DECAY * (*longest_ms - took_ms)),
            None => drop(self.longest_ms.insert(route.to_owned(), took_ms)),
        }
    }

    /// Returns how long a run takes at the most, as far as known, in milliseconds; `None` before the first one.
    #[must_use]
    pub fn of(&self, route: &str) -> Option<u64> {
        self.longest_ms.get(route).map(|longest_ms| longest_ms.ceil() as u64)
    }
}
