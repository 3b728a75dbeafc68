//! An entry is stopped as planned while requests wait in it that a full engine has shed.
//!
//! The service has two engines, which shed what finds no place. Jobs from one entry fill the first engine, jobs from the
//! other entry the second one. Requests to that other entry are shed by the first engine and wait for the second one.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::config;
use crate::http::{self, Answer, Connection};
use crate::process::{Entry, TempFolder, free_port};
use crate::store::Store;

const SLOTS: usize = 2;
const QUEUE: usize = 4;
/// Jobs that fill one engine.
const JOBS: usize = SLOTS + QUEUE;
/// Requests that wait: all but the first in the queue are sent back soon.
const VICTIMS: usize = 2;
const WARM_UP_REQUESTS: usize = 200;
const DEADLINE_MS: u64 = 8_000;
/// Times from the SIGTERM on, in milliseconds.
const FIRST_JOBS_MS: i64 = -2_500;
const SECOND_JOBS_MS: i64 = 200;
const VICTIMS_MS: i64 = 2_000;
const VICTIM_INTERVAL_MS: i64 = 100;
/// Pause before a job that was shed is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(30);
/// When the process has to be gone: its grace period.
const GRACE_MS: i64 = 8_000;
/// How long a request may stay unanswered that no engine has got.
const LOSS_SLACK_MS: i64 = 200;

#[derive(Default)]
struct Places {
    running: usize,
    waiting: usize,
}

/// What happened to an attempt id at the engines.
pub type Events = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    places: Arc<(Mutex<Places>, Condvar)>,
    events: Events,
}

impl Engine {
    pub fn start(id: &str, events: &Events) -> (Self, String) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address").to_string();
        let engine = Self { id: id.to_owned(), places: Arc::default(), events: Arc::clone(events) };
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                thread::spawn(move || engine.serve(Connection::new(stream)));
            }
        });
        (engine, addr)
    }

    fn note(&self, id: &str, what: &str) {
        self.events.lock().expect("the events").entry(id.to_owned()).or_default().push(format!("{what} {}", self.id));
    }

    /// Takes a place, and waits for a slot until `until`; `None` if the engine is full or the time is up.
    fn enter(&self, until: Instant) -> Option<()> {
        let (places, freed) = &*self.places;
        let mut places = places.lock().expect("the places");
        if places.running >= SLOTS {
            if places.waiting >= QUEUE {
                return None;
            }
            places.waiting += 1;
            while places.running >= SLOTS && Instant::now() < until {
                let left = until.saturating_duration_since(Instant::now());
                places = freed.wait_timeout(places, left).expect("the places").0;
            }
            places.waiting -= 1;
            if places.running >= SLOTS {
                return None;
            }
        }
        places.running += 1;
        Some(())
    }

    fn leave(&self) {
        self.places.0.lock().expect("the places").running -= 1;
        self.places.1.notify_one();
    }

    /// Serves a channel. The path of a request ends with the time that its work takes, in milliseconds.
    fn serve(&self, mut connection: Connection) {
        while let Some(request) = connection.read_request() {
            let id = request.header("x-attempt-id").unwrap_or_default().to_owned();
            let deadline_ms = request.header("x-deadline-ms").and_then(|ms| ms.parse().ok()).unwrap_or(DEADLINE_MS);
            let until = Instant::now() + Duration::from_millis(deadline_ms);
            let is_target = request.header("x-target-instance").is_none_or(|target| target == self.id);
            let answer = if !is_target {
                "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n".to_owned()
            } else if self.enter(until).is_none() {
                self.note(&id, "shed by");
                format!(
                    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                )
            } else if request.path() == "/healthz" {
                self.leave();
                format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id)
            } else {
                self.note(&id, "run by");
                let work_ms = request.path().rsplit('/').next().and_then(|ms| ms.parse().ok()).unwrap_or(0);
                let end = until.min(Instant::now() + Duration::from_millis(work_ms));
                thread::sleep(end.saturating_duration_since(Instant::now()));
                self.leave();
                let status = if end < until { "200 OK" } else { "504 Gateway Timeout" };
                let body = format!("run of {id}");
                format!(
                    "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Engine-Signature: {}.{id}\r\nContent-Length: {}\r\n\r\n{body}",
                    self.id,
                    body.len()
                )
            };
            if !connection.write(answer.as_bytes()) {
                return;
            }
        }
    }
}

struct Call {
    id: String,
    sent_ms: i64,
    ended_ms: i64,
    answer: Answer,
}

/// Sends a request at a moment, and returns its outcome.
fn send_at(stop: Instant, at_ms: i64, addr: &str, path: &str, id: String) -> thread::JoinHandle<Call> {
    let (addr, path) = (addr.to_owned(), path.to_owned());
    thread::spawn(move || {
        thread::sleep(Duration::from_millis((at_ms - since_ms(stop)).max(0) as u64));
        send(stop, &addr, &path, id)
    })
}

fn send(stop: Instant, addr: &str, path: &str, id: String) -> Call {
    let sent_ms = since_ms(stop);
    let request = config::request(path, &id, DEADLINE_MS);
    let answer = http::call(addr, &request, Duration::from_millis(DEADLINE_MS + 2_000));
    Call { id, sent_ms, ended_ms: since_ms(stop), answer }
}

/// Sends a job at a moment, and again with another attempt id for as long as it is sent back as not run.
fn send_job_at(stop: Instant, at_ms: i64, addr: &str, id: String) -> thread::JoinHandle<Call> {
    let addr = addr.to_owned();
    thread::spawn(move || {
        thread::sleep(Duration::from_millis((at_ms - since_ms(stop)).max(0) as u64));
        let mut attempt = 0;
        loop {
            let call = send(stop, &addr, "/jobs/9000", format!("{id}.{attempt}"));
            if call.answer.status != 503 || since_ms(stop) > VICTIMS_MS {
                return call;
            }
            attempt += 1;
            thread::sleep(RETRY_INTERVAL);
        }
    })
}

/// Milliseconds since a moment, negative before it.
fn since_ms(moment: Instant) -> i64 {
    let now = Instant::now();
    let (after, before) = (now.saturating_duration_since(moment), moment.saturating_duration_since(now));
    after.as_millis() as i64 - before.as_millis() as i64
}

pub fn run(trouble: bool, record: &mut String) -> bool {
    let folder = TempFolder::new();
    let store = Store::start();
    store.put("keyed.op", "config", &config::document());
    let events = Events::default();
    let (first, first_addr) = Engine::start("i-1", &events);
    let (second, second_addr) = Engine::start("i-2", &events);
    let register = |engine: &Engine, addr: &str| {
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        store.put("keyed.servers", &engine.id, &config::engine_record(addr, SLOTS, born_ms));
    };
    register(&first, &first_addr);
    let peer_port = free_port("127.0.0.10");
    let seed = format!("127.0.0.10:{peer_port}");
    let mut entries: Vec<Entry> =
        (0..2).map(|number| Entry::start(&folder, number, &store.addr, &seed, peer_port)).collect();
    entries.iter_mut().for_each(Entry::wait_until_ready);
    thread::sleep(Duration::from_secs(4));
    for number in 0..WARM_UP_REQUESTS {
        let request = config::request("/plain/20", &format!("warm-{number}"), DEADLINE_MS);
        http::call(&entries[number % 2].callers_addr, &request, Duration::from_secs(5));
    }
    // The retry budget of a new process grows with time.
    thread::sleep(Duration::from_secs(8));

    let stop = Instant::now() + Duration::from_millis(3_000);
    let (stopped, other) = (entries[0].callers_addr.clone(), entries[1].callers_addr.clone());
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        jobs.push(send_job_at(stop, FIRST_JOBS_MS, &other, format!("first-{number}")));
    }
    // The second engine is added once the first one is full.
    thread::sleep(Duration::from_millis(1_200));
    register(&second, &second_addr);
    for number in 0..JOBS {
        jobs.push(send_job_at(stop, SECOND_JOBS_MS, &stopped, format!("second-{number}")));
    }
    let victims: Vec<_> = (0..VICTIMS)
        .map(|number| {
            let at_ms = VICTIMS_MS + VICTIM_INTERVAL_MS * number as i64;
            send_at(stop, at_ms, &stopped, "/plain/20", format!("waits-{number}"))
        })
        .collect();
    thread::sleep(stop.saturating_duration_since(Instant::now()));
    if trouble {
        entries[0].process.signal("TERM");
        let _ = writeln!(record, "0 ms: SIGTERM to edge-0, whose grace period is {GRACE_MS} ms");
    }
    let jobs: Vec<Call> = jobs.into_iter().filter_map(|job| job.join().ok()).collect();
    let victims: Vec<Call> = victims.into_iter().filter_map(|victim| victim.join().ok()).collect();
    for call in jobs.iter().chain(&victims) {
        let _ = writeln!(record, "{}", describe(call, &events));
    }
    let lost: Vec<&Call> = victims.iter().filter(|call| is_lost(call, &events)).collect();
    for call in &lost {
        let _ = writeln!(record, "LOST: request {}", call.id);
    }
    let _ = writeln!(record, "broken: {} of {} requests", lost.len(), victims.len());
    lost.is_empty()
}

fn describe(call: &Call, events: &Events) -> String {
    let events = events.lock().expect("the events");
    let at_engines = events.get(&call.id).map_or(&[][..], Vec::as_slice);
    format!(
        "request {} sent at {} ms, ended at {} ms with status {}, whole answer: {}; {at_engines:?}",
        call.id, call.sent_ms, call.ended_ms, call.answer.status, call.answer.is_whole
    )
}

/// Whether a request got no answer within the grace period, before its time budget, with no engine at work on it.
fn is_lost(call: &Call, events: &Events) -> bool {
    let events = events.lock().expect("the events");
    let at_engines = events.get(&call.id).map_or(&[][..], Vec::as_slice);
    let was_run = at_engines.iter().any(|event| event.starts_with("run by"));
    let took_ms = call.ended_ms - call.sent_ms;
    !call.answer.is_whole
        && !was_run
        && took_ms > LOSS_SLACK_MS
        && took_ms < DEADLINE_MS as i64
        && call.ended_ms <= GRACE_MS + 1_000
}
