//! Command-line arguments and listeners of the stand-in programs.

use std::net::SocketAddr;

use axum::serve::{Listener, ListenerExt};
use tokio::net::TcpListener;

/// Returns the first argument as a socket address.
///
/// # Panics
///
/// Panics if the argument is missing or is not an address with a port.
#[must_use]
pub fn listen_addr() -> SocketAddr {
    let arg = std::env::args().nth(1).expect("usage: PROGRAM ADDRESS");
    arg.parse().expect("the first argument must be an address with port")
}

/// Returns the argument at `position` as a number, or `default` if it is missing or not a number.
#[must_use]
pub fn number_arg(position: usize, default: u64) -> u64 {
    std::env::args().nth(position).and_then(|arg| arg.parse().ok()).unwrap_or(default)
}

/// Wraps a listener so that its connections use `TCP_NODELAY`.
pub fn with_nodelay(listener: TcpListener) -> impl Listener<Addr = SocketAddr> {
    listener.tap_io(|stream| {
        // A failure is ignored: the connection is slower without `TCP_NODELAY`, but works.
        let _ = stream.set_nodelay(true);
    })
}
