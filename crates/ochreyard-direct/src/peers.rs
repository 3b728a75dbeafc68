//! What boxes tell each other: the configuration, the endpoints, and who is there.
//!
//! A box asks one other for a newer configuration now and then, since a reading
//! of the platform's log may hang or miss a record; and several others for all
//! they know while the log gives it no answer, and when it starts. All of it is
//! compared by version or offset, so that a box that is behind cannot bring back
//! what is old.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use ochreyard_core::direct::{EndpointRecord, GroupNews};
use serde::{Deserialize, Serialize};

use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::link::CallLink;

/// Where a box tells what it knows.
pub const STATE_PATH: &str = "/state";
/// Where the leader of a group tells of it.
pub const GROUP_PATH: &str = "/group";
/// Largest news of a group.
const MAX_NEWS_BYTES: usize = 64 << 10;
/// How often others are asked: several times within the time in which a change
/// must be in force.
const ASK_EVERY: Duration = Duration::from_millis(400);
/// Longest wait for another box.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// Boxes that are asked at a time while the log gives no answer.
const ASKED_AT_ONCE: usize = 3;

/// What a box knows and another one may lack.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
pub struct PeerState {
    /// The configuration's document, unless the asker has this version or a newer one.
    pub config: Option<String>,
    /// Endpoints that changed since the offset that the asker named.
    pub endpoints: Vec<PeerEndpoint>,
    /// How far the records of endpoints were read, and how long ago.
    pub reading: Option<PeerReading>,
    /// Boxes by name.
    pub boxes: BTreeMap<String, SocketAddr>,
}

/// How far a box has come with the records of endpoints.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct PeerReading {
    /// Where to read on.
    pub next: u64,
    /// How long ago the log was asked, in milliseconds.
    pub age_ms: u64,
}

/// One endpoint in a box's answer; without a record its entry has gone.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerEndpoint {
    /// Its identifier.
    pub id: String,
    /// The offset of its last change.
    pub offset: u64,
    /// Its record.
    pub record: Option<EndpointRecord>,
}

/// The answer to a box that asks; what it says of itself is noted.
pub fn state_for<D: Dialect>(entry: &Entry<D>, query: &str) -> Bytes {
    let query: BTreeMap<&str, &str> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
    let version = query.get("version").and_then(|version| version.parse::<u64>().ok());
    if let (Some(name), Some(Ok(addr))) = (query.get("box"), query.get("addr").map(|addr| addr.parse())) {
        entry.take_box(name, addr);
    }
    let state = entry.state.borrow();
    let newer = state.table.as_ref().filter(|table| version.is_none_or(|version| version < table.version()));
    let config = newer.and_then(|_| String::from_utf8(state.config_document.to_vec()).ok());
    let from = query.get("from").and_then(|from| from.parse::<u64>().ok());
    let changed = from.into_iter().flat_map(|from| state.catalog.changed_since(from));
    let endpoints =
        changed.map(|(id, offset, record)| PeerEndpoint { id: id.to_owned(), offset, record: record.cloned() });
    let age_ms = state.reading.age_ms(entry.clock.now_ms());
    let reading = state.reading.next().filter(|_| from.is_some());
    let reading = reading.map(|next| PeerReading { next: state.catalog.settled_until(next), age_ms });
    let mut boxes = if query.contains_key("boxes") { state.boxes.clone() } else { BTreeMap::new() };
    boxes.insert(entry.identity.name.clone(), entry.identity.peer_addr);
    let told = PeerState { config, endpoints: endpoints.collect(), reading, boxes };
    serde_json::to_vec(&told).map(Bytes::from).unwrap_or_else(|error| {
        log::error!("event=state_unwritable error=\"{error}\"");
        Bytes::new()
    })
}

/// Takes what a leader tells of its group.
pub async fn take_news<D: Dialect>(entry: &Entry<D>, request: Request<Incoming>) -> StatusCode {
    let Ok(body) = Limited::new(request.into_body(), MAX_NEWS_BYTES).collect().await else {
        return StatusCode::BAD_REQUEST;
    };
    let Ok(news) = serde_json::from_slice::<GroupNews>(&body.to_bytes()) else {
        log::warn!("event=group_news_unreadable");
        return StatusCode::BAD_REQUEST;
    };
    let now_ms = entry.clock.now_ms();
    entry.state.borrow_mut().pool.on_news(&news, now_ms);
    log::debug!("event=group_told group={} serving={}", news.group, news.is_serving);
    StatusCode::NO_CONTENT
}

/// Asks other boxes. `seeds` are addresses that
/// are tried beside the boxes that are known.
pub async fn keep_asking<D: Dialect>(entry: Rc<Entry<D>>, seeds: Vec<SocketAddr>) {
    let mut links: BTreeMap<SocketAddr, Rc<CallLink>> = BTreeMap::new();
    loop {
        tokio::time::sleep(ASK_EVERY).await;
        let addrs = to_ask(&entry, &seeds);
        for addr in addrs {
            let link = links.entry(addr).or_insert_with(|| Rc::new(CallLink::new(addr)));
            tokio::task::spawn_local(ask(Rc::clone(&entry), Rc::clone(link)));
        }
    }
}

fn to_ask<D: Dialect>(entry: &Entry<D>, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
    let state = entry.state.borrow();
    let is_well = state.log_answers && state.table.is_some();
    let own = entry.identity.peer_addr;
    let mut addrs: Vec<SocketAddr> = state.boxes.values().chain(seeds).copied().filter(|addr| *addr != own).collect();
    addrs.sort_unstable();
    addrs.dedup();
    if addrs.is_empty() {
        return addrs;
    }
    let first = usize::try_from(entry.draw() % addrs.len() as u64).unwrap_or(0);
    addrs.rotate_left(first);
    if !is_well {
        addrs.truncate(ASKED_AT_ONCE);
        return addrs;
    }
    drop(state);
    vec![entry.box_to_ask().unwrap_or(addrs[0])]
}

async fn ask<D: Dialect>(entry: Rc<Entry<D>>, link: Rc<CallLink>) {
    let known = entry.state.borrow().table.as_ref().map(|table| table.version());
    let version = known.map_or_else(String::new, |version| format!("version={version}&"));
    let identity = &entry.identity;
    let boxes = if entry.state.borrow().log_answers { "" } else { "&boxes=1" };
    let asked_ms = entry.clock.now_ms();
    let from = entry.state.borrow().reading.next().unwrap_or(0);
    let path = format!("{STATE_PATH}?{version}box={}&addr={}&from={from}{boxes}", identity.name, identity.peer_addr);
    let request = Request::get(path).header(http::header::HOST, link.addr().to_string()).body(Full::default());
    let Ok(request) = request else { return };
    let told = match link.call(request, ASK_TIMEOUT).await {
        Ok(response) => serde_json::from_slice::<PeerState>(response.body()),
        Err(error) => {
            log::debug!("event=peer_silent addr={} error=\"{error}\"", link.addr());
            entry.state.borrow_mut().reading.pass_over();
            return;
        }
    };
    match told {
        Ok(told) => take(&entry, told, link.addr(), asked_ms),
        Err(error) => log::warn!("event=peer_unreadable addr={} error=\"{error}\"", link.addr()),
    }
}

fn take<D: Dialect>(entry: &Entry<D>, told: PeerState, from: SocketAddr, asked_ms: u64) {
    if let Some(document) = told.config {
        entry.take_config(&Bytes::from(document), &format!("peer-{from}"));
    }
    if let Some(reading) = told.reading {
        take_reading(entry, reading, asked_ms);
    }
    let now_ms = entry.clock.now_ms();
    for PeerEndpoint { id, offset, record } in told.endpoints {
        let change = entry.state.borrow_mut().catalog.take(&id, offset, record, now_ms);
        entry.apply(change);
    }
    for (name, addr) in told.boxes {
        entry.take_box(&name, addr);
    }
}

/// Takes over how far another box has read. Where the log was away, its reader says
/// that it is back.
fn take_reading<D: Dialect>(entry: &Entry<D>, told: PeerReading, asked_ms: u64) {
    let as_of_ms = asked_ms.saturating_sub(told.age_ms);
    let now_ms = entry.clock.now_ms();
    let mut state = entry.state.borrow_mut();
    if state.reading.take_told(told.next, as_of_ms, now_ms) {
        state.catalog.on_log_read(now_ms);
    }
}
