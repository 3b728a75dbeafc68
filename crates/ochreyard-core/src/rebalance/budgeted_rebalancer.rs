//! The rebalancing policy: makes only the moves whose predicted saving exceeds their cost.

use super::placement::{Placement, skew};
use super::predictor::Predictor;
use super::search::Search;

/// The weights and limits of the rebalancing policy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RebalanceSettings {
    /// Number of intervals over which a saving counts.
    pub horizon_intervals: f64,
    /// Cost of one copied replica, in units of skew during one interval.
    pub copy_cost: f64,
    /// Predicted skew up to which nothing is moved.
    pub min_skew: f64,
    /// Most copies in one interval: the rate that the weight store and the headroom of steps allow.
    pub max_copies_per_interval: usize,
}

impl RebalanceSettings {
    /// For users to whom a slow step costs more than a move.
    #[must_use]
    pub const fn weigh_skew() -> Self {
        Self { horizon_intervals: 30.0, copy_cost: 0.004, min_skew: 1.02, max_copies_per_interval: 8 }
    }

    /// For users to whom moves cost more than a slow step.
    #[must_use]
    pub const fn weigh_moves() -> Self {
        Self { horizon_intervals: 60.0, copy_cost: 0.5, min_skew: 1.08, max_copies_per_interval: 4 }
    }
}

/// A new placement whose replicas are being copied in addition to the current ones.
#[derive(Debug, Clone, PartialEq)]
struct Staging {
    target: Placement,
    copies_left: usize,
}

/// Changes the map by the moves whose predicted saving exceeds their cost.
///
/// Single moves are tried first. If none is worth its cost, but a completely new placement is
/// worth all its moves, that placement is copied over several intervals at the rate that the
/// weight store allows, and then activated at once.
#[derive(Debug, Clone)]
pub struct BudgetedRebalancer {
    settings: RebalanceSettings,
    predictor: Predictor,
    staging: Option<Staging>,
}

impl BudgetedRebalancer {
    /// Creates a policy for this number of experts.
    #[must_use]
    pub fn new(settings: RebalanceSettings, experts: usize) -> Self {
        Self { settings, predictor: Predictor::new(experts), staging: None }
    }

    /// Adds the selection counts of one interval.
    pub fn observe(&mut self, counts: &[f64]) {
        self.predictor.observe(counts);
    }

    /// Returns the map for the next interval, and the number of replicas that are copied in this one.
    #[must_use]
    pub fn decide(&mut self, current: &Placement) -> (Placement, usize) {
        if let Some(staging) = self.staging.take() {
            return self.continue_staging(staging, current);
        }
        let (next, copies) = self.single_moves(current);
        if copies == 0 {
            self.staging = self.new_placement(current);
        }
        (next, copies)
    }

    fn predicted_skew(&self, placement: &Placement) -> f64 {
        skew(&placement.rank_loads(self.predictor.shares()))
    }

    fn is_worthwhile(&self, gain: f64, intervals: f64, copies: usize) -> bool {
        gain * intervals > self.settings.copy_cost * copies as f64
    }

    fn single_moves(&self, current: &Placement) -> (Placement, usize) {
        let mut search = Search::new(current, self.predictor.shares());
        let mut copies = 0;
        while copies < self.settings.max_copies_per_interval && search.skew() > self.settings.min_skew {
            let Some((step, gain)) = search.best_step() else { break };
            let is_worthwhile = self.is_worthwhile(gain, self.settings.horizon_intervals, step.copies());
            if !is_worthwhile || copies + step.copies() > self.settings.max_copies_per_interval {
                break;
            }
            search.apply(step);
            copies += step.copies();
        }
        (search.into_placement(), copies)
    }

    /// Returns a completely new placement, if the rest of the horizon after the copies is long
    /// enough for its saving to exceed the cost of all its moves.
    fn new_placement(&self, current: &Placement) -> Option<Staging> {
        let before = self.predicted_skew(current);
        if before <= self.settings.min_skew {
            return None;
        }
        let slots = current.ranks().first().map_or(0, Vec::len);
        let target =
            Placement::greedy(self.predictor.shares(), current.ranks().len(), slots).relabeled_to_match(current);
        let copies = current.copies_to_reach(&target);
        let gain = before - self.predicted_skew(&target);
        let staging_intervals = copies as f64 / self.settings.max_copies_per_interval as f64;
        let remaining_intervals = self.settings.horizon_intervals - staging_intervals;
        self.is_worthwhile(gain, remaining_intervals, copies).then_some(Staging { target, copies_left: copies })
    }

    /// Copies further replicas. After the last one the new placement takes effect, unless the
    /// predicted loads no longer favour it.
    fn continue_staging(&mut self, staging: Staging, current: &Placement) -> (Placement, usize) {
        let copies = staging.copies_left.min(self.settings.max_copies_per_interval);
        let copies_left = staging.copies_left - copies;
        if copies_left > 0 {
            self.staging = Some(Staging { copies_left, ..staging });
            return (current.clone(), copies);
        }
        let is_still_better = self.predicted_skew(&staging.target) < self.predicted_skew(current);
        (if is_still_better { staging.target } else { current.clone() }, copies)
    }
}
