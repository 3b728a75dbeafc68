//! What the platform's log says of endpoints, folded so that late news cannot
//! undo newer news.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// How long an endpoint whose record went while the log was away may take to write it again.
const RETURN_GRACE_MS: u64 = 2_000;

/// One endpoint as its own record says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u64,
    /// Whether it leaves: no new work.
    pub is_leaving: bool,
    /// How much longer it is slow from its start, in milliseconds.
    pub cold_ms: u64,
    /// When this life of it started, by its own clock, in milliseconds since 1970; 0 where it does not tell.
    #[serde(default)]
    pub born_ms: u64,
}

/// One change of the list of endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointChange {
    /// A new endpoint, or a changed one.
    Known(String, EndpointRecord),
    /// An endpoint that is gone.
    Gone(String),
}

#[derive(Debug, Clone)]
struct Kept {
    offset: u64,
    /// The offset at which it last changed; the records after it said the same.
    changed: u64,
    record: Option<EndpointRecord>,
}

/// The endpoints known from the log, or from another box that reads it.
///
/// For each endpoint the record with the highest offset counts, from whichever
/// reader it came.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    kept: HashMap<String, Kept>,
    /// Endpoints whose record went in an outage of the log or soon after: they may write it again.
    unconfirmed: BTreeSet<String>,
    away_since_ms: Option<u64>,
    back_at_ms: u64,
}

impl Catalog {
    /// An empty catalog.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The log cannot be read at present.
    pub fn on_log_away(&mut self, now_ms: u64) {
        self.away_since_ms.get_or_insert(now_ms);
    }

    /// The log was read.
    pub fn on_log_read(&mut self, now_ms: u64) {
        if self.away_since_ms.take().is_some() {
            self.back_at_ms = now_ms;
        }
    }

    /// Takes one record; `None` says that the endpoint has lost its entry.
    pub fn take(
        &mut self,
        id: &str,
        offset: u64,
        record: Option<EndpointRecord>,
        now_ms: u64,
    ) -> Option<EndpointChange> {
        if self.kept.get(id).is_some_and(|kept| kept.offset >= offset) {
            return None;
        }
        let former = self.kept.remove(id);
        let unchanged = former.as_ref().filter(|kept| kept.record == record).map(|kept| kept.changed);
        let changed = unchanged.unwrap_or(offset);
        self.kept.insert(id.to_owned(), Kept { offset, changed, record: record.clone() });
        let former = former.and_then(|kept| kept.record);
        match record {
            Some(record) => {
                let was_unconfirmed = self.unconfirmed.remove(id);
                let is_news = was_unconfirmed || former.as_ref() != Some(&record);
                is_news.then(|| EndpointChange::Known(id.to_owned(), record))
            }
            // An entry that lapsed while the log was away says nothing of the endpoint:
            // it may write itself back.
            None if self.is_settling(now_ms) => {
                self.unconfirmed.insert(id.to_owned());
                None
            }
            None => Some(EndpointChange::Gone(id.to_owned())),
        }
    }

    /// Endpoints that did not write themselves back in time. Their time runs from the log's return, not from when this box
    /// read that a record had gone: one that leaves soon after an outage would get work for seconds too long.
    pub fn overdue(&mut self, now_ms: u64) -> Vec<EndpointChange> {
        if self.is_settling(now_ms) {
            return Vec::new();
        }
        std::mem::take(&mut self.unconfirmed).into_iter().map(EndpointChange::Gone).collect()
    }

    /// The endpoints that changed at `from` or later, with the offset of their change,
    /// as another box may take them over. One whose entry lapsed, and may come back,
    /// is left out until that is settled.
    pub fn changed_since(&self, from: u64) -> impl Iterator<Item = (&str, u64, Option<&EndpointRecord>)> {
        let changed =
            self.kept.iter().filter(move |(id, kept)| kept.changed >= from && !self.unconfirmed.contains(id.as_str()));
        changed.map(|(id, kept)| (id.as_str(), kept.changed, kept.record.as_ref()))
    }

    /// Whether no entry has lapsed that may come back. Until then another box that took
    /// over all changes would miss some, and must not rely on them.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.unconfirmed.is_empty()
    }

    /// Endpoints that a whole reading of the log no longer lists are gone.
    pub fn keep_only(&mut self, listed: &[(String, u64)], end: u64, now_ms: u64) -> Vec<EndpointChange> {
        let missing: Vec<String> = self
            .kept
            .iter()
            .filter(|(id, kept)| kept.record.is_some() && !listed.iter().any(|(other, _)| other == *id))
            .map(|(id, _)| id.clone())
            .collect();
        missing.into_iter().filter_map(|id| self.take(&id, end, None, now_ms)).collect()
    }

    fn is_settling(&self, now_ms: u64) -> bool {
        let since_back = now_ms.saturating_sub(self.back_at_ms);
        self.away_since_ms.is_some() || (self.back_at_ms > 0 && since_back < RETURN_GRACE_MS)
    }
}
