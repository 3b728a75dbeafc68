//! Answers without a length at an engine that crashes while it sends them.
//!
//! A whole stream has 26 events, a whole plain answer 800 bytes. The rule is broken if a caller gets a success that ends
//! as complete, by its framing, but lacks a part, or a stream that holds an event twice.

use std::fmt::Write as _;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::engine::record;
use crate::process::{free_addr, Entry, Folder, Process};
use crate::store::Store;
use crate::streams::{Answer, End, config, send, send_plain};
use crate::Outcome;

/// What happens around the crash of the first engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scene {
    /// Callers send one stream after the other: streams end at the engine all the time, and then it crashes.
    UnderLoad,
    /// Each caller sends one stream. The engine says `draining`, serves on, and crashes before `drain_ms` is over.
    WhileDraining,
}

const CALLERS: usize = 8;
/// Callers of plain answers under load, half of them of requests that may run once.
const PLAIN_CALLERS: usize = 6;
/// Events of a whole stream, 40 ms apart.
const EVENTS: u32 = 26;
/// Offset between the starts of two callers under load, so that answers end all the time.
const STAGGER: Duration = Duration::from_millis(67);
/// How long callers send streams under load.
const LOAD: Duration = Duration::from_secs(8);
/// When the engine crashes under load, from the start of the load.
const CRASH_AT: Duration = Duration::from_secs(4);
/// When the engine says `draining`, from the start of the streams.
const DRAINING_AT: Duration = Duration::from_millis(50);
/// When the engine crashes if each caller sends one stream: a stream takes 1,040 ms.
const SINGLE_CRASH_AT: Duration = Duration::from_millis(800);
const SERVICE: &str = "trail-voice";
const ENGINES: [&str; 2] = ["i-1", "i-2"];

/// Runs the case and writes the record.
pub fn run(record_file: &str, with_trouble: bool, scene: Scene) -> Outcome {
    let folder = Folder::create();
    let store = Store::start();
    store.put("keyed.op", "config", &config());
    let exe = std::env::current_exe().unwrap();
    let addrs = [free_addr(), free_addr()];
    let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let mut engines: Vec<Process> = Vec::new();
    for (id, addr) in ENGINES.iter().zip(addrs) {
        let log = std::fs::File::create(folder.0.join(format!("{id}.log"))).unwrap();
        let mut command = Command::new(&exe);
        command
            .args(["engine", id, &addr.to_string(), "unframed"])
            .arg(folder.0.join("still"))
            .stdout(log)
            .stderr(Stdio::null());
        engines.push(Process::start(&mut command));
        store.put("keyed.servers", id, &record(SERVICE, &addr.to_string(), "ready", 1, born_ms));
    }
    let peer = free_addr();
    let entry = Entry::start(&folder.0, store.addr, "edge-wuling-hall-1", peer, &[peer]);
    if !entry.wait_until_ready(ENGINES.len()) {
        return Outcome::CouldNotRun;
    }

    let started = Instant::now();
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(scene != Scene::UnderLoad));
    let number = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|at| {
            let (answers, is_over, number) = (Arc::clone(&answers), Arc::clone(&is_over), Arc::clone(&number));
            let addr = entry.callers;
            let offset = if scene == Scene::UnderLoad { STAGGER * at as u32 } else { Duration::ZERO };
            std::thread::spawn(move || {
                std::thread::sleep(offset);
                loop {
                    let id = format!("a{:04}", number.fetch_add(1, Ordering::Relaxed));
                    let answer = send(addr, &id, EVENTS, started);
                    answers.lock().unwrap().push(answer);
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                }
            })
        })
        .collect();

    let plain_lines: Arc<Mutex<Vec<(String, bool)>>> = Arc::default();
    let plain_callers: Vec<_> = (0..if scene == Scene::UnderLoad { PLAIN_CALLERS } else { 0 })
        .map(|at| {
            let (lines, is_over, number) = (Arc::clone(&plain_lines), Arc::clone(&is_over), Arc::clone(&number));
            let (addr, route) = (entry.callers, if at % 2 == 0 { "status" } else { "tiles" });
            std::thread::spawn(move || {
                std::thread::sleep(STAGGER * at as u32);
                while !is_over.load(Ordering::Relaxed) {
                    let id = format!("p{:04}", number.fetch_add(1, Ordering::Relaxed));
                    let sent_ms = started.elapsed().as_millis();
                    let (status, is_cut) = send_plain(addr, route, &id);
                    let ended_ms = started.elapsed().as_millis();
                    let mark = if is_cut { "BROKEN, lacks a part: " } else { "" };
                    let line = format!("{id} {route} sent {sent_ms} ms, ended {ended_ms} ms: {mark}{status}");
                    lines.lock().unwrap().push((line, is_cut));
                }
            })
        })
        .collect();

    let mut events = String::new();
    let mut note = |text: &str| writeln!(events, "{:>6} ms: {text}", started.elapsed().as_millis()).unwrap();
    let sleep_until = |at: Duration| std::thread::sleep(at.saturating_sub(started.elapsed()));
    if with_trouble && scene == Scene::WhileDraining {
        sleep_until(DRAINING_AT);
        store.put("keyed.servers", ENGINES[0], &record(SERVICE, &addrs[0].to_string(), "draining", 2, born_ms));
        note("i-1 has written draining to the store");
    }
    sleep_until(if scene == Scene::UnderLoad { CRASH_AT } else { SINGLE_CRASH_AT });
    if with_trouble {
        let knows_draining = !entry.log_lines("leaving=true").is_empty();
        engines[0].signal("KILL");
        engines[0].wait();
        note(&format!("i-1 has crashed; the entry knew that it was draining: {knows_draining}"));
    }
    if scene == Scene::UnderLoad {
        sleep_until(LOAD);
    }
    is_over.store(true, Ordering::Relaxed);
    callers.into_iter().chain(plain_callers).for_each(|caller| caller.join().unwrap());

    let answers = answers.lock().unwrap();
    let mut text = String::new();
    writeln!(text, "trouble: {}, scene: {scene:?}\n{events}", u8::from(with_trouble)).unwrap();
    let mut broken = 0;
    for answer in answers.iter() {
        let is_broken = matches!(answer.end(), End::Wrong { .. });
        broken += usize::from(is_broken);
        writeln!(text, "{}", answer.line(if is_broken { "BROKEN " } else { "" })).unwrap();
    }
    let plain = plain_lines.lock().unwrap();
    let broken_plain = plain.iter().filter(|(_, is_cut)| *is_cut).count();
    plain.iter().for_each(|(line, _)| writeln!(text, "{line}").unwrap());
    for id in ENGINES {
        let log = std::fs::read_to_string(folder.0.join(format!("{id}.log"))).unwrap_or_default();
        writeln!(text, "\n{id} ran:\n{log}").unwrap();
    }
    let checks = entry.log_lines("event=endpoint_checked");
    let lost = entry.log_lines("event=attempt_failed");
    writeln!(text, "what the entry logged of its checks and failed attempts:\n{}", [checks, lost].concat().join("\n"))
        .unwrap();
    let sum = format!(
        "streams {}, of which ended as complete before the last event, or out of order: {broken}; plain answers {}, of \
         which 200 with a part of the body: {broken_plain}",
        answers.len(),
        plain.len()
    );
    writeln!(text, "\n{sum}").unwrap();
    std::fs::write(record_file, &text).unwrap();
    println!("{sum}");
    if broken + broken_plain > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
