//! Routing prefers what is alive, idle and holds the prompt.

use ochreyard_core::membership::Health;
use ochreyard_core::routing::{Candidate, Policy, choose, choose_by};
use rstest::rstest;

fn busy(own: u32) -> Candidate {
    Candidate { own_in_flight: own, slots: 4, mean_run_ms: 100, prefill_ms: 50, ..Candidate::default() }
}

#[test]
fn nobody_is_picked_from_nobody() {
    assert_eq!(choose(&[], 1), None);
}

#[rstest]
#[case::idle([busy(8), busy(0), busy(8)], 1)]
#[case::holder([busy(0), busy(0), Candidate { cached_permille: 800, ..busy(0) }], 2)]
#[case::holder_but_full([busy(0), busy(3), Candidate { cached_permille: 800, ..busy(12) }], 0)]
#[case::alive([Candidate { health: Health::Suspect, ..busy(0) }, busy(9), busy(12)], 1)]
#[case::others_work_there([Candidate { reported_running: 8, ..busy(0) }, busy(1), busy(8)], 1)]
fn the_shortest_predicted_wait_wins(#[case] candidates: [Candidate; 3], #[case] picked: usize) {
    for seed in 0..20 {
        assert_eq!(choose(&candidates, seed), Some(picked));
    }
}

#[test]
fn own_requests_in_a_report_are_not_counted_twice() {
    let reported = Candidate { own_in_flight_at_report: 4, reported_running: 4, ..busy(4) };
    assert_eq!(reported.predicted_wait_us(0), busy(4).predicted_wait_us(0));
}

#[test]
fn an_old_report_says_less_than_a_fresh_one() {
    let fresh = Candidate { reported_running: 8, ..busy(0) };
    let old = Candidate { report_age_ms: 2_000, ..fresh };
    assert!(old.predicted_wait_us(1_000) < fresh.predicted_wait_us(1_000));
}

#[test]
fn among_many_the_pick_is_spread_and_good() {
    let candidates: Vec<Candidate> = (0..1_000).map(|at| busy(if at % 5 == 0 { 0 } else { 6 })).collect();
    let picks: std::collections::BTreeSet<usize> = (0..100).filter_map(|seed| choose(&candidates, seed)).collect();
    // One in five is idle, so 64 samples miss them all in less than one of a million picks.
    assert!(picks.iter().all(|at| at % 5 == 0));
    assert!(picks.len() > 20);
}

#[test]
fn round_robin_takes_turns() {
    let candidates = [busy(0), busy(0), busy(0)];
    let picks: Vec<_> = (0..4).filter_map(|turn| choose_by(Policy::RoundRobin, &candidates, 7, turn)).collect();
    assert_eq!(picks, [0, 1, 2, 0]);
}
