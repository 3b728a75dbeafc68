//! The search for the change of one set that lowers its most loaded rank most.

use super::plan_settings::PlanSettings;
use super::set_change::SetChange;
use crate::group_map::placement::{rank_loads, replicas};

/// The power that makes a sum over ranks come near the most loaded one, and still
/// tells a step in the right direction when several ranks are equally loaded.
const NORM: i32 = 16;

/// One set under change.
pub struct SetSearch<'a> {
    /// The experts of each rank, with the changes so far.
    pub set: Vec<Vec<u16>>,
    /// The experts of each rank before the first change.
    former: Vec<Vec<u16>>,
    demand: &'a [f64],
    paces: &'a [f64],
    settings: PlanSettings,
    replicas: Vec<u32>,
    loads: Vec<f64>,
    mean: f64,
    /// The outcome of the last search, unless it must be done anew.
    best: Option<Option<SetChange>>,
}

impl<'a> SetSearch<'a> {
    /// A search from the set as it is.
    pub fn new(set: &[Vec<u16>], demand: &'a [f64], paces: &'a [f64], settings: PlanSettings) -> Self {
        let loads = rank_loads(set, demand, paces);
        let mean = (loads.iter().sum::<f64>() / loads.len().max(1) as f64).max(f64::MIN_POSITIVE);
        Self {
            set: set.to_vec(),
            former: set.to_vec(),
            demand,
            paces,
            settings,
            replicas: replicas(set, demand.len()),
            loads,
            mean,
            best: None,
        }
    }

    /// Forgets the best change if it needs a copy that is no longer allowed.
    pub fn forget_if_over(&mut self, budget_left: &[usize]) {
        let Some(Some(best)) = self.best else { return };
        let mut added = best.add.iter().chain(&best.add_back);
        if added.any(|(expert, rank)| !self.may_add(*expert, *rank, budget_left)) {
            self.best = None;
        }
    }

    /// The change that is worth most within the copies that ranks may still take.
    pub fn best(&mut self, budget_left: &[usize]) -> Option<SetChange> {
        if self.best.is_none() {
            self.best = Some(self.find_best(budget_left));
        }
        self.best.flatten()
    }

    fn find_best(&self, budget_left: &[usize]) -> Option<SetChange> {
        let hot = (0..self.loads.len()).max_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]))?;
        let mut best: Option<SetChange> = None;
        let mut consider = |change: SetChange| {
            let gain = self.gain(&change);
            let change = SetChange { gain, ..change };
            if gain > 0.0 && best.is_none_or(|best| change.worth() > best.worth()) {
                best = Some(change);
            }
        };
        for expert in &self.set[hot] {
            if self.replicas[usize::from(*expert)] > 1 {
                let drop = [Some((*expert, hot)), None];
                consider(SetChange { add: None, drop, add_back: None, gain: 0.0 });
            }
            for rank in (0..self.loads.len()).filter(|rank| *rank != hot && !self.set[*rank].contains(expert)) {
                if self.may_add(*expert, rank, budget_left) {
                    self.changes_to(*expert, hot, rank, budget_left, &mut consider);
                }
            }
        }
        best
    }

    /// All ways to bring `expert` of the hottest rank to `rank`.
    fn changes_to(
        &self,
        expert: u16,
        hot: usize,
        rank: usize,
        budget_left: &[usize],
        consider: &mut impl FnMut(SetChange),
    ) {
        let add = Some((expert, rank));
        let moved = Some((expert, hot));
        if self.set[rank].len() < self.settings.places {
            consider(SetChange { add, drop: [None, None], add_back: None, gain: 0.0 });
            consider(SetChange { add, drop: [moved, None], add_back: None, gain: 0.0 });
        }
        for other in &self.set[rank] {
            let given_up = Some((*other, rank));
            if self.replicas[usize::from(*other)] > 1 {
                consider(SetChange { add, drop: [given_up, None], add_back: None, gain: 0.0 });
                consider(SetChange { add, drop: [given_up, moved], add_back: None, gain: 0.0 });
            }
            if !self.set[hot].contains(other) && self.may_add(*other, hot, budget_left) {
                let add_back = Some((*other, hot));
                consider(SetChange { add, drop: [given_up, moved], add_back, gain: 0.0 });
            }
        }
    }

    /// Whether a rank may take one more expert. One that it held before the change costs no copy.
    fn may_add(&self, expert: u16, rank: usize, budget_left: &[usize]) -> bool {
        if self.former[rank].contains(&expert) {
            return true;
        }
        let new = self.set[rank].iter().filter(|held| !self.former[rank].contains(held)).count();
        budget_left[rank] > 0 && new < self.settings.spare
    }

    /// By how much a change lowers the load of the most loaded rank, softly.
    fn gain(&self, change: &SetChange) -> f64 {
        let mut loads = self.loads.clone();
        for (expert, by) in change.replica_changes() {
            self.shift_loads(&mut loads, change, expert, by);
        }
        self.soft_most(&self.loads) - self.soft_most(&loads)
    }

    /// Adds to `loads` what a change does to the load of one expert, which gains `by` replicas.
    fn shift_loads(&self, loads: &mut [f64], change: &SetChange, expert: u16, by: i32) {
        let at = usize::from(expert);
        let before = f64::from(self.replicas[at]);
        let after = before + f64::from(by);
        let (old, new) = (self.demand[at] / before, self.demand[at] / after.max(1.0));
        for (rank, held) in self.set.iter().enumerate() {
            let held_before = held.contains(&expert);
            let added = [change.add, change.add_back].contains(&Some((expert, rank)));
            let dropped = change.drop.contains(&Some((expert, rank)));
            let holds_after = (held_before || added) && !dropped;
            let more = f64::from(u8::from(holds_after)) * new - f64::from(u8::from(held_before)) * old;
            loads[rank] += self.paces[rank] * more;
        }
    }

    /// The load of the most loaded rank, softly: see [`NORM`].
    fn soft_most(&self, loads: &[f64]) -> f64 {
        let sum: f64 = loads.iter().map(|load| (load / self.mean).max(0.0).powi(NORM)).sum();
        self.mean * sum.powf(1.0 / f64::from(NORM))
    }

    /// Makes a change, and counts its copies off the budget.
    pub fn apply(&mut self, change: &SetChange, budget_left: &mut [usize]) {
        for (expert, rank) in change.drop.iter().flatten() {
            self.set[*rank].retain(|held| held != expert);
            self.replicas[usize::from(*expert)] -= 1;
        }
        for (expert, rank) in change.add.iter().chain(&change.add_back) {
            self.set[*rank].push(*expert);
            self.replicas[usize::from(*expert)] += 1;
            if !self.former[*rank].contains(expert) {
                budget_left[*rank] = budget_left[*rank].saturating_sub(1);
            }
        }
        self.loads = rank_loads(&self.set, self.demand, self.paces);
        self.best = None;
    }
}
