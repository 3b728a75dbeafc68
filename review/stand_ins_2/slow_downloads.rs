//! Many clients read large answers slowly. The platform ends a process that goes over its memory.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::config;
use crate::http::{self, Answer, Connection};
use crate::process::{Entry, TempFolder, free_port};
use crate::store::Store;

/// Memory of the machine, from its settings.
const MEMORY_MB: usize = 260;
const ENGINES: [&str; 2] = ["i-1", "i-2"];
const SLOTS: usize = 100;
/// Size of a large answer: half of what an entry accepts.
const ANSWER_BYTES: usize = 8 << 20;
const DOWNLOADS: u64 = 120;
const DOWNLOAD_INTERVAL: Duration = Duration::from_millis(25);
/// A slow client reads this much at a time: 1.6 MB a second, so that its answer arrives within its time budget.
const PIECE_BYTES: usize = 128 << 10;
const PIECE_INTERVAL: Duration = Duration::from_millis(80);
const OTHER_CLIENTS: usize = 10;
/// How long an engine works on the request of another client.
const WORK: Duration = Duration::from_millis(300);
const RUN: Duration = Duration::from_secs(9);
const DEADLINE_MS: u64 = 8_000;
/// Requests that the rule lets a machine lose.
const ALLOWED_LOSSES: usize = 3;

fn start_engine(runs: &Arc<Mutex<Vec<String>>>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address").to_string();
    let runs = Arc::clone(runs);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let runs = Arc::clone(&runs);
            thread::spawn(move || serve(Connection::new(stream), &runs));
        }
    });
    addr
}

/// Serves a channel. The path of a request ends with the size of its answer.
fn serve(mut connection: Connection, runs: &Mutex<Vec<String>>) {
    while let Some(request) = connection.read_request() {
        let size = request.path().rsplit('/').next().and_then(|size| size.parse().ok()).unwrap_or(0);
        let id = request.header("x-attempt-id").unwrap_or_default().to_owned();
        if request.path().starts_with("/once/") {
            runs.lock().expect("the runs").push(id.clone());
            thread::sleep(WORK);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Engine-Signature: proof.{id}\r\nContent-Length: {size}\r\n\r\n"
        );
        if !connection.write(&[head.as_bytes(), &vec![b'x'; size]].concat()) {
            return;
        }
    }
}

/// Reads an answer slowly, or at once. Returns how much of it came.
fn download(addr: &str, id: &str, is_slow: bool) -> std::io::Result<usize> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    stream.write_all(config::request(&format!("/jobs/{ANSWER_BYTES}"), id, DEADLINE_MS).as_bytes())?;
    let mut buffer = vec![0; PIECE_BYTES];
    let mut received = 0;
    while let Ok(count) = stream.read(&mut buffer) {
        if count == 0 {
            break;
        }
        received += count;
        if is_slow {
            thread::sleep(PIECE_INTERVAL);
        }
    }
    Ok(received)
}

struct Call {
    id: String,
    status: u16,
    is_whole: bool,
}

/// Sends one request after the other over one kept channel, until that closes.
fn call_on_kept_channel(addr: &str, number: usize, is_over: &AtomicBool) -> Vec<Call> {
    let Ok(stream) = TcpStream::connect(addr) else { return Vec::new() };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
    let mut connection = Connection::new(stream);
    let mut calls = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let id = format!("other-{number}-{}", calls.len());
        let request = config::request("/once/800", &id, 4_000).replace("Connection: close\r\n", "");
        let mut answer = Answer::default();
        if connection.write(request.as_bytes()) {
            let _ = http::read_answer(&mut connection, &mut answer);
        }
        let is_whole = answer.is_whole;
        calls.push(Call { id, status: answer.status, is_whole });
        if !is_whole {
            break;
        }
    }
    calls
}

/// Resident memory of a process in megabytes.
fn resident_mb(process: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok()).unwrap_or(0) / 1_024
}

pub fn run(trouble: bool, record: &mut String) -> bool {
    let folder = TempFolder::new();
    let store = Store::start();
    store.put("keyed.op", "config", &config::document());
    let runs = Arc::default();
    for id in ENGINES {
        store.put("keyed.servers", id, &config::engine_record(&start_engine(&runs), SLOTS, 1));
    }
    let peer_port = free_port("127.0.0.10");
    let mut entry = Entry::start(&folder, 0, &store.addr, &format!("127.0.0.10:{peer_port}"), peer_port);
    entry.wait_until_ready();
    thread::sleep(Duration::from_secs(4));

    let is_over = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = (0..OTHER_CLIENTS)
        .map(|number| {
            let (addr, is_over) = (entry.callers_addr.clone(), Arc::clone(&is_over));
            thread::spawn(move || call_on_kept_channel(&addr, number, &is_over))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let started = Instant::now();
    let downloads: Vec<_> = (0..DOWNLOADS)
        .map(|number| {
            let addr = entry.callers_addr.clone();
            thread::spawn(move || {
                thread::sleep(DOWNLOAD_INTERVAL * number as u32);
                download(&addr, &format!("large-{number}"), trouble)
            })
        })
        .collect();
    let mut peak_mb = 0;
    while started.elapsed() < RUN {
        let used_mb = resident_mb(entry.process.0.id());
        peak_mb = peak_mb.max(used_mb);
        if used_mb > MEMORY_MB {
            entry.process.kill();
            let at_ms = started.elapsed().as_millis();
            let _ = writeln!(record, "{at_ms} ms: edge-0 holds {used_mb} MB of {MEMORY_MB}: the platform ends it");
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    is_over.store(true, Ordering::Relaxed);
    let _ = writeln!(record, "peak memory of edge-0: {peak_mb} MB of {MEMORY_MB}");
    let received: Vec<usize> =
        downloads.into_iter().map(|client| client.join().ok().and_then(Result::ok).unwrap_or(0) >> 10).collect();
    let _ = writeln!(record, "large answers, KB that came: {received:?}");
    let calls: Vec<Call> = others.into_iter().filter_map(|client| client.join().ok()).flatten().collect();
    let runs = runs.lock().expect("the runs");
    let lost: Vec<&Call> = calls.iter().filter(|call| !call.is_whole && runs.contains(&call.id)).collect();
    for call in &lost {
        let _ =
            writeln!(record, "LOST: request {} was run, its kept channel closed with status {}", call.id, call.status);
    }
    let _ = writeln!(record, "broken: {} of {} requests on kept channels lost", lost.len(), calls.len());
    lost.len() <= ALLOWED_LOSSES
}
