//! Searches for the change of a placement that relieves the hottest rank most.

use super::placement::{Placement, skew};

/// Exponent of the p-norm of the rank loads: large enough to approximate the largest load, and
/// small enough to show progress when several ranks are equally hot.
const NORM: i32 = 24;

/// One change of a placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Step {
    /// Replaces a spare replica of another expert by a replica of `expert`.
    Replicate { expert: usize, rank: usize, slot: usize },
    /// Swaps two experts between the hottest rank and another rank.
    Swap { hottest: usize, hottest_slot: usize, rank: usize, slot: usize },
}

impl Step {
    /// The number of replicas that must be copied.
    pub(super) const fn copies(self) -> usize {
        match self {
            Self::Replicate { .. } => 1,
            Self::Swap { .. } => 2,
        }
    }
}

/// A placement that is being changed, with its predicted loads.
pub(super) struct Search<'a> {
    placement: Placement,
    shares: &'a [f64],
    loads: Vec<f64>,
    holders: Vec<Vec<usize>>,
    mean: f64,
}

/// The load changes that a step causes, by rank.
#[derive(Default)]
struct LoadChanges(Vec<(usize, f64)>);

impl LoadChanges {
    fn add(&mut self, rank: usize, by: f64) {
        match self.0.iter_mut().find(|(other, _)| *other == rank) {
            Some((_, sum)) => *sum += by,
            None => self.0.push((rank, by)),
        }
    }
}

impl<'a> Search<'a> {
    /// Creates a search that starts from `current` under the predicted load `shares` of the experts.
    pub(super) fn new(current: &Placement, shares: &'a [f64]) -> Self {
        let placement = current.clone();
        let loads = placement.rank_loads(shares);
        let mean = (loads.iter().sum::<f64>() / loads.len() as f64).max(f64::MIN_POSITIVE);
        let mut holders = vec![Vec::new(); placement.experts()];
        for (rank, held) in placement.ranks().iter().enumerate() {
            held.iter().for_each(|expert| holders[*expert].push(rank));
        }
        Self { placement, shares, loads, holders, mean }
    }

    /// The predicted skew.
    pub(super) fn skew(&self) -> f64 {
        skew(&self.loads)
    }

    /// Returns the placement with the steps applied so far.
    pub(super) fn into_placement(self) -> Placement {
        self.placement
    }

    /// Applies a step to the placement.
    pub(super) fn apply(&mut self, step: Step) {
        match step {
            Step::Replicate { expert, rank, slot } => self.replace(rank, slot, expert),
            Step::Swap { hottest, hottest_slot, rank, slot } => {
                let (a, b) = (self.held(hottest)[hottest_slot], self.held(rank)[slot]);
                self.replace(hottest, hottest_slot, b);
                self.replace(rank, slot, a);
            }
        }
        self.loads = self.placement.rank_loads(self.shares);
    }

    fn replace(&mut self, rank: usize, slot: usize, expert: usize) {
        let old = self.held(rank)[slot];
        self.holders[old].retain(|holder| *holder != rank);
        self.holders[expert].push(rank);
        self.placement.replace(rank, slot, expert);
    }

    /// The step with the largest gain per copy for the hottest rank, and its gain in skew.
    pub(super) fn best_step(&self) -> Option<(Step, f64)> {
        let hottest = (0..self.loads.len()).max_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]))?;
        let powers: f64 = self.loads.iter().map(|load| self.power(*load)).sum();
        let mut best: Option<(Step, f64)> = None;
        let mut consider = |step: Step| {
            let gain = self.gain(step, powers);
            let gain_per_copy = gain / step.copies() as f64;
            let is_better = best.is_none_or(|(best, gain)| gain_per_copy > gain / best.copies() as f64);
            if gain > 0.0 && is_better {
                best = Some((step, gain));
            }
        };
        for rank in (0..self.loads.len()).filter(|rank| *rank != hottest) {
            self.consider_steps_between(hottest, rank, &mut consider);
        }
        best
    }

    fn consider_steps_between(&self, hottest: usize, rank: usize, consider: &mut impl FnMut(Step)) {
        let (hottest_held, held) = (self.held(hottest), self.held(rank));
        for (hottest_slot, expert) in hottest_held.iter().enumerate().filter(|(_, expert)| !held.contains(expert)) {
            for (slot, other) in held.iter().enumerate() {
                if self.placement.replicas(*other) > 1 {
                    consider(Step::Replicate { expert: *expert, rank, slot });
                }
                if !hottest_held.contains(other) {
                    consider(Step::Swap { hottest, hottest_slot, rank, slot });
                }
            }
        }
    }

    fn held(&self, rank: usize) -> &[usize] {
        &self.placement.ranks()[rank]
    }

    fn share(&self, expert: usize) -> f64 {
        self.shares[expert] / f64::from(self.placement.replicas(expert))
    }

    fn power(&self, load: f64) -> f64 {
        (load / self.mean).powi(NORM)
    }

    /// The reduction, by a step, of the approximate largest rank load relative to the mean: see [`NORM`].
    fn gain(&self, step: Step, powers: f64) -> f64 {
        let root = |powers: f64| powers.max(0.0).powf(1.0 / f64::from(NORM));
        let power_change =
            |(rank, by): &(usize, f64)| self.power(self.loads[*rank] + by) - self.power(self.loads[*rank]);
        let after: f64 = powers + self.load_changes(step).0.iter().map(power_change).sum::<f64>();
        root(powers) - root(after)
    }

    fn load_changes(&self, step: Step) -> LoadChanges {
        let mut load_changes = LoadChanges::default();
        match step {
            Step::Replicate { expert, rank, slot } => {
                self.drop_replica(self.held(rank)[slot], rank, &mut load_changes);
                self.add_replica(expert, rank, &mut load_changes);
            }
            Step::Swap { hottest, hottest_slot, rank, slot } => {
                let moved_share = self.share(self.held(hottest)[hottest_slot]) - self.share(self.held(rank)[slot]);
                load_changes.add(hottest, -moved_share);
                load_changes.add(rank, moved_share);
            }
        }
        load_changes
    }

    fn drop_replica(&self, expert: usize, rank: usize, load_changes: &mut LoadChanges) {
        let replicas = f64::from(self.placement.replicas(expert));
        let share_change = self.shares[expert] / (replicas - 1.0) - self.share(expert);
        self.holders[expert]
            .iter()
            .filter(|holder| **holder != rank)
            .for_each(|holder| load_changes.add(*holder, share_change));
        load_changes.add(rank, -self.share(expert));
    }

    fn add_replica(&self, expert: usize, rank: usize, load_changes: &mut LoadChanges) {
        let share = self.shares[expert] / f64::from(self.placement.replicas(expert) + 1);
        let share_change = share - self.share(expert);
        self.holders[expert].iter().for_each(|holder| load_changes.add(*holder, share_change));
        load_changes.add(rank, share);
    }
}
