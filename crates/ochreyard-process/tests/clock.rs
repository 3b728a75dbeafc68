//! Time for the decisions.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ochreyard_process::{Clock, SuspensionDetector, monotonic_time, time_since_boot};

/// A source that the tests set, in milliseconds.
static NOW_MS: AtomicU64 = AtomicU64::new(5_000);

fn injected() -> Duration {
    Duration::from_millis(NOW_MS.load(Ordering::Relaxed))
}

#[test]
fn it_goes_on_with_its_source_and_never_back() {
    let clock = Clock::with_source(injected);
    let started_ms = clock.now_ms();
    NOW_MS.store(12_000, Ordering::Relaxed);
    assert_eq!(clock.now_ms(), started_ms + 7_000);
    NOW_MS.store(1_000, Ordering::Relaxed);
    assert_eq!(clock.now_ms(), started_ms);
}

#[test]
fn the_time_of_a_suspension_counts() {
    // Whatever this machine has been through, the time since its boot holds the time that it ran.
    assert!(time_since_boot() + Duration::from_millis(1) >= monotonic_time());
    let clock = Clock::start();
    let (before_us, boot) = (clock.now_us(), time_since_boot());
    let passed = || time_since_boot() - boot;
    while passed() < Duration::from_millis(5) {}
    assert!(clock.now_us() - before_us >= 4_000);
}

#[test]
fn a_suspension_is_noticed_once_and_a_short_one_is_not() {
    let ms = Duration::from_millis;
    let mut watch = SuspensionDetector::starting_at(ms(1_000), ms(91_000));
    assert_eq!(watch.observe(ms(1_200), ms(91_200)), None, "what was before the start is no news");
    assert_eq!(watch.observe(ms(1_400), ms(96_400)), Some(ms(5_000)));
    assert_eq!(watch.observe(ms(1_600), ms(96_600)), None);
    assert_eq!(watch.observe(ms(1_800), ms(97_000)), None, "200 ms");
}
