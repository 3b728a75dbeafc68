//! The shutdown of listeners, as a typestate, so that no connection is lost that the system has accepted.
//!
//! `Accepting` → `Closing` (the system ignores new connections; those in the listener's queue are still accepted).
//!
//! A process that exits resets the connections in the queues of its listeners, with all that their callers have sent.
//! Emptying a queue first doesn't help, since further connections are established meanwhile. A listener that is closing
//! therefore drops the first packet of each new connection. Its sender repeats that packet after a second, and is refused
//! by then or reaches the next process.

use std::marker::PhantomData;
use std::os::fd::AsFd;
use std::time::Duration;

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::{SockFilter, SockRef};

/// State: new connections are established.
#[derive(Debug, Clone, Copy)]
pub struct Accepting;
/// State: no new connections are established.
#[derive(Debug, Clone, Copy)]
pub struct Closing;

/// How long a connection may take to be established that was begun before its listener started to close.
const HANDSHAKE_TIME: Duration = Duration::from_millis(100);
/// How often a closing listener is checked. Each check gives the task that accepts connections a turn.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Instructions of the classic BPF: load a byte, mask it, compare it, return.
const LOAD_BYTE: u16 = 0x30;
const AND: u16 = 0x54;
const JUMP_IF_EQUAL: u16 = 0x15;
const RETURN: u16 = 0x06;
/// Offset of the flags in a TCP header, and the flags of a connection's packets.
const FLAGS_OFFSET: u32 = 13;
const SYN: u32 = 0x02;
const ACK: u32 = 0x10;
/// Return values of a filter: the number of bytes that pass.
const DROP: u32 = 0;
const PASS: u32 = u32::MAX;

/// Drops packets with SYN and without ACK, the first ones of connections. Established connections inherit the filter
/// from their listener, and get no such packets.
const NEW_CONNECTION_FILTER: [SockFilter; 5] = [
    SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
    SockFilter::new(AND, 0, 0, SYN | ACK),
    SockFilter::new(JUMP_IF_EQUAL, 0, 1, SYN),
    SockFilter::new(RETURN, 0, 0, DROP),
    SockFilter::new(RETURN, 0, 0, PASS),
];

/// A listener, as it is shut down. Another task accepts its connections, until the process exits.
#[derive(Debug)]
pub struct ListenerGate<S, State> {
    socket: S,
    state: PhantomData<State>,
}

impl<S: AsFd> ListenerGate<S, Accepting> {
    /// Creates the gate of a listener that accepts connections.
    pub const fn new(socket: S) -> Self {
        Self { socket, state: PhantomData }
    }

    /// Stops new connections from being established. On a system without socket filters they still are, which is logged.
    pub fn close(self) -> ListenerGate<S, Closing> {
        if let Err(error) = SockRef::from(&self.socket).attach_filter(&NEW_CONNECTION_FILTER) {
            log::info!("event=listener_not_filtered error=\"{error}\"");
        }
        ListenerGate { socket: self.socket, state: PhantomData }
    }
}

impl<S: AsFd> ListenerGate<S, Closing> {
    /// Returns whether no established connection waits to be accepted.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        let mut watched = [PollFd::new(&self.socket, PollFlags::IN)];
        !poll(&mut watched, Some(&Timespec::default())).is_ok_and(|ready_count| ready_count > 0)
    }
}

/// Closes listeners, and waits until all connections that were begun before are established and accepted. There is no
/// timeout: on a system without socket filters, further connections may follow each other.
pub async fn close_listeners<S: AsFd>(listeners: impl IntoIterator<Item = ListenerGate<S, Accepting>>) {
    let closing: Vec<_> = listeners.into_iter().map(ListenerGate::close).collect();
    tokio::time::sleep(HANDSHAKE_TIME).await;
    while !closing.iter().all(ListenerGate::is_drained) {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
