//! The page of error kinds says what the code does.

use ochreyard_core::error_kind::ErrorKind;

#[test]
fn the_page_of_errors_has_the_table_of_the_code() {
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
