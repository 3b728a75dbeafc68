//! Burn rate of the error budget over a short and a long window.

use ochreyard_core::burn::{BurnMeter, RequestCounts, burn_rate};
use ochreyard_core::error_kind::ErrorKind;
use rstest::rstest;

const MINUTE_MS: u64 = 60_000;

#[rstest]
#[case::no_requests(0, 0, 0.0)]
#[case::exactly_the_budget(100, 5, 1.0)]
#[case::twice_the_budget(100, 10, 2.0)]
fn a_burn_rate_of_one_uses_up_exactly_the_budget(#[case] requests: u32, #[case] missed: u32, #[case] rate: f64) {
    assert!((burn_rate(RequestCounts { requests, missed }, 950) - rate).abs() < 1e-9);
}

#[test]
fn requests_leave_the_short_window_before_the_long_one() {
    let mut meter = BurnMeter::default();
    meter.record(Some(ErrorKind::Overloaded), false, MINUTE_MS);
    meter.record(None, true, MINUTE_MS);
    meter.record(None, false, MINUTE_MS);
    let all = RequestCounts { requests: 3, missed: 2 };
    assert_eq!((meter.short_window(2 * MINUTE_MS), meter.long_window(2 * MINUTE_MS)), (all, all));
    assert_eq!((meter.short_window(8 * MINUTE_MS), meter.long_window(8 * MINUTE_MS)), (RequestCounts::default(), all));
    assert_eq!(meter.long_window(70 * MINUTE_MS), RequestCounts::default());
    assert_eq!(meter.spent_by(), [("overloaded".to_owned(), 1), ("late".to_owned(), 1)]);
}
