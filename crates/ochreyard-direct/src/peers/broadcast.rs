//! News that one box tells all others: they are passed on, so that nobody tells hundreds.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use ochreyard_core::direct::{BoxRecord, GroupNews, LimitNews, QuarantineNews};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::call_error::CallError;
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::http_client::HttpClient;

/// Largest news that are taken.
const MAX_UPDATE_BYTES: usize = 1 << 20;
/// Longest wait for a box that is told: until it is told again of a group.
const BROADCAST_TIMEOUT: Duration = Duration::from_millis(300);
/// Up to this many boxes are told directly: passing on would save little.
const MAX_DIRECT_PEERS: usize = 12;
/// How long a box that took no news is not asked to pass them on, in milliseconds.
const UNREACHABLE_FOR_MS: u64 = 2_000;
/// Boxes of one share that are tried one after the other.
const MAX_BATCH_ATTEMPTS: usize = 3;

/// Something that boxes tell each other.
pub trait PeerUpdate: Serialize + DeserializeOwned + Clone + 'static {
    /// Where it is told.
    const PATH: &'static str;

    /// Takes it over.
    fn apply<D: Dialect>(&self, entry: &Rc<Entry<D>>);
}

impl PeerUpdate for GroupNews {
    const PATH: &'static str = "/group";

    fn apply<D: Dialect>(&self, entry: &Rc<Entry<D>>) {
        entry.apply_group_update(self);
    }
}

impl PeerUpdate for QuarantineNews {
    const PATH: &'static str = "/quarantine";

    fn apply<D: Dialect>(&self, entry: &Rc<Entry<D>>) {
        entry.apply_quarantine_update(self);
    }
}

impl PeerUpdate for LimitNews {
    const PATH: &'static str = "/limits";

    fn apply<D: Dialect>(&self, entry: &Rc<Entry<D>>) {
        entry.apply_limit_update(self);
    }
}

/// News, and the boxes that the one which gets them tells in turn.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Told<N> {
    news: N,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pass_on: Vec<SocketAddr>,
}

impl<N: PeerUpdate> Told<N> {
    async fn tell(&self, link: &HttpClient) -> Result<(), CallError> {
        link.post(N::PATH, self, BROADCAST_TIMEOUT).await.map(drop)
    }
}

/// Boxes that took no news of late, each with the time until which it is passed over.
#[derive(Debug, Default)]
pub struct UnreachablePeers {
    until_ms: RefCell<BTreeMap<SocketAddr, u64>>,
}

/// Tells all other boxes, without waiting for them.
///
/// One that told hundreds of boxes itself would spend most of its link on it. So it tells about the square
/// root of them, and each of those passes the news on to as many others.
pub fn broadcast<D: Dialect, N: PeerUpdate>(entry: &Rc<Entry<D>>, news: &N) {
    let boxes: Vec<SocketAddr> = entry.state.borrow().boxes.addrs().collect();
    tell(entry, news, boxes);
}

/// Tells all other boxes of this data centre, in the same way.
pub fn broadcast_to_data_centre<D: Dialect, N: PeerUpdate>(entry: &Rc<Entry<D>>, news: &N) {
    let is_near = |record: &BoxRecord| record.data_centre == entry.identity.data_centre;
    let state = entry.state.borrow();
    let near = state.boxes.iter().filter(|(_, record)| is_near(record)).map(|(_, record)| record.addr);
    let boxes = near.collect();
    drop(state);
    tell(entry, news, boxes);
}

fn tell<D: Dialect, N: PeerUpdate>(entry: &Rc<Entry<D>>, news: &N, mut boxes: Vec<SocketAddr>) {
    // Boxes of one data centre have addresses alike, so most news are passed on within it.
    boxes.sort_unstable();
    boxes.dedup();
    for share in boxes.chunks(batch_size(boxes.len())) {
        let told = Told { news: news.clone(), pass_on: reachable_first(entry, share) };
        tokio::task::spawn_local(send_to_batch(Rc::clone(entry), told));
    }
}

/// Boxes that are told by one of them: the root of all, so that the first one tells no more
/// boxes than each of those passes news on to.
const fn batch_size(boxes: usize) -> usize {
    if boxes <= MAX_DIRECT_PEERS { 1 } else { boxes.isqrt() }
}

/// The boxes of a share, those first that take news.
fn reachable_first<D: Dialect>(entry: &Entry<D>, share: &[SocketAddr]) -> Vec<SocketAddr> {
    let now_ms = entry.clock.now_ms();
    let passed_over = entry.passed_over.until_ms.borrow();
    let is_unreachable = |addr: &SocketAddr| passed_over.get(addr).is_some_and(|until_ms| now_ms < *until_ms);
    let mut share = share.to_vec();
    share.sort_by_key(is_unreachable);
    share
}

/// Tells the first box of a share that takes the news, and lets it tell the others.
async fn send_to_batch<D: Dialect, N: PeerUpdate>(entry: Rc<Entry<D>>, mut told: Told<N>) {
    for _ in 0..MAX_BATCH_ATTEMPTS.min(told.pass_on.len()) {
        let first = told.pass_on.remove(0);
        let Err(error) = told.tell(&entry.link(first)).await else {
            entry.passed_over.until_ms.borrow_mut().remove(&first);
            return;
        };
        log::debug!("event=box_not_told addr={first} error=\"{error}\"");
        let until_ms = entry.clock.now_ms() + UNREACHABLE_FOR_MS;
        entry.passed_over.until_ms.borrow_mut().insert(first, until_ms);
    }
}

/// Takes what another box tells, and passes it on.
pub async fn receive_update<D: Dialect, N: PeerUpdate>(entry: &Rc<Entry<D>>, request: Request<Incoming>) -> StatusCode {
    let Ok(body) = Limited::new(request.into_body(), MAX_UPDATE_BYTES).collect().await else {
        return StatusCode::BAD_REQUEST;
    };
    let told: Told<N> = match serde_json::from_slice(&body.to_bytes()) {
        Ok(told) => told,
        Err(error) => {
            log::warn!("event=news_unreadable path={} error=\"{error}\"", N::PATH);
            return StatusCode::BAD_REQUEST;
        }
    };
    told.news.apply(entry);
    pass_on(entry, told);
    StatusCode::NO_CONTENT
}

/// Passes news on, without waiting for those that are told.
fn pass_on<D: Dialect, N: PeerUpdate>(entry: &Rc<Entry<D>>, told: Told<N>) {
    let passed = Rc::new(Told { news: told.news, pass_on: Vec::new() });
    for addr in told.pass_on {
        let (link, passed) = (entry.link(addr), Rc::clone(&passed));
        tokio::task::spawn_local(async move {
            if let Err(error) = passed.tell(&link).await {
                log::debug!("event=box_not_told addr={addr} error=\"{error}\"");
            }
        });
    }
}
