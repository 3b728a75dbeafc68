//! An entry gets SIGTERM while it sends streams; an engine stands still for a while, and goes on.
//!
//! The rule is broken if a stream that the entry had passed on to an engine before the SIGTERM ends without its last
//! event, although no engine broke it off, its time budget was not reached, and its engine had ended it before the last
//! sixth of `grace_s`.

use std::fmt::Write as _;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::engine::{record, EVENT_PAUSE};
use crate::process::{free_addr, wait_until, Entry, Folder, Process};
use crate::store::Store;
use crate::streams::{config, send, End};
use crate::Outcome;

/// Streams that take all room at the second engine, and how long they take: until 2,740 ms after the SIGTERM.
const FILLERS: usize = 12;
const FILLER_MS: u64 = 5_200;
/// Streams at the engine that stands still, and how long they take without that.
const STREAMS: usize = 2;
const STREAM_MS: u64 = 4_000;
/// From the first filler to the streams, and to the SIGTERM.
const STREAMS_AT: Duration = Duration::from_millis(1_500);
const STOP_AT: Duration = Duration::from_millis(2_500);
/// When the engine stands still, from the SIGTERM, and for how long: under the two seconds after which clients abandon
/// a stream.
const STILL_AT: Duration = Duration::from_millis(1_430);
const STILL_FOR: Duration = Duration::from_millis(1_600);
const SERVICE: &str = "trail-voice";

/// Runs the case and writes the record.
pub fn run(record_file: &str, with_trouble: bool) -> Outcome {
    let folder = Folder::create();
    let store = Store::start();
    store.put("keyed.op", "config", &config());
    let exe = std::env::current_exe().unwrap();
    let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let addrs = [free_addr(), free_addr()];
    let still_file = |id: &str| folder.0.join(format!("still-{id}"));
    let mut engines = Vec::new();
    for (id, addr) in ["i-1", "i-2"].iter().zip(addrs) {
        let log = std::fs::File::create(folder.0.join(format!("{id}.log"))).unwrap();
        let mut command = Command::new(&exe);
        command.args(["engine", id, &addr.to_string(), "chunks"]).arg(still_file(id)).stdout(log).stderr(Stdio::null());
        engines.push(Process::start(&mut command));
    }
    // The fillers come while only the second engine has written to the store.
    store.put("keyed.servers", "i-2", &record(SERVICE, &addrs[1].to_string(), "ready", 1, born_ms));
    let peer = free_addr();
    let entry = Entry::start(&folder.0, store.addr, "edge-wuling-hall-1", peer, &[peer]);
    if !entry.wait_until_ready(1) {
        return Outcome::CouldNotRun;
    }

    let started = Instant::now();
    let sleep_until = |at: Duration| std::thread::sleep(at.saturating_sub(started.elapsed()));
    let callers = entry.callers;
    let start_streams = |kind: &str, count: usize, length_ms: u64| -> Vec<_> {
        let events = (length_ms / EVENT_PAUSE.as_millis() as u64) as u32;
        let ids = (0..count).map(|number| format!("{kind}-{number:02}"));
        ids.map(|id| std::thread::spawn(move || send(callers, &id, events, started))).collect()
    };
    let fillers = start_streams("filler", FILLERS, FILLER_MS);
    store.put("keyed.servers", "i-1", &record(SERVICE, &addrs[0].to_string(), "ready", 1, born_ms));
    if !wait_until(STREAMS_AT, || entry.log_lines("event=endpoint_known").len() >= 2) {
        return Outcome::CouldNotRun;
    }
    sleep_until(STREAMS_AT);
    let streams = start_streams("stream", STREAMS, STREAM_MS);
    let mut events = String::new();
    let mut note = |text: &str| writeln!(events, "{:>6} ms: {text}", started.elapsed().as_millis()).unwrap();
    sleep_until(STOP_AT);
    if with_trouble {
        entry.signal("TERM");
        note("the entry gets SIGTERM");
    }
    sleep_until(STOP_AT + STILL_AT);
    std::fs::write(still_file("i-1"), b"").unwrap();
    note("i-1 stands still");
    sleep_until(STOP_AT + STILL_AT + STILL_FOR);
    std::fs::remove_file(still_file("i-1")).unwrap();
    note("i-1 goes on");
    let fillers: Vec<_> = fillers.into_iter().map(|caller| caller.join().unwrap()).collect();
    let streams: Vec<_> = streams.into_iter().map(|caller| caller.join().unwrap()).collect();

    let mut text = String::new();
    writeln!(text, "trouble: {}\n{events}", u8::from(with_trouble)).unwrap();
    let mut lost = 0;
    for answer in fillers.iter().chain(&streams) {
        // No engine breaks a stream off here, and all are sent before the SIGTERM.
        let is_lost = answer.end() != End::Whole;
        lost += usize::from(is_lost);
        writeln!(text, "{}", answer.line(if is_lost { "LOST " } else { "" })).unwrap();
    }
    for id in ["i-1", "i-2"] {
        let log = std::fs::read_to_string(folder.0.join(format!("{id}.log"))).unwrap_or_default();
        writeln!(text, "\n{id}:\n{log}").unwrap();
    }
    let log: Vec<String> = ["event=entry_", "event=attempt_failed", "event=request_waited", "event=stream_broken"]
        .iter()
        .flat_map(|event| entry.log_lines(event))
        .collect();
    writeln!(text, "the entry's log:\n{}\n\nstreams {}, lost {lost}", log.join("\n"), fillers.len() + streams.len())
        .unwrap();
    std::fs::write(record_file, &text).unwrap();
    println!("streams {}, lost {lost}", fillers.len() + streams.len());
    if lost > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
