//! The selections between two readings of an engine's cumulative counts.

use ochreyard_rank::SelectionTotals;
use rstest::rstest;

#[rstest]
#[case::same_incarnation(5, &[10, 4], &[12, 9], &[2, 5])]
#[case::restarted_with_lower_counts(6, &[10, 4], &[3, 1], &[3, 1])]
#[case::restarted_with_higher_counts(6, &[10, 4], &[12, 9], &[12, 9])]
fn counts_of_an_earlier_incarnation_are_not_subtracted(
    #[case] started_ms: u64,
    #[case] before: &[u64],
    #[case] now: &[u64],
    #[case] expected: &[u64],
) {
    let totals = |started_ms, counts: &[u64]| SelectionTotals { epoch: 1, started_ms, counts: counts.to_vec() };
    assert_eq!(totals(started_ms, now).since(&totals(5, before)), expected);
}
