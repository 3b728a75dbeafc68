//! How long the runs of a route take at the most, as far as known.

use ochreyard_core::direct::LongestRuns;

#[test]
fn the_longest_run_counts_and_fades_with_shorter_ones() {
    let mut runs = LongestRuns::default();
    assert_eq!(runs.of("a"), None);
    [200, 4_500, 300].into_iter().for_each(|took_ms| runs.record("a", took_ms));
    assert!(runs.of("a").is_some_and(|longest_ms| longest_ms > 4_400));
    assert_eq!(runs.of("b"), None, "routes differ");
    (0..400).for_each(|_| runs.record("a", 300));
    assert!(runs.of("a").is_some_and(|longest_ms| longest_ms < 400));
}
