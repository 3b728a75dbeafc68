//! Which change of the map is worth its cost.
//!
//! A step takes as long as its most loaded rank, set by set. Copying experts
//! makes steps longer meanwhile, and the gain begins only when all copies are
//! there. So a plan may copy few experts to each rank, and the number of copies
//! that gives most over the horizon is chosen.

mod plan_settings;
mod planned_map;
mod set_change;
mod set_search;

pub use self::plan_settings::PlanSettings;
pub use self::planned_map::PlannedMap;
use self::set_change::SetChange;
use self::set_search::SetSearch;
use super::placement::GroupPlacement;

/// Steps of the search for one set; a bound for its time.
const MAX_STEPS: usize = 48;
/// Copies to one rank that a change takes at the most; a bound for the search, too.
const MAX_COPIES: usize = 14;
/// From this skew on steps take about twice as long as they need. Where no change saves
/// what its copies cost, only the longer steps count against them then: else nothing would
/// change where a copy takes longer than a map is expected to fit.
const LARGE_SKEW: f64 = 2.0;
/// Gains below this share of a rank's mean load in one set are noise.
const LEAST_GAIN: f64 = 0.002;

/// One step of the search.
#[derive(Debug, Clone, Copy)]
struct SearchStep {
    /// The set that it changes.
    set: usize,
    change: SetChange,
}

/// Where a search may stop: after so many steps, with what the map saves by then.
#[derive(Debug, Clone, Copy)]
struct Stop {
    steps: usize,
    saving_ms: f64,
    max_copies_per_rank: usize,
    skew: (f64, f64),
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
    pub fn plan(&self, present: &GroupPlacement, demand: &[f64], paces: &[f64]) -> Option<PlannedMap> {
        let planned = self.best_change(present, demand, paces);
        if planned.is_some() || present.skew(demand, paces) < LARGE_SKEW {
            return planned;
        }
        let settings = PlanSettings { copy_time_cost: self.settings.copy_slowdown, ..self.settings };
        Self::new(settings).best_change(present, demand, paces)
    }

    /// The change that saves most, by these figures alone.
    ///
    /// The search makes the step that gains most for each copy, again and again, and
    /// the map is taken as it was when the saving was largest. The steps up to there are
    /// made once more at the end: copies of the sets, one for each step that saves more than
    /// all before, took half of a search for 96 ranks.
    fn best_change(&self, present: &GroupPlacement, demand: &[f64], paces: &[f64]) -> Option<PlannedMap> {
        let total: f64 = demand.iter().sum();
        let ranks = present.sets().first().map_or(0, Vec::len);
        if total <= 0.0 || ranks == 0 {
            return None;
        }
        let mean = total / ranks as f64;
        let mut searches = self.searches(present, demand, paces);
        let mut copies = vec![0; ranks];
        let skew_before = skew_of(&searches, mean);
        let mut steps: Vec<SearchStep> = Vec::new();
        let mut best: Option<Stop> = None;
        for _ in 0..MAX_STEPS * searches.len() {
            let Some(step) = self.make_best_step(&mut searches, &mut copies) else { break };
            steps.push(step);
            let skew = (skew_before, skew_of(&searches, mean));
            let max_copies_per_rank = copies.iter().copied().max().unwrap_or(0);
            let saving_ms = self.saving_ms(skew, max_copies_per_rank, copies.iter().sum());
            if best.as_ref().is_none_or(|best| saving_ms > best.saving_ms) {
                best = Some(Stop { steps: steps.len(), saving_ms, max_copies_per_rank, skew });
            }
        }
        let Stop { steps: count, saving_ms, max_copies_per_rank, skew } =
            best.filter(|best| best.saving_ms >= self.settings.least_saving_ms)?;
        let mut sets = present.sets().to_vec();
        steps[..count].iter().for_each(|step| step.change.apply_to(&mut sets[step.set]));
        Some(PlannedMap { placement: present.with_sets(sets), saving_ms, max_copies_per_rank, skew })
    }

    /// A search for each set.
    fn searches<'a>(&self, present: &GroupPlacement, demand: &'a [f64], paces: &'a [f64]) -> Vec<SetSearch<'a>> {
        let experts = present.experts();
        let of_set = |at: usize| &demand[at * experts..(at + 1) * experts];
        let sets = present.sets().iter().enumerate();
        sets.map(|(at, set)| SetSearch::new(set, of_set(at), paces, self.settings)).collect()
    }

    /// Makes the step over all sets that gains most for each copy; `None` if none is left.
    fn make_best_step(&self, searches: &mut [SetSearch], copies: &mut [usize]) -> Option<SearchStep> {
        let most_copies = self.most_copies();
        let least_gains: Vec<f64> = searches.iter().map(|search| LEAST_GAIN * search.mean).collect();
        let found = searches.iter_mut().enumerate();
        let found = found.filter_map(|(at, search)| Some((at, search.best(copies, most_copies)?)));
        let found = found.filter(|(at, step)| step.gain >= least_gains[*at]);
        let (set, change) = found.max_by(|a, b| a.1.worth().total_cmp(&b.1.worth()))?;
        searches[set].apply(&change, copies);
        Some(SearchStep { set, change })
    }

    /// Copies to one rank beyond which the next change should take the rest: the copies
    /// of a change come into use together, so more of them than the change itself takes
    /// only hold back those that help most.
    fn most_copies(&self) -> usize {
        let settings = &self.settings;
        let batch = (settings.switch_ms / settings.copy_ms.max(1.0)).round().max(1.0);
        let fitting = (settings.horizon_ms - settings.switch_ms) / settings.copy_ms.max(1.0);
        (fitting.min(batch).max(0.0) as usize).min(MAX_COPIES)
    }

    /// The one formula: what the new map saves once it is in use, less what the time and
    /// the number of its copies cost.
    fn saving_ms(&self, skew: (f64, f64), max_copies_per_rank: usize, copies: usize) -> f64 {
        let settings = &self.settings;
        let copying_ms = max_copies_per_rank as f64 * settings.copy_ms;
        let in_use_ms = (settings.horizon_ms - copying_ms - settings.switch_ms).max(0.0);
        let gain = (skew.0 - skew.1) / skew.0.max(1.0);
        gain * in_use_ms - settings.copy_time_cost * copying_ms - settings.copy_price_ms * copies as f64
    }
}

/// The load of the most loaded rank over the mean one, summed over sets.
fn skew_of(searches: &[SetSearch], mean: f64) -> f64 {
    searches.iter().map(SetSearch::most_loaded).sum::<f64>() / mean
}
