//! Fingerprints identify equal requests across attempts.

use ochreyard_core::direct::Fingerprint;
use rstest::rstest;

#[test]
fn equal_requests_have_equal_fingerprints_that_round_trip_as_text() {
    let fingerprint = Fingerprint::of(&[b"resort", b"/safe/x", b"hello"]);
    assert_eq!(fingerprint, Fingerprint::of(&[b"resort", b"/safe/x", b"hello"]));
    assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
}

#[rstest]
#[case::different_workspace(&[b"other".as_slice(), b"/safe/x", b"hello"])]
#[case::different_body(&[b"resort".as_slice(), b"/safe/x", b"hello!"])]
#[case::bytes_moved_to_the_next_part(&[b"resort/".as_slice(), b"safe/x", b"hello"])]
#[case::fewer_parts(&[b"resort".as_slice(), b"/safe/xhello"])]
fn different_requests_have_different_fingerprints(#[case] parts: &[&[u8]]) {
    assert_ne!(Fingerprint::of(&[b"resort", b"/safe/x", b"hello"]), Fingerprint::of(parts));
}

#[rstest]
#[case::empty("")]
#[case::too_short("00")]
#[case::non_hexadecimal_digit("0000000000000000000000000000000g")]
#[case::a_sign("+0000000000000000000000000000000")]
#[case::non_ascii("ääääääääääääääää")]
fn invalid_texts_are_rejected(#[case] text: &str) {
    assert!(text.parse::<Fingerprint>().is_err());
}
