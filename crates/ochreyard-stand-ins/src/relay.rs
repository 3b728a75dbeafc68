//! A TCP relay that can be cut, each direction by itself, slowed, and reset.
//!
//! While a direction is cut its bytes are held back, as a network that loses all
//! packets would have them: connections stay up and nothing arrives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are taken at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Which directions are cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Cut {
    /// From the one who dials to the target.
    pub there: bool,
    /// From the target to the one who dials.
    pub back: bool,
}

/// What a relay does at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Manner {
    cut: Cut,
    /// How long each piece is held back.
    delay: Duration,
    /// How often all connections were reset.
    resets: u64,
}

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

async fn relay_one(near: TcpStream, target: String, manner: Arc<watch::Sender<Manner>>) {
    // Nobody gets through a cut: not even to make a connection.
    let mut watching = manner.subscribe();
    if watching.wait_for(|manner| !manner.cut.there).await.is_err() {
        return;
    }
    let resets = watching.borrow().resets;
    let Ok(addr) = target.parse::<SocketAddr>() else { return };
    let Ok(far) = TcpStream::connect(addr).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (mut near, mut far) = (near, far);
    let is_reset = {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        let there = pass(near_read, far_write, manner.subscribe(), |cut| cut.there);
        let back = pass(far_read, near_write, manner.subscribe(), |cut| cut.back);
        tokio::select! {
            () = there => false,
            () = back => false,
            _ = watching.wait_for(|manner| manner.resets != resets) => true,
        }
    };
    if is_reset {
        // Closed with no time to linger, a connection is reset.
        let linger = Some(Duration::ZERO);
        let _ = (SockRef::from(&near).set_linger(linger), SockRef::from(&far).set_linger(linger));
    }
}

async fn pass(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    mut manner: watch::Receiver<Manner>,
    is_cut: fn(&Cut) -> bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let Ok(length) = from.read(&mut chunk).await else { return };
        let delay = manner.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if length == 0 || manner.wait_for(|manner| !is_cut(&manner.cut)).await.is_err() {
            return;
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
