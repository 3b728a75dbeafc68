//! Clients that are slow to read their answers, at an entry that is stopped as planned.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::config;
use crate::http::Connection;
use crate::process::{Entry, TempFolder, free_port, unable};
use crate::small_window;
use crate::store::Store;

/// Clients of two kinds in turn, with the size of their answers: the largest answer of the sheets for clients with a small
/// receive buffer, and a larger one for clients with the usual buffer.
const KINDS: [(bool, usize); 2] = [(true, 4_800), (false, 256 << 10)];
const CLIENTS: usize = 6;
/// What a client reads before its pause.
const FIRST_READ_BYTES: usize = 500;
/// How long a client reads nothing: well below the idle timeout of the config, 15 s.
const PAUSE: Duration = Duration::from_millis(3_000);
/// Time budget of the requests, and the timeout of their route.
const DEADLINE_MS: u64 = 8_000;
/// Requests are sent while the stopping entry still takes them.
const FIRST_REQUEST: Duration = Duration::from_millis(200);
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Starts a sound engine, whose answers are whole at once. Returns its address; `runs` gets the ids that it runs.
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

fn serve(mut connection: Connection, runs: &Mutex<Vec<String>>) {
    while let Some(request) = connection.read_request() {
        let is_check = request.path() == "/healthz";
        let size = request.path().rsplit('/').next().and_then(|size| size.parse().ok()).unwrap_or(0);
        let head = if is_check {
            "HTTP/1.1 200 OK\r\nX-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n".to_owned()
        } else {
            let id = request.header("x-attempt-id").unwrap_or_default().to_owned();
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Engine-Signature: i-1.{id}\r\n\
                 Content-Length: {size}\r\n\r\n"
            );
            runs.lock().expect("the runs").push(id);
            head
        };
        let body = if is_check { Vec::new() } else { vec![b'x'; size] };
        if !connection.write(&[head.as_bytes(), &body].concat()) {
            return;
        }
    }
}

struct Call {
    id: String,
    sent_ms: u128,
    ended_ms: u128,
    status_line: String,
    body_bytes: usize,
    end: String,
}

/// Sends a request, reads the start of its answer, and the rest after a pause.
fn call(addr: &str, id: &str, kind: (bool, usize), pause: Duration, stop: Instant) -> std::io::Result<Call> {
    let (has_small_buffer, size) = kind;
    let sent_ms = stop.elapsed().as_millis();
    let mut stream = if has_small_buffer {
        small_window::open(addr.parse().map_err(std::io::Error::other)?)?
    } else {
        TcpStream::connect(addr)?
    };
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))?;
    stream.write_all(config::request(&format!("/jobs/{size}"), id, DEADLINE_MS).as_bytes())?;
    let mut buffer = vec![0; 64 << 10];
    let count = stream.read(&mut buffer[..FIRST_READ_BYTES])?;
    let mut answer = buffer[..count].to_vec();
    thread::sleep(pause);
    let end = loop {
        match stream.read(&mut buffer) {
            Ok(0) => break "closed".to_owned(),
            Ok(count) => answer.extend_from_slice(&buffer[..count]),
            Err(error) => break error.to_string(),
        }
    };
    let head_end = answer.windows(4).position(|window| window == b"\r\n\r\n").map_or(answer.len(), |at| at + 4);
    let status_line = String::from_utf8_lossy(&answer[..head_end]).lines().next().unwrap_or_default().to_owned();
    let body_bytes = answer.len() - head_end;
    Ok(Call { id: id.to_owned(), sent_ms, ended_ms: stop.elapsed().as_millis(), status_line, body_bytes, end })
}

pub fn run(trouble: bool, record: &mut String) -> bool {
    let folder = TempFolder::new();
    let store = Store::start();
    store.put("keyed.op", "config", &config::document());
    let runs = Arc::default();
    store.put("keyed.servers", "i-1", &config::engine_record(&start_engine(&runs), 8, 1));
    let peer_port = free_port("127.0.0.10");
    let mut entry = Entry::start(&folder, 0, &store.addr, &format!("127.0.0.10:{peer_port}"), peer_port);
    entry.wait_until_ready();
    thread::sleep(Duration::from_secs(4));

    // For comparison: another pause, and the same without a planned stop.
    let other_pause = std::env::var("PAUSE_MS").ok().and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
    let pause = if trouble { other_pause.unwrap_or(PAUSE) } else { Duration::ZERO };
    let is_stopped = std::env::var("ONLY").map_or(true, |only| only != "pause");
    let _ = writeln!(
        record,
        "0 ms: SIGTERM to edge-0: {is_stopped}; clients pause for {} ms in their answers",
        pause.as_millis()
    );
    let stop = Instant::now();
    if is_stopped {
        entry.process.signal("TERM");
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let addr = entry.callers_addr.clone();
            thread::spawn(move || {
                thread::sleep(FIRST_REQUEST + REQUEST_INTERVAL * number as u32);
                call(&addr, &format!("slow-{number}"), KINDS[number % KINDS.len()], pause, stop)
            })
        })
        .collect();
    let mut lost = 0;
    for (number, client) in clients.into_iter().enumerate() {
        let (has_small_buffer, size) = KINDS[number % KINDS.len()];
        let Ok(Ok(call)) = client.join() else { unable("a request was not answered at all") };
        let was_run = runs.lock().expect("the runs").contains(&call.id);
        let is_lost = was_run && call.body_bytes < size;
        lost += usize::from(is_lost);
        let _ = writeln!(
            record,
            "request {} sent at {} ms, ended at {} ms: {:?}, {} of {size} bytes, then {}; small buffer: {has_small_buffer}; \
             run by i-1: {was_run}{}",
            call.id,
            call.sent_ms,
            call.ended_ms,
            call.status_line,
            call.body_bytes,
            call.end,
            if is_lost { "; LOST" } else { "" }
        );
    }
    let _ = writeln!(record, "broken: {lost} of {CLIENTS} requests");
    lost == 0
}
