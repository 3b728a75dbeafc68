//! Asks other boxes, and takes what they tell.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ochreyard_core::direct::Questions;

use super::peer_reading::PeerReading;
use super::peer_state::PeerState;
use super::state_query::StateQuery;
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::http_client::HttpClient;

/// How often others are asked: several times within the time in which a change
/// must be in force.
const POLL_INTERVAL: Duration = Duration::from_millis(400);
/// How often, one at a time, until one has told the configuration.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for another box.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);
/// How long boxes that the platform names are asked now and then, in milliseconds.
const SEED_POLL_MS: u64 = 10_000;
/// Boxes that are asked at a time while the log gives no answer.
const MAX_PARALLEL_POLLS: usize = 3;

/// Asks other boxes. `seeds` are addresses that are tried beside the boxes that are known.
pub async fn poll_peers<D: Dialect>(entry: Rc<Entry<D>>, seeds: Vec<SocketAddr>) {
    let mut links: BTreeMap<SocketAddr, Rc<HttpClient>> = BTreeMap::new();
    let mut questions = Questions::default();
    loop {
        let is_new = entry.state.borrow().table.is_none();
        tokio::time::sleep(if is_new { INITIAL_POLL_INTERVAL } else { POLL_INTERVAL }).await;
        for (addr, role) in peers_to_poll(&entry, &seeds, &mut questions) {
            let link = links.entry(addr).or_insert_with(|| Rc::new(HttpClient::new(addr)));
            tokio::task::spawn_local(ask(Rc::clone(&entry), Rc::clone(link), role));
        }
    }
}

/// What a box is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// This box relies on it: one that gives no fresh answer is passed over.
    Source,
    /// Whatever it knows that is newer.
    Any,
}

fn peers_to_poll<D: Dialect>(
    entry: &Entry<D>,
    seeds: &[SocketAddr],
    questions: &mut Questions,
) -> Vec<(SocketAddr, Role)> {
    let state = entry.state.borrow();
    let is_new = state.table.is_none();
    let knows_enough = state.log_answers || state.reading.is_fresh(entry.clock.now_ms());
    let is_well = knows_enough && !is_new && entry.is_initialized();
    if is_well && !state.boxes.is_empty() {
        let now_ms = entry.clock.now_ms();
        let asked = questions.next(&state.reading, entry.identity.own(), &state.boxes, entry.next_random(), now_ms);
        let relied_on = asked.relied_on.map(|addr| (addr, Role::Source));
        let any = asked.any.map(|addr| random_seed(entry, seeds).unwrap_or(addr));
        return relied_on.into_iter().chain(any.map(|addr| (addr, Role::Any))).collect();
    }
    let own = entry.identity.record.addr;
    let mut addrs: Vec<SocketAddr> =
        state.boxes.addrs().chain(seeds.iter().copied()).filter(|addr| *addr != own).collect();
    addrs.sort_unstable();
    addrs.dedup();
    if addrs.is_empty() {
        return Vec::new();
    }
    let first = usize::try_from(entry.next_random() % addrs.len() as u64).unwrap_or(0);
    addrs.rotate_left(first);
    addrs.truncate(if is_well || is_new { 1 } else { MAX_PARALLEL_POLLS });
    addrs.into_iter().map(|addr| (addr, Role::Source)).collect()
}

/// A box that the platform names, every other time for a while after the start: boxes that found different ones of them
/// would else know each other late.
fn random_seed<D: Dialect>(entry: &Entry<D>, seeds: &[SocketAddr]) -> Option<SocketAddr> {
    let draw = entry.next_random();
    let is_young = entry.clock.now_ms() < entry.started_ms + SEED_POLL_MS;
    let others: Vec<SocketAddr> = seeds.iter().copied().filter(|addr| *addr != entry.identity.record.addr).collect();
    let at = usize::try_from(draw / 2).unwrap_or(0).checked_rem(others.len())?;
    (is_young && draw.is_multiple_of(2)).then(|| others[at])
}

async fn ask<D: Dialect>(entry: Rc<Entry<D>>, link: Rc<HttpClient>, role: Role) {
    let asked_ms = entry.clock.now_ms();
    let path = question(&entry, link.addr()).to_path();
    let told = match link.get(&path, POLL_TIMEOUT).await {
        Ok(response) => serde_json::from_slice::<PeerState>(response.body()),
        Err(error) => {
            log::debug!("event=peer_silent addr={} error=\"{error}\"", link.addr());
            let mut state = entry.state.borrow_mut();
            state.boxes.on_unanswered(link.addr(), asked_ms);
            if role == Role::Source {
                state.reading.pass_over();
            }
            return;
        }
    };
    match told {
        Ok(told) => take(&entry, told, link.addr(), role, asked_ms),
        Err(error) => log::warn!("event=peer_unreadable addr={} error=\"{error}\"", link.addr()),
    }
}

fn question<D: Dialect>(entry: &Entry<D>, to: SocketAddr) -> StateQuery {
    let state = entry.state.borrow();
    StateQuery {
        version: state.table.as_ref().map(|table| table.version()),
        name: Some(entry.identity.name.clone()),
        record: Some(entry.identity.record.clone()),
        from: Some(state.reading.next().unwrap_or_default()),
        boxes: Some((state.boxes.len(), state.boxes.digest((&entry.identity.name, &entry.identity.record)))),
        heard: entry.heard(to),
    }
}

fn take<D: Dialect>(entry: &Rc<Entry<D>>, told: PeerState, from: SocketAddr, role: Role, asked_ms: u64) {
    if told.is_busy {
        told.boxes.into_iter().for_each(|(name, record)| entry.upsert_box(&name, record));
        return;
    }
    entry.has_initial_sync.set(true);
    entry.record_silent_boxes(from, &told.silent_boxes);
    let version = entry.config_version();
    if let Some(document) = told.config
        && entry.apply_config(&Bytes::from(document), &format!("peer-{from}"))
    {
        entry.broadcast_operator_update(version);
    }
    entry.apply_evacuation_updates(&told.evacuations);
    if let Some(reading) = told.reading.filter(|reading| reading.next.era > 0) {
        entry.record_log_era(reading.next.era, "box");
    }
    match told.reading {
        Some(reading) if role == Role::Source => apply_reading(entry, reading, asked_ms),
        // Whoever is left alone takes what is fresh from anybody.
        Some(reading) if !entry.is_updated_by_peers() && is_fresh(entry, reading, asked_ms) => {
            apply_reading(entry, reading, asked_ms);
        }
        Some(_) => {}
        None if role == Role::Any => {}
        // It cannot be relied on now: another box is asked next time.
        None => entry.state.borrow_mut().reading.pass_over(),
    }
    entry.apply_peer_endpoints(told.endpoints);
    for (name, record) in told.boxes {
        entry.upsert_box(&name, record);
    }
    if told.knows_all_boxes {
        entry.mark_box_list_complete();
    }
    entry.apply_limit_update(&told.limits);
    entry.apply_quarantine_update(&told.quarantine);
    entry.set_sync_cursor(from, told.told);
}

fn is_fresh<D: Dialect>(entry: &Entry<D>, told: PeerReading, asked_ms: u64) -> bool {
    let as_of_ms = asked_ms.saturating_sub(told.age_ms);
    entry.state.borrow().reading.counts_as_fresh(as_of_ms, entry.clock.now_ms())
}

/// Takes over how far another box has read. Where the log was away, its reader says
/// that it is back.
fn apply_reading<D: Dialect>(entry: &Entry<D>, told: PeerReading, asked_ms: u64) {
    let as_of_ms = asked_ms.saturating_sub(told.age_ms);
    let now_ms = entry.clock.now_ms();
    let mut state = entry.state.borrow_mut();
    if state.reading.take_told(told.next, as_of_ms, now_ms) {
        state.catalog.on_log_read(now_ms);
    }
}
