//! The clock and the detection of suspensions.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ochreyard_process::{Clock, SuspensionDetector, deadline_ms, monotonic_time, time_since_boot};
use rstest::rstest;

/// Time of the injected source, in milliseconds.
static NOW_MS: AtomicU64 = AtomicU64::new(5_000);

fn injected() -> Duration {
    Duration::from_millis(NOW_MS.load(Ordering::Relaxed))
}

#[test]
fn the_clock_follows_its_source_and_never_goes_back_before_its_start() {
    let clock = Clock::with_source(injected);
    let started_ms = clock.now_ms();
    NOW_MS.store(12_000, Ordering::Relaxed);
    assert_eq!(clock.now_ms(), started_ms + 7_000);
    NOW_MS.store(1_000, Ordering::Relaxed);
    assert_eq!(clock.now_ms(), started_ms);
}

#[test]
fn the_clock_counts_suspended_time() {
    // The time since boot includes the time for which the box ran, whether or not it was ever suspended.
    assert!(time_since_boot() + Duration::from_millis(1) >= monotonic_time());
    let clock = Clock::start();
    let (before_us, since_boot_before) = (clock.now_us(), time_since_boot());
    let elapsed = || time_since_boot() - since_boot_before;
    while elapsed() < Duration::from_millis(5) {}
    assert!(clock.now_us() - before_us >= 4_000);
}

#[test]
fn a_suspension_is_reported_once_and_a_short_one_is_ignored() {
    let ms = Duration::from_millis;
    let mut watch = SuspensionDetector::starting_at(ms(1_000), ms(91_000));
    assert_eq!(watch.observe(ms(1_200), ms(91_200)), None, "a suspension before the start is not reported");
    assert_eq!(watch.observe(ms(1_400), ms(96_400)), Some(ms(5_000)));
    assert_eq!(watch.observe(ms(1_600), ms(96_600)), None);
    assert_eq!(watch.observe(ms(1_800), ms(97_000)), None, "200 ms is too short");
}

/// Guards against streams that are cut up to a millisecond before their callers' time is over: deadlines were counted from
/// the start of the millisecond in which a request arrived.
#[rstest]
#[case::at_the_start_of_a_millisecond(7_000)]
#[case::just_after_it(7_001)]
#[case::at_its_end(7_999)]
fn a_deadline_never_passes_early(#[case] start_us: u64) {
    let early_us =
        |duration_ms: u64| (start_us + duration_ms * 1_000).saturating_sub(deadline_ms(start_us, duration_ms) * 1_000);
    assert_eq!([early_us(0), early_us(4_000)], [0, 0]);
    assert_eq!(deadline_ms(start_us, u64::MAX), u64::MAX, "no deadline");
}
