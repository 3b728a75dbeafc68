//! Slow uploads take all memory that an entry has for bodies, while streams run.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::config::{self, HOST, KEY};
use crate::http::{self, Connection};
use crate::process::{Entry, TempFolder, free_port};
use crate::store::Store;

/// Events of a stream, and the time between two of them.
const EVENTS: usize = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(60);
/// An event has at most 390 bytes, as on the site.
const DATA_BYTES: usize = 370;
/// One in this many events is written in two halves, the first one together with the event before it.
const SPLIT_EVERY: usize = 2;
const STREAM_CLIENTS: usize = 40;
const SLOTS: usize = 24;
/// `max_body_bytes` of the config.
const MAX_BODY_BYTES: usize = 4_194_304;
/// Uploads of the largest allowed body whose last byte comes late.
const STALLED_UPLOADS: usize = 8;
const UPLOADS_EACH: usize = 2;
const STALL: Duration = Duration::from_millis(7_500);
/// Uploads that come on all the time, and their speed: 256 bytes each 2 ms.
const SLOW_UPLOADS: usize = 4;
const PIECE_BYTES: usize = 256;
const PIECE_INTERVAL: Duration = Duration::from_millis(2);
const RUN: Duration = Duration::from_secs(20);
const DEADLINE_MS: u64 = 8_000;

fn event(number: usize) -> Vec<u8> {
    format!("id: {number}\ndata: {}\n\n", "x".repeat(DATA_BYTES)).into_bytes()
}

fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// Starts a sound engine, and returns its address.
fn start_engine(id: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(Connection::new(stream), id));
        }
    });
    addr
}

fn serve(mut connection: Connection, own_id: &str) {
    while let Some(request) = connection.read_request() {
        let id = request.header("x-attempt-id").unwrap_or_default();
        let is_sent = if request.path() == "/healthz" {
            let head = format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {own_id}\r\nContent-Length: 0\r\n\r\n");
            connection.write(head.as_bytes())
        } else if request.path().starts_with("/stream/") {
            let last = request.header("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Engine-Signature: {own_id}.{id}\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            connection.write(head.as_bytes()) && stream_events(&mut connection, last)
        } else {
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Engine-Signature: {own_id}.{id}\r\nContent-Length: 0\r\n\r\n"
            );
            connection.write(head.as_bytes())
        };
        if !is_sent {
            return;
        }
    }
}

/// Sends the events after `last`, and the end of the stream.
fn stream_events(connection: &mut Connection, last: usize) -> bool {
    let mut rest = Vec::new();
    for number in last + 1..=EVENTS {
        thread::sleep(EVENT_INTERVAL);
        let mut bytes = if rest.is_empty() { event(number) } else { std::mem::take(&mut rest) };
        if number % SPLIT_EVERY == 0 && number < EVENTS {
            let next = event(number + 1);
            let (first, second) = next.split_at(next.len() / 2);
            bytes.extend_from_slice(first);
            rest = second.to_vec();
        }
        if !connection.write(&chunk(&bytes)) {
            return false;
        }
    }
    connection.write(b"0\r\n\r\n")
}

fn upload_head(id: &str) -> String {
    format!(
        "POST /plain/0 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\nApi-Key: {KEY}\r\n\
         Content-Length: {MAX_BODY_BYTES}\r\nConnection: close\r\n\r\n"
    )
}

/// Sends all of a body but its last byte, which comes after the stall.
fn upload_with_stall(addr: &str, id: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(addr)?;
    stream.write_all(upload_head(id).as_bytes())?;
    stream.write_all(&vec![b'y'; MAX_BODY_BYTES - 1])?;
    thread::sleep(STALL);
    stream.write_all(b"y")?;
    read_status(stream)
}

/// Sends a body slowly, until it is whole or the entry answers.
fn upload_slowly(addr: &str, id: &str, until: Instant) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(addr)?;
    stream.write_all(upload_head(id).as_bytes())?;
    let piece = [b'y'; PIECE_BYTES];
    for _ in 0..MAX_BODY_BYTES / PIECE_BYTES {
        if Instant::now() > until || stream.write_all(&piece).is_err() {
            break;
        }
        thread::sleep(PIECE_INTERVAL);
        stream.set_nonblocking(true)?;
        let is_answered = stream.peek(&mut [0]).is_ok();
        stream.set_nonblocking(false)?;
        if is_answered {
            break;
        }
    }
    if Instant::now() > until { Ok("not finished".to_owned()) } else { read_status(stream) }
}

fn read_status(mut stream: TcpStream) -> std::io::Result<String> {
    let mut answer = [0; 64];
    let count = stream.read(&mut answer)?;
    Ok(String::from_utf8_lossy(&answer[..count]).lines().next().unwrap_or("no answer").to_owned())
}

/// An upload's id and outcome.
type Upload = (String, std::io::Result<String>);

pub fn run(trouble: bool, record: &mut String) -> bool {
    let folder = TempFolder::new();
    let store = Store::start();
    store.put("keyed.op", "config", &config::document());
    for id in ["i-1", "i-2"] {
        store.put("keyed.servers", id, &config::engine_record(&start_engine(id), SLOTS, 1));
    }
    let peer_port = free_port("127.0.0.10");
    let mut entry = Entry::start(&folder, 0, &store.addr, &format!("127.0.0.10:{peer_port}"), peer_port);
    entry.wait_until_ready();
    thread::sleep(Duration::from_secs(12));

    let until = Instant::now() + RUN;
    let mut uploads: Vec<thread::JoinHandle<Vec<Upload>>> = Vec::new();
    if trouble {
        for number in 0..STALLED_UPLOADS {
            let (addr, id) = (entry.callers_addr.clone(), format!("stalls-{number}"));
            uploads.push(thread::spawn(move || {
                let ids = (0..UPLOADS_EACH).map(|round| format!("{id}-{round}"));
                ids.map(|id| (id.clone(), upload_with_stall(&addr, &id))).collect()
            }));
        }
        for number in 0..SLOW_UPLOADS {
            let addr = entry.callers_addr.clone();
            uploads.push(thread::spawn(move || {
                let mut outcomes = Vec::new();
                while Instant::now() < until {
                    let id = format!("slow-{number}-{}", outcomes.len());
                    outcomes.push((id.clone(), upload_slowly(&addr, &id, until)));
                    thread::sleep(Duration::from_millis(200));
                }
                outcomes
            }));
        }
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..STREAM_CLIENTS)
        .map(|number| {
            let (addr, is_over) = (entry.callers_addr.clone(), Arc::clone(&is_over));
            thread::spawn(move || {
                let mut answers = Vec::new();
                while !is_over.load(Ordering::Relaxed) {
                    let id = format!("stream-{number}-{}", answers.len());
                    let request = config::request("/stream/brief", &id, DEADLINE_MS);
                    answers.push((id, http::call(&addr, &request, Duration::from_millis(DEADLINE_MS))));
                }
                answers
            })
        })
        .collect();
    thread::sleep(until.saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::Relaxed);
    for (id, outcome) in uploads.into_iter().filter_map(|upload| upload.join().ok()).flatten() {
        let _ = writeln!(record, "upload {id}: {outcome:?}");
    }
    let (mut broken, mut streams) = (0, 0);
    for (id, answer) in clients.into_iter().filter_map(|client| client.join().ok()).flatten() {
        streams += 1;
        broken += usize::from(!holds(&id, &answer, record));
    }
    let _ = writeln!(record, "broken: {broken} of {streams} streams");
    broken == 0
}

/// Records what a client got. The rule is broken if pieces are missing before the last one that came, or if an answer
/// ends as complete and lacks any.
fn holds(id: &str, answer: &http::Answer, record: &mut String) -> bool {
    let body = String::from_utf8_lossy(&answer.body);
    let ids: Vec<usize> = body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect();
    let missing: Vec<usize> = (1..=ids.last().copied().unwrap_or(0)).filter(|number| !ids.contains(number)).collect();
    let ends_early = answer.is_whole && answer.status == 200 && ids.len() < EVENTS;
    let is_broken = !missing.is_empty() || ends_early;
    let _ = writeln!(
        record,
        "{id}: status {}, {} of {EVENTS} events, ends as complete: {}; missing {missing:?}{}",
        answer.status,
        ids.len(),
        answer.is_whole,
        if is_broken { "; ORDER broken" } else { "" }
    );
    !is_broken
}
