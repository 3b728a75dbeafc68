//! Arguments of the stand-ins.

use std::net::SocketAddr;

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
