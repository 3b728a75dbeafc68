//! The command line: help, version, usage errors and settings.

use std::process::{Command, Output};

use rstest::rstest;

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ochreyard")).args(args).output().unwrap()
}

#[rstest]
#[case::help(&["--help"], "serve")]
#[case::help_of_a_command(&["check", "--help"], "check")]
#[case::version(&["--version"], env!("CARGO_PKG_VERSION"))]
#[case::fields(&["fields"], "data_centre")]
fn help_version_and_fields_are_printed_on_standard_output(#[case] args: &[&str], #[case] expected: &str) {
    let output = run(args);
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).contains(expected));
}

#[rstest]
#[case::no_command(&[])]
#[case::unknown_command(&["bogus"])]
#[case::no_settings(&["serve"])]
#[case::unknown_report(&["report", "heat"])]
#[case::plan_without_entry(&["plan", "x.yaml"])]
fn a_usage_error_exits_with_2_and_one_line_that_points_to_the_help(#[case] args: &[&str]) {
    let output = run(args);
    assert_eq!(output.status.code(), Some(2));
    let line = String::from_utf8_lossy(&output.stderr);
    assert_eq!(line.trim_end().lines().count(), 1);
    assert!(line.contains("ochreyard --help"), "{line}");
}

#[test]
fn check_lists_all_errors_and_prints_no_secret() {
    let dir = std::env::temp_dir().join(format!("ochreyard-cli-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let secret = dir.join("token");
    std::fs::write(&secret, "not-for-print").unwrap();
    let settings = dir.join("settings.yaml");
    let text = format!("data_centre: UPPER\npeer_token_file: {}\nlog_level: loud\nnonsense: 1\n", secret.display());
    std::fs::write(&settings, text).unwrap();
    let output = run(&["check", settings.to_str().unwrap()]);
    std::fs::remove_dir_all(&dir).unwrap();
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    for field in ["data_centre", "log_level", "nonsense", "is missing"] {
        assert!(errors.contains(field), "{field}: {errors}");
    }
    assert!(!errors.contains("not-for-print"));
}

#[rstest]
#[case::serve(&["fields"])]
#[case::direct(&["fields", "--direct"])]
fn the_settings_page_contains_the_printed_reference(#[case] args: &[&str]) {
    let table = String::from_utf8(run(args).stdout).unwrap();
    assert!(
        include_str!("../../../docs/settings.md").contains(&table),
        "run `fields` and copy its output into docs/settings.md"
    );
}

#[test]
fn check_direct_reports_errors_in_the_settings_of_a_direct_entry() {
    let file = std::env::temp_dir().join(format!("ochreyard-direct-{}.yaml", std::process::id()));
    std::fs::write(&file, "entry: e\ndata_centre: a\nrepeat_ratio: 3\n").unwrap();
    let output = run(&["check", "--direct", file.to_str().unwrap()]);
    std::fs::remove_file(&file).unwrap();
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    for expected in ["repeat_ratio", "is out of range: 3", "callers_addr", "is missing"] {
        assert!(errors.contains(expected), "{expected}: {errors}");
    }
}

/// The process reads its settings from a pipe. As long as nothing is written to the pipe, it has passed the start of
/// `main`, but does not serve yet.
#[test]
fn a_hangup_during_the_start_does_not_end_the_process() {
    let pipe = std::env::temp_dir().join(format!("ochreyard-hangup-ochreyard-{}", std::process::id()));
    let _ = std::fs::remove_file(&pipe);
    assert!(Command::new("mkfifo").arg(&pipe).status().unwrap().success());
    let mut child = Command::new(env!("CARGO_BIN_EXE_ochreyard"))
        .args(["check".as_ref(), pipe.as_os_str()])
        .stderr(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let mut settings = std::fs::OpenOptions::new().write(true).open(&pipe).unwrap();
    assert!(Command::new("kill").args(["-HUP", &child.id().to_string()]).status().unwrap().success());
    std::io::Write::write_all(&mut settings, b"bogus: 1\n").unwrap();
    drop(settings);
    assert_eq!(child.wait().unwrap().code(), Some(1), "the process must read the settings and report their errors");
    std::fs::remove_file(&pipe).unwrap();
}
