//! Plans the change of the map that is worth its cost.
//!
//! In each set, a step takes as long as the most loaded rank needs. Copying experts makes
//! steps longer, and the gain begins only when all copies are complete. A plan therefore
//! copies few experts to each rank, and takes the number of copies that saves most over
//! the horizon.

mod plan_settings;
mod planned_map;
mod set_change;
mod set_search;

pub use self::plan_settings::PlanSettings;
pub use self::planned_map::PlannedMap;
use self::set_change::SetChange;
use self::set_search::SetSearch;
use super::placement::GroupPlacement;

/// Most search steps per set, which bounds the time of a search.
const MAX_STEPS: usize = 48;
/// Most copies to one rank in a change, which also bounds the search.
const MAX_COPIES: usize = 14;
/// Skew from which steps take about twice as long as necessary. If no change saves the full
/// cost of its copies at such a skew, only the slowdown of steps during the copies counts as their
/// cost: otherwise the map would never change where a copy takes longer than the horizon.
const LARGE_SKEW: f64 = 2.0;
/// Gains below this share of a rank's mean load in one set are noise.
const MIN_GAIN: f64 = 0.002;

/// One step of the search.
#[derive(Debug, Clone, Copy)]
struct SearchStep {
    /// The set that the step changes.
    set: usize,
    change: SetChange,
}

/// A number of search steps after which the search may stop, and what the map saves at that point.
#[derive(Debug, Clone, Copy)]
struct StoppingPoint {
    steps: usize,
    saving_ms: f64,
    max_copies_per_rank: usize,
    skew: (f64, f64),
}

/// Searches for a map that is worth a change.
#[derive(Debug, Clone)]
pub struct Planner {
    settings: PlanSettings,
}

impl Planner {
    /// Creates a planner with these settings.
    #[must_use]
    pub const fn new(settings: PlanSettings) -> Self {
        Self { settings }
    }

    /// Returns the map that saves most over the horizon, if one saves enough. `slowdowns` holds
    /// the time that work takes at each rank relative to the usual time.
    #[must_use]
    pub fn plan(&self, current: &GroupPlacement, demand: &[f64], slowdowns: &[f64]) -> Option<PlannedMap> {
        let planned = self.best_change(current, demand, slowdowns);
        if planned.is_some() || current.skew(demand, slowdowns) < LARGE_SKEW {
            return planned;
        }
        let settings = PlanSettings { copy_time_cost: self.settings.copy_slowdown, ..self.settings };
        Self::new(settings).best_change(current, demand, slowdowns)
    }

    /// Returns the map that saves most under these settings.
    ///
    /// The search repeatedly takes the step with the largest gain per copy, and returns the map
    /// as of the step with the largest saving. The steps up to that point are applied again at
    /// the end: cloning the sets at each new largest saving took half of the search time for 96 ranks.
    fn best_change(&self, current: &GroupPlacement, demand: &[f64], slowdowns: &[f64]) -> Option<PlannedMap> {
        let total: f64 = demand.iter().sum();
        let ranks = current.sets().first().map_or(0, Vec::len);
        if total <= 0.0 || ranks == 0 {
            return None;
        }
        let mean = total / ranks as f64;
        let mut searches = self.searches(current, demand, slowdowns);
        let mut copies = vec![0; ranks];
        let skew_before = skew_of(&searches, mean);
        let mut steps: Vec<SearchStep> = Vec::new();
        let mut best_point: Option<StoppingPoint> = None;
        for _ in 0..MAX_STEPS * searches.len() {
            let Some(step) = self.apply_best_step(&mut searches, &mut copies) else { break };
            steps.push(step);
            let skew = (skew_before, skew_of(&searches, mean));
            let max_copies_per_rank = copies.iter().copied().max().unwrap_or(0);
            let saving_ms = self.saving_ms(skew, max_copies_per_rank, copies.iter().sum());
            if best_point.as_ref().is_none_or(|best| saving_ms > best.saving_ms) {
                best_point = Some(StoppingPoint { steps: steps.len(), saving_ms, max_copies_per_rank, skew });
            }
        }
        let StoppingPoint { steps: count, saving_ms, max_copies_per_rank, skew } =
            best_point.filter(|best| best.saving_ms >= self.settings.least_saving_ms)?;
        let mut sets = current.sets().to_vec();
        steps[..count].iter().for_each(|step| step.change.apply_to(&mut sets[step.set]));
        Some(PlannedMap { placement: current.with_sets(sets), saving_ms, max_copies_per_rank, skew })
    }

    /// Creates a search for each set.
    fn searches<'a>(&self, current: &GroupPlacement, demand: &'a [f64], slowdowns: &'a [f64]) -> Vec<SetSearch<'a>> {
        let experts = current.experts();
        let set_demand = |at: usize| &demand[at * experts..(at + 1) * experts];
        let sets = current.sets().iter().enumerate();
        sets.map(|(at, set)| SetSearch::new(set, set_demand(at), slowdowns, self.settings)).collect()
    }

    /// Applies the step with the largest gain per copy over all sets; `None` if no step is left.
    fn apply_best_step(&self, searches: &mut [SetSearch], copies: &mut [usize]) -> Option<SearchStep> {
        let max_copies = self.max_copies();
        let min_gains: Vec<f64> = searches.iter().map(|search| MIN_GAIN * search.mean).collect();
        let candidates = searches.iter_mut().enumerate();
        let candidates = candidates.filter_map(|(at, search)| Some((at, search.best_change(copies, max_copies)?)));
        let candidates = candidates.filter(|(at, step)| step.gain >= min_gains[*at]);
        let (set, change) = candidates.max_by(|a, b| a.1.score().total_cmp(&b.1.score()))?;
        searches[set].apply(&change, copies);
        Some(SearchStep { set, change })
    }

    /// Most copies to one rank in this change; the next change takes the rest. The copies of a
    /// change come into use together, so copying for longer than the rest of the change takes
    /// only delays the copies with the largest gain.
    fn max_copies(&self) -> usize {
        let settings = &self.settings;
        let copies_in_switch = (settings.switch_ms / settings.copy_ms.max(1.0)).round().max(1.0);
        let copies_in_horizon = (settings.horizon_ms - settings.switch_ms) / settings.copy_ms.max(1.0);
        (copies_in_horizon.min(copies_in_switch).max(0.0) as usize).min(MAX_COPIES)
    }

    /// The time that the new map saves once it is in use, minus the cost of the duration and
    /// the number of its copies, in milliseconds.
    fn saving_ms(&self, skew: (f64, f64), max_copies_per_rank: usize, copies: usize) -> f64 {
        let settings = &self.settings;
        let copying_ms = max_copies_per_rank as f64 * settings.copy_ms;
        let in_use_ms = (settings.horizon_ms - copying_ms - settings.switch_ms).max(0.0);
        let gain = (skew.0 - skew.1) / skew.0.max(1.0);
        gain * in_use_ms - settings.copy_time_cost * copying_ms - settings.copy_price_ms * copies as f64
    }
}

/// The loads of the most loaded rank of each set, summed and divided by the mean rank load.
fn skew_of(searches: &[SetSearch], mean: f64) -> f64 {
    searches.iter().map(SetSearch::max_load).sum::<f64>() / mean
}
