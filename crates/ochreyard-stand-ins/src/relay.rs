//! A TCP relay that can be cut, each direction by itself, slowed, and reset.
//!
//! While a direction is cut its bytes are held back, as a network that loses all
//! packets would have them: connections stay up and nothing arrives.

mod connection;
mod manner;
mod partition;

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;

use self::connection::relay_one;
use self::manner::Manner;
pub use self::partition::Partition;

/// A relay before one target.
#[derive(Debug, Clone)]
pub struct Relay {
    manner: Arc<watch::Sender<Manner>>,
}

impl Relay {
    /// Listens on `addr` and relays to `target`.
    ///
    /// # Panics
    ///
    /// When the address cannot be bound.
    pub async fn start(addr: &str, target: String) -> Self {
        let listener = TcpListener::bind(addr).await.expect("the relay's address is free");
        Self::with_listener(listener, target)
    }

    /// Relays what comes to `listener` to `target`.
    #[must_use]
    pub fn with_listener(listener: TcpListener, target: String) -> Self {
        let manner = Arc::new(watch::Sender::new(Manner::default()));
        let relay = Self { manner: Arc::clone(&manner) };
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(relay_one(near, target.clone(), Arc::clone(&manner)));
            }
        });
        relay
    }

    /// Cuts or mends.
    pub fn set_partition(&self, partition: Partition) {
        self.manner.send_modify(|manner| manner.partition = partition);
    }

    /// Holds each piece back for so long.
    pub fn set_delay(&self, delay: Duration) {
        self.manner.send_modify(|manner| manner.delay = delay);
    }

    /// Resets all connections.
    pub fn reset_connections(&self) {
        self.manner.send_modify(|manner| manner.resets += 1);
    }
}
