//! The policy: the fewest moves that pay.

use super::placement::{Placement, skew};
use super::predictor::Predictor;
use super::search::Search;

/// What a user weighs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RebalanceSettings {
    /// Over how many intervals a saving counts.
    pub horizon_intervals: f64,
    /// What one copied replica costs, in units of skew for one interval.
    pub copy_cost: f64,
    /// Predicted skew below which nothing is moved.
    pub min_skew: f64,
    /// Copies in one interval at the most: what the weight store and the
    /// headroom of steps allow.
    pub max_copies_per_interval: usize,
}

impl RebalanceSettings {
    /// For users to whom a slow step costs more than a move: the ski platform.
    #[must_use]
    pub const fn weigh_skew() -> Self {
        Self { horizon_intervals: 30.0, copy_cost: 0.004, min_skew: 1.02, max_copies_per_interval: 8 }
    }

    /// For users to whom moves cost more than a slow step: Kalahari Formworks.
    #[must_use]
    pub const fn weigh_moves() -> Self {
        Self { horizon_intervals: 60.0, copy_cost: 0.5, min_skew: 1.08, max_copies_per_interval: 4 }
    }
}

/// A new placement whose replicas are being copied beside the present ones.
#[derive(Debug, Clone, PartialEq)]
struct Staging {
    target: Placement,
    copies_left: usize,
}

/// Changes the map by the moves that pay.
///
/// Single moves are tried first. Where they have come to a dead end and a whole
/// new placement pays for all its moves, that one is copied over several
/// intervals, at the rate that the store allows, and then switched to at once.
#[derive(Debug, Clone)]
pub struct BudgetedRebalancer {
    settings: RebalanceSettings,
    predictor: Predictor,
    staging: Option<Staging>,
}

impl BudgetedRebalancer {
    /// A policy for this many experts.
    #[must_use]
    pub fn new(settings: RebalanceSettings, experts: usize) -> Self {
        Self { settings, predictor: Predictor::new(experts), staging: None }
    }

    /// Takes the counts of one interval.
    pub fn observe(&mut self, counts: &[f64]) {
        self.predictor.observe(counts);
    }

    /// The map for the next interval, and how many replicas are copied in this one.
    #[must_use]
    pub fn decide(&mut self, present: &Placement) -> (Placement, usize) {
        if let Some(staging) = self.staging.take() {
            return self.go_on_staging(staging, present);
        }
        let (next, copies) = self.single_moves(present);
        if copies == 0 {
            self.staging = self.whole_placement(present);
        }
        (next, copies)
    }

    fn predicted_skew(&self, placement: &Placement) -> f64 {
        skew(&placement.rank_loads(self.predictor.shares()))
    }

    fn pays(&self, gain: f64, intervals: f64, copies: usize) -> bool {
        gain * intervals > self.settings.copy_cost * copies as f64
    }

    fn single_moves(&self, present: &Placement) -> (Placement, usize) {
        let mut search = Search::new(present, self.predictor.shares());
        let mut copies = 0;
        while copies < self.settings.max_copies_per_interval && search.skew() > self.settings.min_skew {
            let Some((step, gain)) = search.best_step() else { break };
            let pays = self.pays(gain, self.settings.horizon_intervals, step.copies());
            if !pays || copies + step.copies() > self.settings.max_copies_per_interval {
                break;
            }
            search.apply(step);
            copies += step.copies();
        }
        (search.into_placement(), copies)
    }

    /// A whole new placement, if it pays for all its moves in what is left of
    /// the horizon once they have been copied.
    fn whole_placement(&self, present: &Placement) -> Option<Staging> {
        let before = self.predicted_skew(present);
        if before <= self.settings.min_skew {
            return None;
        }
        let slots = present.ranks().first().map_or(0, Vec::len);
        let target =
            Placement::greedy(self.predictor.shares(), present.ranks().len(), slots).relabeled_to_match(present);
        let copies = present.copies_to_reach(&target);
        let gain = before - self.predicted_skew(&target);
        let staging_intervals = copies as f64 / self.settings.max_copies_per_interval as f64;
        let left = self.settings.horizon_intervals - staging_intervals;
        self.pays(gain, left, copies).then_some(Staging { target, copies_left: copies })
    }

    /// Copies some more replicas; with the last one the new placement comes into
    /// force, unless the loads have turned against it in the meantime.
    fn go_on_staging(&mut self, staging: Staging, present: &Placement) -> (Placement, usize) {
        let copies = staging.copies_left.min(self.settings.max_copies_per_interval);
        let copies_left = staging.copies_left - copies;
        if copies_left > 0 {
            self.staging = Some(Staging { copies_left, ..staging });
            return (present.clone(), copies);
        }
        let still_better = self.predicted_skew(&staging.target) < self.predicted_skew(present);
        (if still_better { staging.target } else { present.clone() }, copies)
    }
}
