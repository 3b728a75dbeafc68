//! One connection through a relay.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::manner::Manner;
use super::partition::Partition;

/// Bytes that are taken at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Relays one connection until either side closes it, or all are reset.
pub async fn relay_one(near: TcpStream, target: String, manner: Arc<watch::Sender<Manner>>) {
    // Nobody gets through a cut: not even to make a connection.
    let mut watching = manner.subscribe();
    if watching.wait_for(|manner| !manner.partition.to_target).await.is_err() {
        return;
    }
    let resets = watching.borrow().resets;
    let Ok(addr) = target.parse::<SocketAddr>() else { return };
    let Ok(far) = TcpStream::connect(addr).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (mut near, mut far) = (near, far);
    let is_reset = tokio::select! {
        () = pass_both(&mut near, &mut far, &manner) => false,
        _ = watching.wait_for(|manner| manner.resets != resets) => true,
    };
    if is_reset {
        close_with_reset(&near);
        close_with_reset(&far);
    }
}

/// Passes bytes on in both directions, until either ends.
async fn pass_both(near: &mut TcpStream, far: &mut TcpStream, manner: &watch::Sender<Manner>) {
    let (near_read, near_write) = near.split();
    let (far_read, far_write) = far.split();
    let there = pass(near_read, far_write, manner.subscribe(), |partition| partition.to_target);
    let back = pass(far_read, near_write, manner.subscribe(), |partition| partition.from_target);
    tokio::select! {
        () = there => {}
        () = back => {}
    }
}

/// Closed with no time to linger, a connection is reset.
fn close_with_reset(stream: &TcpStream) {
    drop(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
}

async fn pass(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    mut manner: watch::Receiver<Manner>,
    is_cut: fn(&Partition) -> bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let Ok(length) = from.read(&mut chunk).await else { return };
        let delay = manner.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if length == 0 || manner.wait_for(|manner| !is_cut(&manner.partition)).await.is_err() {
            return;
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
