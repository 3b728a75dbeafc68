//! The map in use, the demand on it, and the proposal of a better map.

use ochreyard_core::direct::EngineSpec;
use ochreyard_core::group_map::{Demand, GroupPlacement, PlanSettings, PlannedMap, Planner, RankView, StepTimes};
use ochreyard_direct::Dialect;
use ochreyard_rank::{EngineFactory, HeldExperts};

use super::{Leader, LeaderSettings};

/// Least mean number of selections per expert and set that a plan is based on: with fewer, chance
/// decides which experts appear busy.
const MIN_SELECTIONS_PER_EXPERT: f64 = 4.0;
/// Time of a change in addition to the copies, in milliseconds: two steps and a few round trips.
const SWITCH_MS: f64 = 250.0;
/// Share by which steps take longer while experts are copied, according to the engines.
const COPY_SLOWDOWN: f64 = 0.15;
/// Cost of a millisecond of copying, in milliseconds of the group's time. While experts are copied, steps take
/// 15 % longer and the response to a shift is delayed; copies also have a price. With 0.15 instead of 1,
/// three to five small changes follow each large one, and callers obtain 0.49 instead of 0.54 of the
/// value of their answers.
const COPY_TIME_COST: f64 = 1.0;
/// Least saving of a change, in milliseconds per millisecond of the recent mean time in which the ranks arm a
/// map. Where orders get lost, each change holds the group for 150 to 200 ms and makes every
/// running stream late, so that only changes after a shift are worth it.
const ARMING_COST: f64 = 2.0;
/// Bits in a byte: engines report sizes in megabytes and link capacities in megabits a second.
const BITS_PER_BYTE: f64 = 8.0;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1000.0;
/// The pace that a rank reports at its usual speed, in thousandths.
const USUAL_PACE_PERMILLE: f64 = 1000.0;

impl<D: Dialect, F: EngineFactory> Leader<D, F> {
    /// Adds the selections of one round, summed over the ranks, to the demand.
    pub(super) fn record_demand(&mut self, selections: &[f64]) {
        if selections.is_empty() {
            return;
        }
        let now_ms = self.now_ms();
        let decay_ms = self.settings.demand_decay_ms as f64;
        let demand = self.demand.get_or_insert_with(|| Demand::new(selections.len(), decay_ms));
        if demand.observe(selections, now_ms) {
            self.is_change_outdated = true;
            self.shift_times.on_shift(now_ms);
            self.stream_limit.on_shift(now_ms);
            log::info!("event=demand_shifted service={} phase={:?}", self.service, self.controller.phase());
        }
    }

    /// Derives the map in use from the experts that the ranks hold, if all ranks reported the same map.
    pub(super) fn apply_held_experts(&mut self, reports: &[Option<HeldExperts>]) {
        let Some(figures) = self.entry.engine_spec(&self.service) else { return };
        let all: Option<Vec<&HeldExperts>> = reports.iter().map(Option::as_ref).collect();
        let Some(all) = all else { return };
        let Some(first) = all.first() else { return };
        if all.iter().all(|held| held.version == first.version && held.epoch == first.epoch) {
            let ranks: Vec<Vec<Vec<u16>>> = all.iter().map(|held| held.experts.clone()).collect();
            let placement = GroupPlacement::from_ranks(figures.experts, &ranks);
            if placement.is_complete() {
                self.controller.set_current_map(first.version, placement);
            }
        }
    }

    /// The load of the most loaded rank relative to the mean, under the map in use and the current demand.
    pub(super) fn current_skew(&self) -> Option<f64> {
        self.skew_with(&self.slowdowns())
    }

    /// The same if the demand is sufficiently known.
    pub(super) fn known_skew(&self) -> Option<f64> {
        let figures = self.entry.engine_spec(&self.service)?;
        self.demand.as_ref().filter(|demand| is_sufficiently_known(demand, &figures))?;
        self.current_skew()
    }

    /// The skew if all ranks were as fast as usual.
    pub(super) fn skew_at_usual_pace(&self) -> Option<f64> {
        self.skew_with(&vec![1.0; self.last_round.views.len()])
    }

    fn skew_with(&self, slowdowns: &[f64]) -> Option<f64> {
        let (_, placement) = self.controller.current_map()?;
        let demand = self.demand.as_ref()?;
        let expected_len = placement.experts() * placement.sets().len();
        (demand.rates().len() == expected_len).then(|| placement.skew(demand.rates(), slowdowns))
    }

    /// Records the skew under which the recent steps ran.
    pub(super) fn record_skew(&mut self) {
        if let Some(skew) = self.current_skew() {
            self.mean_skew.observe(skew, self.now_ms());
        }
    }

    fn step_times(&self) -> StepTimes {
        let (step_ms, target_gap_ms) = (self.progress.step_ms(), self.target_gap_ms());
        StepTimes { step_ms, mean_skew: self.mean_skew.mean(), target_gap_ms, utilization: self.utilization() }
    }

    /// The longest gap between events that counts as on time on every route of the service.
    pub(super) fn target_gap_ms(&self) -> Option<u64> {
        self.entry.state.borrow().table.as_ref()?.target_gap_ms(&self.service)
    }

    /// Running requests as a share of the request slots of all ranks.
    fn utilization(&self) -> f64 {
        let slots = self.entry.engine_spec(&self.service).map_or(1, |figures| figures.slots.max(1));
        let running: u64 = self.last_round.views.iter().flatten().map(|view| view.running).sum();
        running as f64 / (slots * self.members.size.max(1) as u64) as f64
    }

    /// By how much the work of each rank takes longer than usual, as a factor.
    fn slowdowns(&self) -> Vec<f64> {
        self.last_round.views.iter().flatten().map(slowdown).collect()
    }

    /// Proposes a new map if one is worth a change. Returns whether it did.
    pub(super) async fn propose(&mut self, now_ms: u64) -> bool {
        let planned = self.plan().await;
        let planned_ms = self.now_ms();
        self.search_ms = planned_ms - now_ms;
        let Some(planned) = planned.filter(|planned| self.step_times().would_benefit(planned.skew)) else {
            return false;
        };
        log::info!(
            "event=map_proposed skew_before={:.3} skew_after={:.3} copies_of_rank={} saving_ms={:.0} planning_ms={}",
            planned.skew.0,
            planned.skew.1,
            planned.max_copies_per_rank,
            planned.saving_ms,
            self.search_ms
        );
        self.is_change_outdated = false;
        self.shift_times.on_proposed(planned_ms);
        self.controller.propose(planned.placement, planned.max_copies_per_rank, now_ms);
        true
    }

    /// Searches for a map that is worth a change, if the demand is sufficiently known.
    ///
    /// The search runs on a separate thread, so that callers are answered meanwhile.
    async fn plan(&self) -> Option<PlannedMap> {
        let figures = self.entry.engine_spec(&self.service)?;
        let (_, placement) = self.controller.current_map()?;
        let demand = self.demand.as_ref().filter(|demand| is_sufficiently_known(demand, &figures))?;
        let arming_ms = self.arming_times.mean_ms();
        let planner = Planner::new(plan_settings(&figures, &self.settings, arming_ms));
        let (placement, rates, slowdowns) = (placement.clone(), demand.rates().to_vec(), self.slowdowns());
        let search = tokio::task::spawn_blocking(move || planner.plan(&placement, &rates, &slowdowns));
        search.await.unwrap_or_else(|error| {
            log::error!("event=planning_failed service={} error=\"{error}\"", self.service);
            None
        })
    }
}

/// Whether the demand is based on enough selections, most of them after the last shift.
fn is_sufficiently_known(demand: &Demand, figures: &EngineSpec) -> bool {
    let min_weight = demand.rates().len() as f64 * MIN_SELECTIONS_PER_EXPERT;
    demand.rates().len() == figures.sets * figures.experts && demand.weight() >= min_weight && !demand.is_mostly_stale()
}

/// By how much the work of a rank takes longer than usual, as a factor; at least 1.
fn slowdown(view: &RankView) -> f64 {
    (view.pace_permille as f64 / USUAL_PACE_PERMILLE).max(1.0)
}

fn plan_settings(figures: &EngineSpec, settings: &LeaderSettings, arming_ms: f64) -> PlanSettings {
    PlanSettings {
        slots: figures.places,
        spare_slots: figures.spare,
        copy_ms: figures.expert_mb * BITS_PER_BYTE / figures.link_mbps.max(1.0) * MS_PER_S,
        switch_ms: SWITCH_MS,
        copy_slowdown: COPY_SLOWDOWN,
        copy_time_cost: COPY_TIME_COST,
        horizon_ms: settings.horizon_ms as f64,
        copy_price_ms: settings.copy_price_ms,
        least_saving_ms: (settings.least_saving_ms as f64).max(ARMING_COST * arming_ms),
    }
}
