//! Routing prefers endpoints that are alive, idle and have the prompt cached.

use ochreyard_core::membership::Health;
use ochreyard_core::routing::{Candidate, Policy, choose, choose_by};
use rstest::rstest;

fn with_load(own_in_flight: u32) -> Candidate {
    Candidate { own_in_flight, slots: 4, mean_run_ms: 100, prefill_ms: 50, ..Candidate::default() }
}

#[test]
fn no_endpoint_is_selected_without_candidates() {
    assert_eq!(choose(&[], 1), None);
}

#[rstest]
#[case::idle([with_load(8), with_load(0), with_load(8)], 1)]
#[case::cached([with_load(0), with_load(0), Candidate { cached_permille: 800, ..with_load(0) }], 2)]
#[case::cached_but_full([with_load(0), with_load(3), Candidate { cached_permille: 800, ..with_load(12) }], 0)]
#[case::alive([Candidate { health: Health::Suspect, ..with_load(0) }, with_load(9), with_load(12)], 1)]
#[case::used_by_other_entries([Candidate { reported_running: 8, ..with_load(0) }, with_load(1), with_load(8)], 1)]
fn the_shortest_predicted_wait_wins(#[case] candidates: [Candidate; 3], #[case] selected: usize) {
    for seed in 0..20 {
        assert_eq!(choose(&candidates, seed), Some(selected));
    }
}

#[test]
fn own_requests_in_a_report_are_not_counted_twice() {
    let reported = Candidate { own_in_flight_at_report: 4, reported_running: 4, ..with_load(4) };
    assert_eq!(reported.predicted_wait_us(0), with_load(4).predicted_wait_us(0));
}

#[test]
fn an_old_report_counts_less_than_a_fresh_one() {
    let fresh = Candidate { reported_running: 8, ..with_load(0) };
    let old = Candidate { report_age_ms: 2_000, ..fresh };
    assert!(old.predicted_wait_us(1_000) < fresh.predicted_wait_us(1_000));
}

#[test]
fn among_many_candidates_different_idle_ones_are_selected() {
    let candidates: Vec<Candidate> = (0..1_000).map(|index| with_load(if index % 5 == 0 { 0 } else { 6 })).collect();
    let selected: std::collections::BTreeSet<usize> = (0..100).filter_map(|seed| choose(&candidates, seed)).collect();
    // One in five is idle, so 64 samples miss all idle ones in fewer than one of a million selections.
    assert!(selected.iter().all(|index| index % 5 == 0));
    assert!(selected.len() > 20);
}

#[test]
fn round_robin_selects_each_candidate_in_turn() {
    let candidates = [with_load(0), with_load(0), with_load(0)];
    let selected: Vec<_> = (0..4).filter_map(|turn| choose_by(Policy::RoundRobin, &candidates, 7, turn)).collect();
    assert_eq!(selected, [0, 1, 2, 0]);
}
