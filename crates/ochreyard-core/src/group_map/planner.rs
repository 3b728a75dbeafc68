//! Which change of the map is worth its cost.
//!
//! A step takes as long as its most loaded rank, set by set. Copying experts
//! makes steps longer meanwhile, and the gain begins only when all copies are
//! there. So a plan may copy few experts to each rank, and the number of copies
//! that gives most over the horizon is chosen.

use super::placement::{GroupPlacement, rank_loads, replicas};

/// The power that makes a sum over ranks come near the most loaded one, and still
/// tells a step in the right direction when several ranks are equally loaded.
const NORM: i32 = 16;
/// Steps of the search for one set and number of copies; a bound for its time.
const MAX_STEPS: usize = 48;
/// Copies to one rank that are tried as the most of a change.
const COPY_BUDGETS: [usize; 7] = [1, 2, 3, 4, 6, 9, 14];
/// Gains below this share of the whole load are noise.
const LEAST_GAIN: f64 = 0.002;

/// Figures of a group and what its users weigh.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanSettings {
    /// Experts that a rank can hold in a set.
    pub places: usize,
    /// Experts that one change may bring to a rank in a set.
    pub spare: usize,
    /// Time to copy one expert, in milliseconds.
    pub copy_ms: f64,
    /// Time of a change beside the copies, in milliseconds.
    pub switch_ms: f64,
    /// How much longer steps take while experts are copied, as a share.
    pub copy_drag: f64,
    /// For how long a new map is expected to fit, in milliseconds.
    pub horizon_ms: f64,
    /// What one copy costs beside its time, as milliseconds of the group's time.
    pub copy_price_ms: f64,
    /// Saving over the horizon below which nothing is changed, in milliseconds.
    pub least_saving_ms: f64,
}

/// A map worth a change.
#[derive(Debug, Clone, PartialEq)]
pub struct Planned {
    /// The map.
    pub placement: GroupPlacement,
    /// Time saved over the horizon, in milliseconds.
    pub saving_ms: f64,
    /// The most copies that one rank takes.
    pub copies_of_rank: usize,
    /// Skew of the present map and of the new one, under the demand.
    pub skew: (f64, f64),
}

/// Looks for a map worth a change.
#[derive(Debug, Clone)]
pub struct Planner {
    settings: PlanSettings,
}

impl Planner {
    /// A planner with these figures.
    #[must_use]
    pub const fn new(settings: PlanSettings) -> Self {
        Self { settings }
    }

    /// The change that saves most over the horizon, if one saves enough. `paces` holds
    /// how much longer work takes at each rank than usual.
    #[must_use]
    pub fn plan(&self, present: &GroupPlacement, demand: &[f64], paces: &[f64]) -> Option<Planned> {
        let total: f64 = demand.iter().sum();
        if total <= 0.0 {
            return None;
        }
        let sets = present.sets().len();
        let budgets = COPY_BUDGETS.into_iter().take_while(|budget| *budget <= sets * self.settings.spare);
        let plans = budgets.filter_map(|budget| self.plan_within(present, demand, paces, budget));
        let best = plans.max_by(|a, b| a.saving_ms.total_cmp(&b.saving_ms))?;
        (best.saving_ms >= self.settings.least_saving_ms).then_some(best)
    }

    /// The best map found with at most `budget` copies to any one rank.
    fn plan_within(&self, present: &GroupPlacement, demand: &[f64], paces: &[f64], budget: usize) -> Option<Planned> {
        let experts = present.experts();
        let total: f64 = demand.iter().sum();
        let mut placement = present.clone();
        let ranks = placement.sets().first()?.len();
        let mut budget_left = vec![budget; ranks];
        let mut searches: Vec<SetSearch> = Vec::new();
        for (at, set) in placement.sets().iter().enumerate() {
            searches.push(SetSearch::new(set, &demand[at * experts..(at + 1) * experts], paces, self.settings));
        }
        for _ in 0..MAX_STEPS * searches.len() {
            let best =
                searches.iter_mut().enumerate().filter_map(|(at, search)| Some((at, search.best(&budget_left)?)));
            let Some((at, found)) = best.max_by(|a, b| a.1.worth().total_cmp(&b.1.worth())) else { break };
            if found.gain < LEAST_GAIN * total / ranks as f64 {
                break;
            }
            searches[at].apply(&found, &mut budget_left);
            searches.iter_mut().for_each(|search| search.forget_if_over(&budget_left));
        }
        for (set, search) in placement.sets_mut().iter_mut().zip(searches) {
            *set = search.set;
        }
        let copies: usize = copies_of_ranks(present, &placement).iter().sum();
        let copies_of_rank = copies_of_ranks(present, &placement).into_iter().max().unwrap_or(0);
        let skew = (present.skew(demand, paces), placement.skew(demand, paces));
        let saving_ms = self.saving_ms(skew, copies_of_rank, copies);
        Some(Planned { placement, saving_ms, copies_of_rank, skew })
    }

    /// The one formula: what the new map saves once it is in use, less the longer
    /// steps during the copies and the price of copies.
    fn saving_ms(&self, skew: (f64, f64), copies_of_rank: usize, copies: usize) -> f64 {
        let settings = &self.settings;
        let copying_ms = copies_of_rank as f64 * settings.copy_ms;
        let in_use_ms = (settings.horizon_ms - copying_ms - settings.switch_ms).max(0.0);
        let gain = (skew.0 - skew.1) / skew.0.max(1.0);
        gain * in_use_ms - settings.copy_drag * copying_ms - settings.copy_price_ms * copies as f64
    }
}

/// Experts that are new to each rank.
fn copies_of_ranks(present: &GroupPlacement, next: &GroupPlacement) -> Vec<usize> {
    let ranks = present.sets().first().map_or(0, Vec::len);
    let mut copies = vec![0; ranks];
    for (old, new) in present.sets().iter().zip(next.sets()) {
        for (rank, copied) in copies.iter_mut().enumerate() {
            *copied += new[rank].iter().filter(|expert| !old[rank].contains(expert)).count();
        }
    }
    copies
}

/// One change of one set.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Change {
    /// An expert that goes to this rank.
    add: Option<(u16, usize)>,
    /// Experts that are dropped, at which ranks.
    drop: [Option<(u16, usize)>; 2],
    /// A second expert that goes to the other rank of a swap.
    add_back: Option<(u16, usize)>,
    gain: f64,
}

impl Change {
    fn copies(&self) -> usize {
        usize::from(self.add.is_some()) + usize::from(self.add_back.is_some())
    }

    /// Gain for each copy; a change without copies comes first.
    fn worth(&self) -> f64 {
        match self.copies() {
            0 => self.gain * 4.0,
            copies => self.gain / copies as f64,
        }
    }
}

/// One set under change.
struct SetSearch<'a> {
    set: Vec<Vec<u16>>,
    former: Vec<Vec<u16>>,
    demand: &'a [f64],
    paces: &'a [f64],
    settings: PlanSettings,
    replicas: Vec<u32>,
    loads: Vec<f64>,
    mean: f64,
    best: Option<Option<Change>>,
}

impl<'a> SetSearch<'a> {
    fn new(set: &[Vec<u16>], demand: &'a [f64], paces: &'a [f64], settings: PlanSettings) -> Self {
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
    fn forget_if_over(&mut self, budget_left: &[usize]) {
        let Some(Some(best)) = self.best else { return };
        let mut added = best.add.iter().chain(&best.add_back);
        if added.any(|(expert, rank)| !self.may_add(*expert, *rank, budget_left)) {
            self.best = None;
        }
    }

    fn best(&mut self, budget_left: &[usize]) -> Option<Change> {
        if self.best.is_none() {
            self.best = Some(self.find_best(budget_left));
        }
        self.best.flatten()
    }

    fn find_best(&self, budget_left: &[usize]) -> Option<Change> {
        let hot = (0..self.loads.len()).max_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]))?;
        let mut best: Option<Change> = None;
        let mut consider = |change: Change| {
            let gain = self.gain(&change);
            let change = Change { gain, ..change };
            if gain > 0.0 && best.is_none_or(|best| change.worth() > best.worth()) {
                best = Some(change);
            }
        };
        for expert in &self.set[hot] {
            if self.replicas[usize::from(*expert)] > 1 {
                let drop = [Some((*expert, hot)), None];
                consider(Change { add: None, drop, add_back: None, gain: 0.0 });
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
        consider: &mut impl FnMut(Change),
    ) {
        let add = Some((expert, rank));
        let moved = Some((expert, hot));
        if self.set[rank].len() < self.settings.places {
            consider(Change { add, drop: [None, None], add_back: None, gain: 0.0 });
            consider(Change { add, drop: [moved, None], add_back: None, gain: 0.0 });
        }
        for other in &self.set[rank] {
            let given_up = Some((*other, rank));
            if self.replicas[usize::from(*other)] > 1 {
                consider(Change { add, drop: [given_up, None], add_back: None, gain: 0.0 });
                consider(Change { add, drop: [given_up, moved], add_back: None, gain: 0.0 });
            }
            if !self.set[hot].contains(other) && self.may_add(*other, hot, budget_left) {
                let add_back = Some((*other, hot));
                consider(Change { add, drop: [given_up, moved], add_back, gain: 0.0 });
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
    fn gain(&self, change: &Change) -> f64 {
        let mut touched: [(u16, i32); 4] = [(u16::MAX, 0); 4];
        let mut count = 0;
        let mut note = |expert: u16, by: i32| match touched[..count].iter_mut().find(|(other, _)| *other == expert) {
            Some((_, sum)) => *sum += by,
            None => {
                touched[count] = (expert, by);
                count += 1;
            }
        };
        change.add.iter().chain(&change.add_back).for_each(|(expert, _)| note(*expert, 1));
        change.drop.iter().flatten().for_each(|(expert, _)| note(*expert, -1));
        let mut loads = self.loads.clone();
        for (expert, by) in &touched[..count] {
            let at = usize::from(*expert);
            let before = f64::from(self.replicas[at]);
            let after = before + f64::from(*by);
            let (old, new) = (self.demand[at] / before, self.demand[at] / after.max(1.0));
            for (rank, held) in self.set.iter().enumerate() {
                let held_before = held.contains(expert);
                let added = [change.add, change.add_back].contains(&Some((*expert, rank)));
                let dropped = change.drop.contains(&Some((*expert, rank)));
                let holds_after = (held_before || added) && !dropped;
                let more = f64::from(u8::from(holds_after)) * new - f64::from(u8::from(held_before)) * old;
                loads[rank] += self.paces[rank] * more;
            }
        }
        self.soft_most(&self.loads) - self.soft_most(&loads)
    }

    fn soft_most(&self, loads: &[f64]) -> f64 {
        let sum: f64 = loads.iter().map(|load| (load / self.mean).max(0.0).powi(NORM)).sum();
        self.mean * sum.powf(1.0 / f64::from(NORM))
    }

    fn apply(&mut self, change: &Change, budget_left: &mut [usize]) {
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
