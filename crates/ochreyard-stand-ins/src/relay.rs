//! A TCP relay that injects network faults: a partition in either direction, delay, and connection resets.
//!
//! While a direction is blocked, its bytes are held back, as on a network that loses all packets: connections stay
//! open and no bytes arrive.

mod connection;
mod partition;
mod state;

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;

use self::connection::relay_connection;
pub use self::partition::Partition;
use self::state::RelayState;

/// A relay in front of one target address.
#[derive(Debug, Clone)]
pub struct Relay {
    state: Arc<watch::Sender<RelayState>>,
}

impl Relay {
    /// Listens on `addr` and relays all connections to `target`.
    ///
    /// # Panics
    ///
    /// Panics if the address cannot be bound.
    pub async fn start(addr: &str, target: String) -> Self {
        let listener = TcpListener::bind(addr).await.expect("the relay's address must be free");
        Self::with_listener(listener, target)
    }

    /// Relays all connections that `listener` accepts to `target`.
    #[must_use]
    pub fn with_listener(listener: TcpListener, target: String) -> Self {
        let state = Arc::new(watch::Sender::new(RelayState::default()));
        let relay = Self { state: Arc::clone(&state) };
        tokio::spawn(async move {
            let mut changes = state.subscribe();
            loop {
                let client = tokio::select! {
                    accepted = listener.accept() => accepted,
                    // An error means that no handle is left.
                    _ = changes.wait_for(|state| state.is_closed) => return,
                };
                let Ok((client, _)) = client else { return };
                tokio::spawn(relay_connection(client, target.clone(), Arc::clone(&state)));
            }
        });
        relay
    }

    /// Sets which directions are blocked; `Partition::default()` ends the partition.
    pub fn set_partition(&self, partition: Partition) {
        self.state.send_modify(|state| state.partition = partition);
    }

    /// Sets how long each chunk is delayed.
    pub fn set_delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }

    /// Closes the listener, as the end of the target's process closes its own.
    pub fn close(&self) {
        self.state.send_modify(|state| state.is_closed = true);
    }

    /// Resets all connections.
    pub fn reset_connections(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }
}
