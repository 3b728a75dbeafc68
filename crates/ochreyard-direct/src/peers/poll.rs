//! Polls other boxes and applies the state that they return.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ochreyard_core::direct::PollSchedule;

use super::peer_log_progress::PeerLogProgress;
use super::peer_state::PeerState;
use super::state_query::StateQuery;
use crate::dialect::Dialect;
use crate::entry::Entry;
use crate::http_client::HttpClient;

/// Interval between polls: several fit within the time in which a configuration change must be in force.
const POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between polls of one box at a time, until a box has returned a configuration.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout for the answer of another box.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);
/// How long after the start seed boxes are polled as well, in milliseconds.
const SEED_POLL_MS: u64 = 10_000;
/// Number of boxes polled in parallel while the log does not answer.
const MAX_PARALLEL_POLLS: usize = 3;

/// Polls other boxes until the process ends. `seeds` are addresses that are polled in addition to the known boxes.
pub async fn poll_peers<D: Dialect>(entry: Rc<Entry<D>>, seeds: Vec<SocketAddr>) {
    let mut clients: BTreeMap<SocketAddr, Rc<HttpClient>> = BTreeMap::new();
    let mut schedule = PollSchedule::default();
    loop {
        let needs_config = entry.state.borrow().table.is_none();
        tokio::time::sleep(if needs_config { INITIAL_POLL_INTERVAL } else { POLL_INTERVAL }).await;
        for (addr, role) in peers_to_poll(&entry, &seeds, &mut schedule) {
            let client = clients.entry(addr).or_insert_with(|| Rc::new(HttpClient::new(addr)));
            tokio::task::spawn_local(poll(Rc::clone(&entry), Rc::clone(client), role));
        }
    }
}

/// How this box uses the answer of a polled peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerRole {
    /// Source of endpoint records. Another peer replaces one that gives no fresh answer.
    Source,
    /// Any state that is newer than this box's own. Its read progress is adopted only while no box keeps this one
    /// current.
    Any,
}

fn peers_to_poll<D: Dialect>(
    entry: &Entry<D>,
    seeds: &[SocketAddr],
    schedule: &mut PollSchedule,
) -> Vec<(SocketAddr, PeerRole)> {
    let state = entry.state.borrow();
    let needs_config = state.table.is_none();
    let has_fresh_log_state = state.log_answers || state.log_progress.is_fresh(entry.clock.now_ms());
    let is_current = has_fresh_log_state && !needs_config && entry.is_initialized();
    if is_current && !state.boxes.is_empty() {
        let now_ms = entry.clock.now_ms();
        let targets =
            schedule.next(&state.log_progress, entry.identity.local_box(), &state.boxes, entry.next_random(), now_ms);
        let source = targets.source.map(|addr| (addr, PeerRole::Source));
        let random = targets.random.map(|addr| random_seed(entry, seeds).unwrap_or(addr));
        return source.into_iter().chain(random.map(|addr| (addr, PeerRole::Any))).collect();
    }
    let own_addr = entry.identity.record.addr;
    let mut addrs: Vec<SocketAddr> =
        state.boxes.addrs().chain(seeds.iter().copied()).filter(|addr| *addr != own_addr).collect();
    addrs.sort_unstable();
    addrs.dedup();
    if addrs.is_empty() {
        return Vec::new();
    }
    let offset = usize::try_from(entry.next_random() % addrs.len() as u64).unwrap_or(0);
    addrs.rotate_left(offset);
    addrs.truncate(if is_current || needs_config { 1 } else { MAX_PARALLEL_POLLS });
    addrs.into_iter().map(|addr| (addr, PeerRole::Source)).collect()
}

/// Returns a random seed box, for every second call on average and only for a while after the start. Boxes that
/// discovered different seeds would otherwise learn of each other late.
fn random_seed<D: Dialect>(entry: &Entry<D>, seeds: &[SocketAddr]) -> Option<SocketAddr> {
    let random = entry.next_random();
    let has_just_started = entry.clock.now_ms() < entry.started_ms + SEED_POLL_MS;
    let others: Vec<SocketAddr> = seeds.iter().copied().filter(|addr| *addr != entry.identity.record.addr).collect();
    let index = usize::try_from(random / 2).unwrap_or(0).checked_rem(others.len())?;
    (has_just_started && random.is_multiple_of(2)).then(|| others[index])
}

async fn poll<D: Dialect>(entry: Rc<Entry<D>>, client: Rc<HttpClient>, role: PeerRole) {
    let asked_ms = entry.clock.now_ms();
    let path = state_query(&entry, client.addr()).to_path();
    let answer = match client.get(&path, POLL_TIMEOUT).await {
        Ok(response) => serde_json::from_slice::<PeerState>(response.body()),
        Err(error) => {
            log::debug!("event=peer_silent addr={} error=\"{error}\"", client.addr());
            let mut state = entry.state.borrow_mut();
            state.boxes.on_poll_unanswered(client.addr(), asked_ms);
            if role == PeerRole::Source {
                state.log_progress.skip_source();
            }
            return;
        }
    };
    match answer {
        Ok(answer) => apply_state(&entry, answer, client.addr(), role, asked_ms),
        Err(error) => log::warn!("event=peer_state_unreadable addr={} error=\"{error}\"", client.addr()),
    }
}

fn state_query<D: Dialect>(entry: &Entry<D>, to: SocketAddr) -> StateQuery {
    let state = entry.state.borrow();
    let known_boxes = if state.knows_all_boxes { state.boxes.len() } else { 0 };
    StateQuery {
        version: state.table.as_ref().map(|table| table.version()),
        name: Some(entry.identity.name.clone()),
        record: Some(entry.identity.record.clone()),
        from: Some(state.log_progress.next_position().unwrap_or_default()),
        boxes: Some((known_boxes, state.boxes.digest((&entry.identity.name, &entry.identity.record)))),
        cursor: entry.sync_cursor(to),
    }
}

fn apply_state<D: Dialect>(entry: &Rc<Entry<D>>, answer: PeerState, from: SocketAddr, role: PeerRole, asked_ms: u64) {
    if answer.is_busy {
        answer.boxes.into_iter().for_each(|(name, record)| entry.upsert_box(&name, record));
        return;
    }
    entry.has_initial_sync.set(true);
    entry.record_silent_boxes(from, &answer.silent_boxes);
    let version = entry.config_version();
    if let Some(document) = answer.config
        && entry.apply_config(&Bytes::from(document), &format!("peer-{from}"))
    {
        entry.broadcast_operator_update(version);
    }
    entry.apply_evacuation_updates(&answer.evacuations);
    if let Some(log_progress) = answer.log_progress.filter(|log_progress| log_progress.next.era > 0) {
        entry.record_log_era(log_progress.next.era, "box");
    }
    match answer.log_progress {
        Some(log_progress) if role == PeerRole::Source => apply_log_progress(entry, log_progress, asked_ms),
        // A box that no other box keeps current accepts fresh state from any peer.
        Some(log_progress) if !entry.is_updated_by_peers() && is_fresh(entry, log_progress, asked_ms) => {
            apply_log_progress(entry, log_progress, asked_ms);
        }
        Some(_) => {}
        None if role == PeerRole::Any => {}
        // This peer has no read progress to offer now: another box is polled next time.
        None => entry.state.borrow_mut().log_progress.skip_source(),
    }
    entry.apply_peer_endpoints(answer.endpoints);
    for (name, record) in answer.boxes {
        entry.upsert_box(&name, record);
    }
    if answer.knows_all_boxes {
        entry.mark_box_list_complete();
    }
    entry.apply_limit_update(&answer.limits);
    entry.apply_quarantine_update(&answer.quarantine);
    entry.set_sync_cursor(from, answer.cursor);
}

fn is_fresh<D: Dialect>(entry: &Entry<D>, log_progress: PeerLogProgress, asked_ms: u64) -> bool {
    let as_of_ms = asked_ms.saturating_sub(log_progress.age_ms);
    entry.state.borrow().log_progress.counts_as_fresh(as_of_ms, entry.clock.now_ms())
}

/// Adopts the read progress of another box. If the log was unreachable, a box that reads it has reached it again.
fn apply_log_progress<D: Dialect>(entry: &Entry<D>, log_progress: PeerLogProgress, asked_ms: u64) {
    let as_of_ms = asked_ms.saturating_sub(log_progress.age_ms);
    let now_ms = entry.clock.now_ms();
    let mut state = entry.state.borrow_mut();
    if state.log_progress.apply_peer_progress(log_progress.next, as_of_ms, now_ms) {
        state.catalog.on_log_read(now_ms);
    }
}
