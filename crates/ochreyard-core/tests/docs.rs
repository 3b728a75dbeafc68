//! The documentation of the error kinds matches the code.

use ochreyard_core::error_kind::ErrorKind;

#[test]
fn the_error_page_contains_every_row_of_the_table() {
    let page = include_str!("../../../docs/errors.md");
    for kind in ErrorKind::ALL {
        let rule = kind.rule();
        let row = format!(
            "| `{kind}` | {} | {} | {:?} | {} | {} |",
            rule.status, rule.run, rule.retry, rule.retry_after_ms, rule.advice
        );
        assert!(page.contains(&row), "docs/errors.md lacks: {row}");
    }
}
