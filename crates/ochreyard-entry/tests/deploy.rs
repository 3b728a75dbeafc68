//! The settings templates that the platform fills in, with numbers that have a fraction.

use std::process::Command;

use rstest::rstest;

/// Fills in the template as the platform does, with `number` for each number.
fn fill_in(template: &str, number: &str) -> String {
    let mut text = String::new();
    // The markers around an optional section are on lines of their own.
    let is_section_marker = |line: &&str| line.starts_with("{{#") || line.starts_with("{{/");
    for line in template.lines().filter(|line| !is_section_marker(line)) {
        let Some((field, placeholder)) = line.split_once(": ").filter(|(_, rest)| rest.contains("{{")) else {
            text.push_str(line);
            text.push('\n');
            continue;
        };
        let value = match placeholder {
            name if name.contains("ratio") => "0.2".to_owned(),
            name if name.contains("bounds.") || name.contains("limits.") => number.to_owned(),
            name if name.contains("zones") => "[\"hall=region\"]".to_owned(),
            name if name.contains("seeds") => "[\"127.0.0.1:7000\"]".to_owned(),
            name if name.contains("ip}}") || name.contains("listen") || name.contains("address") => {
                "\"127.0.0.1:7000\"".to_owned()
            }
            _ => "\"some-name\"".to_owned(),
        };
        text.push_str(&format!("{field}: {value}\n"));
    }
    text
}

#[rstest]
#[case::without_a_fraction("600")]
#[case::with_a_fraction("537.333")]
fn every_number_from_the_platform_may_have_a_fraction(#[case] number: &str) {
    let text = fill_in(include_str!("../../../deploy/entry.yaml"), number);
    let file = std::env::temp_dir().join(format!("ochreyard-filled-{number}-{}.yaml", std::process::id()));
    std::fs::write(&file, &text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_ochreyard")).args(["check", "--direct"]).arg(&file).output().unwrap();
    std::fs::remove_file(&file).unwrap();
    assert!(output.status.success(), "{text}\n{}", String::from_utf8_lossy(&output.stderr));
}
