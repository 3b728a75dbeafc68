//! The programs under test, found beside the running test.

use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::time::SystemTime;

use serde::Deserialize;

/// Why a program does not match the sources in the working tree.
#[derive(Debug, thiserror::Error)]
pub enum StaleProgram {
    /// The program cannot be read.
    #[error("{} cannot be read ({error}); run `cargo build --workspace --bins --examples` first", .program.display())]
    Unreadable {
        /// The program.
        program: PathBuf,
        /// What the system reports.
        error: io::Error,
    },
    /// A source has changed since the program was built.
    #[error(
        "{} was built before {} changed; run `cargo build --workspace --bins --examples` first",
        .program.display(),
        .source_file.display()
    )]
    SourceChanged {
        /// The program.
        program: PathBuf,
        /// The source that has changed.
        source_file: PathBuf,
    },
}

/// The packages of a workspace, as `cargo metadata` describes them.
#[derive(Debug, Clone, Deserialize)]
pub struct Workspace {
    packages: Vec<Package>,
}

#[derive(Debug, Clone, Deserialize)]
struct Package {
    name: String,
    manifest_path: PathBuf,
    dependencies: Vec<Dependency>,
    targets: Vec<Target>,
}

#[derive(Debug, Clone, Deserialize)]
struct Dependency {
    name: String,
    /// `dev` or `build`; `None` for a normal dependency.
    kind: Option<String>,
}

#[derive(Debug, Clone, Deserialize)]
struct Target {
    name: String,
    kind: Vec<String>,
    src_path: PathBuf,
}

impl Workspace {
    /// Returns the sources of a program: its main file, and those of its package and of the packages of the workspace
    /// that it depends on.
    ///
    /// # Panics
    ///
    /// Panics if no package of the workspace has a program with this name.
    #[must_use]
    pub fn sources_of(&self, program: &str) -> Vec<PathBuf> {
        let is_program = |target: &Target| {
            target.name == program && target.kind.iter().any(|kind| kind == "bin" || kind == "example")
        };
        let mut targets =
            self.packages.iter().flat_map(|package| package.targets.iter().map(move |target| (package, target)));
        let (package, target) = targets
            .find(|(_, target)| is_program(target))
            .unwrap_or_else(|| panic!("no package of the workspace has a program called {program}"));
        let mut names = BTreeSet::new();
        self.add_dependencies(package, &mut names);
        let packages = self.packages.iter().filter(|package| names.contains(package.name.as_str()));
        let folders = packages.filter_map(|package| package.manifest_path.parent()).map(|folder| folder.join("src"));
        folders.flat_map(|folder| files_below(&folder)).chain([target.src_path.clone()]).collect()
    }

    fn add_dependencies<'a>(&'a self, package: &'a Package, names: &mut BTreeSet<&'a str>) {
        if !names.insert(&package.name) {
            return;
        }
        let is_linked = |dependency: &&Dependency| dependency.kind.as_deref() != Some("dev");
        for dependency in package.dependencies.iter().filter(is_linked) {
            if let Some(package) = self.packages.iter().find(|package| package.name == dependency.name) {
                self.add_dependencies(package, names);
            }
        }
    }
}

/// Returns the path of a program, or with the prefix `examples/` of an example, that was built from the present sources.
/// It is found from the path of the running test or example.
///
/// Cargo does not build the programs of other packages for `cargo test -p`, so that a test would run an older program
/// unnoticed.
///
/// # Panics
///
/// Panics if the program has not been built, or a source has changed since.
#[must_use]
pub fn built_program(name: &str) -> PathBuf {
    static WORKSPACE: OnceLock<Workspace> = OnceLock::new();
    let own_path = std::env::current_exe().expect("the running program must have a path");
    let folder = own_path.parent().expect("the path of a program has a parent");
    let program = folder.parent().unwrap_or(folder).join(name);
    let sources = WORKSPACE.get_or_init(read_workspace).sources_of(name.trim_start_matches("examples/"));
    if let Err(stale) = check_is_current(&program, &sources) {
        panic!("{stale}");
    }
    program
}

/// Checks that no source of a program has changed since it was built.
///
/// # Errors
///
/// When the program cannot be read, or a source is newer than the program.
pub fn check_is_current(program: &Path, sources: &[PathBuf]) -> Result<(), StaleProgram> {
    let built = modified(program).map_err(|error| StaleProgram::Unreadable { program: program.to_owned(), error })?;
    let has_changed = |source: &&PathBuf| modified(source).is_ok_and(|changed| changed > built);
    sources.iter().find(has_changed).map_or(Ok(()), |source_file| {
        Err(StaleProgram::SourceChanged { program: program.to_owned(), source_file: source_file.clone() })
    })
}

fn read_workspace() -> Workspace {
    let mut command = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
    command.args(["metadata", "--no-deps", "--offline", "--format-version", "1", "--manifest-path"]);
    let output = command.arg(concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml")).output();
    let output = output.expect("cargo must describe the workspace");
    serde_json::from_slice(&output.stdout).expect("the output of cargo metadata must be JSON")
}

fn modified(path: &Path) -> io::Result<SystemTime> {
    path.metadata()?.modified()
}

fn files_below(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let paths = entries.map(|entry| entry.path());
    paths.flat_map(|path| if path.is_dir() { files_below(&path) } else { vec![path] }).collect()
}
