//! A TCP relay that can be cut, each direction by itself, slowed, and reset.
//!
//! While a direction is cut its bytes are held back, as a network that loses all
//! packets would have them: connections stay up and nothing arrives.

mod connection;
mod cut;
mod manner;

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;

use self::connection::relay_one;
pub use self::cut::Cut;
use self::manner::Manner;

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
        Self::on(listener, target)
    }

    /// Relays what comes to `listener` to `target`.
    #[must_use]
    pub fn on(listener: TcpListener, target: String) -> Self {
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
    pub fn set(&self, cut: Cut) {
        self.manner.send_modify(|manner| manner.cut = cut);
    }

    /// Holds each piece back for so long.
    pub fn slow(&self, delay: Duration) {
        self.manner.send_modify(|manner| manner.delay = delay);
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.manner.send_modify(|manner| manner.resets += 1);
    }
}
