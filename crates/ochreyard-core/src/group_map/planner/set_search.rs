//! Searches for the change of one set that lowers the load of its most loaded rank most.

use super::plan_settings::PlanSettings;
use super::set_change::SetChange;
use crate::group_map::placement::{rank_loads, replica_counts};

/// Exponent of the p-norm of the rank loads: large enough to approximate the largest load, and
/// small enough to show progress when several ranks are equally loaded.
const NORM: i32 = 16;
/// A rank may receive experts while its load is below this many times the mean: a rank with more
/// load would only become the next most loaded one. This bound halves the search time.
const RECEIVER_LOAD_FACTOR: f64 = 1.1;
/// Most ranks that are considered as receivers of one expert: the least loaded ones. The search
/// for 96 ranks takes a third of the time that it takes with all of them, and finds maps of the
/// same skew (1.397 on random demand, see the example `plan_cost`).
const MAX_RECEIVERS: usize = 12;

/// The load changes of the ranks that a change affects. These are few, so a linear search finds
/// a rank fast enough. One list is reused for all changes that are compared.
#[derive(Default)]
struct LoadChanges(Vec<(usize, f64)>);

impl LoadChanges {
    /// Adds to the load change of a rank.
    fn add(&mut self, rank: usize, by: f64) {
        match self.0.iter_mut().find(|(other, _)| *other == rank) {
            Some((_, sum)) => *sum += by,
            None => self.0.push((rank, by)),
        }
    }
}

/// The search for changes of one set.
pub struct SetSearch<'a> {
    /// The experts of each rank, with the changes applied so far.
    pub set: Vec<Vec<u16>>,
    /// The experts of each rank before the first change.
    original: Vec<Vec<u16>>,
    demand: &'a [f64],
    slowdowns: &'a [f64],
    settings: PlanSettings,
    replicas: Vec<u32>,
    loads: Vec<f64>,
    /// The ranks that hold each expert.
    holders: Vec<Vec<usize>>,
    /// The load of each rank relative to the mean load, raised to the power [`NORM`].
    powers: Vec<f64>,
    /// The sum of `powers`.
    power_sum: f64,
    /// The mean load of a rank.
    pub mean: f64,
    /// The cached result of the last search; `None` if it must be repeated.
    cached_best: Option<Option<SetChange>>,
}

impl<'a> SetSearch<'a> {
    /// Creates a search that starts from `set`.
    pub fn new(set: &[Vec<u16>], demand: &'a [f64], slowdowns: &'a [f64], settings: PlanSettings) -> Self {
        let loads = rank_loads(set, demand, slowdowns);
        let mean = (loads.iter().sum::<f64>() / loads.len().max(1) as f64).max(f64::MIN_POSITIVE);
        let mut search = Self {
            set: set.to_vec(),
            original: set.to_vec(),
            demand,
            slowdowns,
            settings,
            replicas: replica_counts(set, demand.len()),
            loads,
            holders: Vec::new(),
            powers: Vec::new(),
            power_sum: 0.0,
            mean,
            cached_best: None,
        };
        search.refresh();
        search
    }

    /// Recomputes the values that are derived from the set.
    fn refresh(&mut self) {
        self.loads = rank_loads(&self.set, self.demand, self.slowdowns);
        self.powers = self.loads.iter().map(|load| self.power(*load)).collect();
        self.power_sum = self.powers.iter().sum();
        self.holders.resize_with(self.demand.len(), Vec::new);
        self.holders.iter_mut().for_each(Vec::clear);
        for (rank, held) in self.set.iter().enumerate() {
            held.iter().for_each(|expert| self.holders[usize::from(*expert)].push(rank));
        }
        self.cached_best = None;
    }

    /// The load of the most loaded rank.
    pub fn max_load(&self) -> f64 {
        self.loads.iter().copied().fold(0.0, f64::max)
    }

    /// Returns the change with the best score among those that let no rank copy more than
    /// `max_copies` experts; `copies` holds the number that each rank copies so far.
    pub fn best_change(&mut self, copies: &[usize], max_copies: usize) -> Option<SetChange> {
        let is_allowed = |change: &SetChange| {
            let mut added = change.add.iter().chain(&change.add_back);
            added.all(|(expert, rank)| self.may_add(*expert, *rank, copies, max_copies))
        };
        if !self.cached_best.is_some_and(|best| best.as_ref().is_none_or(is_allowed)) {
            self.cached_best = Some(self.find_best_change(copies, max_copies));
        }
        self.cached_best.flatten()
    }

    fn find_best_change(&self, copies: &[usize], max_copies: usize) -> Option<SetChange> {
        let hottest = (0..self.loads.len()).max_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]))?;
        let mut best: Option<SetChange> = None;
        let mut load_changes = LoadChanges::default();
        let mut consider = |change: SetChange| {
            let gain = self.gain(&change, &mut load_changes);
            let change = SetChange { gain, ..change };
            if gain > 0.0 && best.is_none_or(|best| change.score() > best.score()) {
                best = Some(change);
            }
        };
        let receivers = self.receivers(copies, max_copies);
        for expert in &self.set[hottest] {
            if self.replicas[usize::from(*expert)] > 1 {
                let drop = [Some((*expert, hottest)), None];
                consider(SetChange { add: None, drop, add_back: None, gain: 0.0 });
            }
            let lacks_expert = |rank: &usize| !self.set[*rank].contains(expert);
            for rank in receivers.iter().copied().filter(lacks_expert) {
                if self.may_add(*expert, rank, copies, max_copies) {
                    let may_return = |other: u16| self.may_add(other, hottest, copies, max_copies);
                    self.consider_changes_to(*expert, hottest, rank, may_return, &mut consider);
                }
            }
        }
        best
    }

    /// The ranks that may receive an expert: ranks that may still copy come first, and among
    /// them the least loaded.
    fn receivers(&self, copies: &[usize], max_copies: usize) -> Vec<usize> {
        let max_receiver_load = RECEIVER_LOAD_FACTOR * self.mean;
        let mut receivers: Vec<usize> =
            (0..self.loads.len()).filter(|rank| self.loads[*rank] < max_receiver_load).collect();
        receivers.sort_unstable_by(|a, b| {
            let has_no_copies_left = |rank: usize| copies[rank] >= max_copies;
            let by_copies = has_no_copies_left(*a).cmp(&has_no_copies_left(*b));
            by_copies.then_with(|| self.loads[*a].total_cmp(&self.loads[*b]))
        });
        receivers.truncate(MAX_RECEIVERS);
        receivers
    }

    /// Considers all ways to add `expert` of the most loaded rank `hottest` to `rank`; `may_return`
    /// tells which experts the most loaded rank may receive in return.
    fn consider_changes_to(
        &self,
        expert: u16,
        hottest: usize,
        rank: usize,
        may_return: impl Fn(u16) -> bool,
        consider: &mut impl FnMut(SetChange),
    ) {
        let add = Some((expert, rank));
        let dropped_by_hottest = Some((expert, hottest));
        if self.set[rank].len() < self.settings.slots {
            consider(SetChange { add, drop: [None, None], add_back: None, gain: 0.0 });
            consider(SetChange { add, drop: [dropped_by_hottest, None], add_back: None, gain: 0.0 });
        }
        for other in &self.set[rank] {
            let evicted = Some((*other, rank));
            if self.replicas[usize::from(*other)] > 1 {
                consider(SetChange { add, drop: [evicted, None], add_back: None, gain: 0.0 });
                consider(SetChange { add, drop: [evicted, dropped_by_hottest], add_back: None, gain: 0.0 });
            }
            if !self.set[hottest].contains(other) && may_return(*other) {
                let add_back = Some((*other, hottest));
                consider(SetChange { add, drop: [evicted, dropped_by_hottest], add_back, gain: 0.0 });
            }
        }
    }

    /// Whether a rank may receive `expert`. An expert that it held originally needs no copy.
    fn may_add(&self, expert: u16, rank: usize, copies: &[usize], max_copies: usize) -> bool {
        if self.original[rank].contains(&expert) {
            return true;
        }
        let new = self.set[rank].iter().filter(|held| !self.original[rank].contains(held)).count();
        copies[rank] < max_copies && new < self.settings.spare_slots
    }

    /// The reduction of the approximate largest rank load by a change: see [`NORM`].
    fn gain(&self, change: &SetChange, load_changes: &mut LoadChanges) -> f64 {
        load_changes.0.clear();
        for (expert, by) in change.replica_changes() {
            self.add_load_changes(load_changes, change, expert, by);
        }
        let power_change = |(rank, by): &(usize, f64)| self.power(self.loads[*rank] + by) - self.powers[*rank];
        let after = self.power_sum + load_changes.0.iter().map(power_change).sum::<f64>();
        if after >= self.power_sum {
            return 0.0;
        }
        self.soft_max(self.power_sum) - self.soft_max(after)
    }

    /// Adds the load changes that a change causes for one expert, which gains `by` replicas.
    fn add_load_changes(&self, load_changes: &mut LoadChanges, change: &SetChange, expert: u16, by: i32) {
        let at = usize::from(expert);
        let before = f64::from(self.replicas[at]);
        let after = before + f64::from(by);
        let (old, new) = (self.demand[at] / before, self.demand[at] / after.max(1.0));
        let holders = &self.holders[at];
        let added = change.add.iter().chain(&change.add_back);
        let added = added.filter(|(other, _)| *other == expert).map(|(_, rank)| *rank);
        for rank in holders.iter().copied().chain(added) {
            let was_held = f64::from(u8::from(holders.contains(&rank)));
            let is_held = f64::from(u8::from(!change.drop.contains(&Some((expert, rank)))));
            load_changes.add(rank, self.slowdowns[rank] * (is_held * new - was_held * old));
        }
    }

    fn power(&self, load: f64) -> f64 {
        (load / self.mean).max(0.0).powi(NORM)
    }

    fn soft_max(&self, powers: f64) -> f64 {
        self.mean * powers.max(0.0).powf(1.0 / f64::from(NORM))
    }

    /// Applies a change and counts its copies.
    pub fn apply(&mut self, change: &SetChange, copies: &mut [usize]) {
        change.apply_to(&mut self.set);
        for (expert, _) in change.drop.iter().flatten() {
            self.replicas[usize::from(*expert)] -= 1;
        }
        for (expert, rank) in change.add.iter().chain(&change.add_back) {
            self.replicas[usize::from(*expert)] += 1;
            if !self.original[*rank].contains(expert) {
                copies[*rank] += 1;
            }
        }
        self.refresh();
    }
}
