//! Exits of the command line: wrong usage, help and version.

/// Exit code for wrong usage.
const USAGE_EXIT_CODE: i32 = 2;

/// Ends the process after the command line could not be parsed. Help is printed to standard output with exit code 0, an
/// error to standard error with exit code 2.
pub fn exit_for_usage(program: &str, error: &xflags::Error) -> ! {
    if error.is_help() {
        println!("{error}");
        std::process::exit(0);
    }
    let one_line = error.to_string().replace('\n', " ");
    eprintln!("{program}: {one_line}; see `{program} --help`");
    std::process::exit(USAGE_EXIT_CODE);
}

/// Prints the version and ends the process if `--version` or `-V` is the only argument.
pub fn exit_for_version(program: &str, version: &str) {
    let mut args = std::env::args().skip(1);
    if matches!((args.next().as_deref(), args.next()), (Some("--version" | "-V"), None)) {
        println!("{program} {version}");
        std::process::exit(0);
    }
}
