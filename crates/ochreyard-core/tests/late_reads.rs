//! Reads after a deadline that a process may have noticed late.
//!
//! Guards against events that are discarded although they arrived in time: the 50 ms in which a stream still passes them
//! on after its deadline went by while the process was stopped again, or had no processor.

use ochreyard_core::direct::LateReads;
use rstest::rstest;

const NOTICED_MS: u64 = 100_000;

/// Counts the reads that may begin, one every `gap_ms`.
fn count_reads(gap_ms: u64) -> usize {
    let mut reads = LateReads::start(NOTICED_MS);
    (0..).map(|read| NOTICED_MS + read * gap_ms).take_while(|now_ms| reads.may_read(*now_ms)).count()
}

#[rstest]
#[case::running(1, 50)]
#[case::at_the_longest_gap_that_counts(10, 5)]
#[case::stopped_between_reads(150, 5)]
#[case::stopped_for_long_between_reads(60_000, 5)]
fn time_between_reads_counts_up_to_ten_ms(#[case] gap_ms: u64, #[case] expected_reads: usize) {
    assert_eq!(count_reads(gap_ms), expected_reads);
}

/// All that has arrived is read in one go once the process runs, however long it was stopped before.
#[test]
fn any_number_of_reads_may_follow_a_stop() {
    let mut reads = LateReads::start(NOTICED_MS);
    assert!((0..10_000).all(|_| reads.may_read(NOTICED_MS + 5_000)));
}
