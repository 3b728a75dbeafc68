//! Distinguishes an endpoint that has crashed from one that only lost a connection.

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

/// Timeout for connecting to an endpoint that is checked. One that has crashed refuses within a round trip.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a check stays valid, in milliseconds: all requests of an endpoint break off within a few milliseconds of
/// its crash, and it needs seconds to start again.
const CHECK_VALID_MS: u64 = 1_000;

/// State of an endpoint whose connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashCheck {
    /// Nothing listens at its address, and it had not announced that it leaves.
    Crashed,
    /// It accepts connections.
    Alive,
    /// It is leaving, or its record had been removed before: it ends as planned.
    Leaving,
    /// It does not answer: it is cut off, frozen or without power.
    Unknown,
}

type SharedCheck = Shared<LocalBoxFuture<'static, CrashCheck>>;

/// Recent checks of endpoints, so that all requests that broke off together share one.
#[derive(Default)]
pub struct CrashChecks {
    checks: RefCell<HashMap<String, (u64, SharedCheck)>>,
}

impl CrashChecks {
    /// Returns the check of an endpoint that is running or still valid, or starts a new one.
    fn get_or_start(&self, id: &str, now_ms: u64, start: impl FnOnce() -> SharedCheck) -> SharedCheck {
        let mut checks = self.checks.borrow_mut();
        checks.retain(|_, (at_ms, _)| now_ms < *at_ms + CHECK_VALID_MS);
        checks.entry(id.to_owned()).or_insert_with(|| (now_ms, start())).1.clone()
    }
}

/// Checks whether an endpoint that broke a connection at `broke_ms` has crashed.
pub async fn check<D: Dialect>(entry: &Rc<Entry<D>>, pick: &Pick, broke_ms: u64) -> CrashCheck {
    if entry.state.borrow().pool.ended_as_planned(pick, broke_ms) {
        return CrashCheck::Leaving;
    }
    let now_ms = entry.clock.now_ms();
    let start = || probe(Rc::clone(entry), pick.clone()).boxed_local().shared();
    let check = entry.crash_checks.get_or_start(&pick.id, now_ms, start);
    check.await
}

async fn probe<D: Dialect>(entry: Rc<Entry<D>>, pick: Pick) -> CrashCheck {
    let started_ms = entry.clock.now_ms();
    let found = match Connection::open(pick.addr, CHECK_TIMEOUT).await {
        Ok(connection) => {
            // The next request needs a connection anyway.
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
