//! Limits that endpoints name are read in all forms, and never as more than was named.

use ochreyard_core::direct::{RequestRate, parse_limit};
use proptest::prelude::*;
use rstest::rstest;

const UNREADABLE_MILLI: u64 = 200;

fn read(values: &[&str]) -> Option<u64> {
    parse_limit(values.iter().map(|value| value.as_bytes())).map(RequestRate::milli_per_s)
}

#[rstest]
#[case::nothing_named(&[], None)]
#[case::a_whole_number(&["3"], Some(3_000))]
#[case::a_fraction(&["0.25"], Some(250))]
#[case::blanks_around(&[" 1.5 "], Some(1_500))]
#[case::zero(&["0"], Some(0))]
#[case::less_than_is_kept(&["0.0004"], Some(0))]
#[case::rounded_down(&["1.9999"], Some(1_999))]
#[case::twice_takes_the_lower_one(&["4", "2"], Some(2_000))]
#[case::no_number(&["some"], Some(UNREADABLE_MILLI))]
#[case::empty(&[""], Some(UNREADABLE_MILLI))]
#[case::negative(&["-1"], Some(UNREADABLE_MILLI))]
#[case::without_end(&["inf"], Some(UNREADABLE_MILLI))]
#[case::not_a_number_by_its_name(&["NaN"], Some(UNREADABLE_MILLI))]
#[case::two_in_one(&["4, 2"], Some(UNREADABLE_MILLI))]
#[case::one_of_two_unreadable(&["4", "x"], Some(UNREADABLE_MILLI))]
fn a_limit_is_read(#[case] values: &[&str], #[case] expected_milli: Option<u64>) {
    assert_eq!(read(values), expected_milli);
}

proptest! {
    #[test]
    fn any_bytes_are_read_and_name_a_limit(values in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..12), 1..4)) {
        prop_assert!(parse_limit(values.iter().map(Vec::as_slice)).is_some());
    }

    #[test]
    fn no_limit_is_read_as_more_than_was_named(milli in 0u64..1_000_000_000) {
        let named = RequestRate::from_milli(milli);
        let read = RequestRate::parse(&named.to_string()).unwrap();
        prop_assert!(read <= named && read.milli_per_s() + 1 >= milli, "{read} for {named}");
    }
}
