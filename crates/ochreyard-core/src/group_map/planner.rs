//! Which change of the map is worth its cost.
//!
//! A step takes as long as its most loaded rank, set by set. Copying experts
//! makes steps longer meanwhile, and the gain begins only when all copies are
//! there. So a plan may copy few experts to each rank, and the number of copies
//! that gives most over the horizon is chosen.

mod plan_settings;
mod planned;
mod set_change;
mod set_search;

pub use self::plan_settings::PlanSettings;
pub use self::planned::Planned;
use self::set_search::SetSearch;
use super::placement::GroupPlacement;

/// Steps of the search for one set and number of copies; a bound for its time.
const MAX_STEPS: usize = 48;
/// Copies to one rank that are tried as the most of a change.
const COPY_BUDGETS: [usize; 7] = [1, 2, 3, 4, 6, 9, 14];
/// Gains below this share of the whole load are noise.
const LEAST_GAIN: f64 = 0.002;

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
