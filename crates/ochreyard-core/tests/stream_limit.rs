//! The stream limit of a group: how many requests it may run so that its steps stay within the gap target.

use ochreyard_core::group_map::{
    GroupObservation, RankView, ReportFacts, ReportSchedule, StepLoad, StepModel, StreamLimit,
};
use ochreyard_core::hash;
use rstest::rstest;

const RANKS: usize = 24;
const SLOTS: u64 = 10;
const TARGET_GAP_MS: u64 = 120;
const MODEL: StepModel =
    StepModel { passes: 7.0, base_ms: 4.84, per_request_ms: 0.435, expert_share: 0.85, slots: SLOTS };
/// Skew after a change of the map, and right after a shift of demand.
const CALM: f64 = 1.2;
const SHIFTED: f64 = 3.4;
/// Time that a step takes longer than the model says, for the prompts that it processes, in milliseconds.
const PROMPTS_MS: std::ops::Range<u64> = 5..15;
/// Time for which the skew of a shift lasts until the map fits again, in milliseconds.
const ADAPTED_AFTER_MS: u64 = 1_000;
/// Time between a shift and the round that detects it, in milliseconds.
const DETECTED_AFTER_MS: u64 = 200;

/// A group and its leader on virtual time.
struct Group {
    limit: StreamLimit,
    now_ms: u64,
    epoch: u64,
    step: u64,
    step_ends_ms: f64,
    running: u64,
    /// Time that steps take in addition, in milliseconds.
    slower_ms: u64,
    shifted_ms: Option<u64>,
    is_skew_known: bool,
    skew_by_chance: Option<f64>,
    is_held: bool,
    paces: Vec<u64>,
}

impl Group {
    fn new(running: u64) -> Self {
        Self {
            limit: StreamLimit::default(),
            now_ms: 10_000,
            epoch: 1,
            step: 1,
            step_ends_ms: 10_000.0,
            running,
            slower_ms: 0,
            shifted_ms: None,
            is_skew_known: true,
            skew_by_chance: None,
            is_held: false,
            paces: vec![1_000; RANKS],
        }
    }

    fn skew(&self) -> f64 {
        let is_shifted = self.shifted_ms.is_some_and(|shifted_ms| self.now_ms < shifted_ms + ADAPTED_AFTER_MS);
        if is_shifted { SHIFTED } else { CALM }
    }

    fn views(&self) -> Vec<Option<RankView>> {
        let view = |rank: usize| RankView {
            rank,
            size: RANKS,
            epoch: self.epoch,
            is_open: true,
            step: self.step,
            pace_permille: self.paces[rank],
            running: self.running,
            held: (self.is_held && rank == 0).then_some(self.step + 1),
            ..RankView::default()
        };
        (0..RANKS).map(|rank| Some(view(rank))).collect()
    }

    fn observe(&mut self) {
        let slowest = *self.paces.iter().max().expect("there are ranks") as f64 / 1_000.0;
        let known = self.is_skew_known.then(|| self.skew_by_chance.unwrap_or_else(|| self.skew()));
        let views = self.views();
        let group = GroupObservation { views: &views, skew: known.map(|skew| skew * slowest), demand_skew: known };
        self.limit.observe(Some(&MODEL), Some(TARGET_GAP_MS), &group, self.now_ms);
    }

    /// Runs for `for_ms` with a polling round every 100 to 130 ms.
    fn run(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.now_ms += 100 + hash::mix(self.now_ms) % 30;
            while self.step_ends_ms <= self.now_ms as f64 {
                self.step += 1;
                let load = StepLoad { skew: self.skew(), busiest: 1.3, pace: 1.0 };
                let prompts_ms = PROMPTS_MS.start + hash::mix(self.step) % (PROMPTS_MS.end - PROMPTS_MS.start);
                let extra_ms = (prompts_ms + self.slower_ms) as f64;
                self.step_ends_ms += MODEL.step_ms(self.running as f64, load) + extra_ms;
            }
            self.observe();
        }
    }

    /// Shifts the demand `count` times, with `interval_ms` between two shifts.
    fn shift_every(&mut self, interval_ms: u64, count: u64) {
        for _ in 0..count {
            self.shifted_ms = Some(self.now_ms);
            self.run(DETECTED_AFTER_MS);
            self.limit.on_shift(self.now_ms);
            self.run(interval_ms - DETECTED_AFTER_MS);
        }
    }

    /// The limit per rank.
    fn per_rank(&self) -> Option<f64> {
        self.limit.requests().map(|requests| requests as f64 / RANKS as f64)
    }
}

/// Guards against a model that differs from the engines by more than the prompts explain: measured steps, 5 to 15 ms of
/// which are prompts.
#[rstest]
#[case::requests_3(3.0, 55.0)]
#[case::requests_5(5.0, 63.0)]
#[case::requests_7(7.0, 70.0)]
#[case::requests_8(8.0, 72.0)]
fn the_model_fits_measured_steps(#[case] mean_running: f64, #[case] measured_ms: f64) {
    let prompts_ms = measured_ms - MODEL.step_ms(mean_running, StepLoad { skew: CALM, busiest: 1.3, pace: 1.0 });
    assert!((5.0..15.0).contains(&prompts_ms), "{prompts_ms}");
}

/// Guards against an inverse of the model that is off where the busiest rank uses all of its slots.
#[rstest]
#[case::few(70.0, 1.3)]
#[case::some(100.0, 1.6)]
#[case::all_slots_of_the_busiest_rank(110.0, 2.5)]
fn as_many_requests_as_the_model_allows_take_the_allowed_time(#[case] step_ms: f64, #[case] busiest: f64) {
    let load = StepLoad { skew: 2.0, busiest, pace: 1.1 };
    let most = MODEL.max_mean_running(step_ms, load);
    assert!((MODEL.step_ms(most, load) - step_ms).abs() < 0.01);
}

/// Guards against a limit that holds only once a shift has happened: who runs at that moment is late.
#[rstest]
#[case::every_2_s(2_000)]
#[case::every_4_s(4_000)]
#[case::every_8_s(8_000)]
fn while_shifts_recur_the_group_is_limited_by_the_skew_of_the_next_one(#[case] interval_ms: u64) {
    let mut group = Group::new(7);
    group.run(3_000);
    group.shift_every(interval_ms, 4);
    // Just before the next shift, with a map that fits.
    let per_rank = group.per_rank().unwrap();
    println!("shifts every {interval_ms} ms: {per_rank:.2} requests per rank, headroom {:.3}", group.limit.headroom());
    assert!((6.0..=8.0).contains(&per_rank), "{per_rank}");
    assert!(MODEL.step_ms(per_rank, StepLoad { skew: SHIFTED, busiest: 1.3, pace: 1.0 }) + 10.0 < 120.0);
}

/// Guards against a group that is limited although no shift is expected.
#[test]
fn without_shifts_the_limit_is_well_above_the_slots() {
    let mut group = Group::new(7);
    group.run(4_000);
    assert!(group.per_rank().unwrap() >= SLOTS as f64 * 1.2);
}

/// Guards against a limit that stays after the shifts have ended, and against one that ends between two of them.
#[test]
fn the_limit_ends_once_no_shift_came_for_longer_than_between_the_last_ones() {
    let mut group = Group::new(7);
    group.shift_every(4_000, 4);
    group.run(1_000);
    assert!(group.per_rank().unwrap() < 8.0, "the next shift is a second late");
    group.run(1_500);
    let first = group.per_rank().unwrap();
    assert!(first < 10.0, "the limit is raised in steps: {first}");
    group.run(6_000);
    assert!(group.per_rank().unwrap() >= SLOTS as f64 * 1.2);
}

/// Guards against boxes that fill a raised limit before the leader has seen the effect of the raise, and against a limit
/// that is lowered too late.
#[test]
fn the_limit_is_lowered_at_once_and_raised_in_steps() {
    let mut group = Group::new(7);
    group.run(3_000);
    let before = group.per_rank().unwrap();
    group.shifted_ms = Some(group.now_ms);
    group.limit.on_shift(group.now_ms);
    group.run(100);
    let lowered = group.per_rank().unwrap();
    assert!(lowered < 8.0 && before > 12.0, "{lowered} after {before}");
    let mut limits = vec![lowered];
    for _ in 0..200 {
        group.run(100);
        limits.push(group.per_rank().unwrap());
    }
    let largest_raise = limits.windows(2).map(|pair| pair[1] - pair[0]).fold(0.0, f64::max);
    assert!(largest_raise <= 0.05 * SLOTS as f64 + 0.1, "{largest_raise}");
    assert!(*limits.last().unwrap() > 12.0);
}

/// Guards against a headroom that does not follow the engines: where steps take longer than the model says, fewer
/// requests may run.
#[test]
fn slower_steps_than_modelled_lower_the_limit() {
    let mut group = Group::new(7);
    group.shift_every(2_000, 3);
    let usual = group.per_rank().unwrap();
    group.slower_ms = 15;
    group.shift_every(2_000, 8);
    let slower = group.per_rank().unwrap();
    assert!(slower < usual - 1.0, "{slower} after {usual}");
}

/// Guards against a change of the map that holds the steps and is taken for slow steps.
#[test]
fn held_steps_leave_the_headroom() {
    let mut group = Group::new(7);
    group.shift_every(2_000, 3);
    let before = group.limit.headroom();
    for _ in 0..10 {
        // No step begins for 300 ms.
        group.is_held = true;
        group.step_ends_ms = (group.now_ms + 300) as f64;
        group.run(300);
        group.is_held = false;
        group.run(500);
    }
    assert!(group.limit.headroom() <= before + 0.02, "{} after {before}", group.limit.headroom());
}

/// Guards against chance in the demand of an idle group that is taken for the skew of a shift.
#[test]
fn a_skew_long_after_a_shift_is_not_expected_again() {
    let mut group = Group::new(7);
    group.shift_every(4_000, 2);
    group.shifted_ms = None;
    let usual = group.per_rank().unwrap();
    group.skew_by_chance = Some(8.0);
    group.run(300);
    assert!(group.per_rank().unwrap() < usual - 2.0, "it counts while it lasts");
    group.skew_by_chance = None;
    group.limit.on_shift(group.now_ms);
    group.run(4_000);
    assert!(group.per_rank().unwrap() >= usual - 0.5);
}

/// Guards against a suspended leader that takes its own pause for slow steps.
#[test]
fn a_frozen_leader_keeps_the_limit() {
    let mut group = Group::new(7);
    group.shift_every(2_000, 4);
    let before = group.per_rank().unwrap();
    // The process is frozen for 3 s; the steps go on.
    group.now_ms += 3_000;
    group.limit.on_shift(group.now_ms);
    group.run(500);
    assert!((group.per_rank().unwrap() - before).abs() < 0.5);
}

/// Guards against a limit that ignores a rank that is a little slower than usual: all ranks wait for it in each step.
#[test]
fn a_slower_rank_lowers_the_limit() {
    let mut group = Group::new(7);
    group.shift_every(2_000, 4);
    let usual = group.per_rank().unwrap();
    group.paces[3] = 1_200;
    group.run(300);
    assert!(group.per_rank().unwrap() < usual - 0.5);
}

/// Guards against a group that is stopped by a rank with many times the usual pace, which loses its requests anyway:
/// the limit never falls below a quarter of the slots.
#[test]
fn the_limit_never_falls_below_a_quarter_of_the_slots() {
    let mut group = Group::new(7);
    group.shift_every(2_000, 4);
    group.paces[3] = 20_000;
    group.run(500);
    assert_eq!(group.limit.requests(), Some(RANKS as u64 * SLOTS / 4));
}

/// Guards against a limit from the time before a group formed anew, which starts with another map.
#[test]
fn after_a_new_epoch_there_is_no_limit_until_a_step_and_a_skew_are_known() {
    let mut group = Group::new(7);
    group.shift_every(2_000, 3);
    (group.epoch, group.step, group.is_skew_known) = (2, 0, false);
    group.step_ends_ms = group.now_ms as f64 + 500.0;
    group.observe();
    assert_eq!(group.limit.requests(), None);
    group.run(1_000);
    assert_eq!(group.limit.requests(), None, "the skew is not known");
    group.is_skew_known = true;
    group.run(200);
    assert!(group.limit.requests().is_some());
}

/// Guards against a limit where no caller has a gap target, or where nothing is known about the engines.
#[rstest]
#[case::no_target(Some(MODEL), None)]
#[case::no_model(None, Some(TARGET_GAP_MS))]
#[case::no_cost_of_a_request(Some(StepModel { per_request_ms: 0.0, ..MODEL }), Some(TARGET_GAP_MS))]
fn without_target_or_model_there_is_no_limit(#[case] model: Option<StepModel>, #[case] target_gap_ms: Option<u64>) {
    let mut group = Group::new(7);
    group.run(2_000);
    assert!(group.limit.requests().is_some());
    let views = group.views();
    let observation = GroupObservation { views: &views, skew: Some(CALM), demand_skew: Some(CALM) };
    group.limit.observe(model.as_ref(), target_gap_ms, &observation, group.now_ms);
    assert_eq!(group.limit.requests(), None);
}

/// Guards against boxes that learn too late that a group is nearly full, and against reports every 100 ms where they are
/// of no use.
#[rstest]
#[case::no_limit(230, None, 300)]
#[case::far_below_the_limit(150, Some(168), 300)]
#[case::near_the_limit(152, Some(168), 100)]
#[case::limit_changed_a_little(100, Some(160), 300)]
#[case::limit_changed_by_a_tenth(100, Some(151), 100)]
fn reports_are_due_earlier_near_the_limit(
    #[case] running: u64,
    #[case] stream_limit: Option<u64>,
    #[case] interval_ms: u64,
) {
    let mut schedule = ReportSchedule::default();
    let reported = ReportFacts { is_serving: true, running: 100, stream_limit: stream_limit.map(|_| 168) };
    assert!(schedule.is_due(reported, 1_000), "the first report");
    assert!(schedule.on_report(reported, 1_000));
    let facts = ReportFacts { running, stream_limit, ..reported };
    assert!(!schedule.is_due(facts, 1_000 + interval_ms - 1));
    assert!(schedule.is_due(facts, 1_000 + interval_ms));
    assert!(schedule.is_due(ReportFacts { is_serving: false, ..facts }, 1_001), "a stall is reported immediately");
}

/// Guards against boxes that take a report in which ranks are missing for that of a group with room.
#[test]
fn a_report_without_some_ranks_has_their_part_of_the_limit() {
    let mut group = Group::new(7);
    group.shift_every(2_000, 2);
    let whole = group.limit.requests().unwrap();
    assert_eq!(group.limit.requests_of(RANKS), Some(whole));
    assert!(group.limit.requests_of(RANKS * 3 / 4).unwrap().abs_diff(whole * 3 / 4) <= 1);
}
