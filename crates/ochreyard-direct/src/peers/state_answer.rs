//! Answers state queries of other boxes.

use std::collections::BTreeMap;

use bytes::Bytes;
use ochreyard_core::direct::{BoxRecord, Position};

use super::peer_endpoint::PeerEndpoint;
use super::peer_log_progress::PeerLogProgress;
use super::peer_state::PeerState;
use super::state_query::StateQuery;
use crate::dialect::Dialect;
use crate::entry::{Entry, State};
use crate::sync_cursor::SyncCursor;

/// Number of most recently learned boxes sent to a box that asks for the first time.
const RECENT_BOXES: usize = 64;
/// Number of further boxes, chosen at random, that are sent with those.
const SAMPLED_BOXES: usize = 16;

/// Maximum number of silent boxes that are reported: far more than a box may rely on.
const MAX_SILENT_BOXES: usize = 32;

/// Builds the answer to a state query, and records the box that sent it.
pub fn answer_state_query<D: Dialect>(entry: &Entry<D>, query_string: &str) -> Bytes {
    let query = StateQuery::parse(query_string);
    let requester = query.name.as_deref().zip(query.record.as_ref());
    if let Some((name, record)) = requester {
        entry.upsert_box(name, record.clone());
        entry.state.borrow_mut().boxes.on_heard(record.addr, entry.clock.now_ms());
    }
    let needs_full_sync = query.version.is_none() && entry.state.borrow().table.is_some();
    let state = match requester {
        Some((name, record)) if needs_full_sync && !admit_full_sync(entry, name, record) => busy_state(entry),
        _ => known_state(entry, &query),
    };
    serde_json::to_vec(&state).map(Bytes::from).unwrap_or_else(|error| {
        log::error!("event=state_encode_failed error=\"{error}\"");
        Bytes::new()
    })
}

/// Returns whether a box that knows nothing yet gets the full state now.
fn admit_full_sync<D: Dialect>(entry: &Entry<D>, name: &str, record: &BoxRecord) -> bool {
    let link_mbps = entry.identity.record.link_mbps;
    entry.full_sync_limiter.borrow_mut().admit(name, record, link_mbps, entry.clock.now_ms())
}

/// Builds the answer that names other boxes, which have the full state and have sent it to fewer boxes.
fn busy_state<D: Dialect>(entry: &Entry<D>) -> PeerState {
    let full_sync_limiter = entry.full_sync_limiter.borrow();
    let alternatives = full_sync_limiter.alternatives(entry.next_random());
    let boxes = alternatives.map(|(name, record)| (name.to_owned(), record.clone())).collect();
    PeerState { boxes, is_busy: true, ..PeerState::default() }
}

/// Builds the answer with everything that this box knows and the requester may lack.
fn known_state<D: Dialect>(entry: &Entry<D>, query: &StateQuery) -> PeerState {
    let state = entry.state.borrow();
    // A cursor from another incarnation of this box says nothing about the state of this one.
    let cursor =
        if query.cursor.incarnation == entry.identity.incarnation { query.cursor } else { SyncCursor::default() };
    let box_update = missing_boxes(entry, &state, query.boxes, cursor.boxes);
    PeerState {
        config: newer_config(&state, query.version),
        evacuations: state.evacuations.updates().collect(),
        endpoints: query.from.map_or_else(Vec::new, |from| changed_since(&state, from)),
        log_progress: query.from.and_then(|_| peer_log_progress(&state, entry.clock.now_ms())),
        boxes: box_update.boxes,
        silent_boxes: state
            .boxes
            .locally_silent(entry.clock.now_ms())
            .take(MAX_SILENT_BOXES)
            .map(str::to_owned)
            .collect(),
        knows_all_boxes: state.knows_all_boxes && box_update.is_complete,
        limits: state.pool.limit_update_since(cursor.limits, entry.clock.now_ms()),
        quarantine: state.quarantine.update_since(cursor.quarantine, entry.clock.now_ms()),
        cursor: SyncCursor {
            incarnation: entry.identity.incarnation,
            boxes: state.boxes.learned_count(),
            quarantine: state.quarantine.version(),
            limits: state.pool.limit_version(),
        },
        is_busy: false,
    }
}

/// Returns the configuration document if it is newer than `version`.
fn newer_config(state: &State, version: Option<u64>) -> Option<String> {
    let table = state.table.as_ref()?;
    let is_newer = version.is_none_or(|version| version < table.version());
    is_newer.then(|| String::from_utf8(state.config_document.to_vec()).ok())?
}

fn changed_since(state: &State, from: Position) -> Vec<PeerEndpoint> {
    let changed = state.catalog.changed_since(from);
    changed
        .map(|(id, position, record)| PeerEndpoint { id: id.to_owned(), position, record: record.cloned() })
        .collect()
}

fn peer_log_progress(state: &State, now_ms: u64) -> Option<PeerLogProgress> {
    let next = state.log_progress.next_position()?;
    // While a lapsed record may still be restored, the read progress is withheld: the requester must not take the
    // returned endpoints for a complete list.
    state.catalog.is_settled().then(|| PeerLogProgress { next, age_ms: state.log_progress.age_ms(now_ms) })
}

/// Boxes for a requester.
struct BoxUpdate {
    boxes: BTreeMap<String, BoxRecord>,
    /// Whether the requester knows all boxes of the list with them.
    is_complete: bool,
}

/// Returns the boxes that the requester may lack: none if its list is the same, all if it knows few, else those learned
/// since it last asked. Two boxes that have not exchanged state before mostly differ in the boxes that they learned
/// last; a few others chosen at random make up for the remaining differences.
fn missing_boxes<D>(entry: &Entry<D>, state: &State, known: Option<(usize, u64)>, seen: usize) -> BoxUpdate {
    let identity = &entry.identity;
    let (count, digest) = known.unwrap_or_default();
    if digest == state.boxes.digest((&identity.name, &identity.record)) {
        return BoxUpdate { boxes: BTreeMap::new(), is_complete: true };
    }
    let owned = |(name, record): (&str, &BoxRecord)| (name.to_owned(), record.clone());
    let own_box = [(identity.name.clone(), identity.record.clone())];
    if count < state.boxes.len() / 2 {
        let boxes = state.boxes.iter().map(owned).chain(own_box).collect();
        return BoxUpdate { boxes, is_complete: true };
    }
    let is_first_query = seen == 0;
    let since = if is_first_query { state.boxes.learned_count().saturating_sub(RECENT_BOXES) } else { seen };
    let recent = state.boxes.learned_since(since);
    let others = state.boxes.sample(SAMPLED_BOXES, identity.incarnation ^ entry.clock.now_ms());
    BoxUpdate { boxes: recent.chain(others).map(owned).chain(own_box).collect(), is_complete: false }
}
