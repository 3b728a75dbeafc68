//! An idle connection to an endpoint, beside answers that end with their connections.
//!
//! The end of such an answer looks the same whether the endpoint has sent all of it or has crashed. A crash ends all
//! connections of a process at once, and the end of an answer just its own. So an idle connection tells both apart, also
//! if the endpoint's listener outlives its connections, and if the endpoint runs again by the time of the check.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use ochreyard_core::direct::{EndpointIncarnation, Pick};
use ochreyard_process::Clock;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::attempt::CONNECT_TIMEOUT;

/// Pause before a connection that has closed is opened again: endpoints close idle connections after a while, and those
/// beyond their limit at once.
const REOPEN_DELAY: Duration = Duration::from_secs(1);
/// Longest time between the ends of two connections that a crash closes, in milliseconds.
const MAX_SPREAD_MS: u64 = 100;

/// What is known of a witness.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Observed {
    /// It was not open yet.
    #[default]
    Nothing,
    Open,
    /// It has closed at this time, in milliseconds of the clock.
    Closed(u64),
}

/// What a witness says about the end of another connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Testimony {
    /// The endpoint runs.
    Running,
    /// The endpoint has crashed.
    Crashed,
    /// The witness was not open.
    None,
}

/// An idle connection that is open while an answer needs it, as far as the endpoint allows.
#[derive(Debug)]
pub struct Witness {
    observed: Rc<Cell<Observed>>,
    task: AbortHandle,
}

impl Drop for Witness {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Witness {
    fn open(addr: SocketAddr, clock: Clock) -> Self {
        let observed = Rc::new(Cell::default());
        let task = tokio::task::spawn_local(observe(addr, clock, Rc::clone(&observed)));
        Self { observed, task: task.abort_handle() }
    }

    /// Returns what the witness says about a connection that ended at `ended_ms`.
    #[must_use]
    pub fn testimony(&self, ended_ms: u64) -> Testimony {
        match self.observed.get() {
            Observed::Open => Testimony::Running,
            Observed::Closed(closed_ms) if closed_ms + MAX_SPREAD_MS >= ended_ms => Testimony::Crashed,
            Observed::Nothing | Observed::Closed(_) => Testimony::None,
        }
    }
}

/// Keeps a connection open, and notes when it closes.
async fn observe(addr: SocketAddr, clock: Clock, observed: Rc<Cell<Observed>>) {
    loop {
        if let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
            observed.set(Observed::Open);
            wait_until_closed(&stream).await;
            observed.set(Observed::Closed(clock.now_ms()));
        }
        tokio::time::sleep(REOPEN_DELAY).await;
    }
}

/// Waits for the end of a connection on which nothing was asked, so that bytes are no use either.
async fn wait_until_closed(stream: &TcpStream) {
    loop {
        let read = stream.readable().await.and_then(|()| stream.try_read(&mut [0]));
        if !read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock) {
            return;
        }
    }
}

/// The witnesses that are in use, so that answers of one endpoint share one.
#[derive(Default)]
pub struct Witnesses(RefCell<HashMap<EndpointIncarnation, Weak<Witness>>>);

impl Witnesses {
    /// Returns the witness for an answer of an endpoint, which the answer holds until its end.
    pub fn get(&self, pick: &Pick, clock: Clock) -> Rc<Witness> {
        let mut witnesses = self.0.borrow_mut();
        if let Some(witness) = witnesses.get(&pick.incarnation()).and_then(Weak::upgrade) {
            return witness;
        }
        witnesses.retain(|_, witness| witness.strong_count() > 0);
        let witness = Rc::new(Witness::open(pick.addr, clock));
        witnesses.insert(pick.incarnation(), Rc::downgrade(&witness));
        witness
    }
}
