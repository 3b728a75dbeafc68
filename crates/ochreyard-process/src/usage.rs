//! Exit codes of the command line.

/// Exit code for wrong usage.
const WRONG_USAGE: i32 = 2;

/// Ends the process after the command line could not be read: help goes to
/// standard output with exit code 0, a fault to standard error with exit code 2.
pub fn exit_for_usage(program: &str, error: &xflags::Error) -> ! {
    if error.is_help() {
        println!("{error}");
        std::process::exit(0);
    }
    let one_line = error.to_string().replace('\n', " ");
    eprintln!("{program}: {one_line}; see `{program} --help`");
    std::process::exit(WRONG_USAGE);
}

/// Prints the version and ends the process, if that is all that was asked for.
pub fn exit_for_version(program: &str, version: &str) {
    let mut args = std::env::args().skip(1);
    if matches!((args.next().as_deref(), args.next()), (Some("--version" | "-V"), None)) {
        println!("{program} {version}");
        std::process::exit(0);
    }
}
