//! The predicted work of requests, and the usual work by route.

use std::collections::HashMap;

/// Usual work of a route of which no size is known yet, in tokens: a short answer.
const INITIAL_WORK_TOKENS: f64 = 256.0;
/// Weight of the newest size in the mean, which so covers about a hundred requests.
const NEWEST_WEIGHT: f64 = 0.01;
/// Largest ratio between the work that a size states and the usual work of the route, in both directions. Sizes are
/// statements of callers: without this bound, one that is far too large would hold back its workspace until all others
/// have had as much, and workspaces whose sizes are far too small would hold back all others.
const MAX_RATIO: f64 = 16.0;

/// The usual work of requests by route.
#[derive(Debug, Clone, Default)]
pub struct UsualWork {
    mean_tokens: HashMap<String, f64>,
}

impl UsualWork {
    /// Returns the predicted work of an arriving request, in tokens. `stated_tokens` is the work that follows from its
    /// size; without a size, it is the usual work of its route.
    pub fn on_arrival(&mut self, route: &str, stated_tokens: Option<u64>) -> u64 {
        let usual_tokens = self.mean_tokens.get(route).copied().unwrap_or(INITIAL_WORK_TOKENS);
        let Some(stated_tokens) = stated_tokens else { return usual_tokens as u64 };
        let work_tokens = (stated_tokens as f64).clamp(usual_tokens / MAX_RATIO, usual_tokens * MAX_RATIO).max(1.0);
        let mean_tokens = usual_tokens + NEWEST_WEIGHT * (work_tokens - usual_tokens);
        match self.mean_tokens.get_mut(route) {
            Some(mean) => *mean = mean_tokens,
            None => drop(self.mean_tokens.insert(route.to_owned(), mean_tokens)),
        }
        work_tokens as u64
    }
}
