//! Tests when shorter steps of a group benefit its callers.

use ochreyard_core::direct::{PermittedRegions, Route, RouteKind, RouteTable, WeightedService};
use ochreyard_core::group_map::StepTimes;
use rstest::rstest;

/// A small improvement, which noise in the demand makes possible at any time.
const SMALL: (f64, f64) = (1.2, 1.1);
/// The improvement that is possible after a shift of demand.
const LARGE: (f64, f64) = (3.5, 1.2);

#[rstest]
#[case::well_below_the_target(60, Some(120), SMALL, false)]
#[case::well_below_the_target_after_a_shift(60, Some(120), LARGE, true)]
#[case::long_steps_that_stay_within_the_target(90, Some(120), SMALL, false)]
#[case::near_the_target(96, Some(120), SMALL, true)]
#[case::above_the_target(200, Some(120), SMALL, true)]
#[case::no_target(60, None, SMALL, true)]
#[case::unknown_step_time(0, Some(120), SMALL, true)]
fn a_change_is_worthwhile_near_the_target_or_after_a_shift(
    #[case] step_ms: u64,
    #[case] target_gap_ms: Option<u64>,
    #[case] skew: (f64, f64),
    #[case] expected: bool,
) {
    let idle = StepTimes { step_ms, mean_skew: Some(1.2), target_gap_ms, utilization: 0.0 };
    assert_eq!(idle.would_benefit(skew), expected);
}

/// The skew under a momentary demand, such as many requests of a few callers, and after a change for it.
const DRIFTED: (f64, f64) = (1.65, 1.15);

#[rstest]
#[case::steps_stay_far_below_the_target(50, Some(1.4), 0.1, false)]
#[case::the_same_in_a_busy_group(50, Some(1.4), 0.5, true)]
#[case::steps_are_about_to_approach_the_target(75, Some(1.3), 0.1, true)]
#[case::the_skew_is_not_known_yet(50, None, 0.1, true)]
#[case::steps_are_near_the_target(95, Some(1.4), 0.1, true)]
fn a_map_does_not_follow_demand_that_makes_no_stream_late(
    #[case] step_ms: u64,
    #[case] mean_skew: Option<f64>,
    #[case] utilization: f64,
    #[case] expected: bool,
) {
    let times = StepTimes { step_ms, mean_skew, target_gap_ms: Some(150), utilization };
    assert_eq!(times.would_benefit(DRIFTED), expected);
}

/// A group that has just started: its steps are short since few requests are running.
#[test]
fn a_high_skew_is_corrected_before_the_load_arrives() {
    let times = StepTimes { step_ms: 20, mean_skew: Some(3.7), target_gap_ms: Some(150), utilization: 0.02 };
    assert!(times.would_benefit((3.7, 1.6)));
}

fn route(prefix: &str, services: &[&str], target_gap_ms: Option<u64>) -> Route {
    let weighted = |service: &&str| WeightedService { service: (*service).to_owned(), weight: 1 };
    Route {
        name: prefix.to_owned(),
        host: "maps.example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Stream { resumable: true },
        timeout_ms: 8_000,
        target_latency_ms: 400,
        target_gap_ms,
        patience_ms: None,
        priority: 1,
        services: services.iter().map(weighted).collect(),
        max_attempts: 2,
        public: false,
        permitted_regions: PermittedRegions::ANY,
    }
}

#[test]
fn the_smallest_gap_target_of_a_services_routes_applies() {
    let table = RouteTable::new(1)
        .with_route(route("/a/", &["x"], Some(150)))
        .with_route(route("/b/", &["x", "y"], Some(120)))
        .with_route(route("/c/", &["x", "z"], None));
    assert_eq!(table.target_gap_ms("x"), Some(120));
    assert_eq!(table.target_gap_ms("y"), Some(120));
    assert_eq!(table.target_gap_ms("z"), None);
}
