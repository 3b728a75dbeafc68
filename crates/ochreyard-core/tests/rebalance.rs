//! The expert map stays valid, moves lower the skew, and a stalled rank is not taken for a hot one.

use ochreyard_core::rebalance::{
    BudgetedRebalancer, Placement, RebalanceSettings, SlowStepCause, diagnose_slow_steps, skew,
};
use proptest::prelude::*;
use rstest::rstest;

const EXPERTS: usize = 24;
const RANKS: usize = 6;
const SLOTS: usize = 5;

fn is_valid(placement: &Placement) -> bool {
    let ranks_are_valid = placement.ranks().iter().all(|held| {
        let mut sorted = held.clone();
        sorted.sort_unstable();
        sorted.dedup();
        sorted.len() == held.len() && held.len() <= SLOTS
    });
    let count = |expert: usize| placement.ranks().iter().filter(|held| held.contains(&expert)).count();
    let experts_are_complete =
        (0..EXPERTS).all(|expert| count(expert) >= 1 && count(expert) == placement.replicas(expert) as usize);
    ranks_are_valid && experts_are_complete
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_map_holds_each_expert_and_no_rank_holds_one_twice(
        intervals in prop::collection::vec(prop::collection::vec(0.0..100.0f64, EXPERTS), 1..12),
    ) {
        for settings in [RebalanceSettings::weigh_skew(), RebalanceSettings::weigh_moves()] {
            let mut policy = BudgetedRebalancer::new(settings, EXPERTS);
            let mut placement = Placement::even(EXPERTS, RANKS, SLOTS);
            prop_assert!(is_valid(&placement));
            for counts in &intervals {
                policy.observe(counts);
                let (next, copies) = policy.decide(&placement);
                prop_assert!(is_valid(&next));
                prop_assert!(copies <= settings.max_copies_per_interval);
                placement = next;
            }
            prop_assert!(is_valid(&Placement::greedy(&intervals[0], RANKS, SLOTS)));
        }
    }
}

#[test]
fn a_permanently_hot_expert_is_spread_and_then_nothing_moves() {
    let mut counts = vec![10.0; EXPERTS];
    counts[3] = 80.0;
    let mut policy = BudgetedRebalancer::new(RebalanceSettings::weigh_skew(), EXPERTS);
    let mut placement = Placement::even(EXPERTS, RANKS, SLOTS);
    let before = skew(&placement.rank_loads(&counts));
    let mut last_copies = 0;
    for _ in 0..60 {
        policy.observe(&counts);
        let (next, copies) = policy.decide(&placement);
        (placement, last_copies) = (next, copies);
    }
    let after = skew(&placement.rank_loads(&counts));
    assert!(after < 1.0 + (before - 1.0) / 4.0, "{before} {after}");
    assert_eq!(last_copies, 0);
}

#[rstest]
#[case::even(&[5.0, 5.1, 5.0, 4.9], &[1.0, 1.0, 1.0, 1.0], SlowStepCause::None)]
#[case::hot(&[5.0, 5.0, 9.0, 5.0], &[1.0, 1.0, 1.8, 1.0], SlowStepCause::Hot(2))]
#[case::stalled(&[5.0, 5.0, 9.0, 5.0], &[1.0, 1.0, 1.0, 1.0], SlowStepCause::Stalled(2))]
fn a_stalled_rank_is_distinguished_from_a_hot_rank(
    #[case] times: &[f64],
    #[case] loads: &[f64],
    #[case] cause: SlowStepCause,
) {
    assert_eq!(diagnose_slow_steps(times, loads), cause);
}
