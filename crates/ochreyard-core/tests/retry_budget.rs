//! The retry budget that all boxes share, over processes that end and start again in series.
//!
//! `OCHREYARD_CASES=20000 cargo test --release -p ochreyard-core --test retry_budget` draws more cases.

mod common;
mod retry_budget_model;

use ochreyard_core::direct::RetryBudgetLimits;
use proptest::prelude::*;
use retry_budget_model::{Arrivals, Fleet, Kill, Scenario, Stall};
use rstest::rstest;

const RUN_MS: u64 = 40_000;
/// Time from which requests fail: later than two windows after the start of the first processes.
const FAILING_FROM_MS: u64 = 22_000;
const LIMITS: RetryBudgetLimits = RetryBudgetLimits { ratio: 0.2, fixed: 470, window_ms: 10_000 };

/// 38 boxes with the requests and limits of a fleet of that size, all of which fail.
fn failing_fleet(kills: Vec<Kill>) -> Scenario {
    Scenario {
        limits: LIMITS,
        boxes: 38,
        requests_per_s: 6.0,
        failing_from_ms: FAILING_FROM_MS,
        failing_share: 1.0,
        kills,
        stalls: Vec::new(),
        boxes_known_after_ms: 200,
        seed: 7,
    }
}

fn run(scenario: &Scenario) -> Arrivals {
    Fleet::new(scenario.clone()).run(RUN_MS)
}

/// Kills of `share` of the boxes at each of these times after requests begin to fail.
fn kills_after_failing(times_ms: &[u64], share: f64) -> Vec<Kill> {
    times_ms.iter().map(|at_ms| Kill { at_ms: FAILING_FROM_MS + at_ms, share, down_ms: 700 }).collect()
}

/// Guards against processes that each spend a whole budget of their own within one window.
#[rstest]
#[case::none(&[], 0.0)]
#[case::once(&[3_000], 1.0)]
#[case::once_when_the_first_budget_is_spent(&[3_400], 1.0)]
#[case::twice(&[3_000, 7_000], 0.9)]
#[case::three_times(&[2_000, 4_500, 7_000], 0.9)]
#[case::again_and_again(&[1_000, 2_500, 4_000, 5_500, 7_000, 8_500], 1.0)]
#[case::just_before_the_first_window_of_new_processes_ends(&[3_400, 13_900], 1.0)]
fn boxes_that_are_killed_in_series_keep_to_the_shared_retry_budget(#[case] times_ms: &[u64], #[case] share: f64) {
    let max_excess = run(&failing_fleet(kills_after_failing(times_ms, share))).max_excess(LIMITS);
    assert!(max_excess <= 0.0, "{max_excess:.1} retries above the bound");
}

/// Guards against a new process that has the whole ratio of its requests again, while the process before it has spent what
/// the requests of a whole window had added.
#[test]
fn boxes_that_are_killed_right_after_a_burst_of_retries_keep_to_the_shared_retry_budget() {
    let scenario = Scenario { failing_share: 4.0, ..failing_fleet(kills_after_failing(&[1_300], 1.0)) };
    let max_excess = run(&scenario).max_excess(LIMITS);
    assert!(max_excess <= 0.0, "{max_excess:.1} retries above the bound");
}

/// Guards against retries that are sent over more than a window, and arrive within one: their endpoints read nothing for a
/// while.
#[rstest]
#[case::short(9_000, 900, 1.0)]
#[case::long(7_000, 3_000, 1.0)]
#[case::long_after_a_burst(7_000, 3_000, 4.0)]
#[case::as_requests_begin_to_fail(0, 3_000, 4.0)]
#[case::longer_than_a_window(1_000, 12_000, 1.0)]
fn retries_that_arrive_late_keep_to_the_shared_retry_budget(
    #[case] after_ms: u64,
    #[case] for_ms: u64,
    #[case] failing_share: f64,
) {
    let stalls = vec![Stall { from_ms: FAILING_FROM_MS + after_ms, for_ms }];
    let scenario = Scenario { stalls, failing_share, ..failing_fleet(Vec::new()) };
    let max_excess = run(&scenario).max_excess(LIMITS);
    assert!(max_excess <= 0.0, "{max_excess:.1} retries above the bound");
}

/// Guards against retries of killed processes that arrive beside those of the next ones, which know nothing of them.
#[rstest]
#[case::early(500)]
#[case::late(2_500)]
fn boxes_that_are_killed_while_their_endpoints_read_nothing_keep_to_the_shared_retry_budget(
    #[case] kill_after_ms: u64,
) {
    let stalls = vec![Stall { from_ms: FAILING_FROM_MS, for_ms: 3_000 }];
    let kills = kills_after_failing(&[kill_after_ms], 1.0);
    let scenario = Scenario { stalls, failing_share: 4.0, ..failing_fleet(kills) };
    let max_excess = run(&scenario).max_excess(LIMITS);
    assert!(max_excess <= 0.0, "{max_excess:.1} retries above the bound");
}

/// Guards against a budget that keeps to its bound by giving out little.
#[rstest]
#[case::first_window_without_kills(&[], 0.0, 0, 0.85)]
#[case::second_window_without_kills(&[], 0.0, 8_000, 0.8)]
#[case::first_window_of_new_processes(&[0], 1.0, 700, 0.4)]
#[case::second_window_of_new_processes(&[0], 1.0, 8_000, 0.6)]
fn boxes_use_most_of_the_shared_retry_budget(
    #[case] times_ms: &[u64],
    #[case] share: f64,
    #[case] from_ms: u64,
    #[case] least_share: f64,
) {
    let scenario = failing_fleet(kills_after_failing(times_ms, share));
    let from_ms = FAILING_FROM_MS + from_ms;
    let used_share = run(&scenario).used_share(LIMITS, from_ms + LIMITS.window_ms);
    assert!(used_share >= least_share, "{used_share:.2} of the budget was used");
}

prop_compose! {
    fn any_kill()(at_ms in 0..RUN_MS, share in 0.1f64..1.0, down_ms in 100u64..2_500) -> Kill {
        Kill { at_ms, share, down_ms }
    }
}

prop_compose! {
    fn any_stall()(from_ms in 0..RUN_MS, for_ms in 100u64..3_000) -> Stall {
        Stall { from_ms, for_ms }
    }
}

prop_compose! {
    fn any_scenario()(
        fixed in 40u64..1_100,
        boxes in 1usize..60,
        requests_per_s in 0.2f64..25.0,
        failing_from_ms in 0u64..30_000,
        failing_share in 0.2f64..3.0,
        kills in proptest::collection::vec(any_kill(), 0..12),
        stalls in proptest::collection::vec(any_stall(), 0..4),
        boxes_known_after_ms in 0u64..2_000,
        seed in any::<u64>(),
    ) -> Scenario {
        let limits = RetryBudgetLimits { fixed, ..LIMITS };
        Scenario {
            limits, boxes, requests_per_s, failing_from_ms, failing_share, kills, stalls, boxes_known_after_ms,
            seed
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(common::cases(48)))]

    #[test]
    fn any_series_of_kills_keeps_the_shared_retry_budget(scenario in any_scenario()) {
        let max_excess = run(&scenario).max_excess(scenario.limits);
        prop_assert!(max_excess <= 0.0, "{max_excess:.1} retries above the bound");
    }
}
