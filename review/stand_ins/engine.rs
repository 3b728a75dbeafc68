//! A stand-in for a model engine, in a process of its own. Its streams have neither a length nor chunks, and end with
//! their channel, as RULES.md allows.

use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use crate::http;

/// Events of a whole stream.
pub const EVENTS: u32 = 26;
/// Pause before each event.
const EVENT_PAUSE: Duration = Duration::from_millis(40);

/// Serves until the process is killed. `id` is the engine's identifier, `addr` where it listens.
pub fn run(id: &str, addr: &str) -> ! {
    let listener = TcpListener::bind(addr).expect("the engine's address is free");
    loop {
        let Ok((stream, _)) = listener.accept() else { continue };
        let id = id.to_owned();
        std::thread::spawn(move || drop(serve(&id, stream)));
    }
}

fn serve(id: &str, mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let Some(request) = http::read_request(&mut reader)? else { return Ok(()) };
    let attempt_id = request.header("x-attempt-id").unwrap_or("");
    if request.header("x-target-instance").is_some_and(|target| target != id) {
        let headers = format!("x-attempt-id: {attempt_id}\r\nx-not-executed: 1\r\nconnection: close\r\n");
        return http::respond(&mut stream, "421 Misdirected Request", &headers, b"");
    }
    let first = request.header("last-event-id").and_then(|last| last.parse::<u32>().ok()).map_or(1, |last| last + 1);
    println!("run {attempt_id} at {id} from event {first}");
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt_id}\r\nx-engine-signature: proof-{id}-{attempt_id}\r\n\
         versions: 1\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for event in first..=EVENTS {
        std::thread::sleep(EVENT_PAUSE);
        stream.write_all(event_text(event).as_bytes())?;
    }
    Ok(())
}

/// The bytes of one event.
pub fn event_text(event: u32) -> String {
    format!("id: {event}\ndata: {}\n\n", "x".repeat(50))
}

/// The record that the engine writes about itself into the store.
pub fn record(addr: &str, state: &str, sequence: u32, born_ms: u128) -> String {
    format!(
        r#"{{"service":"assist-llm","address":"{addr}","zone":"hall-a","version":"1","slots":12,"state":"{state}","cold_remaining_ms":0,"sequence":{sequence},"born":{born_ms}}}"#
    )
}
