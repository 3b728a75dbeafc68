//! Answers a box that asks.

use std::collections::BTreeMap;

use bytes::Bytes;
use ochreyard_core::direct::{BoxRecord, Position};

use super::peer_endpoint::PeerEndpoint;
use super::peer_reading::PeerReading;
use super::peer_state::PeerState;
use super::question::Question;
use crate::dialect::Dialect;
use crate::entry::{Entry, State};
use crate::heard::Heard;

/// The answer to a box that asks; what it says of itself is noted.
pub fn state_for<D: Dialect>(entry: &Entry<D>, query: &str) -> Bytes {
    let question = Question::read(query);
    if let (Some(name), Some(record)) = (&question.name, question.record) {
        entry.take_box(name, record);
    }
    let state = told(entry, &question);
    serde_json::to_vec(&state).map(Bytes::from).unwrap_or_else(|error| {
        log::error!("event=state_unwritable error=\"{error}\"");
        Bytes::new()
    })
}

/// What this box knows and the asker may lack.
fn told<D: Dialect>(entry: &Entry<D>, question: &Question) -> PeerState {
    let state = entry.state.borrow();
    // What was heard of another life says nothing of this one.
    let heard = if question.heard.life == entry.identity.life { question.heard } else { Heard::default() };
    PeerState {
        config: newer_config(&state, question.version),
        evacuations: state.evacuations.news().collect(),
        endpoints: question.from.map_or_else(Vec::new, |from| changed_since(&state, from)),
        reading: question.from.and_then(|_| reading(&state, entry.clock.now_ms())),
        boxes: boxes(entry, &state, heard.boxes),
        knows_all_boxes: state.knows_all_boxes,
        limits: state.pool.limit_news_since(heard.limits, entry.clock.now_ms()),
        quarantine: state.quarantine.news_since(heard.quarantine, entry.clock.now_ms()),
        told: Heard {
            life: entry.identity.life,
            boxes: state.boxes.learned(),
            quarantine: state.quarantine.changes(),
            limits: state.pool.limit_changes(),
        },
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

/// This box, and those of its list that the asker has not been told of.
fn boxes<D>(entry: &Entry<D>, state: &State, known: usize) -> BTreeMap<String, BoxRecord> {
    let news = state.boxes.learned_since(known).map(|(name, record)| (name.to_owned(), *record));
    news.chain([(entry.identity.name.clone(), entry.identity.record)]).collect()
}
