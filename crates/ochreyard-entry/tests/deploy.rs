//! The settings files that the platform fills, with figures that have a fraction.

use std::process::Command;

use rstest::rstest;

/// Fills the template as the platform does, each figure as given.
fn filled(template: &str, figure: &str) -> String {
    let mut text = String::new();
    // Marks of a section that is there if its figure is given stand on lines of their own.
    let is_mark = |line: &&str| line.starts_with("{{#") || line.starts_with("{{/");
    for line in template.lines().filter(|line| !is_mark(line)) {
        let Some((field, gap)) = line.split_once(": ").filter(|(_, gap)| gap.contains("{{")) else {
            text.push_str(line);
            text.push('\n');
            continue;
        };
        let value = match gap {
            gap if gap.contains("ratio") => "0.2".to_owned(),
            gap if gap.contains("bounds.") || gap.contains("limits.") => figure.to_owned(),
            gap if gap.contains("zones") => "[\"hall=region\"]".to_owned(),
            gap if gap.contains("seeds") => "[\"127.0.0.1:7000\"]".to_owned(),
            gap if gap.contains("ip}}") || gap.contains("listen") || gap.contains("address") => {
                "\"127.0.0.1:7000\"".to_owned()
            }
            _ => "\"some-name\"".to_owned(),
        };
        text.push_str(&format!("{field}: {value}\n"));
    }
    text
}

#[rstest]
#[case::whole("600")]
#[case::with_a_fraction("537.333")]
fn every_figure_of_the_platform_may_have_a_fraction(#[case] figure: &str) {
    let text = filled(include_str!("../../../deploy/entry.yaml"), figure);
    let file = std::env::temp_dir().join(format!("ochreyard-filled-{figure}-{}.yaml", std::process::id()));
    std::fs::write(&file, &text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_ochreyard")).args(["check", "--direct"]).arg(&file).output().unwrap();
    std::fs::remove_file(&file).unwrap();
    assert!(output.status.success(), "{text}\n{}", String::from_utf8_lossy(&output.stderr));
}
