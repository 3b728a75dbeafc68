//! When shorter steps help callers.

use ochreyard_core::direct::{AllowedRegions, Route, RouteKind, RouteTable, WeightedService};
use ochreyard_core::group_map::StepTimes;
use rstest::rstest;

/// A small gain, as noise in the demand leaves all the time.
const SMALL: (f64, f64) = (1.2, 1.1);
/// What a shift of demand leaves.
const LARGE: (f64, f64) = (3.5, 1.2);

#[rstest]
#[case::well_under_the_aim(60, Some(120), SMALL, false)]
#[case::well_under_the_aim_after_a_shift(60, Some(120), LARGE, true)]
#[case::near_the_aim(72, Some(120), SMALL, true)]
#[case::over_the_aim(200, Some(120), SMALL, true)]
#[case::callers_that_name_no_aim(60, None, SMALL, true)]
#[case::steps_that_are_not_known(0, Some(120), SMALL, true)]
fn a_change_is_worth_it_near_the_aim_or_after_a_shift(
    #[case] step_ms: u64,
    #[case] target_gap_ms: Option<u64>,
    #[case] skew: (f64, f64),
    #[case] wanted: bool,
) {
    let idle = StepTimes { step_ms, mean_skew: Some(1.2), target_gap_ms, utilization: 0.0 };
    assert_eq!(idle.would_benefit(skew), wanted);
}

/// What follows the demand of a moment: many requests of a few callers.
const DRIFTED: (f64, f64) = (1.65, 1.15);

#[rstest]
#[case::steps_that_stay_far_from_the_aim(50, Some(1.4), 0.1, false)]
#[case::the_same_in_a_busy_group(50, Some(1.4), 0.5, true)]
#[case::steps_that_are_about_to_come_near_the_aim(75, Some(1.3), 0.1, true)]
#[case::a_skew_that_is_not_known_yet(50, None, 0.1, true)]
#[case::steps_near_the_aim(95, Some(1.4), 0.1, true)]
fn a_map_does_not_follow_demand_that_harms_nobody(
    #[case] step_ms: u64,
    #[case] mean_skew: Option<f64>,
    #[case] utilization: f64,
    #[case] wanted: bool,
) {
    let times = StepTimes { step_ms, mean_skew, target_gap_ms: Some(150), utilization };
    assert_eq!(times.would_benefit(DRIFTED), wanted);
}

/// A group that has just begun to work: its steps are short since hardly anything runs.
#[test]
fn a_high_skew_is_answered_before_the_load_comes() {
    let times = StepTimes { step_ms: 20, mean_skew: Some(3.7), target_gap_ms: Some(150), utilization: 0.02 };
    assert!(times.would_benefit((3.7, 1.6)));
}

fn route(prefix: &str, services: &[&str], gap_aim_ms: Option<u64>) -> Route {
    let weighted = |service: &&str| WeightedService { service: (*service).to_owned(), weight: 1 };
    Route {
        name: prefix.to_owned(),
        host: "maps.example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Stream { resumable: true },
        timeout_ms: 8_000,
        aim_ms: 400,
        gap_aim_ms,
        patience_ms: None,
        priority: 1,
        services: services.iter().map(weighted).collect(),
        max_attempts: 2,
        public: false,
        allowed_regions: AllowedRegions::ANY,
    }
}

#[test]
fn the_shortest_pause_aim_of_a_services_routes_counts() {
    let table = RouteTable::new(1)
        .with_route(route("/a/", &["x"], Some(150)))
        .with_route(route("/b/", &["x", "y"], Some(120)))
        .with_route(route("/c/", &["x", "z"], None));
    assert_eq!(table.target_gap_ms("x"), Some(120));
    assert_eq!(table.target_gap_ms("y"), Some(120));
    assert_eq!(table.target_gap_ms("z"), None);
}
