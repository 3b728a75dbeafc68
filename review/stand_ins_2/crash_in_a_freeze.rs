//! An engine crashes and is started again while the machine of an entry is frozen.
//!
//! The engines answer streams with neither a length nor chunks, and end them with their channel. They are processes of
//! their own, so that the operating system closes their channels when they are killed.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::config;
use crate::http::{self, Answer, Connection};
use crate::process::{Entry, Process, TempFolder, free_port, unable};
use crate::store::Store;

pub const SLOTS: usize = 12;
/// Events of a stream, and the time between two of them.
pub const EVENTS: usize = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(60);
const STREAMS: usize = 12;
const ROUNDS: usize = 3;
/// From the start of the streams to the freeze, and from there to the crash.
const UNTIL_FREEZE: Duration = Duration::from_millis(800);
const UNTIL_CRASH: Duration = Duration::from_millis(100);
/// How long the engine is down.
const DOWN: Duration = Duration::from_millis(1_000);
/// Length of the freeze: within the two seconds after which clients give a silent stream up.
const FREEZE: Duration = Duration::from_millis(1_700);
pub const DEADLINE_MS: u64 = 8_000;

/// Runs one engine until it is killed. Prints a line for each run.
pub fn run_engine(addr: &str, id: &str) {
    let Ok(listener) = TcpListener::bind(addr) else { unable("an engine can't bind its address") };
    println!("listening");
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        thread::spawn(move || serve(Connection::new(stream), &id));
    }
}

pub fn serve(mut connection: Connection, own_id: &str) {
    while let Some(request) = connection.read_request() {
        if request.header("x-target-instance").is_some_and(|target| target != own_id) {
            connection.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
        } else if request.path() == "/healthz" {
            let head = format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {own_id}\r\nContent-Length: 0\r\n\r\n");
            connection.write(head.as_bytes());
        } else {
            let id = request.header("x-attempt-id").unwrap_or_default();
            let last = request.header("last-event-id").and_then(|last| last.parse::<usize>().ok()).unwrap_or(0);
            println!("{own_id} runs {id} from event {}", last + 1);
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Engine-Signature: {own_id}.{id}\r\n\
                 Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
            );
            if connection.write(head.as_bytes()) {
                (last + 1..=EVENTS).all(|number| {
                    thread::sleep(EVENT_INTERVAL);
                    connection.write(event(number).as_bytes())
                });
            }
            // The channel ends with the answer.
            return;
        }
    }
}

fn event(number: usize) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

fn whole_stream() -> String {
    (1..=EVENTS).map(event).collect()
}

/// An engine in a process of its own.
struct Engine {
    id: String,
    addr: String,
    log: Arc<Mutex<Vec<String>>>,
    process: Process,
}

impl Engine {
    fn start(id: &str, log: &Arc<Mutex<Vec<String>>>, store: &Store) -> Self {
        let addr = format!("127.0.0.1:{}", free_port("127.0.0.1"));
        let process = spawn(&addr, id, log);
        let engine = Self { id: id.to_owned(), addr, log: Arc::clone(log), process };
        engine.register(store);
        engine
    }

    fn register(&self, store: &Store) {
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        store.put("keyed.servers", &self.id, &config::engine_record(&self.addr, SLOTS, born_ms));
    }

    /// Kills the process, and starts it again under the same id after a while.
    fn crash(&mut self, store: &Store) {
        self.process.kill();
        thread::sleep(DOWN);
        self.process = spawn(&self.addr, &self.id, &self.log);
        self.register(store);
    }
}

fn spawn(addr: &str, id: &str, log: &Arc<Mutex<Vec<String>>>) -> Process {
    let program = std::env::current_exe().unwrap_or_else(|_| unable("the program's own path is unknown"));
    let mut command = Command::new(program);
    command.args(["engine", addr, id]).stdout(Stdio::piped());
    let mut process = Process::spawn(&mut command).unwrap_or_else(|| unable("an engine doesn't start"));
    let Some(output) = process.0.stdout.take() else { unable("an engine has no output") };
    let mut lines = BufReader::new(output).lines();
    if !matches!(lines.next(), Some(Ok(line)) if line == "listening") {
        unable("an engine doesn't listen");
    }
    let log = Arc::clone(log);
    thread::spawn(move || lines.map_while(Result::ok).for_each(|line| log.lock().expect("the log").push(line)));
    process
}

/// One of the two disruptions alone, `ONLY=crash` or `ONLY=freeze`, for comparison.
fn has(disruption: &str) -> bool {
    std::env::var("ONLY").map_or(true, |only| only == disruption)
}

pub fn run(trouble: bool, record: &mut String) -> bool {
    let folder = TempFolder::new();
    let store = Store::start();
    store.put("keyed.op", "config", &config::document());
    let log = Arc::default();
    let mut faulty = Engine::start("i-1", &log, &store);
    let _sound = Engine::start("i-2", &log, &store);
    let peer_port = free_port("127.0.0.10");
    let mut entry = Entry::start(&folder, 0, &store.addr, &format!("127.0.0.10:{peer_port}"), peer_port);
    entry.wait_until_ready();
    thread::sleep(Duration::from_secs(3));
    let mut broken = 0;
    for round in 0..ROUNDS {
        let started = Instant::now();
        let streams: Vec<_> = (0..STREAMS)
            .map(|number| {
                let (addr, id) = (entry.callers_addr.clone(), format!("r{round}-{number}"));
                thread::spawn(move || {
                    let request = config::request("/stream/brief", &id, DEADLINE_MS);
                    (id, http::call(&addr, &request, Duration::from_millis(DEADLINE_MS)))
                })
            })
            .collect();
        thread::sleep(UNTIL_FREEZE);
        if trouble {
            let frozen = Instant::now();
            if has("freeze") {
                entry.process.signal("STOP");
            }
            thread::sleep(UNTIL_CRASH);
            if has("crash") {
                faulty.crash(&store);
                let _ = writeln!(record, "round {round}: i-1 was down for {} ms", DOWN.as_millis());
            }
            thread::sleep(FREEZE.saturating_sub(frozen.elapsed()));
            if has("freeze") {
                entry.process.signal("CONT");
                let _ = writeln!(record, "round {round}: edge-0 was frozen for {} ms", frozen.elapsed().as_millis());
            }
        }
        for stream in streams {
            let Ok((id, answer)) = stream.join() else { continue };
            broken += usize::from(!holds(&id, &answer, record));
        }
        let _ = writeln!(record, "round {round} took {} ms", started.elapsed().as_millis());
        thread::sleep(Duration::from_secs(4));
    }
    for line in log.lock().expect("the log").iter() {
        let _ = writeln!(record, "engine {line}");
    }
    let _ = writeln!(record, "broken: {broken} of {} streams", ROUNDS * STREAMS);
    broken == 0
}

/// Records what a client got. The rule is broken if an answer looks complete and lacks events.
pub fn holds(id: &str, answer: &Answer, record: &mut String) -> bool {
    let body = String::from_utf8_lossy(&answer.body);
    let events = body.matches("id: ").count();
    let is_complete = body == whole_stream();
    let is_broken = answer.status == 200 && answer.is_whole && !is_complete;
    let verdict = if is_broken { "ORDER broken: ends as complete before its last event" } else { "holds" };
    let _ = writeln!(
        record,
        "stream {id}: status {}, first engine {:?}, {events} of {EVENTS} events, ends as complete: {}; {verdict}",
        answer.status,
        answer.header("x-engine-signature"),
        answer.is_whole
    );
    !is_broken
}
