//! Answers a box that asks.

use std::collections::BTreeMap;

use bytes::Bytes;
use ochreyard_core::direct::{BoxRecord, Position};

use super::peer_endpoint::PeerEndpoint;
use super::peer_reading::PeerReading;
use super::peer_state::PeerState;
use super::state_query::StateQuery;
use crate::dialect::Dialect;
use crate::entry::{Entry, State};
use crate::sync_cursor::SyncCursor;

/// Boxes that one is told of that asks for the first time, those that were learned last.
const RECENT_BOXES: usize = 64;
/// Boxes that it is told of beside, drawn.
const SAMPLED_BOXES: usize = 16;

/// Silent boxes that it is told of: far more than it may rely on.
const MAX_SILENT_BOXES: usize = 32;

/// The answer to a box that asks; what it says of itself is noted.
pub fn answer_state_query<D: Dialect>(entry: &Entry<D>, query: &str) -> Bytes {
    let question = StateQuery::parse(query);
    let asker = question.name.as_deref().zip(question.record.as_ref());
    if let Some((name, record)) = asker {
        entry.upsert_box(name, record.clone());
        entry.state.borrow_mut().boxes.on_heard(record.addr, entry.clock.now_ms());
    }
    let needs_full_sync = question.version.is_none() && entry.state.borrow().table.is_some();
    let state = match asker {
        Some((name, record)) if needs_full_sync && !admit_full_sync(entry, name, record) => busy(entry),
        _ => told(entry, &question),
    };
    serde_json::to_vec(&state).map(Bytes::from).unwrap_or_else(|error| {
        log::error!("event=state_unwritable error=\"{error}\"");
        Bytes::new()
    })
}

/// Whether a box that knows nothing yet is told all now.
fn admit_full_sync<D: Dialect>(entry: &Entry<D>, name: &str, record: &BoxRecord) -> bool {
    let link_mbps = entry.identity.record.link_mbps;
    entry.full_sync_limiter.borrow_mut().admit(name, record, link_mbps, entry.clock.now_ms())
}

/// Names boxes that know more than the asker, and have told fewer.
fn busy<D: Dialect>(entry: &Entry<D>) -> PeerState {
    let full_sync_limiter = entry.full_sync_limiter.borrow();
    let named = full_sync_limiter.named(entry.next_random());
    let boxes = named.map(|(name, record)| (name.to_owned(), record.clone())).collect();
    PeerState { boxes, is_busy: true, ..PeerState::default() }
}

/// What this box knows and the asker may lack.
fn told<D: Dialect>(entry: &Entry<D>, question: &StateQuery) -> PeerState {
    let state = entry.state.borrow();
    // What was heard of another life says nothing of this one.
    let heard =
        if question.heard.incarnation == entry.identity.incarnation { question.heard } else { SyncCursor::default() };
    PeerState {
        config: newer_config(&state, question.version),
        evacuations: state.evacuations.news().collect(),
        endpoints: question.from.map_or_else(Vec::new, |from| changed_since(&state, from)),
        reading: question.from.and_then(|_| reading(&state, entry.clock.now_ms())),
        boxes: boxes(entry, &state, question.boxes, heard.boxes),
        silent_boxes: state.boxes.silent(entry.clock.now_ms()).take(MAX_SILENT_BOXES).map(str::to_owned).collect(),
        knows_all_boxes: state.knows_all_boxes,
        limits: state.pool.limit_news_since(heard.limits, entry.clock.now_ms()),
        quarantine: state.quarantine.news_since(heard.quarantine, entry.clock.now_ms()),
        told: SyncCursor {
            incarnation: entry.identity.incarnation,
            boxes: state.boxes.learned(),
            quarantine: state.quarantine.changes(),
            limits: state.pool.limit_changes(),
        },
        is_busy: false,
    }
}

/// The document of the configuration, unless it is no newer than `version`.
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

fn reading(state: &State, now_ms: u64) -> Option<PeerReading> {
    let next = state.reading.next()?;
    // A lapsed entry that may come back is not told yet: whoever asked must not take what
    // is told for all there is.
    state.catalog.is_settled().then(|| PeerReading { next, age_ms: state.reading.age_ms(now_ms) })
}

/// Boxes that the asker may lack: none where its list is the same, all where it knows few, else what was learned since it
/// asked last. Two boxes that have not asked each other before mostly differ in what they learned last; a few others beside
/// that bring together what remains.
fn boxes<D>(entry: &Entry<D>, state: &State, known: Option<(usize, u64)>, heard: usize) -> BTreeMap<String, BoxRecord> {
    let identity = &entry.identity;
    let (count, digest) = known.unwrap_or_default();
    if digest == state.boxes.digest((&identity.name, &identity.record)) {
        return BTreeMap::new();
    }
    let owned = |(name, record): (&str, &BoxRecord)| (name.to_owned(), record.clone());
    let own = [(identity.name.clone(), identity.record.clone())];
    if count < state.boxes.len() / 2 {
        return state.boxes.iter().map(owned).chain(own).collect();
    }
    let is_first = heard == 0;
    let since = if is_first { state.boxes.learned().saturating_sub(RECENT_BOXES) } else { heard };
    let news = state.boxes.learned_since(since);
    let others = state.boxes.sample(SAMPLED_BOXES, identity.incarnation ^ entry.clock.now_ms());
    news.chain(others).map(owned).chain(own).collect()
}
