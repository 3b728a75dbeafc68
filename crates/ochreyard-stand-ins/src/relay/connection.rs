//! One connection through a relay.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::partition::Partition;
use super::state::RelayState;

/// Largest number of bytes that are relayed in one chunk.
const CHUNK_BYTES: usize = 16 * 1024;

/// Relays one connection until either side closes it, or all connections are reset.
pub async fn relay_connection(client: TcpStream, target: String, state: Arc<watch::Sender<RelayState>>) {
    // No connection to the target is opened while the direction to it is blocked.
    let mut state_watch = state.subscribe();
    if state_watch.wait_for(|state| !state.partition.to_target).await.is_err() {
        return;
    }
    let resets = state_watch.borrow().resets;
    let Ok(addr) = target.parse::<SocketAddr>() else { return };
    let Ok(target_stream) = TcpStream::connect(addr).await else { return };
    let _ = (client.set_nodelay(true), target_stream.set_nodelay(true));
    let (mut client, mut target_stream) = (client, target_stream);
    let is_reset = tokio::select! {
        () = copy_both_ways(&mut client, &mut target_stream, &state) => false,
        _ = state_watch.wait_for(|state| state.resets != resets) => true,
    };
    if is_reset {
        close_with_reset(&client);
        close_with_reset(&target_stream);
    }
}

/// Copies bytes in both directions until either direction ends.
async fn copy_both_ways(client: &mut TcpStream, target_stream: &mut TcpStream, state: &watch::Sender<RelayState>) {
    let (client_read, client_write) = client.split();
    let (target_read, target_write) = target_stream.split();
    let to_target = copy_one_way(client_read, target_write, state.subscribe(), |partition| partition.to_target);
    let from_target = copy_one_way(target_read, client_write, state.subscribe(), |partition| partition.from_target);
    tokio::select! {
        () = to_target => {}
        () = from_target => {}
    }
}

/// Makes the close of this connection send a reset, by a linger time of zero.
fn close_with_reset(stream: &TcpStream) {
    drop(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
}

async fn copy_one_way(
    mut reader: impl AsyncReadExt + Unpin,
    mut writer: impl AsyncWriteExt + Unpin,
    mut state: watch::Receiver<RelayState>,
    is_blocked: fn(&Partition) -> bool,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let Ok(length) = reader.read(&mut buffer).await else { return };
        let delay = state.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if length == 0 || state.wait_for(|state| !is_blocked(&state.partition)).await.is_err() {
            return;
        }
        if writer.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
