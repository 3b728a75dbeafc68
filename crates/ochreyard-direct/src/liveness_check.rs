//! Liveness checks of endpoints that have shown no sign of life to this process.
//!
//! The system of an endpoint whose process is stopped goes on accepting connections and requests, and hands them over when
//! the process continues. So a request is sent only to an endpoint that has responded to something before.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::{LocalBoxFuture, Shared};
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use ochreyard_core::direct::{EndpointIncarnation, Pick};

use crate::attempt::{CONNECT_TIMEOUT, free_connection};
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::exchange::{ExchangeError, Exchanged, exchange};
use crate::meters;
use crate::timeout::timeout_after_reads;

/// How long a check waits for an answer. Requests that wait for it leave earlier.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the body of an answer may take, and its largest size, for its connection to be kept.
const BODY_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_BODY_BYTES: usize = 4 << 10;

/// Result of a liveness check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// The endpoint has sent something.
    Responding,
    /// It has sent nothing in time.
    Silent,
    /// No connection to it opens, or stays open.
    Unreachable,
}

type SharedCheck = Shared<LocalBoxFuture<'static, Liveness>>;

/// The checks that are running, so that requests to one endpoint share one.
#[derive(Default)]
pub struct LivenessChecks(RefCell<HashMap<EndpointIncarnation, SharedCheck>>);

/// Returns the path of the liveness check that an endpoint of a service has to respond to before it gets a request; `None` if
/// it needs none, or the service has no such path.
pub fn due_path<D: Dialect>(entry: &Entry<D>, service: &str, pick: &Pick) -> Option<String> {
    let is_due = entry.state.borrow().pool.needs_liveness_check(pick);
    if is_due { entry.health_path(service) } else { None }
}

/// Checks whether an endpoint responds. The check goes on in the background when this future is dropped.
pub async fn check<D: Dialect>(entry: &Rc<Entry<D>>, pick: &Pick, path: &str) -> Liveness {
    let running = entry.liveness_checks.0.borrow().get(&pick.incarnation()).cloned();
    running.unwrap_or_else(|| start(entry, pick, path)).await
}

fn start<D: Dialect>(entry: &Rc<Entry<D>>, pick: &Pick, path: &str) -> SharedCheck {
    let check = run(Rc::clone(entry), pick.clone(), path.to_owned()).boxed_local().shared();
    entry.liveness_checks.0.borrow_mut().insert(pick.incarnation(), check.clone());
    drop(tokio::task::spawn_local(check.clone()));
    check
}

async fn run<D: Dialect>(entry: Rc<Entry<D>>, pick: Pick, path: String) -> Liveness {
    let started_ms = entry.clock.now_ms();
    let found = timeout_after_reads(CHECK_TIMEOUT, ask(&entry, &pick, &path)).await.unwrap_or(Liveness::Silent);
    entry.liveness_checks.0.borrow_mut().remove(&pick.incarnation());
    let now_ms = entry.clock.now_ms();
    if found == Liveness::Responding {
        entry.state.borrow_mut().pool.on_response_bytes(&pick.id, now_ms);
    }
    meters::on_liveness_check(found == Liveness::Responding);
    let level = if found == Liveness::Responding { log::Level::Debug } else { log::Level::Info };
    log::log!(
        level,
        "event=liveness_checked endpoint={} addr={} found={found:?} took_ms={}",
        pick.id,
        pick.addr,
        now_ms - started_ms
    );
    found
}

/// Sends a check. Any answer will do: what the endpoint says about itself in its answers to requests decides whether it gets
/// more of them. The connection is kept for the next request if the check succeeded: a second copy of a refusal would say
/// that the next request has not run.
async fn ask<D: Dialect>(entry: &Rc<Entry<D>>, pick: &Pick, path: &str) -> Liveness {
    let request = Request::get(path)
        .header(http::header::HOST, pick.addr.to_string())
        .header(&entry.dialect.headers().target, &pick.id)
        .body(Full::new(Bytes::new()));
    let Ok(request) = request else { return Liveness::Responding };
    let kept = free_connection(entry, pick).await;
    match exchange(kept, pick.addr, CONNECT_TIMEOUT, || true, request).await {
        Ok(Exchanged { connection, response }) => {
            let (head, body) = response.into_parts();
            let body = Limited::new(body, MAX_BODY_BYTES).collect();
            if head.status.is_success()
                && let Some(Ok(_)) = timeout_after_reads(BODY_TIMEOUT, body).await
            {
                let now_ms = entry.clock.now_ms();
                entry.state.borrow_mut().connections.keep(pick, connection, &head.headers, now_ms);
            }
            Liveness::Responding
        }
        Err(ExchangeError::Malformed(_)) => Liveness::Responding,
        Err(_) => Liveness::Unreachable,
    }
}
