//! What makes two attempts the same request.

use ochreyard_core::direct::Fingerprint;
use rstest::rstest;

#[test]
fn equal_parts_have_one_fingerprint_which_reads_back_from_its_text() {
    let fingerprint = Fingerprint::of(&[b"resort", b"/safe/x", b"hello"]);
    assert_eq!(fingerprint, Fingerprint::of(&[b"resort", b"/safe/x", b"hello"]));
    assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
}

#[rstest]
#[case::other_workspace(&[b"other".as_slice(), b"/safe/x", b"hello"])]
#[case::other_body(&[b"resort".as_slice(), b"/safe/x", b"hello!"])]
#[case::bytes_moved_to_the_next_part(&[b"resort/".as_slice(), b"safe/x", b"hello"])]
#[case::a_part_less(&[b"resort".as_slice(), b"/safe/xhello"])]
fn other_parts_have_another_fingerprint(#[case] parts: &[&[u8]]) {
    assert_ne!(Fingerprint::of(&[b"resort", b"/safe/x", b"hello"]), Fingerprint::of(parts));
}

#[rstest]
#[case::empty("")]
#[case::too_short("00")]
#[case::no_hexadecimal_digit("0000000000000000000000000000000g")]
#[case::a_sign("+0000000000000000000000000000000")]
#[case::no_ascii("ääääääääääääääää")]
fn other_texts_are_no_fingerprint(#[case] text: &str) {
    assert!(text.parse::<Fingerprint>().is_err());
}
