//! A model, without network, of endpoints that all restart cold at the same moment, and of the requests that all boxes
//! together send to them.
//!
//! Each box decides alone, but the limit applies to the sum within any second. When a data centre comes back while
//! callers are waiting, every box sees idle endpoints at the same moment, and the sum of their requests overloads the
//! endpoints.

mod cold_model {
    pub mod fleet;
}
mod common;
#[path = "limit_model/random.rs"]
mod random;

use cold_model::fleet::{COLD_REQUESTS_PER_S, Fleet, Scenario};
use proptest::prelude::*;
use rstest::rstest;

/// Requests within a second that the platform allows: 1.5 times the rate, plus 5.
const MAX_PER_SECOND: usize = (COLD_REQUESTS_PER_S as f64 * 1.5 + 5.0) as usize;
/// Fraction of the cold endpoints' capacity that must be used while callers are waiting.
const MIN_USED_FRACTION: f64 = 0.9;

#[rstest]
#[case::a_few(8)]
#[case::dozens(38)]
#[case::a_hundred(99)]
#[case::hundreds(432)]
fn a_data_centre_that_restarts_cold_is_used_fully_but_not_overloaded(#[case] boxes: usize) {
    let fleet = Fleet::new(Scenario::without_faults(boxes, 7)).run();
    assert!(
        fleet.max_per_second() <= MAX_PER_SECOND,
        "{} arrivals within a second, {MAX_PER_SECOND} allowed",
        fleet.max_per_second()
    );
    let used_fraction = fleet.used_fraction();
    // With more boxes than this, some boxes with a share have no waiting caller.
    assert!(used_fraction >= MIN_USED_FRACTION || boxes > 99, "{used_fraction:.2} of the capacity was used");
}

#[test]
fn boxes_without_coordination_exceed_the_limit_together() {
    let fleet = Fleet::new(Scenario { is_shared: false, ..Scenario::without_faults(38, 7) }).run();
    assert!(fleet.max_per_second() > MAX_PER_SECOND, "{}", fleet.max_per_second());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: common::cases(24), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_sum_stays_within_the_limit_despite_restarts_of_boxes(
        boxes in prop::sample::select(vec![3usize, 8, 38, 99]),
        demand in 0.2f64..6.0,
        skew in prop::sample::select(vec![1.0, 20.0]),
        box_restarts in 0usize..12,
        endpoint_restarts in 1usize..3,
        seed in any::<u64>(),
    ) {
        let scenario = Scenario { demand, skew, box_restarts, endpoint_restarts, ..Scenario::without_faults(boxes, seed) };
        let max_per_second = Fleet::new(scenario).run().max_per_second();
        prop_assert!(max_per_second <= MAX_PER_SECOND, "{max_per_second} arrivals within a second, {MAX_PER_SECOND} allowed");
    }
}
