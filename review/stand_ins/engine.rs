//! A stand-in for an engine, in a process of its own.
//!
//! `/brief/EVENTS/ID` gets a stream of that many events, with chunks or, as RULES.md allows, with neither a length nor
//! chunks, so that it ends with its channel. `/tiles/...` and `/status/...` get a plain answer, with a length or without.

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

use crate::http;

/// Pause before each event.
pub const EVENT_PAUSE: Duration = Duration::from_millis(40);

/// How the engine marks the end of its streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    Chunks,
    None,
}

/// What the engine is like.
#[derive(Debug, Clone)]
pub struct Engine {
    pub id: String,
    pub framing: Framing,
    /// While this file exists, the engine stands still: no event is made.
    pub still_file: PathBuf,
}

impl Engine {
    /// Serves at `addr` until the process is killed.
    pub fn run(self, addr: &str) -> ! {
        let listener = TcpListener::bind(addr).expect("the engine's address is free");
        loop {
            let Ok((stream, _)) = listener.accept() else { continue };
            let engine = self.clone();
            std::thread::spawn(move || drop(engine.serve(stream)));
        }
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = http::read_request(&mut reader)? {
            let attempt_id = request.header("x-attempt-id").unwrap_or("");
            if request.header("x-target-instance").is_some_and(|target| target != self.id) {
                let headers = format!("x-attempt-id: {attempt_id}\r\nx-not-executed: 1\r\n");
                http::respond(&mut stream, "421 Misdirected Request", &headers, b"")?;
                continue;
            }
            let own = format!(
                "x-attempt-id: {attempt_id}\r\nx-engine-signature: proof-{}-{attempt_id}\r\nversions: 1\r\n",
                self.id
            );
            let mut path = request.target().1.split('/').skip(1);
            let (route, events) = (path.next().unwrap_or(""), path.next().unwrap_or(""));
            if route == "tiles" && self.framing == Framing::Chunks {
                println!("run {attempt_id} at {}", self.id);
                http::respond(&mut stream, "200 OK", &own, b"a tile")?;
                continue;
            }
            if route == "tiles" || route == "status" {
                println!("run {attempt_id} at {}", self.id);
                return send_in_pieces(&mut stream, &own);
            }
            let last = request.header("last-event-id").and_then(|last| last.parse::<u32>().ok());
            let events = events.parse().unwrap_or(0);
            return self.stream_events(&mut stream, attempt_id, &own, last.map_or(1, |last| last + 1)..=events);
        }
        Ok(())
    }

    fn stream_events(
        &self,
        stream: &mut TcpStream,
        attempt_id: &str,
        own: &str,
        events: std::ops::RangeInclusive<u32>,
    ) -> std::io::Result<()> {
        let id = &self.id;
        println!("run {attempt_id} at {id}: events {events:?}");
        let framing = if self.framing == Framing::Chunks { "transfer-encoding: chunked\r\n" } else { "" };
        let head =
            format!("HTTP/1.1 200 OK\r\n{own}{framing}content-type: text/event-stream\r\nconnection: close\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        for event in events {
            std::thread::sleep(EVENT_PAUSE);
            while self.still_file.exists() && !is_closed(stream) {
                std::thread::sleep(Duration::from_millis(5));
            }
            let bytes = event_text(event);
            let piece = match self.framing {
                Framing::Chunks => format!("{:x}\r\n{bytes}\r\n", bytes.len()),
                Framing::None => bytes,
            };
            if is_closed(stream) || stream.write_all(piece.as_bytes()).is_err() {
                println!("run {attempt_id} at {id}: its channel was closed before event {event}");
                return Ok(());
            }
        }
        if self.framing == Framing::Chunks {
            stream.write_all(b"0\r\n\r\n")?;
        }
        println!("run {attempt_id} at {id}: whole");
        Ok(())
    }
}

/// The body of a plain answer that has no length.
pub const PLAIN_BODY: [u8; 800] = [b't'; 800];

/// Sends a plain answer without a length, in pieces as they get ready.
fn send_in_pieces(stream: &mut TcpStream, own: &str) -> std::io::Result<()> {
    stream.write_all(format!("HTTP/1.1 200 OK\r\n{own}connection: close\r\n\r\n").as_bytes())?;
    for piece in PLAIN_BODY.chunks(100) {
        std::thread::sleep(EVENT_PAUSE);
        stream.write_all(piece)?;
    }
    Ok(())
}

/// Whether the other side has closed the channel.
fn is_closed(stream: &mut TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let read = stream.read(&mut [0]);
    let is_closed = match read {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).is_err() || is_closed
}

/// The bytes of one event.
pub fn event_text(event: u32) -> String {
    format!("id: {event}\ndata: {}\n\n", "x".repeat(50))
}

/// The record that the engine writes about itself into the store.
pub fn record(service: &str, addr: &str, state: &str, sequence: u32, born_ms: u128) -> String {
    format!(
        r#"{{"service":"{service}","address":"{addr}","zone":"wuling-hall","version":"1","slots":4,"state":"{state}","cold_remaining_ms":0,"sequence":{sequence},"born":{born_ms}}}"#
    )
}
