//! How many requests a group may run so that its steps stay within the gap target of its callers.

use super::order::RankView;
use super::shift_skews::ShiftSkews;
use super::step_model::{StepLoad, StepModel};
use super::step_model_error::StepModelError;

/// Least limit, as a share of the slots of the group, so that no level of requests gets nothing for long.
const MIN_SLOT_SHARE: f64 = 0.25;
/// Largest limit, as a share of the slots of the group. All levels can then use all slots.
const MAX_SLOT_SHARE: f64 = 2.0;
/// Share of the slots by which the limit is raised at a time.
const RAISE_SLOT_SHARE: f64 = 0.05;
/// Time between two raises, in milliseconds: that between two reports, so that the boxes do not fill a raised limit
/// before the leader has seen what the last raise did.
const RAISE_INTERVAL_MS: u64 = 300;
/// Mean number of running requests per rank from which steps are compared with the model. With fewer, steps may pause.
const MIN_MEASURED_RUNNING: f64 = 1.0;
/// Pace from which a rank gets no new requests and loses those that it runs, in thousandths of the usual time. Until
/// then no limit keeps its steps short.
const SLOW_PACE_PERMILLE: u64 = 1_500;
/// The pace that a rank reports at its usual speed, in thousandths.
const USUAL_PACE_PERMILLE: f64 = 1_000.0;
/// Weight of the newest round in the load of the busiest rank relative to the mean.
const BUSIEST_WEIGHT: f64 = 0.1;
/// That ratio before one was observed.
const FIRST_BUSIEST: f64 = 1.3;

/// What a polling round shows of a group.
#[derive(Debug, Clone, Copy)]
pub struct GroupObservation<'a> {
    /// Views of the ranks.
    pub views: &'a [Option<RankView>],
    /// Load of the most loaded rank relative to the mean under the present demand, with the pace of the ranks; `None`
    /// where the demand or the map is not known.
    pub skew: Option<f64>,
    /// The same without the pace of the ranks.
    pub demand_skew: Option<f64>,
}

/// Derives the stream limit of a group, one polling round at a time.
#[derive(Debug, Clone, Default)]
pub struct StreamLimit {
    epoch: Option<u64>,
    ranks: usize,
    first_step: Option<u64>,
    has_run_steps: bool,
    skew: Option<f64>,
    busiest: Option<f64>,
    shifts: ShiftSkews,
    error: StepModelError,
    limit: Option<f64>,
    changed_ms: u64,
}

impl StreamLimit {
    /// Records that the demand has shifted.
    pub fn on_shift(&mut self, now_ms: u64) {
        self.shifts.on_shift(now_ms);
        // The skew of the steps in this period is known only in part.
        self.error.drop_window();
    }

    /// Updates the limit after a polling round. Without a model or a gap target there is none.
    pub fn observe(
        &mut self,
        model: Option<&StepModel>,
        target_gap_ms: Option<u64>,
        group: &GroupObservation,
        now_ms: u64,
    ) {
        let Some((model, target_gap_ms)) = model.filter(|model| model.is_complete()).zip(target_gap_ms) else {
            *self = Self::default();
            return;
        };
        let Some(round) = RoundLoad::of(group.views) else { return };
        self.start_epoch_if_new(round.epoch);
        self.ranks = round.ranks;
        let first_step = *self.first_step.get_or_insert(round.step);
        self.has_run_steps |= round.step > first_step;
        self.skew = group.skew.or(self.skew);
        if let Some(skew) = group.demand_skew {
            self.shifts.observe(skew, now_ms);
        }
        if round.mean_running >= MIN_MEASURED_RUNNING {
            let busiest = self.busiest.get_or_insert(FIRST_BUSIEST);
            *busiest += BUSIEST_WEIGHT * (round.busiest - *busiest);
        }
        self.compare_steps(model, target_gap_ms as f64, &round, now_ms);
        self.update_limit(model, target_gap_ms as f64, &round, now_ms);
    }

    /// Returns the limit, in requests of the whole group; `None` while no step or no skew is known.
    #[must_use]
    pub fn requests(&self) -> Option<u64> {
        self.limit.map(|limit| limit.round() as u64)
    }

    /// Returns the part of the limit for this many ranks of the group. A report in which ranks are missing lacks the
    /// requests that they run; compared with the whole limit, the group would appear to have room.
    #[must_use]
    pub fn requests_of(&self, reported_ranks: usize) -> Option<u64> {
        let share = reported_ranks as f64 / self.ranks.max(1) as f64;
        self.limit.map(|limit| (limit * share.min(1.0)).round() as u64)
    }

    /// Returns the part of the gap target that modelled steps leave free, as a share of it.
    #[must_use]
    pub fn headroom(&self) -> f64 {
        self.error.headroom()
    }

    /// The steps of a group that formed anew say nothing yet, and its map is another one.
    fn start_epoch_if_new(&mut self, epoch: u64) {
        if self.epoch.replace(epoch) != Some(epoch) {
            (self.first_step, self.has_run_steps, self.skew, self.limit) = (None, false, None, None);
            self.error.drop_window();
        }
    }

    fn compare_steps(&mut self, model: &StepModel, target_gap_ms: f64, round: &RoundLoad, now_ms: u64) {
        let Some(skew) = self.skew.filter(|_| round.is_regular && round.mean_running >= MIN_MEASURED_RUNNING) else {
            self.error.drop_window();
            return;
        };
        let load = StepLoad { skew, busiest: round.busiest, pace: round.pace };
        self.error.observe(round.step, model.step_ms(round.mean_running, load), target_gap_ms, now_ms);
    }

    fn update_limit(&mut self, model: &StepModel, target_gap_ms: f64, round: &RoundLoad, now_ms: u64) {
        let Some(present_skew) = self.skew.filter(|_| self.has_run_steps) else { return };
        let skew = self.shifts.expected(now_ms).map_or(present_skew, |expected| present_skew.max(expected));
        let load = StepLoad { skew, busiest: self.busiest.unwrap_or(FIRST_BUSIEST), pace: round.pace };
        let allowed_ms = target_gap_ms * (1.0 - self.error.headroom());
        let slots = (model.slots * round.ranks as u64) as f64;
        let aim = (model.max_mean_running(allowed_ms, load) * round.ranks as f64)
            .clamp(slots * MIN_SLOT_SHARE, slots * MAX_SLOT_SHARE);
        let Some(limit) = self.limit.filter(|limit| aim > *limit) else {
            (self.limit, self.changed_ms) = (Some(aim), now_ms);
            return;
        };
        if now_ms >= self.changed_ms + RAISE_INTERVAL_MS {
            (self.limit, self.changed_ms) = (Some(aim.min(limit + slots * RAISE_SLOT_SHARE)), now_ms);
        }
    }
}

/// What the ranks of a group run, by one polling round.
#[derive(Debug, Clone, Copy)]
struct RoundLoad {
    epoch: u64,
    step: u64,
    ranks: usize,
    mean_running: f64,
    /// Running requests of the rank that runs most, relative to the mean.
    busiest: f64,
    /// Time that the work of the slowest rank takes that is not avoided, relative to the usual time.
    pace: f64,
    /// Whether all ranks are present, none is slow, and none holds the steps for a change of the map. The duration of the
    /// steps then depends on the load.
    is_regular: bool,
}

impl RoundLoad {
    /// Returns `None` where fewer than half of the ranks are known.
    fn of(views: &[Option<RankView>]) -> Option<Self> {
        let known = || views.iter().flatten();
        let count = known().count();
        if count == 0 || count * 2 < views.len() {
            return None;
        }
        let epoch = known().map(|view| view.epoch).max()?;
        let running: u64 = known().map(|view| view.running).sum();
        let most_running = known().map(|view| view.running).max()?;
        let mean_running = running as f64 / count as f64;
        let slowest = known().map(|view| view.pace_permille).filter(|pace| *pace < SLOW_PACE_PERMILLE).max();
        Some(Self {
            epoch,
            step: known().filter(|view| view.epoch == epoch).map(|view| view.step).max()?,
            ranks: views.len(),
            mean_running,
            busiest: if running > 0 { most_running as f64 / mean_running } else { 1.0 },
            pace: slowest.map_or(1.0, |pace| (pace as f64 / USUAL_PACE_PERMILLE).max(1.0)),
            is_regular: count == views.len()
                && known().all(|view| view.is_open && view.held.is_none() && view.pace_permille < SLOW_PACE_PERMILLE),
        })
    }
}
