//! Distinguishes an endpoint that has crashed from one that only lost a connection.

use std::cell::{Cell, RefCell};
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
/// How long a new connection has to stay open: a process that ends may close its listener after its connections, and
/// resets what it had not accepted.
pub const SETTLE_TIME: Duration = Duration::from_millis(20);
/// How long an endpoint that was found crashed counts as crashed, in milliseconds: it needs seconds to start again.
const CRASHED_VALID_MS: u64 = 1_000;

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

/// The latest check of an endpoint.
struct LatestCheck {
    /// Position among all breaks and checks.
    number: u64,
    started_ms: u64,
    result: SharedCheck,
}

/// The latest checks of endpoints, so that requests that broke off together share one.
#[derive(Default)]
pub struct CrashChecks {
    latest: RefCell<HashMap<String, LatestCheck>>,
    last_number: Cell<u64>,
}

impl CrashChecks {
    fn next_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }

    /// Returns the latest check of an endpoint, unless it is too old even for one that was found crashed.
    fn latest(&self, id: &str, now_ms: u64) -> Option<(u64, SharedCheck)> {
        let mut latest = self.latest.borrow_mut();
        latest.retain(|_, check| now_ms < check.started_ms + CRASHED_VALID_MS);
        latest.get(id).map(|check| (check.number, check.result.clone()))
    }

    fn start(&self, id: &str, now_ms: u64, result: SharedCheck) -> SharedCheck {
        let check = LatestCheck { number: self.next_number(), started_ms: now_ms, result: result.clone() };
        self.latest.borrow_mut().insert(id.to_owned(), check);
        result
    }
}

/// How a connection to an endpoint broke, as far as it is known without a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Break {
    /// With its endpoint.
    ByCrash,
    /// For a reason that is not known.
    Unexplained,
}

/// Checks whether an endpoint that broke a connection at `broke_ms` has crashed. One that is leaving, or has left, ends
/// as planned.
pub async fn check<D: Dialect>(entry: &Rc<Entry<D>>, pick: &Pick, how: Break, broke_ms: u64) -> CrashCheck {
    if entry.state.borrow().pool.ended_as_planned(pick, broke_ms) {
        return CrashCheck::Leaving;
    }
    match how {
        Break::ByCrash => CrashCheck::Crashed,
        Break::Unexplained => check_listener(entry, pick).await,
    }
}

/// Checks whether anything listens at the address of an endpoint that has just closed a connection, whether or not it is
/// leaving.
pub async fn check_listener<D: Dialect>(entry: &Rc<Entry<D>>, pick: &Pick) -> CrashCheck {
    let checks = &entry.crash_checks;
    let closed = checks.next_number();
    // A check that began before the connection closed may have met the endpoint before its crash.
    while let Some((number, result)) = checks.latest(&pick.id, entry.clock.now_ms()) {
        let found = result.await;
        if number > closed || found == CrashCheck::Crashed {
            return found;
        }
        let is_latest = checks.latest(&pick.id, entry.clock.now_ms()).is_none_or(|(latest, _)| latest == number);
        if is_latest {
            break;
        }
    }
    let probe = probe(Rc::clone(entry), pick.clone()).boxed_local().shared();
    checks.start(&pick.id, entry.clock.now_ms(), probe).await
}

async fn probe<D: Dialect>(entry: Rc<Entry<D>>, pick: Pick) -> CrashCheck {
    let started_ms = entry.clock.now_ms();
    let found = match open_settled(&pick).await {
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

/// Opens a connection that stays open for a while. A second one replaces it if it does not: an endpoint that has all the
/// connections it accepts resets the next one, and goes on listening.
async fn open_settled(pick: &Pick) -> io::Result<Connection> {
    let connection = Connection::open(pick.addr, CHECK_TIMEOUT).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    if connection.is_open() { Ok(connection) } else { Connection::open(pick.addr, CHECK_TIMEOUT).await }
}
