//! Engines that send an answer twice: the second copy comes late, at the point where the next answer is due.
//!
//! All engines are sound but for that. They shed what finds no place, liveness checks included. The trouble is limited
//! to the copies of shed liveness checks, well under the share of answers that may be spoiled.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::config;
use crate::http::{self, Connection};
use crate::process::{Entry, TempFolder, free_port};
use crate::store::Store;

const ENGINES: usize = 16;
/// Engines that send surplus answers: nine of sixteen, within the largest share (0.6) of the site's days.
const FAULTY_ENGINES: usize = 9;
/// Largest share of its answers that a faulty engine repeats.
const MAX_SHARE: f64 = 0.05;
const SLOTS: usize = 6;
const QUEUE: usize = 4;
const WORK: Duration = Duration::from_millis(60);
/// Time that an engine takes to refuse a request or a check.
const REFUSAL: Duration = Duration::from_millis(10);
/// Entries that get traffic from the start, and those that get their first clients one after the other.
const FIRST_ENTRIES: usize = 2;
const LATER_ENTRIES: usize = 12;
const CLIENTS_PER_FIRST_ENTRY: usize = 95;
const CLIENTS_PER_LATER_ENTRY: usize = 18;
const ENTRY_INTERVAL: Duration = Duration::from_millis(2_500);
const WARM_UP: Duration = Duration::from_secs(6);
const TAIL: Duration = Duration::from_secs(5);
const DEADLINE_MS: u64 = 4_000;
/// Both routes are non-idempotent. A request of the first one may be sent to one engine, of the second one to two.
const PATHS: [&str; 2] = ["/once/closure", "/two/closure"];
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

#[derive(Default)]
struct Places {
    running: usize,
    waiting: usize,
}

#[derive(Default)]
struct Counts {
    answers: usize,
    shed_checks: usize,
    surplus: usize,
}

#[derive(Clone)]
struct Engine {
    id: String,
    is_faulty: bool,
    places: Arc<(Mutex<Places>, std::sync::Condvar)>,
    counts: Arc<Mutex<Counts>>,
    runs: Runs,
}

/// Runs by attempt id, each with its engine.
type Runs = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

impl Engine {
    fn start(number: usize, is_faulty: bool, runs: &Runs, store: &Store) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address").to_string();
        let engine = Self {
            id: format!("i-{number}"),
            is_faulty,
            places: Arc::default(),
            counts: Arc::default(),
            runs: Arc::clone(runs),
        };
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        store.put("keyed.servers", &engine.id, &config::engine_record(&addr, SLOTS, born_ms));
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                thread::spawn(move || engine.serve(Connection::new(stream)));
            }
        });
        engine
    }

    /// Takes a place, and waits for a slot; `false` if the engine is full.
    fn enter(&self) -> bool {
        let (places, freed) = &*self.places;
        let mut places = places.lock().expect("the places");
        if places.running >= SLOTS {
            if places.waiting >= QUEUE {
                return false;
            }
            places.waiting += 1;
            while places.running >= SLOTS {
                places = freed.wait(places).expect("the places");
            }
            places.waiting -= 1;
        }
        places.running += 1;
        true
    }

    fn leave(&self) {
        self.places.0.lock().expect("the places").running -= 1;
        self.places.1.notify_one();
    }

    fn serve(&self, mut connection: Connection) {
        let mut surplus: Option<String> = None;
        while let Some(request) = connection.read_request() {
            // The second copy of the answer before, at the point where the answer to this request is due.
            if let Some(copy) = surplus.take()
                && !connection.write(copy.as_bytes())
            {
                return;
            }
            let is_check = request.path() == "/healthz";
            let id = request.header("x-attempt-id").unwrap_or_default().to_owned();
            let is_target = request.header("x-target-instance").is_none_or(|target| target == self.id);
            let answer = if !is_target {
                "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n".to_owned()
            } else if !self.enter() {
                thread::sleep(REFUSAL);
                // A liveness check has no attempt id, so its answer names none.
                let echo = if is_check { String::new() } else { format!("X-Attempt-Id: {id}\r\n") };
                let shed =
                    format!("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n{echo}Content-Length: 0\r\n\r\n");
                if is_check && self.may_repeat() {
                    surplus = Some(shed.clone());
                }
                shed
            } else if is_check {
                self.leave();
                format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id)
            } else {
                self.runs.lock().expect("the runs").entry(id.clone()).or_default().push(self.id.clone());
                thread::sleep(WORK);
                self.leave();
                let body = format!("run of {id}");
                format!(
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Engine-Signature: {}.{id}\r\nContent-Length: {}\r\n\r\n{body}",
                    self.id,
                    body.len()
                )
            };
            self.counts.lock().expect("the counts").answers += 1;
            if !connection.write(answer.as_bytes()) {
                return;
            }
        }
    }

    /// Counts a shed check, and returns whether its answer is repeated.
    fn may_repeat(&self) -> bool {
        let mut counts = self.counts.lock().expect("the counts");
        counts.shed_checks += 1;
        let is_within_share = (counts.surplus + 1) as f64 <= MAX_SHARE * (counts.answers + 1) as f64;
        let repeats = self.is_faulty && is_within_share;
        counts.surplus += usize::from(repeats);
        repeats
    }
}

struct Call {
    id: String,
    entry: usize,
    at_ms: u128,
    status: u16,
}

pub fn run(trouble: bool, record: &mut String) -> bool {
    let folder = TempFolder::new();
    let store = Store::start();
    store.put("keyed.op", "config", &config::document());
    let runs = Runs::default();
    let engines: Vec<Engine> =
        (0..ENGINES).map(|number| Engine::start(number, trouble && number < FAULTY_ENGINES, &runs, &store)).collect();
    let peer_port = free_port("127.0.0.10");
    let seed = format!("127.0.0.10:{peer_port}");
    let mut entries: Vec<Entry> = (0..FIRST_ENTRIES + LATER_ENTRIES)
        .map(|number| Entry::start(&folder, number as u8, &store.addr, &seed, peer_port))
        .collect();
    entries.iter_mut().for_each(Entry::wait_until_ready);
    thread::sleep(Duration::from_secs(4));

    let started = Instant::now();
    let is_over = Arc::new(AtomicBool::new(false));
    let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
    let mut clients = Vec::new();
    for (number, entry) in entries.iter().enumerate() {
        let is_first = number < FIRST_ENTRIES;
        let count = if is_first { CLIENTS_PER_FIRST_ENTRY } else { CLIENTS_PER_LATER_ENTRY };
        let later = number.saturating_sub(FIRST_ENTRIES) as u32;
        let begin = if is_first { Duration::ZERO } else { WARM_UP + ENTRY_INTERVAL * later };
        for client in 0..count {
            let (addr, is_over, calls) = (entry.callers_addr.clone(), Arc::clone(&is_over), Arc::clone(&calls));
            clients.push(thread::spawn(move || {
                thread::sleep(begin.saturating_sub(started.elapsed()));
                let mut sent = 0;
                while !is_over.load(Ordering::Relaxed) {
                    let id = format!("c{number}-{client}-{sent}");
                    let at_ms = started.elapsed().as_millis();
                    let request = config::request(PATHS[client % PATHS.len()], &id, DEADLINE_MS);
                    let answer = http::call(&addr, &request, Duration::from_millis(DEADLINE_MS));
                    calls.lock().expect("the calls").push(Call { id, entry: number, at_ms, status: answer.status });
                    sent += 1;
                    // A client that is sent back comes again, with a request of its own.
                    thread::sleep(Duration::from_millis(if answer.status == 200 { 5 } else { 40 }));
                }
            }));
        }
    }
    let whole = WARM_UP + ENTRY_INTERVAL * LATER_ENTRIES as u32 + TAIL;
    thread::sleep(whole.saturating_sub(started.elapsed()));
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    thread::sleep(Duration::from_millis(500));
    drop(entries);
    report(&engines, &runs, &calls, record)
}

/// Writes what was sent, answered and run, and returns whether the rule held.
fn report(engines: &[Engine], runs: &Runs, calls: &Mutex<Vec<Call>>, record: &mut String) -> bool {
    for engine in engines {
        let Counts { answers, shed_checks, surplus } = &*engine.counts.lock().expect("the counts");
        let _ = writeln!(
            record,
            "engine {} faulty={} answers={answers} shed_checks={shed_checks} surplus_answers={surplus}",
            engine.id, engine.is_faulty
        );
    }
    let (runs, calls) = (runs.lock().expect("the runs"), calls.lock().expect("the calls"));
    let mut by_status: BTreeMap<u16, usize> = BTreeMap::new();
    calls.iter().for_each(|call| *by_status.entry(call.status).or_default() += 1);
    let _ = writeln!(record, "requests by status (0: no answer): {by_status:?}");
    let mut broken = 0;
    for call in calls.iter() {
        let ran = runs.get(&call.id).map_or(&[][..], Vec::as_slice);
        let is_twice = ran.len() > 1;
        let is_false_promise = PROMISES.contains(&call.status) && !ran.is_empty();
        if is_twice || is_false_promise {
            broken += 1;
            let rule = if is_twice { "TWICE" } else { "REFUSED" };
            let _ = writeln!(
                record,
                "{rule}: request {} to edge-{} at {} ms got status {}, and ran at {ran:?}",
                call.id, call.entry, call.at_ms, call.status
            );
        }
    }
    let _ = writeln!(record, "broken: {broken} of {} requests", calls.len());
    broken == 0
}
