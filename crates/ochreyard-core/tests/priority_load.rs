//! Simulates routes of three priorities that compete for a group with too few slots, with the real decisions of entries
//! on virtual time. The mix of routes is that of a deployment in which one route in six is least urgent.

mod priority_load_model;

use priority_load_model::{Load, Results, simulate};
use rstest::rstest;

/// Time of a burst: the group is in its steady state before it.
const BURST_MS: std::ops::Range<u64> = 6_000..12_000;

/// Requests per second of the routes, the most urgent first: 105 in total, for a group that serves 120. With equal priorities, bursts leave 0.95 to 0.97 of the most urgent
/// requests on time.
const PER_S: [u64; 3] = [38, 50, 17];

fn load(factors: [f64; 3], priorities: [u64; 3]) -> Load {
    Load { per_s: PER_S, priorities, factors, burst_ms: BURST_MS, large_workspace_percent: 28 }
}

/// Shares of the requests of each route that were sent on time, of those that arrived in the burst.
fn on_time(results: &Results) -> [f64; 3] {
    [0, 1, 2].map(|route| results.on_time_share(route, &BURST_MS))
}

#[test]
fn without_a_burst_requests_of_all_priorities_are_sent_on_time() {
    let shares = on_time(&simulate(&load([1.0; 3], [0, 1, 2])));
    assert!(shares.iter().all(|share| *share >= 0.99), "{shares:?}");
}

/// The least urgent requests are 2.4 times as many for 6 s, through all boxes. Guards against a burst of the least
/// urgent ones that delays the others.
#[test]
fn a_burst_of_the_least_urgent_requests_delays_only_these() {
    let shares = on_time(&simulate(&load([1.0, 1.0, 2.4], [0, 1, 2])));
    assert!(shares[0] >= 0.99 && shares[1] >= 0.99, "{shares:?}");
}

/// The most urgent requests are 1.8 times as many for 6 s. Guards against a burst that the least urgent requests take
/// slots from, and against an order in which these get nothing at all.
#[test]
fn a_burst_of_the_most_urgent_requests_is_served_on_time() {
    let results = simulate(&load([1.8, 1.0, 1.0], [0, 1, 2]));
    let shares = on_time(&results);
    assert!(shares[0] >= 0.99, "{shares:?}");
    assert!(shares[2] <= shares[1], "{shares:?}");
    let served = results.served_share(2, &BURST_MS);
    assert!(served >= 0.5, "{served} of the least urgent requests were served at all");
}

/// Guards against an order that depends on the number of a priority: only its position counts.
#[test]
fn only_the_order_of_priorities_matters() {
    let near = simulate(&load([1.8, 1.0, 1.0], [0, 1, 2]));
    let far = simulate(&load([1.8, 1.0, 1.0], [2, 7, 9]));
    assert_eq!(on_time(&near), on_time(&far));
}

/// With equal priorities no route is preferred. Guards against a difference by route or by the number of the priority.
#[rstest]
#[case::default(0)]
#[case::lowest(9)]
fn equal_priorities_are_served_alike(#[case] priority: u64) {
    let shares = on_time(&simulate(&load([1.8, 1.0, 1.0], [priority; 3])));
    let (least, most) = (shares.iter().copied().fold(1.0, f64::min), shares.iter().copied().fold(0.0, f64::max));
    assert!(most - least <= 0.1, "{shares:?}");
}

/// One workspace sends 28 of 100 requests. In a burst of all routes, the other 23 workspaces send less than their share
/// of the slots each. Guards against a large workspace that delays the others, of which 0.85 would be sent on time.
#[test]
fn a_workspace_with_28_of_100_requests_does_not_delay_the_others() {
    let results = simulate(&load([1.5; 3], [1; 3]));
    let (of_large, of_others) = results.on_time_shares_by_size(&BURST_MS);
    assert!(of_others >= 0.9, "large {of_large}, others {of_others}");
    assert!(of_large < of_others, "large {of_large}, others {of_others}");
}
