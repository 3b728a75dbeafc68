//! Limits in header values are parsed in every form, and never as a higher rate than the endpoint named.

use ochreyard_core::direct::{RequestRate, parse_limit};
use proptest::prelude::*;
use rstest::rstest;

const FALLBACK_MILLI: u64 = 200;

fn parse_milli(values: &[&str]) -> Option<u64> {
    parse_limit(values.iter().map(|value| value.as_bytes())).map(RequestRate::milli_per_s)
}

#[rstest]
#[case::no_values(&[], None)]
#[case::an_integer(&["3"], Some(3_000))]
#[case::a_fraction(&["0.25"], Some(250))]
#[case::surrounding_spaces(&[" 1.5 "], Some(1_500))]
#[case::zero(&["0"], Some(0))]
#[case::below_the_resolution(&["0.0004"], Some(0))]
#[case::rounded_down(&["1.9999"], Some(1_999))]
#[case::the_lower_of_two_values(&["4", "2"], Some(2_000))]
#[case::text(&["some"], Some(FALLBACK_MILLI))]
#[case::empty(&[""], Some(FALLBACK_MILLI))]
#[case::negative(&["-1"], Some(FALLBACK_MILLI))]
#[case::infinite(&["inf"], Some(FALLBACK_MILLI))]
#[case::not_a_number(&["NaN"], Some(FALLBACK_MILLI))]
#[case::two_numbers_in_one_value(&["4, 2"], Some(FALLBACK_MILLI))]
#[case::one_invalid_of_two(&["4", "x"], Some(FALLBACK_MILLI))]
fn a_limit_is_parsed(#[case] values: &[&str], #[case] expected_milli: Option<u64>) {
    assert_eq!(parse_milli(values), expected_milli);
}

proptest! {
    #[test]
    fn any_bytes_parse_as_a_limit(values in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..12), 1..4)) {
        prop_assert!(parse_limit(values.iter().map(Vec::as_slice)).is_some());
    }

    #[test]
    fn no_limit_is_parsed_as_a_higher_rate(milli in 0u64..1_000_000_000) {
        let rate = RequestRate::from_milli(milli);
        let parse_milli = RequestRate::parse(&rate.to_string()).unwrap();
        prop_assert!(parse_milli <= rate && parse_milli.milli_per_s() + 1 >= milli, "{parse_milli} for {rate}");
    }
}
