//! Scripts of the second independent review: `cases NAME RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod config;
mod crash_in_a_freeze;
mod http;
mod late_listener;
mod process;
mod slow_downloads;
mod slow_readers;
mod slow_uploads;
mod small_window;
mod stop_with_waiting;
mod store;
mod surplus_answers;

use std::time::Duration;

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, name, addr, id] = &arguments[..]
        && name == "engine"
    {
        return crash_in_a_freeze::run_engine(addr, id);
    }
    if let [_, name, addr, id] = &arguments[..]
        && name == "forking-engine"
    {
        return late_listener::run_engine(addr, id);
    }
    if let [_, name, id] = &arguments[..]
        && name == "worker"
    {
        return late_listener::run_worker(id);
    }
    let [_, name, file] = &arguments[..] else { process::unable("usage: cases NAME RECORD") };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let mut record = format!("case {name} trouble={trouble}\n");
    process::limit_time(LIMIT);
    std::panic::set_hook(Box::new(|panic| process::unable(&panic.to_string())));
    let holds = match name.as_str() {
        "surplus-answers" => surplus_answers::run(trouble, &mut record),
        "crash-in-a-freeze" => crash_in_a_freeze::run(trouble, &mut record),
        "stop-with-waiting" => stop_with_waiting::run(trouble, &mut record),
        "slow-readers" => slow_readers::run(trouble, &mut record),
        "slow-uploads" => slow_uploads::run(trouble, &mut record),
        "slow-downloads" => slow_downloads::run(trouble, &mut record),
        "late-listener" => late_listener::run(trouble, &mut record),
        _ => process::unable("no such case"),
    };
    record.push_str(if holds { "the rule held\n" } else { "the rule was broken\n" });
    if std::fs::write(file, &record).is_err() {
        process::unable("the record can't be written");
    }
    print!("{record}");
    std::process::exit(i32::from(!holds));
}
