//! Tells an endpoint that has crashed from one that only lost a connection.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::{LocalBoxFuture, Shared};
use http::HeaderMap;
use ochreyard_core::direct::Pick;

use crate::connection::Connection;
use crate::dialect::Dialect;
use crate::entry::Entry;

/// Longest wait for an endpoint that is looked at. One that has crashed refuses within a round trip.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a look counts: all requests of an endpoint break off within a few milliseconds of its
/// crash, and it needs seconds to start again. In milliseconds.
const CHECK_VALID_MS: u64 = 1_000;

/// What became of an endpoint whose connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashCheck {
    /// Nothing listens at its address, and it had not said that it leaves.
    Crashed,
    /// It takes connections.
    Alive,
    /// It leaves, or its entry has gone: its end is planned.
    Leaving,
    /// It does not answer: cut off, frozen or without power.
    Unknown,
}

type SharedCheck = Shared<LocalBoxFuture<'static, CrashCheck>>;

/// The latest looks at endpoints, so that all requests that broke off together share one.
#[derive(Default)]
pub struct CrashChecks {
    checks: RefCell<HashMap<String, (u64, SharedCheck)>>,
}

impl CrashChecks {
    /// The look at an endpoint that is under way or has just been made, or a new one.
    fn look(&self, id: &str, now_ms: u64, make: impl FnOnce() -> SharedCheck) -> SharedCheck {
        let mut checks = self.checks.borrow_mut();
        checks.retain(|_, (at_ms, _)| now_ms < *at_ms + CHECK_VALID_MS);
        checks.entry(id.to_owned()).or_insert_with(|| (now_ms, make())).1.clone()
    }
}

/// Looks whether an endpoint that broke a connection has crashed.
pub async fn check<D: Dialect>(entry: &Rc<Entry<D>>, pick: &Pick) -> CrashCheck {
    if has_left(entry, pick) {
        return CrashCheck::Leaving;
    }
    let now_ms = entry.clock.now_ms();
    let make = || probe(Rc::clone(entry), pick.clone()).boxed_local().shared();
    let look = entry.crash_checks.look(&pick.id, now_ms, make);
    look.await
}

fn has_left<D: Dialect>(entry: &Entry<D>, pick: &Pick) -> bool {
    entry.state.borrow().pool.has_left(pick)
}

async fn probe<D: Dialect>(entry: Rc<Entry<D>>, pick: Pick) -> CrashCheck {
    let started_ms = entry.clock.now_ms();
    let found = match Connection::open(pick.addr, CHECK_TIMEOUT).await {
        Ok(connection) => {
            // The next request needs one anyway.
            let now_ms = entry.clock.now_ms();
            entry.state.borrow_mut().connections.keep(&pick, connection, &HeaderMap::new(), now_ms);
            CrashCheck::Alive
        }
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => CrashCheck::Crashed,
        Err(_) => CrashCheck::Unknown,
    };
    log::info!(
        "event=endpoint_checked endpoint={} addr={} found={found:?} took_ms={}",
        pick.id,
        pick.addr,
        entry.clock.now_ms() - started_ms
    );
    found
}
