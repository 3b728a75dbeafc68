//! A pool of idle connections to endpoints.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderMap;
use ochreyard_core::direct::{EndpointIncarnation, Pick};

use crate::connection::Connection;

/// How long an idle connection is kept if the endpoint states no timeout.
const DEFAULT_IDLE: Duration = Duration::from_secs(2);
/// Share of the stated timeout that is used: near its end the endpoint may close the connection while a request is
/// sent.
const USED_SHARE_OF_IDLE: f64 = 0.6;
/// Longest time for which an idle connection is kept, in seconds.
const MAX_IDLE_S: f64 = 60.0;
/// Maximum number of idle connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 16;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    until_ms: u64,
}

/// Idle connections, by incarnation and address of an endpoint.
///
/// The address may later belong to another endpoint, and connections to an earlier incarnation are of no use.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: HashMap<(EndpointIncarnation, SocketAddr), Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Removes and returns the most recently used connection that should still be open.
    pub fn take(&mut self, pick: &Pick, now_ms: u64) -> Option<Connection> {
        let idle = self.idle.get_mut(&(pick.incarnation(), pick.addr))?;
        while let Some(last) = idle.pop() {
            if last.until_ms > now_ms && last.connection.is_open() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was complete, unless the answer forbids it.
    pub fn keep(&mut self, pick: &Pick, connection: Connection, answer: &HeaderMap, now_ms: u64) {
        let Some(idle_time) = allowed_idle(answer) else { return };
        let idle = self.idle.entry((pick.incarnation(), pick.addr)).or_default();
        if idle.len() < MAX_IDLE_PER_ENDPOINT && connection.is_open() {
            connection.set_idle();
            idle.push(IdleConnection { connection, until_ms: now_ms + idle_time.as_millis() as u64 });
        }
    }

    /// Drops the connections to an endpoint that leaves.
    pub fn forget(&mut self, pick: &Pick) {
        self.idle.remove(&(pick.incarnation(), pick.addr));
    }

    /// Drops all connections.
    pub fn clear(&mut self) {
        self.idle.clear();
    }

    /// Drops connections that are closed or were idle for too long.
    pub fn sweep(&mut self, now_ms: u64) {
        self.idle.retain(|_, idle| {
            idle.retain(|entry| entry.until_ms > now_ms && entry.connection.is_open());
            !idle.is_empty()
        });
    }
}

/// Returns how long a connection may be idle after this answer; `None` if it must not be used again.
fn allowed_idle(answer: &HeaderMap) -> Option<Duration> {
    let connection = answer.get_all(http::header::CONNECTION).iter();
    let says_close =
        connection.filter_map(|value| value.to_str().ok()).any(|v| v.to_ascii_lowercase().contains("close"));
    if says_close {
        return None;
    }
    let stated = answer.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = stated.and_then(|text| {
        let named = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
        named.unwrap_or(text).trim().parse::<f64>().ok().filter(|seconds| !seconds.is_nan())
    });
    Some(seconds.map_or(DEFAULT_IDLE, |s| Duration::from_secs_f64((s * USED_SHARE_OF_IDLE).clamp(0.0, MAX_IDLE_S))))
}
