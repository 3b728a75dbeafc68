//! How late the runtime of a process runs its tasks, and why.

use std::time::Duration;

use ochreyard_process::{RuntimeLag, RuntimeLagDetector, ThreadTimes};
use rstest::rstest;

const INTERVAL_MS: u64 = 100;
const MIN_LAG_MS: u64 = 50;

const fn times(now_ms: u64, on_processor_ms: u64, runnable_ms: u64) -> ThreadTimes {
    ThreadTimes { now_ms, on_processor_ms, runnable_ms }
}

/// The log must tell apart why a process did not run: stopped, without a processor, or busy with a task of its own.
#[rstest]
#[case::on_time(times(1_149, 3, 40), None)]
#[case::stopped(times(2_600, 3, 1), Some((1_500, 3, 1)))]
#[case::without_a_processor(times(1_900, 4, 780), Some((800, 4, 780)))]
#[case::busy(times(1_200, 190, 2), Some((100, 190, 2)))]
fn a_late_wake_up_is_reported_with_its_reason(#[case] next: ThreadTimes, #[case] expected: Option<(u64, u64, u64)>) {
    let expected =
        expected.map(|(late_ms, on_processor_ms, runnable_ms)| RuntimeLag { late_ms, on_processor_ms, runnable_ms });
    let mut detector = RuntimeLagDetector::starting_at(INTERVAL_MS, MIN_LAG_MS, times(1_000, 0, 0));
    assert_eq!(detector.observe(next), expected);
    assert_eq!(
        detector.observe(ThreadTimes { now_ms: next.now_ms + INTERVAL_MS, ..next }),
        None,
        "a delay is reported once"
    );
}

#[test]
fn the_times_of_a_busy_thread_show_that_it_ran() {
    let mut detector = RuntimeLagDetector::start(0, 0);
    let start = std::time::Instant::now();
    while start.elapsed() < Duration::from_millis(50) {}
    let lag = detector.poll().expect("any time counts as a delay here");
    assert!(lag.late_ms >= 50, "{lag:?}");
    assert!(lag.on_processor_ms + lag.runnable_ms > 0, "{lag:?}");
}
