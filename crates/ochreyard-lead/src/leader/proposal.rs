//! The map in use, the demand on it, and the proposal of a better map.

use ochreyard_core::direct::EngineSpec;
use ochreyard_core::group_map::{Demand, GroupPlacement, PlanSettings, PlannedMap, Planner, RankView, StepTimes};
use ochreyard_direct::Dialect;
use ochreyard_rank::{EngineFactory, HeldExperts};

use super::{Leader, LeaderSettings};

/// Choices that a plan must rest on, for each expert and set: with fewer, chance
/// decides which expert looks busy.
const LEAST_CHOICES_PER_EXPERT: f64 = 4.0;
/// Time of a change beside the copies, in milliseconds: two steps and a few round trips.
const SWITCH_MS: f64 = 250.0;
/// How much longer steps take while experts are copied, as engines state it.
const COPY_DRAG: f64 = 0.15;
/// What a millisecond of copying costs, in milliseconds of the group's time. Steps take 15 %
/// longer meanwhile, a shift that comes meanwhile is answered later, and copies are priced:
/// with 0.15 in place of 1, three to five small changes follow each large one, and callers
/// earn 0.49 in place of 0.54 of what their answers are worth.
const COPY_COST: f64 = 1.0;
/// Least saving of a change, in milliseconds, for each millisecond for which ranks take to arm
/// a map of late. Where orders get lost, each change holds the group for 150 to 200 ms, and
/// every stream that runs is late: then only changes after a shift are worth it.
const ARMING_COST: f64 = 2.0;
/// Bits in a byte: engines state sizes in megabytes and links in megabits a second.
const BITS_PER_BYTE: f64 = 8.0;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1000.0;
/// The pace that ranks state when they are as fast as usual, in thousandths.
const USUAL_PACE_PERMILLE: f64 = 1000.0;

impl<D: Dialect, S: EngineFactory> Leader<D, S> {
    /// Adds the choices of one round, summed over the ranks, to the demand.
    pub(super) fn add_demand(&mut self, chosen: &[f64]) {
        if chosen.is_empty() {
            return;
        }
        let now_ms = self.now_ms();
        let fade_ms = self.settings.fade_ms as f64;
        let demand = self.demand.get_or_insert_with(|| Demand::new(chosen.len(), fade_ms));
        if demand.observe(chosen, now_ms) {
            self.is_outdated = true;
            self.shift_times.on_shift(now_ms);
            log::info!("event=demand_shifted service={} phase={:?}", self.service, self.controller.phase());
        }
    }

    /// Takes the map in use from what all ranks hold, if all told of the same map.
    pub(super) fn take_lists(&mut self, lists: &[Option<HeldExperts>]) {
        let Some(figures) = self.entry.engine_spec(&self.service) else { return };
        let all: Option<Vec<&HeldExperts>> = lists.iter().map(Option::as_ref).collect();
        let Some(all) = all else { return };
        let Some(first) = all.first() else { return };
        if all.iter().all(|list| list.version == first.version && list.epoch == first.epoch) {
            let ranks: Vec<Vec<Vec<u16>>> = all.iter().map(|list| list.experts.clone()).collect();
            let placement = GroupPlacement::from_ranks(figures.experts, &ranks);
            if placement.is_complete() {
                self.controller.set_current_map(first.version, placement);
            }
        }
    }

    /// Load of the most loaded rank over the mean, under the map in use and the demand.
    pub(super) fn present_skew(&self) -> Option<f64> {
        let (_, present) = self.controller.current_map()?;
        let demand = self.demand.as_ref()?;
        let wanted = present.experts() * present.sets().len();
        let paces = self.paces();
        (demand.rates().len() == wanted).then(|| present.skew(demand.rates(), &paces))
    }

    /// Notes the skew under which the steps of late were made.
    pub(super) fn note_skew(&mut self) {
        if let Some(skew) = self.present_skew() {
            self.mean_skew.observe(skew, self.now_ms());
        }
    }

    fn step_times(&self) -> StepTimes {
        let state = self.entry.state.borrow();
        let target_gap_ms = state.table.as_ref().and_then(|table| table.target_gap_ms(&self.service));
        let step_ms = self.progress.step_ms();
        StepTimes { step_ms, mean_skew: self.mean_skew.mean(), target_gap_ms, utilization: self.busy_share() }
    }

    /// Requests that run, as a share of the places of all ranks.
    fn busy_share(&self) -> f64 {
        let slots = self.entry.engine_spec(&self.service).map_or(1, |figures| figures.slots.max(1));
        let running: u64 = self.last_round.views.iter().flatten().map(|view| view.running).sum();
        running as f64 / (slots * self.members.size.max(1) as u64) as f64
    }

    /// How much longer work takes at each rank than usual.
    fn paces(&self) -> Vec<f64> {
        self.last_round.views.iter().flatten().map(pace).collect()
    }

    /// Proposes a new map, if one is worth a change. Says whether it did.
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
        self.is_outdated = false;
        self.shift_times.on_proposed(planned_ms);
        self.controller.propose(planned.placement, planned.max_copies_per_rank, now_ms);
        true
    }

    /// The map that is worth a change, if the demand is known well enough and there is one.
    ///
    /// The search takes a thread of its own: callers are answered meanwhile.
    async fn plan(&self) -> Option<PlannedMap> {
        let figures = self.entry.engine_spec(&self.service)?;
        let (_, present) = self.controller.current_map()?;
        let demand = self.demand.as_ref().filter(|demand| is_known(demand, &figures))?;
        let arming_ms = self.arming_times.mean_ms();
        let planner = Planner::new(plan_settings(&figures, &self.settings, arming_ms));
        let (present, rates, paces) = (present.clone(), demand.rates().to_vec(), self.paces());
        let search = tokio::task::spawn_blocking(move || planner.plan(&present, &rates, &paces));
        search.await.unwrap_or_else(|error| {
            log::error!("event=planning_failed service={} error=\"{error}\"", self.service);
            None
        })
    }
}

/// Whether a demand rests on enough choices, all of them from after the last shift.
fn is_known(demand: &Demand, figures: &EngineSpec) -> bool {
    let enough = demand.rates().len() as f64 * LEAST_CHOICES_PER_EXPERT;
    demand.rates().len() == figures.sets * figures.experts && demand.weight() >= enough && !demand.is_mostly_stale()
}

/// How much longer work takes at a rank than usual; faster than usual counts as usual.
fn pace(view: &RankView) -> f64 {
    (view.pace_permille as f64 / USUAL_PACE_PERMILLE).max(1.0)
}

fn plan_settings(figures: &EngineSpec, settings: &LeaderSettings, arming_ms: f64) -> PlanSettings {
    PlanSettings {
        slots: figures.places,
        spare_slots: figures.spare,
        copy_ms: figures.expert_mb * BITS_PER_BYTE / figures.link_mbps.max(1.0) * MS_PER_S,
        switch_ms: SWITCH_MS,
        copy_slowdown: COPY_DRAG,
        copy_time_cost: COPY_COST,
        horizon_ms: settings.horizon_ms as f64,
        copy_price_ms: settings.copy_price_ms,
        least_saving_ms: (settings.least_saving_ms as f64).max(ARMING_COST * arming_ms),
    }
}
