//! Settings are checked completely, and every error names its line, field and fix.

use ochreyard_process::{FieldKind, FieldSpec, Settings, settings_reference};
use rstest::rstest;

const FIELDS: &[FieldSpec] = &[
    FieldSpec { name: "entry", kind: FieldKind::Name, default: None, about: "name" },
    FieldSpec { name: "callers_addr", kind: FieldKind::Addr, default: None, about: "address" },
    FieldSpec { name: "platform_url", kind: FieldKind::Url, default: Some("http://127.0.0.1:1"), about: "url" },
    FieldSpec { name: "poll_ms", kind: FieldKind::Number(10, 100), default: Some("50"), about: "pause" },
    FieldSpec { name: "log_level", kind: FieldKind::Choice(&["info", "debug"]), default: Some("info"), about: "level" },
];

const GOOD: &str = "entry: e-1\ncallers_addr: 127.0.0.1:80\n";

#[test]
fn defaults_apply_to_fields_that_are_not_given() {
    let settings = Settings::parse("f", GOOD, FIELDS).unwrap();
    assert_eq!(settings.text("entry"), "e-1");
    assert_eq!(settings.number("poll_ms"), 50);
    assert_eq!(settings.addr("callers_addr").port(), 80);
}

#[rstest]
#[case::unknown("poll_mss: 5", 3, "poll_mss", "did you mean `poll_ms`")]
#[case::range("poll_ms: 5", 3, "poll_ms", "a whole number from 10 to 100")]
#[case::kind("poll_ms: soon", 3, "poll_ms", "a whole number from 10 to 100")]
#[case::word("log_level: loud", 3, "log_level", "one of: info, debug")]
#[case::url("platform_url: ftp://x", 3, "platform_url", "starts with http://")]
#[case::twice("entry: e-2", 3, "(syntax)", "each field once")]
fn an_error_names_line_field_and_fix(#[case] line: &str, #[case] at: usize, #[case] field: &str, #[case] fix: &str) {
    let error = Settings::parse("f", &format!("{GOOD}{line}\n"), FIELDS).unwrap_err();
    assert_eq!(error.field_errors.len(), 1, "{:?}", error.field_errors);
    let field_error = &error.field_errors[0];
    assert_eq!((field_error.line, field_error.field.as_str()), (at, field));
    assert!(field_error.fix.contains(fix), "{}", field_error.fix);
}

#[test]
fn all_errors_are_reported_at_once() {
    let error = Settings::parse("f", "entry: E\npoll_ms: 0\nnonsense: 1\n", FIELDS).unwrap_err();
    let fields: Vec<&str> = error.field_errors.iter().map(|field_error| field_error.field.as_str()).collect();
    assert_eq!(fields, ["callers_addr", "entry", "poll_ms", "nonsense"]);
}

#[test]
fn the_reference_names_every_field_with_its_default() {
    let table = settings_reference(FIELDS);
    assert!(FIELDS.iter().all(|spec| table.contains(spec.name)));
    assert!(table.contains("`50`") && table.contains("must be given"));
}
