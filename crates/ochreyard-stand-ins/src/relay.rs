//! A TCP relay that can be cut, each direction by itself.
//!
//! While a direction is cut its bytes are held back, as a network that loses all
//! packets would have them: connections stay up and nothing arrives.

use std::net::SocketAddr;
use std::sync::Arc;

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

/// A relay before one target.
#[derive(Debug, Clone)]
pub struct Relay {
    cut: Arc<watch::Sender<Cut>>,
}

impl Relay {
    /// Listens on `addr` and relays to `target`.
    ///
    /// # Panics
    ///
    /// When the address cannot be bound.
    pub async fn start(addr: &str, target: String) -> Self {
        let listener = TcpListener::bind(addr).await.expect("the relay's address is free");
        let cut = Arc::new(watch::Sender::new(Cut::default()));
        let relay = Self { cut: Arc::clone(&cut) };
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(relay_one(near, target.clone(), Arc::clone(&cut)));
            }
        });
        relay
    }

    /// Cuts or mends.
    pub fn set(&self, cut: Cut) {
        self.cut.send_replace(cut);
    }
}

async fn relay_one(near: TcpStream, target: String, cut: Arc<watch::Sender<Cut>>) {
    // Nobody gets through a cut: not even to make a connection.
    let mut watching = cut.subscribe();
    if watching.wait_for(|cut| !cut.there).await.is_err() {
        return;
    }
    let Ok(addr) = target.parse::<SocketAddr>() else { return };
    let Ok(far) = TcpStream::connect(addr).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = pass(near_read, far_write, cut.subscribe(), |cut| cut.there);
    let back = pass(far_read, near_write, cut.subscribe(), |cut| cut.back);
    tokio::select! {
        () = there => {}
        () = back => {}
    }
}

async fn pass(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    mut cut: watch::Receiver<Cut>,
    is_cut: fn(&Cut) -> bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let Ok(length) = from.read(&mut chunk).await else { return };
        if length == 0 || cut.wait_for(|cut| !is_cut(cut)).await.is_err() {
            return;
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
