//! Tests that start a program must not start one that is older than its sources.
//!
//! Guards against runs that prove nothing: `cargo test -p ochreyard-hosted --test soak` used whatever program lay in the
//! target folder, also after a change of the code that it was to test.

use std::fs::{File, write};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use ochreyard_stand_ins::built_program::{StaleProgram, Workspace, check_is_current};
use rstest::rstest;
use serde_json::{Value, json};

/// When the program was built.
const BUILT: SystemTime = SystemTime::UNIX_EPOCH;

/// A workspace in which the program `serve` depends on `core`, and only its tests depend on `stand-ins`.
struct Fixture(PathBuf);

impl Fixture {
    fn new(name: &str) -> Self {
        let fixture = Self(std::env::temp_dir().join(format!("ochreyard-built-{}-{name}", std::process::id())));
        for file in
            ["core/src/deep/clock.rs", "entry/src/main.rs", "stand-ins/src/lib.rs", "stand-ins/examples/demo.rs"]
        {
            std::fs::create_dir_all(fixture.path(file).parent().unwrap()).unwrap();
            fixture.touch(file, BUILT);
        }
        fixture.touch("serve", BUILT);
        fixture.touch("demo", BUILT);
        fixture
    }

    fn path(&self, file: &str) -> PathBuf {
        self.0.join(file)
    }

    fn touch(&self, file: &str, time: SystemTime) {
        write(self.path(file), "").unwrap();
        File::options().write(true).open(self.path(file)).unwrap().set_modified(time).unwrap();
    }

    /// Describes the workspace as `cargo metadata` does.
    fn workspace(&self) -> Workspace {
        let package = |name: &str, dependencies: Value, target: &str, kind: &str, source: &str| {
            json!({"name": name, "manifest_path": self.path(name).join("Cargo.toml"), "dependencies": dependencies,
                "targets": [{"name": target, "kind": [kind], "src_path": self.path(name).join(source)}]})
        };
        let needs = |name: &str, kind: Option<&str>| json!({"name": name, "kind": kind});
        let entry = json!([needs("core", None), needs("serde", None), needs("stand-ins", Some("dev"))]);
        let packages = [
            package("core", json!([]), "core", "lib", "src/lib.rs"),
            package("entry", entry, "serve", "bin", "src/main.rs"),
            package("stand-ins", json!([needs("core", None)]), "demo", "example", "examples/demo.rs"),
        ];
        serde_json::from_value(json!({ "packages": packages })).unwrap()
    }

    fn check(&self, program: &str) -> Result<(), StaleProgram> {
        check_is_current(&self.path(program), &self.workspace().sources_of(program))
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[rstest]
#[case::nothing_changed("serve", None)]
#[case::a_package_of_its_tests("serve", Some("stand-ins/src/lib.rs"))]
#[case::a_package_that_needs_it("demo", Some("entry/src/main.rs"))]
fn a_program_that_is_newer_than_its_sources_is_current(#[case] program: &str, #[case] changed: Option<&str>) {
    let fixture = Fixture::new(&format!("current-{program}-{}", changed.is_some()));
    changed.iter().for_each(|file| fixture.touch(file, BUILT + Duration::from_secs(1)));
    fixture.check(program).unwrap();
}

#[rstest]
#[case::its_main_file("serve", "entry/src/main.rs")]
#[case::a_package_that_it_needs("serve", "core/src/deep/clock.rs")]
#[case::an_example("demo", "stand-ins/examples/demo.rs")]
fn a_program_with_a_changed_source_is_refused_by_name(#[case] program: &str, #[case] file: &str) {
    let fixture = Fixture::new(&file.replace('/', "-"));
    fixture.touch(file, BUILT + Duration::from_secs(1));
    match fixture.check(program) {
        Err(StaleProgram::SourceChanged { source_file, .. }) => assert_eq!(source_file, fixture.path(file)),
        other => panic!("no source is named: {other:?}"),
    }
}

#[test]
fn a_missing_program_is_refused_with_the_command_that_builds_it() {
    let fixture = Fixture::new("missing");
    std::fs::remove_file(fixture.path("serve")).unwrap();
    let refusal = fixture.check("serve").unwrap_err();
    assert!(
        matches!(&refusal, StaleProgram::Unreadable { program, .. } if program == Path::new(&fixture.path("serve")))
    );
    assert!(refusal.to_string().contains("run `cargo build --workspace --bins --examples`"), "{refusal}");
}
