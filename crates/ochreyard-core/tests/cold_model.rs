//! Endpoints that come back cold all at once, in a model without network: what all boxes together send them.
//!
//! Each box decides alone, and what binds is the sum within any second. Answers the load of a data centre that comes back
//! while callers wait: every box sees empty endpoints at the same moment.

mod cold_model {
    pub mod fleet;
}
mod common;
#[path = "limit_model/draws.rs"]
mod draws;

use cold_model::fleet::{Fleet, PER_S, Setting};
use proptest::prelude::*;
use rstest::rstest;

/// Requests within a second that the platform allows, with its factor and what it allows beyond.
const MOST: usize = (PER_S as f64 * 1.5 + 5.0) as usize;
/// The part of what cold endpoints bear that has to be used where callers wait.
const LEAST_USED: f64 = 0.9;

#[rstest]
#[case::a_few(8)]
#[case::dozens(38)]
#[case::a_hundred(99)]
#[case::hundreds(432)]
fn a_data_centre_that_comes_back_cold_gets_no_more_than_it_bears_and_most_of_that(#[case] boxes: usize) {
    let fleet = Fleet::new(Setting::calm(boxes, 7)).run();
    assert!(fleet.worst() <= MOST, "{} within a second, {MOST} allowed", fleet.worst());
    let used = fleet.used();
    // Beyond that, not each box that has a part has a caller.
    assert!(used >= LEAST_USED || boxes > 99, "{used:.2} of what they bear was used");
}

#[test]
fn boxes_that_bound_themselves_alone_break_it_together() {
    let fleet = Fleet::new(Setting { is_dealt: false, ..Setting::calm(38, 7) }).run();
    assert!(fleet.worst() > MOST, "{}", fleet.worst());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: common::cases(24), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_sum_keeps_to_the_bound_whatever_becomes_of_boxes(
        boxes in prop::sample::select(vec![3usize, 8, 38, 99]),
        demand in 0.2f64..6.0,
        skew in prop::sample::select(vec![1.0, 20.0]),
        restarts in 0usize..12,
        returns in 1usize..3,
        seed in any::<u64>(),
    ) {
        let setting = Setting { demand, skew, restarts, returns, ..Setting::calm(boxes, seed) };
        let worst = Fleet::new(setting).run().worst();
        prop_assert!(worst <= MOST, "{worst} within a second, {MOST} allowed");
    }
}
