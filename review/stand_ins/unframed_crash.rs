//! Streams without a length at an engine that crashes while it sends them.
//!
//! A whole stream has 26 events. The rule is broken if a caller gets a stream that ends as complete, by its framing,
//! before the last event, or that lacks an event or holds one twice.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::Outcome;
use crate::engine::{EVENTS, event_text, record};
use crate::http::{self, Message};
use crate::process::{Entry, Folder, Process, free_addr};
use crate::store::Store;

/// What happens around the crash of the first engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scene {
    /// Callers send one stream after the other: streams end at the engine all the time, and then it crashes.
    UnderLoad,
    /// Each caller sends one stream. The engine says `draining`, serves on, and crashes before `drain_ms` is over.
    WhileDraining,
    /// Each caller sends one stream, and the engine crashes. Nothing else happens: for comparison.
    Alone,
}

const CALLERS: usize = 8;
/// How long callers send streams under load.
const LOAD: Duration = Duration::from_secs(8);
/// When the engine crashes under load, from the start of the load.
const CRASH_AT: Duration = Duration::from_secs(4);
/// When the engine says `draining`, from the start of the streams.
const DRAINING_AT: Duration = Duration::from_millis(50);
/// When the engine crashes if each caller sends one stream: a stream takes 1,040 ms.
const SINGLE_CRASH_AT: Duration = Duration::from_millis(800);
/// Time budget of a request.
const DEADLINE: Duration = Duration::from_millis(8_000);
const ENGINES: [&str; 2] = ["i-1", "i-2"];

struct Answer {
    id: String,
    sent_ms: u128,
    ended_ms: u128,
    message: Option<Message>,
}

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
        command.args(["engine", id, &addr.to_string()]).stdout(log).stderr(Stdio::null());
        engines.push(Process::start(&mut command));
        store.put("keyed.servers", id, &record(&addr.to_string(), "ready", 1, born_ms));
    }
    let entry = Entry::start(&folder.0, store.addr);
    if !entry.wait_until_ready(ENGINES.len()) {
        return Outcome::CouldNotRun;
    }

    let started = Instant::now();
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(scene != Scene::UnderLoad));
    let number = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (answers, is_over, number) = (Arc::clone(&answers), Arc::clone(&is_over), Arc::clone(&number));
            let addr = entry.callers;
            std::thread::spawn(move || {
                loop {
                    let id = format!("a{:04}", number.fetch_add(1, Ordering::Relaxed));
                    let answer = send(addr, id, started);
                    answers.lock().unwrap().push(answer);
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                }
            })
        })
        .collect();

    let mut events = String::new();
    let mut note = |text: &str| writeln!(events, "{:>6} ms: {text}", started.elapsed().as_millis()).unwrap();
    let sleep_until = |at: Duration| std::thread::sleep(at.saturating_sub(started.elapsed()));
    if with_trouble && scene == Scene::WhileDraining {
        sleep_until(DRAINING_AT);
        store.put("keyed.servers", ENGINES[0], &record(&addrs[0].to_string(), "draining", 2, born_ms));
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
    callers.into_iter().for_each(|caller| caller.join().unwrap());

    let answers = answers.lock().unwrap();
    let mut text = String::new();
    writeln!(text, "trouble: {}, scene: {scene:?}\n{events}", u8::from(with_trouble)).unwrap();
    let mut broken = 0;
    for answer in answers.iter() {
        let (verdict, is_broken) = judge(answer);
        broken += usize::from(is_broken);
        let mark = if is_broken { "BROKEN " } else { "" };
        writeln!(text, "{} sent {} ms, ended {} ms: {mark}{verdict}", answer.id, answer.sent_ms, answer.ended_ms)
            .unwrap();
    }
    for id in ENGINES {
        let log = std::fs::read_to_string(folder.0.join(format!("{id}.log"))).unwrap_or_default();
        writeln!(text, "\n{id} ran:\n{log}").unwrap();
    }
    let checks = entry.log_lines("event=endpoint_checked");
    let lost = entry.log_lines("event=attempt_failed");
    writeln!(text, "what the entry logged of its checks and failed attempts:\n{}", [checks, lost].concat().join("\n"))
        .unwrap();
    writeln!(text, "\nstreams {}, broken {broken}", answers.len()).unwrap();
    std::fs::write(record_file, &text).unwrap();
    println!("streams {}, of which ended as complete before the last event, or out of order: {broken}", answers.len());
    if broken > 0 { Outcome::Broken } else { Outcome::Held }
}

fn send(addr: SocketAddr, id: String, started: Instant) -> Answer {
    let sent_ms = started.elapsed().as_millis();
    let head = format!(
        "POST /check/{id} HTTP/1.1\r\nhost: survey.example\r\nx-attempt-id: {id}\r\nx-deadline-ms: {}\r\n\
         x-model: m\r\nx-token-usage: 714,156\r\nx-prompt-prefix: 5c1e07a2:40,{id}:674\r\napi-key: key-1\r\n\
         connection: close\r\n",
        DEADLINE.as_millis()
    );
    let message = http::call(addr, &head, b"is this answer valid?", DEADLINE).ok().flatten();
    Answer { id, sent_ms, ended_ms: started.elapsed().as_millis(), message }
}

/// Says how a stream ended, and whether that breaks the rule.
fn judge(answer: &Answer) -> (String, bool) {
    let Some(message) = &answer.message else { return ("channel closed without an answer".to_owned(), false) };
    let status = message.status();
    if status != 200 {
        return (format!("{status}"), false);
    }
    let body = String::from_utf8_lossy(&message.body).into_owned();
    let whole: String = (1..=EVENTS).map(event_text).collect();
    let count = body.matches("id: ").count();
    match (message.is_whole, body == whole) {
        (true, true) => (format!("200, complete, {count} events"), false),
        (false, _) if whole.starts_with(&body) => (format!("200, broken off visibly after {count} events"), false),
        (true, false) => (format!("200, ended as complete after {count} of {EVENTS} events"), true),
        (false, _) => (format!("200, events lack or stand twice: {count}"), true),
    }
}

fn config() -> String {
    r#"{"version":7,"routes":[{"name":"answer-check","host":"survey.example","path_prefix":"/check/",
        "route_type":"streaming","resumable":true,"timeout_ms":8000,"target_latency_ms":400,"gap_aim_ms":120,
        "priority":1,"service":"assist-llm","max_attempts":2,"sticky":true}],
        "services":[{"name":"assist-llm","health_path":"/healthz","max_connections":408}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
        "tenants":[{"name":"clinic","api_keys":["key-1"]}]}"#
        .to_owned()
}
