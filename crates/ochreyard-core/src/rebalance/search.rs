//! Looks for the change of a placement that takes most from the hottest rank.

use super::placement::{Placement, skew};

/// The power that makes a mean of rank loads come near their maximum, and still
/// tell a step in the right direction when several ranks are equally hot.
const NORM: i32 = 24;

/// One change of a placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Step {
    /// An expert takes the place of a second replica.
    Replicate { expert: usize, rank: usize, slot: usize },
    /// Two experts change places.
    Swap { hot: usize, hot_slot: usize, rank: usize, slot: usize },
}

impl Step {
    /// How many replicas must be copied.
    pub(super) const fn copies(self) -> usize {
        match self {
            Self::Replicate { .. } => 1,
            Self::Swap { .. } => 2,
        }
    }
}

/// A placement under change, with its predicted loads.
pub(super) struct Search<'a> {
    placement: Placement,
    shares: &'a [f64],
    loads: Vec<f64>,
    holders: Vec<Vec<usize>>,
    mean: f64,
}

/// Loads of a few ranks, as a step would leave them.
#[derive(Default)]
struct Touched(Vec<(usize, f64)>);

impl Touched {
    fn add(&mut self, rank: usize, by: f64) {
        match self.0.iter_mut().find(|(touched, _)| *touched == rank) {
            Some((_, sum)) => *sum += by,
            None => self.0.push((rank, by)),
        }
    }
}

impl<'a> Search<'a> {
    /// Starts from `present` under the predicted `shares` of the experts.
    pub(super) fn new(present: &Placement, shares: &'a [f64]) -> Self {
        let placement = present.clone();
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

    /// The placement as it is now.
    pub(super) fn into_placement(self) -> Placement {
        self.placement
    }

    /// Carries a step out.
    pub(super) fn apply(&mut self, step: Step) {
        match step {
            Step::Replicate { expert, rank, slot } => self.put(rank, slot, expert),
            Step::Swap { hot, hot_slot, rank, slot } => {
                let (a, b) = (self.held(hot)[hot_slot], self.held(rank)[slot]);
                self.put(hot, hot_slot, b);
                self.put(rank, slot, a);
            }
        }
        self.loads = self.placement.rank_loads(self.shares);
    }

    fn put(&mut self, rank: usize, slot: usize, expert: usize) {
        let old = self.held(rank)[slot];
        self.holders[old].retain(|holder| *holder != rank);
        self.holders[expert].push(rank);
        self.placement.replace(rank, slot, expert);
    }

    /// The step that takes most from the hottest rank for each copy, and its gain in skew.
    pub(super) fn best_step(&self) -> Option<(Step, f64)> {
        let hot = (0..self.loads.len()).max_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]))?;
        let powers: f64 = self.loads.iter().map(|load| self.power(*load)).sum();
        let mut best: Option<(Step, f64)> = None;
        let mut consider = |step: Step| {
            let gain = self.gain(step, powers);
            let each = gain / step.copies() as f64;
            let better = best.is_none_or(|(chosen, gain)| each > gain / chosen.copies() as f64);
            if gain > 0.0 && better {
                best = Some((step, gain));
            }
        };
        for rank in (0..self.loads.len()).filter(|rank| *rank != hot) {
            self.steps_between(hot, rank, &mut consider);
        }
        best
    }

    fn steps_between(&self, hot: usize, rank: usize, consider: &mut impl FnMut(Step)) {
        let (hot_held, held) = (self.held(hot), self.held(rank));
        for (hot_slot, expert) in hot_held.iter().enumerate().filter(|(_, expert)| !held.contains(expert)) {
            for (slot, other) in held.iter().enumerate() {
                if self.placement.replicas(*other) > 1 {
                    consider(Step::Replicate { expert: *expert, rank, slot });
                }
                if !hot_held.contains(other) {
                    consider(Step::Swap { hot, hot_slot, rank, slot });
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

    /// By how much a step lowers the soft maximum of the rank loads over their mean.
    fn gain(&self, step: Step, powers: f64) -> f64 {
        let root = |powers: f64| powers.max(0.0).powf(1.0 / f64::from(NORM));
        let change = |(rank, by): &(usize, f64)| self.power(self.loads[*rank] + by) - self.power(self.loads[*rank]);
        let after: f64 = powers + self.touched(step).0.iter().map(change).sum::<f64>();
        root(powers) - root(after)
    }

    fn touched(&self, step: Step) -> Touched {
        let mut touched = Touched::default();
        match step {
            Step::Replicate { expert, rank, slot } => {
                self.drop_replica(self.held(rank)[slot], rank, &mut touched);
                self.add_replica(expert, rank, &mut touched);
            }
            Step::Swap { hot, hot_slot, rank, slot } => {
                let moved = self.share(self.held(hot)[hot_slot]) - self.share(self.held(rank)[slot]);
                touched.add(hot, -moved);
                touched.add(rank, moved);
            }
        }
        touched
    }

    fn drop_replica(&self, expert: usize, rank: usize, touched: &mut Touched) {
        let replicas = f64::from(self.placement.replicas(expert));
        let more = self.shares[expert] / (replicas - 1.0) - self.share(expert);
        self.holders[expert].iter().filter(|holder| **holder != rank).for_each(|holder| touched.add(*holder, more));
        touched.add(rank, -self.share(expert));
    }

    fn add_replica(&self, expert: usize, rank: usize, touched: &mut Touched) {
        let share = self.shares[expert] / f64::from(self.placement.replicas(expert) + 1);
        let less = share - self.share(expert);
        self.holders[expert].iter().for_each(|holder| touched.add(*holder, less));
        touched.add(rank, share);
    }
}
