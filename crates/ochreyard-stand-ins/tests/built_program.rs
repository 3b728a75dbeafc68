//! Tests that start a program must not start one that is older than its sources.
//!
//! Guards against runs that prove nothing: `cargo test -p ochreyard-hosted --test soak` used whatever program lay in the
//! target folder, also after a change of the code that it was to test.

use std::fs::{File, write};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use ochreyard_stand_ins::built_program::{StaleProgram, check_is_current};
use rstest::rstest;

/// When the program was built.
const BUILT: SystemTime = SystemTime::UNIX_EPOCH;

/// A folder with a program, the list of its sources, and two sources, one of which has a space in its path.
struct Target(PathBuf);

impl Target {
    fn new(name: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("ochreyard-built-program-{}-{name}", std::process::id()));
        std::fs::create_dir_all(dir.join("a folder")).unwrap();
        let target = Self(dir);
        for file in ["program", "lib.rs", "a folder/main.rs"] {
            write(target.path(file), "").unwrap();
            target.set_modified(file, BUILT);
        }
        let folder = target.0.display();
        write(target.path("program.d"), format!("{folder}/program: {folder}/lib.rs {folder}/a\\ folder/main.rs\n"))
            .unwrap();
        target
    }

    fn path(&self, file: &str) -> PathBuf {
        self.0.join(file)
    }

    fn set_modified(&self, file: &str, time: SystemTime) {
        File::options().write(true).open(self.path(file)).unwrap().set_modified(time).unwrap();
    }

    fn check(&self) -> Result<(), StaleProgram> {
        check_is_current(&self.path("program"))
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn changed_source(result: Result<(), StaleProgram>) -> PathBuf {
    match result {
        Err(StaleProgram::SourceChanged { source_file, .. }) => source_file,
        other => panic!("no source is named: {other:?}"),
    }
}

#[test]
fn a_program_that_is_newer_than_its_sources_is_current() {
    Target::new("current").check().unwrap();
}

#[rstest]
#[case::a_source("lib.rs")]
#[case::a_source_with_a_space_in_its_path("a folder/main.rs")]
fn a_program_with_a_changed_source_is_refused_by_name(#[case] file: &str) {
    let target = Target::new(&file.replace(['/', ' '], "-"));
    target.set_modified(file, BUILT + Duration::from_secs(1));
    assert_eq!(changed_source(target.check()), target.path(file));
}

#[test]
fn a_program_with_a_deleted_source_is_refused() {
    let target = Target::new("deleted");
    std::fs::remove_file(target.path("lib.rs")).unwrap();
    assert_eq!(changed_source(target.check()), target.path("lib.rs"));
}

#[rstest]
#[case::program("program")]
#[case::list("program.d")]
fn a_missing_program_is_refused_with_the_command_that_builds_it(#[case] file: &str) {
    let target = Target::new(&format!("missing-{file}"));
    std::fs::remove_file(target.path(file)).unwrap();
    let refusal = target.check().unwrap_err();
    assert!(matches!(&refusal, StaleProgram::Unreadable { path, .. } if path == Path::new(&target.path(file))));
    assert!(refusal.to_string().contains("run `cargo build --workspace --examples`"), "{refusal}");
}
