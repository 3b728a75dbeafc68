//! When shorter steps help callers.

use ochreyard_core::direct::{Homes, Route, RouteKind, RouteTable, WeightedService};
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
    #[case] pause_aim_ms: Option<u64>,
    #[case] skew: (f64, f64),
    #[case] wanted: bool,
) {
    assert_eq!(StepTimes { step_ms, pause_aim_ms }.gain_from(skew), wanted);
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
        homes: Homes::ANY,
    }
}

#[test]
fn the_shortest_pause_aim_of_a_services_routes_counts() {
    let table = RouteTable::new(1)
        .with_route(route("/a/", &["x"], Some(150)))
        .with_route(route("/b/", &["x", "y"], Some(120)))
        .with_route(route("/c/", &["x", "z"], None));
    assert_eq!(table.pause_aim_ms("x"), Some(120));
    assert_eq!(table.pause_aim_ms("y"), Some(120));
    assert_eq!(table.pause_aim_ms("z"), None);
}
