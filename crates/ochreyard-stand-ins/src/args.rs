//! Arguments and listeners of the stand-ins.

use std::net::SocketAddr;

use axum::serve::{Listener, ListenerExt};
use tokio::net::TcpListener;

/// The first argument as an address.
///
/// # Panics
///
/// When it is missing or no address.
#[must_use]
pub fn listen_addr() -> SocketAddr {
    let arg = std::env::args().nth(1).expect("usage: PROGRAM ADDRESS");
    arg.parse().expect("the first argument must be an address with port")
}

/// The argument at `position` as a number, or `default`.
#[must_use]
pub fn number(position: usize, default: u64) -> u64 {
    std::env::args().nth(position).and_then(|arg| arg.parse().ok()).unwrap_or(default)
}

/// A listener whose connections send small writes at once.
pub fn without_delay(listener: TcpListener) -> impl Listener<Addr = SocketAddr> {
    listener.tap_io(|stream| {
        // A connection without it is slower, and no worse.
        let _ = stream.set_nodelay(true);
    })
}
