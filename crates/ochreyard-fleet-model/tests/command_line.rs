//! Runs the command-line tool as a process.

use std::path::PathBuf;
use std::process::{Command, Output};

use rstest::rstest;

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fleet-model")).args(args).output().expect("the tool starts")
}

fn temp_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("fleet-model-{}-{name}", std::process::id()))
}

#[test]
fn prints_a_table_and_writes_json_and_a_plot() {
    let (json, plot) = (temp_path("figures.json"), temp_path("plot.svg"));
    let paths = [json.to_str().unwrap(), plot.to_str().unwrap()];
    let output = run(&["--boxes", "12,24", "--troubles", "none,cut_off", "--json", paths[0], "--plot", paths[1]]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let table = String::from_utf8(output.stdout).unwrap();
    assert!(table.contains("| 24 | cut_off | 0 |"), "{table}");
    let figures: serde_json::Value = serde_json::from_slice(&std::fs::read(&json).unwrap()).unwrap();
    assert_eq!(figures.as_array().map(Vec::len), Some(4));
    assert!(figures[0]["whole"]["questions"].as_u64() > Some(0));
    assert!(std::fs::read_to_string(&plot).unwrap().contains("cut_off"));
    std::fs::remove_file(json).unwrap();
    std::fs::remove_file(plot).unwrap();
}

#[rstest]
#[case::not_a_number("--boxes", "many", "--boxes: `many`")]
#[case::too_few_boxes("--boxes", "2", "from 6 to 60000")]
#[case::unknown_trouble("--troubles", "rain", "unknown trouble `rain`")]
fn invalid_arguments_are_reported_with_the_allowed_values(
    #[case] flag: &str,
    #[case] value: &str,
    #[case] message: &str,
) {
    let output = run(&[flag, value]);
    assert!(!output.status.success());
    let error = String::from_utf8_lossy(&output.stderr).replace("\n  │ ", " ");
    assert!(error.contains(message), "{error}");
}
