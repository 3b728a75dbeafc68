//! The search for the change of one set that lowers its most loaded rank most.

use super::plan_settings::PlanSettings;
use super::set_change::SetChange;
use crate::group_map::placement::{rank_loads, replicas};

/// The power that makes a sum over ranks come near the most loaded one, and still
/// tells a step in the right direction when several ranks are equally loaded.
const NORM: i32 = 16;
/// A rank takes experts over while its load is below this many times the mean: one with
/// more load of its own would only become the next hottest. This halves the search.
const TAKES_BELOW: f64 = 1.1;
/// Most ranks that are looked at as takers of one expert, the least loaded ones. The search
/// for 96 ranks takes a third of the time that it takes with all of them, and finds maps of
/// the same skew (1.397 on drawn demand, see the example `plan_cost`).
const MAX_TAKERS: usize = 12;

/// By how much a change moves the loads of the ranks that it touches: a few ranks, so that
/// looking one up takes no index. One list serves all changes that are compared.
#[derive(Default)]
struct Touched(Vec<(usize, f64)>);

impl Touched {
    /// Adds to a rank's load.
    fn add(&mut self, rank: usize, by: f64) {
        match self.0.iter_mut().find(|(other, _)| *other == rank) {
            Some((_, sum)) => *sum += by,
            None => self.0.push((rank, by)),
        }
    }
}

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
    /// The ranks that hold each expert.
    holders: Vec<Vec<usize>>,
    /// The load of each rank, relative to the mean one, to the power of [`NORM`].
    powers: Vec<f64>,
    /// Their sum.
    power_sum: f64,
    /// The mean load of a rank.
    pub mean: f64,
    /// The outcome of the last search, unless it must be done anew.
    best: Option<Option<SetChange>>,
}

impl<'a> SetSearch<'a> {
    /// A search from the set as it is.
    pub fn new(set: &[Vec<u16>], demand: &'a [f64], paces: &'a [f64], settings: PlanSettings) -> Self {
        let loads = rank_loads(set, demand, paces);
        let mean = (loads.iter().sum::<f64>() / loads.len().max(1) as f64).max(f64::MIN_POSITIVE);
        let mut search = Self {
            set: set.to_vec(),
            former: set.to_vec(),
            demand,
            paces,
            settings,
            replicas: replicas(set, demand.len()),
            loads,
            holders: Vec::new(),
            powers: Vec::new(),
            power_sum: 0.0,
            mean,
            best: None,
        };
        search.follow();
        search
    }

    /// Works out anew what follows from the set.
    fn follow(&mut self) {
        self.loads = rank_loads(&self.set, self.demand, self.paces);
        self.powers = self.loads.iter().map(|load| self.power(*load)).collect();
        self.power_sum = self.powers.iter().sum();
        self.holders.resize_with(self.demand.len(), Vec::new);
        self.holders.iter_mut().for_each(Vec::clear);
        for (rank, held) in self.set.iter().enumerate() {
            held.iter().for_each(|expert| self.holders[usize::from(*expert)].push(rank));
        }
        self.best = None;
    }

    /// The load of the most loaded rank.
    pub fn most_loaded(&self) -> f64 {
        self.loads.iter().copied().fold(0.0, f64::max)
    }

    /// The change that is worth most where no rank copies more than `most_copies`
    /// experts in all; `copies` holds what each rank copies by now.
    pub fn best(&mut self, copies: &[usize], most_copies: usize) -> Option<SetChange> {
        let is_allowed = |change: &SetChange| {
            let mut added = change.add.iter().chain(&change.add_back);
            added.all(|(expert, rank)| self.may_add(*expert, *rank, copies, most_copies))
        };
        if !self.best.is_some_and(|best| best.as_ref().is_none_or(is_allowed)) {
            self.best = Some(self.find_best(copies, most_copies));
        }
        self.best.flatten()
    }

    fn find_best(&self, copies: &[usize], most_copies: usize) -> Option<SetChange> {
        let hot = (0..self.loads.len()).max_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]))?;
        let mut best: Option<SetChange> = None;
        let mut touched = Touched::default();
        let mut consider = |change: SetChange| {
            let gain = self.gain(&change, &mut touched);
            let change = SetChange { gain, ..change };
            if gain > 0.0 && best.is_none_or(|best| change.worth() > best.worth()) {
                best = Some(change);
            }
        };
        let takers = self.takers(copies, most_copies);
        for expert in &self.set[hot] {
            if self.replicas[usize::from(*expert)] > 1 {
                let drop = [Some((*expert, hot)), None];
                consider(SetChange { add: None, drop, add_back: None, gain: 0.0 });
            }
            let lacks = |rank: &usize| !self.set[*rank].contains(expert);
            for rank in takers.iter().copied().filter(lacks) {
                if self.may_add(*expert, rank, copies, most_copies) {
                    let may_return = |other: u16| self.may_add(other, hot, copies, most_copies);
                    self.changes_to(*expert, hot, rank, may_return, &mut consider);
                }
            }
        }
        best
    }

    /// The ranks that may take an expert over: those first that may still copy, and of them
    /// the least loaded.
    fn takers(&self, copies: &[usize], most_copies: usize) -> Vec<usize> {
        let takes_below = TAKES_BELOW * self.mean;
        let mut takers: Vec<usize> = (0..self.loads.len()).filter(|rank| self.loads[*rank] < takes_below).collect();
        takers.sort_unstable_by(|a, b| {
            let has_copied_all = |rank: usize| copies[rank] >= most_copies;
            let by_copies = has_copied_all(*a).cmp(&has_copied_all(*b));
            by_copies.then_with(|| self.loads[*a].total_cmp(&self.loads[*b]))
        });
        takers.truncate(MAX_TAKERS);
        takers
    }

    /// All ways to bring `expert` of the hottest rank to `rank`; `may_return` says which
    /// experts the hottest rank may take in return.
    fn changes_to(
        &self,
        expert: u16,
        hot: usize,
        rank: usize,
        may_return: impl Fn(u16) -> bool,
        consider: &mut impl FnMut(SetChange),
    ) {
        let add = Some((expert, rank));
        let moved = Some((expert, hot));
        if self.set[rank].len() < self.settings.slots {
            consider(SetChange { add, drop: [None, None], add_back: None, gain: 0.0 });
            consider(SetChange { add, drop: [moved, None], add_back: None, gain: 0.0 });
        }
        for other in &self.set[rank] {
            let given_up = Some((*other, rank));
            if self.replicas[usize::from(*other)] > 1 {
                consider(SetChange { add, drop: [given_up, None], add_back: None, gain: 0.0 });
                consider(SetChange { add, drop: [given_up, moved], add_back: None, gain: 0.0 });
            }
            if !self.set[hot].contains(other) && may_return(*other) {
                let add_back = Some((*other, hot));
                consider(SetChange { add, drop: [given_up, moved], add_back, gain: 0.0 });
            }
        }
    }

    /// Whether a rank may take one more expert. One that it held before the change costs no copy.
    fn may_add(&self, expert: u16, rank: usize, copies: &[usize], most_copies: usize) -> bool {
        if self.former[rank].contains(&expert) {
            return true;
        }
        let new = self.set[rank].iter().filter(|held| !self.former[rank].contains(held)).count();
        copies[rank] < most_copies && new < self.settings.spare_slots
    }

    /// By how much a change lowers the load of the most loaded rank, softly: see [`NORM`].
    fn gain(&self, change: &SetChange, touched: &mut Touched) -> f64 {
        touched.0.clear();
        for (expert, by) in change.replica_changes() {
            self.shift_loads(touched, change, expert, by);
        }
        let more = |(rank, by): &(usize, f64)| self.power(self.loads[*rank] + by) - self.powers[*rank];
        let after = self.power_sum + touched.0.iter().map(more).sum::<f64>();
        if after >= self.power_sum {
            return 0.0;
        }
        self.soft_most(self.power_sum) - self.soft_most(after)
    }

    /// Notes what a change does to the load of one expert, which gains `by` replicas.
    fn shift_loads(&self, touched: &mut Touched, change: &SetChange, expert: u16, by: i32) {
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
            touched.add(rank, self.paces[rank] * (is_held * new - was_held * old));
        }
    }

    fn power(&self, load: f64) -> f64 {
        (load / self.mean).max(0.0).powi(NORM)
    }

    fn soft_most(&self, powers: f64) -> f64 {
        self.mean * powers.max(0.0).powf(1.0 / f64::from(NORM))
    }

    /// Makes a change, and counts its copies.
    pub fn apply(&mut self, change: &SetChange, copies: &mut [usize]) {
        change.apply_to(&mut self.set);
        for (expert, _) in change.drop.iter().flatten() {
            self.replicas[usize::from(*expert)] -= 1;
        }
        for (expert, rank) in change.add.iter().chain(&change.add_back) {
            self.replicas[usize::from(*expert)] += 1;
            if !self.former[*rank].contains(expert) {
                copies[*rank] += 1;
            }
        }
        self.follow();
    }
}
