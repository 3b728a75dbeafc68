//! Parsing of `Retry-After` values in all forms that peers may send.

use ochreyard_core::direct::parse_backoff_ms;
use ochreyard_core::retry_after::{MAX_RETRY_AFTER_MS, ParseRetryAfterError, parse_ms};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::whole("3", Ok(3_000))]
#[case::fraction("0.25", Ok(250))]
#[case::less_than_a_millisecond("0.0001", Ok(1))]
#[case::blanks(" 1.5 ", Ok(1_500))]
#[case::zero("0", Ok(0))]
#[case::minus_zero("-0", Ok(0))]
#[case::exponent("1e1", Ok(10_000))]
#[case::very_large("1e300", Ok(MAX_RETRY_AFTER_MS))]
#[case::infinite("inf", Ok(MAX_RETRY_AFTER_MS))]
#[case::negative("-2", Err(ParseRetryAfterError::Negative))]
#[case::empty("", Err(ParseRetryAfterError::NotSeconds))]
#[case::no_number("NaN", Err(ParseRetryAfterError::NotSeconds))]
#[case::word("soon", Err(ParseRetryAfterError::NotSeconds))]
#[case::date("Wed, 21 Oct 2026 07:28:00 GMT", Err(ParseRetryAfterError::NotSeconds))]
fn a_time_is_parsed_or_rejected(#[case] value: &str, #[case] expected: Result<u64, ParseRetryAfterError>) {
    assert_eq!(parse_ms(value), expected);
}

#[rstest]
#[case::none(&[], None)]
#[case::one(&["2"], Some(2_000))]
#[case::longest_of_two_counts(&["2", "3"], Some(3_000))]
#[case::one_of_two_unreadable(&["soon", "3"], Some(3_000))]
#[case::unreadable(&["soon"], Some(1_000))]
#[case::negative(&["-1"], Some(1_000))]
#[case::zero(&["0"], Some(0))]
fn the_backoff_is_the_longest_time_that_the_endpoint_names(#[case] values: &[&str], #[case] expected: Option<u64>) {
    assert_eq!(parse_backoff_ms(values.iter().map(|value| value.as_bytes())), expected);
}

proptest! {
    #[test]
    fn any_bytes_are_parsed_without_a_panic_and_within_the_maximum(
        values in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..24), 0..4)
    ) {
        let parsed_ms = parse_backoff_ms(values.iter().map(Vec::as_slice));
        prop_assert_eq!(parsed_ms.is_some(), !values.is_empty());
        prop_assert!(parsed_ms.unwrap_or_default() <= MAX_RETRY_AFTER_MS);
    }

    #[test]
    fn every_time_in_range_is_parsed_to_the_millisecond(ms in 0..MAX_RETRY_AFTER_MS) {
        let parsed_ms = parse_ms(&format!("{:.3}", ms as f64 / 1_000.0)).unwrap();
        prop_assert!(parsed_ms.abs_diff(ms) <= 1);
    }
}
