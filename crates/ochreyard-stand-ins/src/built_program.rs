//! The programs under test, found beside the running test.

use std::io;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// Why a program does not match the sources in the working tree.
#[derive(Debug, thiserror::Error)]
pub enum StaleProgram {
    /// The program, or the list of its sources, cannot be read.
    #[error("{} cannot be read ({error}); run `cargo build --workspace --examples` first", .path.display())]
    Unreadable {
        /// The program, or the list of its sources.
        path: PathBuf,
        /// What the system reports.
        error: io::Error,
    },
    /// A source has changed, or was deleted, since the program was built.
    #[error("{} was built before {} changed; run `cargo build --workspace --examples` first", .program.display(), .source_file.display())]
    SourceChanged {
        /// The program.
        program: PathBuf,
        /// The source that has changed.
        source_file: PathBuf,
    },
}

/// Returns the path of a program that was built from the present sources, found from the path of the running test or
/// example.
///
/// Cargo does not build the programs of other packages for `cargo test -p`, so that a test would run an older program
/// unnoticed.
///
/// # Panics
///
/// Panics if the program has not been built, or a source has changed since.
#[must_use]
pub fn built_program(name: &str) -> PathBuf {
    let own_path = std::env::current_exe().expect("the running program must have a path");
    let folder = own_path.parent().expect("the path of a program has a parent");
    let program = folder.parent().unwrap_or(folder).join(name);
    if let Err(stale) = check_is_current(&program) {
        panic!("{stale}");
    }
    program
}

/// Checks that no source of a program has changed since it was built. Cargo lists the sources in a file beside the
/// program.
///
/// # Errors
///
/// When the program or the list is missing, or a source is newer than the program or missing.
pub fn check_is_current(program: &Path) -> Result<(), StaleProgram> {
    let unreadable = |path: &Path, error| StaleProgram::Unreadable { path: path.to_owned(), error };
    let built = modified(program).map_err(|error| unreadable(program, error))?;
    let list = program.with_extension("d");
    let text = std::fs::read_to_string(&list).map_err(|error| unreadable(&list, error))?;
    let is_unchanged = |source: &PathBuf| modified(source).is_ok_and(|changed| changed <= built);
    match source_files(&text).into_iter().find(|source| !is_unchanged(source)) {
        Some(source_file) => Err(StaleProgram::SourceChanged { program: program.to_owned(), source_file }),
        None => Ok(()),
    }
}

fn modified(path: &Path) -> io::Result<SystemTime> {
    path.metadata()?.modified()
}

/// Parses a list of sources as `make` reads it: `PROGRAM: SOURCE SOURCE`, with a backslash before a space in a path.
fn source_files(list: &str) -> Vec<PathBuf> {
    const ESCAPED_SPACE: &str = "\u{0}";
    let sources = list.split_once(": ").map_or("", |(_, sources)| sources).replace("\\ ", ESCAPED_SPACE);
    sources.split_whitespace().map(|source| PathBuf::from(source.replace(ESCAPED_SPACE, " "))).collect()
}
