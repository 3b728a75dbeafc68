//! Updates that one box sends to all others. Receivers forward them, so that no box sends to hundreds itself.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use ochreyard_core::direct::{BoxRecord, GroupUpdate, LimitUpdate, QuarantineUpdate};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::call_error::CallError;
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::http_client::HttpClient;

/// Largest update that is accepted.
const MAX_UPDATE_BYTES: usize = 1 << 20;
/// Timeout for sending an update to a box: the interval at which group updates are sent again.
const BROADCAST_TIMEOUT: Duration = Duration::from_millis(300);
/// Up to this many boxes get an update directly: forwarding would save little.
const MAX_DIRECT_PEERS: usize = 12;
/// How long a box that did not accept an update is not asked to forward others, in milliseconds.
const UNREACHABLE_FOR_MS: u64 = 2_000;
/// Number of boxes of one batch that are tried one after the other.
const MAX_BATCH_ATTEMPTS: usize = 3;

/// An update that boxes send each other.
pub trait PeerUpdate: Serialize + DeserializeOwned + Clone + 'static {
    /// HTTP path to which it is posted.
    const PATH: &'static str;

    /// Applies the update to the state of this box.
    fn apply<D: Dialect>(&self, entry: &Rc<Entry<D>>);
}

impl PeerUpdate for GroupUpdate {
    const PATH: &'static str = "/group";

    fn apply<D: Dialect>(&self, entry: &Rc<Entry<D>>) {
        entry.apply_group_update(self);
    }
}

impl PeerUpdate for QuarantineUpdate {
    const PATH: &'static str = "/quarantine";

    fn apply<D: Dialect>(&self, entry: &Rc<Entry<D>>) {
        entry.apply_quarantine_update(self);
    }
}

impl PeerUpdate for LimitUpdate {
    const PATH: &'static str = "/limits";

    fn apply<D: Dialect>(&self, entry: &Rc<Entry<D>>) {
        entry.apply_limit_update(self);
    }
}

/// An update, and the boxes to which the receiver forwards it.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct ForwardedUpdate<U> {
    #[serde(rename = "news")]
    update: U,
    #[serde(rename = "pass_on", default, skip_serializing_if = "Vec::is_empty")]
    forward_to: Vec<SocketAddr>,
}

impl<U: PeerUpdate> ForwardedUpdate<U> {
    async fn send(&self, client: &HttpClient) -> Result<(), CallError> {
        client.post(U::PATH, self, BROADCAST_TIMEOUT).await.map(drop)
    }
}

/// Boxes that recently failed to accept an update, each with the time until which others are preferred for forwarding.
#[derive(Debug, Default)]
pub struct UnreachablePeers {
    until_ms: RefCell<BTreeMap<SocketAddr, u64>>,
}

/// Sends an update to all other boxes, without waiting for them.
///
/// A box that sent to hundreds of boxes itself would spend most of its link on it. So it sends to about the square root
/// of them, and each of those forwards the update to as many others.
pub fn broadcast<D: Dialect, U: PeerUpdate>(entry: &Rc<Entry<D>>, update: &U) {
    let boxes: Vec<SocketAddr> = entry.state.borrow().boxes.addrs().collect();
    send_to(entry, update, boxes);
}

/// Sends an update to all other boxes of this data centre, in the same way.
pub fn broadcast_to_data_centre<D: Dialect, U: PeerUpdate>(entry: &Rc<Entry<D>>, update: &U) {
    let is_near = |record: &BoxRecord| record.data_centre == entry.identity.data_centre;
    let state = entry.state.borrow();
    let near = state.boxes.iter().filter(|(_, record)| is_near(record)).map(|(_, record)| record.addr);
    let boxes = near.collect();
    drop(state);
    send_to(entry, update, boxes);
}

fn send_to<D: Dialect, U: PeerUpdate>(entry: &Rc<Entry<D>>, update: &U, mut boxes: Vec<SocketAddr>) {
    // Boxes of one data centre have similar addresses, so most updates are forwarded within it.
    boxes.sort_unstable();
    boxes.dedup();
    for batch in boxes.chunks(batch_size(boxes.len())) {
        let message = ForwardedUpdate { update: update.clone(), forward_to: reachable_first(entry, batch) };
        tokio::task::spawn_local(send_to_batch(Rc::clone(entry), message));
    }
}

/// Size of a batch: the square root of all boxes, so that the first box sends to no more boxes than each receiver
/// forwards to.
const fn batch_size(boxes: usize) -> usize {
    if boxes <= MAX_DIRECT_PEERS { 1 } else { boxes.isqrt() }
}

/// The boxes of a batch, reachable ones first.
fn reachable_first<D: Dialect>(entry: &Entry<D>, batch: &[SocketAddr]) -> Vec<SocketAddr> {
    let now_ms = entry.clock.now_ms();
    let unreachable_peers = entry.unreachable_peers.until_ms.borrow();
    let is_unreachable = |addr: &SocketAddr| unreachable_peers.get(addr).is_some_and(|until_ms| now_ms < *until_ms);
    let mut batch = batch.to_vec();
    batch.sort_by_key(is_unreachable);
    batch
}

/// Sends the update to the first box of a batch that accepts it, which forwards it to the others.
async fn send_to_batch<D: Dialect, U: PeerUpdate>(entry: Rc<Entry<D>>, mut message: ForwardedUpdate<U>) {
    for _ in 0..MAX_BATCH_ATTEMPTS.min(message.forward_to.len()) {
        let first = message.forward_to.remove(0);
        let Err(error) = message.send(&entry.peer_client(first)).await else {
            entry.unreachable_peers.until_ms.borrow_mut().remove(&first);
            return;
        };
        log::debug!("event=peer_update_send_failed addr={first} error=\"{error}\"");
        let until_ms = entry.clock.now_ms() + UNREACHABLE_FOR_MS;
        entry.unreachable_peers.until_ms.borrow_mut().insert(first, until_ms);
    }
}

/// Applies an update from another box, and forwards it.
pub async fn receive_update<D: Dialect, U: PeerUpdate>(entry: &Rc<Entry<D>>, request: Request<Incoming>) -> StatusCode {
    let Ok(body) = Limited::new(request.into_body(), MAX_UPDATE_BYTES).collect().await else {
        return StatusCode::BAD_REQUEST;
    };
    let message: ForwardedUpdate<U> = match serde_json::from_slice(&body.to_bytes()) {
        Ok(message) => message,
        Err(error) => {
            log::warn!("event=peer_update_unreadable path={} error=\"{error}\"", U::PATH);
            return StatusCode::BAD_REQUEST;
        }
    };
    message.update.apply(entry);
    forward(entry, message);
    StatusCode::NO_CONTENT
}

/// Forwards an update, without waiting for the receivers.
fn forward<D: Dialect, U: PeerUpdate>(entry: &Rc<Entry<D>>, message: ForwardedUpdate<U>) {
    let forwarded = Rc::new(ForwardedUpdate { update: message.update, forward_to: Vec::new() });
    for addr in message.forward_to {
        let (client, forwarded) = (entry.peer_client(addr), Rc::clone(&forwarded));
        tokio::task::spawn_local(async move {
            if let Err(error) = forwarded.send(&client).await {
                log::debug!("event=peer_update_send_failed addr={addr} error=\"{error}\"");
            }
        });
    }
}
