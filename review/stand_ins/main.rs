//! Stand-ins and drivers of the review's scripts.

mod engine;
mod gate;
mod http;
mod process;
mod stale_config;
mod stop_in_wait;
mod store;
mod streams;
mod unframed_crash;

use std::process::ExitCode;

use engine::{Engine, Framing};
use unframed_crash::Scene;

/// Longest time of a case.
const LONGEST: std::time::Duration = std::time::Duration::from_secs(110);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    if args.first() != Some(&"engine") {
        process::limit_time(LONGEST);
    }
    let with_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let run = || match args.as_slice() {
        ["engine", id, addr, framing, still_file] => {
            let framing = if *framing == "unframed" { Framing::None } else { Framing::Chunks };
            Engine { id: (*id).to_owned(), framing, still_file: still_file.into() }.run(addr)
        }
        ["stop-in-wait", record] => stop_in_wait::run(record, with_trouble),
        ["stale-config", record] => stale_config::run(record, with_trouble),
        ["unframed-crash-under-load", record] => unframed_crash::run(record, with_trouble, Scene::UnderLoad),
        ["unframed-crash-while-draining", record] => unframed_crash::run(record, with_trouble, Scene::WhileDraining),
        _ => Outcome::CouldNotRun,
    };
    match std::panic::catch_unwind(run) {
        Ok(Outcome::Held) => ExitCode::from(0),
        Ok(Outcome::Broken) => ExitCode::from(1),
        Ok(Outcome::CouldNotRun) | Err(_) => ExitCode::from(2),
    }
}

/// How a case ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    CouldNotRun,
}
