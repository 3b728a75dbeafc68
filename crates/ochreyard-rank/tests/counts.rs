//! What a rank has chosen between two readings of its counts.

use ochreyard_rank::SelectionTotals;
use rstest::rstest;

#[rstest]
#[case::the_same_life(5, &[10, 4], &[12, 9], &[2, 5])]
#[case::started_again_and_fewer_by_now(6, &[10, 4], &[3, 1], &[3, 1])]
#[case::started_again_and_more_by_now(6, &[10, 4], &[12, 9], &[12, 9])]
fn counts_of_a_life_before_are_not_taken_off(
    #[case] started_ms: u64,
    #[case] before: &[u64],
    #[case] now: &[u64],
    #[case] since: &[u64],
) {
    let counts = |started_ms, counts: &[u64]| SelectionTotals { epoch: 1, started_ms, counts: counts.to_vec() };
    assert_eq!(counts(started_ms, now).since(&counts(5, before)), since);
}
