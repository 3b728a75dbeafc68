//! Checks whether the system of a peer is reachable, apart from whether its process reads.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

use futures::FutureExt;
use futures::future::{LocalBoxFuture, Shared};
use ochreyard_core::direct::PeerWatch;
use tokio::net::TcpStream;

use crate::timeout::timeout_after_reads;

/// A running check, which returns whether the peer is reachable.
pub type ReachabilityCheck = Shared<LocalBoxFuture<'static, bool>>;

thread_local! {
    /// The checks that are running, so that connections to one peer share one.
    static RUNNING: RefCell<HashMap<SocketAddr, ReachabilityCheck>> = RefCell::default();
}

/// Checks whether a new connection to `addr` opens, or is refused: a system that answers is reachable. The check goes on in
/// the background if its result is no longer awaited.
pub fn check(addr: SocketAddr) -> ReachabilityCheck {
    RUNNING.with_borrow_mut(|running| running.entry(addr).or_insert_with(|| start(addr)).clone())
}

fn start(addr: SocketAddr) -> ReachabilityCheck {
    let check = is_reachable(addr).boxed_local().shared();
    drop(tokio::task::spawn_local(check.clone()));
    check
}

async fn is_reachable(addr: SocketAddr) -> bool {
    let opened = timeout_after_reads(PeerWatch::TIMEOUT, TcpStream::connect(addr)).await;
    RUNNING.with_borrow_mut(|running| running.remove(&addr));
    match opened {
        Some(Ok(_)) => true,
        // Errors of this system, such as a lack of file descriptors, say nothing about the peer.
        Some(Err(error)) => !matches!(
            error.kind(),
            io::ErrorKind::TimedOut | io::ErrorKind::HostUnreachable | io::ErrorKind::NetworkUnreachable
        ),
        None => false,
    }
}
