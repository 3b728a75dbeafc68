//! Callers of streams, and how their streams ended.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::engine::{event_text, PLAIN_BODY};
use crate::http::{self, Message};

/// Time budget of a request.
pub const DEADLINE: Duration = Duration::from_millis(8_000);

/// The answer to one request for a stream.
pub struct Answer {
    pub id: String,
    pub events: u32,
    pub sent_ms: u128,
    pub ended_ms: u128,
    message: Option<Message>,
}

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It has all events, once each, and ends as complete.
    Whole,
    /// It ends as complete, but lacks events or holds some twice.
    Wrong { count: usize },
    /// It broke off visibly after some events.
    BrokenOff { count: usize },
    /// It was refused or failed with this status.
    Status(u16),
    /// The channel was closed without an answer.
    Closed,
}

/// Sends a request for a stream of this many events, and reads its answer to the end.
pub fn send(addr: SocketAddr, id: &str, events: u32, started: Instant) -> Answer {
    let sent_ms = started.elapsed().as_millis();
    let head = format!(
        "POST /brief/{events}/{id} HTTP/1.1\r\nhost: trails.example\r\nx-attempt-id: {id}\r\nx-deadline-ms: {}\r\n\
         x-model: m\r\nx-token-usage: 714,{}\r\nx-prompt-prefix: 5c1e07a2:40,{id}:674\r\napi-key: key-1\r\n\
         connection: close\r\n",
        DEADLINE.as_millis(),
        events * 6
    );
    let message = http::call(addr, &head, b"describe this run", DEADLINE).ok().flatten();
    Answer { id: id.to_owned(), events, sent_ms, ended_ms: started.elapsed().as_millis(), message }
}

impl Answer {
    pub fn end(&self) -> End {
        let Some(message) = &self.message else { return End::Closed };
        if message.status() != 200 {
            return End::Status(message.status());
        }
        let body = String::from_utf8_lossy(&message.body).into_owned();
        let whole: String = (1..=self.events).map(event_text).collect();
        let count = body.matches("id: ").count();
        match message.is_whole {
            true if body == whole => End::Whole,
            false if whole.starts_with(&body) => End::BrokenOff { count },
            _ => End::Wrong { count },
        }
    }

    /// A line for the record.
    pub fn line(&self, mark: &str) -> String {
        format!(
            "{} sent {} ms, ended {} ms, of {} events: {mark}{:?}",
            self.id,
            self.sent_ms,
            self.ended_ms,
            self.events,
            self.end()
        )
    }
}

/// Sends a request for a plain answer; returns its status, and whether a 2xx lacks a part of the engine's body though it
/// ends as complete.
pub fn send_plain(addr: SocketAddr, route: &str, id: &str) -> (u16, bool) {
    let method = if route == "status" { "GET" } else { "POST" };
    let head = format!(
        "{method} /{route}/{id} HTTP/1.1\r\nhost: trails.example\r\nx-attempt-id: {id}\r\nx-deadline-ms: 4000\r\n\
         api-key: key-1\r\nconnection: close\r\n"
    );
    let answer = http::call(addr, &head, b"", DEADLINE).ok().flatten();
    let is_cut = |answer: &Message| answer.status() == 200 && answer.is_whole && answer.body != PLAIN_BODY;
    (answer.as_ref().map_or(0, Message::status), answer.as_ref().is_some_and(is_cut))
}

/// A config with a route for streams that may be resumed, and two for plain answers.
pub fn config() -> String {
    r#"{"version":7,"routes":[{"name":"run-brief","host":"trails.example","path_prefix":"/brief/",
        "route_type":"streaming","resumable":true,"timeout_ms":8000,"target_latency_ms":400,"gap_aim_ms":120,
        "priority":1,"service":"trail-voice","max_attempts":2,"sticky":true},
        {"name":"map-tile","host":"trails.example","path_prefix":"/tiles/","route_type":"non_idempotent",
        "timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"trail-voice","max_attempts":1},
        {"name":"lift-status","host":"trails.example","path_prefix":"/status/","route_type":"idempotent",
        "timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"trail-voice","max_attempts":2}],
        "services":[{"name":"trail-voice","health_path":"/healthz","max_connections":418}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
        "tenants":[{"name":"resort","api_keys":["key-1"]}]}"#
        .to_owned()
}
