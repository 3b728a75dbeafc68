//! What the platform's log says of endpoints, folded so that late news cannot
//! undo newer news.

mod kept;

use std::collections::{BTreeSet, HashMap};

use self::kept::Kept;
use super::endpoint_record::EndpointRecord;
use super::position::Position;

/// How long an endpoint whose record went while the log was away, or was lost when it came back from an older copy, may
/// take to write it again.
const RETURN_GRACE_MS: u64 = 2_000;

/// One change of the list of endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointChange {
    /// A new endpoint, or a changed one.
    Updated(String, EndpointRecord),
    /// An endpoint that is gone.
    Removed(String),
}

/// The endpoints known from the log, or from another box that reads it.
///
/// For each endpoint the record at the latest position counts, from whichever reader it came. When the log comes back from an
/// older copy, its records are read anew: an end, a leaving or a life that was read before stays read where the copy does
/// not know of it, until the endpoint writes again; a record that the copy lacks may be written again for a while.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    kept: HashMap<String, Kept>,
    /// Endpoints whose record went in an outage of the log or soon after: they may write it again.
    unconfirmed: BTreeSet<String>,
    away_since_ms: Option<u64>,
    back_at_ms: u64,
    /// The latest era of the log that is known.
    era: u64,
    /// The end that the log had when it was first listed in that era: what stands there or later was written since.
    copy_end: Option<Position>,
}

impl Catalog {
    /// An empty catalog.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The log cannot be read at present.
    pub fn on_log_unreachable(&mut self, now_ms: u64) {
        self.away_since_ms.get_or_insert(now_ms);
    }

    /// The log was read.
    pub fn on_log_read(&mut self, now_ms: u64) {
        if self.away_since_ms.take().is_some() {
            self.back_at_ms = now_ms;
        }
    }

    /// The log has come back from an older copy, and this is its era now. What was written in eras before counts no more
    /// where it comes late.
    ///
    /// `noticed_ms` is `None` where this is the first era that is known.
    pub fn on_log_restored(&mut self, era: u64, noticed_ms: Option<u64>) {
        self.era = era;
        self.copy_end = None;
        if let Some(noticed_ms) = noticed_ms {
            self.away_since_ms = None;
            self.back_at_ms = noticed_ms;
        }
    }

    /// Takes one record; `None` says that the endpoint has lost its entry.
    pub fn apply(
        &mut self,
        id: &str,
        position: Position,
        record: Option<EndpointRecord>,
        now_ms: u64,
    ) -> Option<EndpointChange> {
        if position.era < self.era || self.kept.get(id).is_some_and(|kept| !kept.is_news(position, record.as_ref())) {
            return None;
        }
        let copy_end = self.copy_end;
        if let Some(kept) = self.kept.get_mut(id)
            && kept.may_outlive(position, copy_end, record.as_ref())
        {
            kept.outlive(position, record.as_ref());
            return None;
        }
        self.replace(id, position, record, now_ms)
    }

    /// Takes a record in place of what is known.
    fn replace(
        &mut self,
        id: &str,
        position: Position,
        record: Option<EndpointRecord>,
        now_ms: u64,
    ) -> Option<EndpointChange> {
        let former = self.kept.remove(id);
        let known = former.as_ref().and_then(|kept| kept.record.clone());
        self.kept.insert(id.to_owned(), Kept::after(former, position, record.clone()));
        match record {
            Some(record) => {
                let was_unconfirmed = self.unconfirmed.remove(id);
                let is_news = was_unconfirmed || known.as_ref() != Some(&record);
                is_news.then(|| EndpointChange::Updated(id.to_owned(), record))
            }
            // An entry that lapsed while the log was away says nothing of the endpoint:
            // it may write itself back.
            None if self.is_settling(now_ms) => {
                self.unconfirmed.insert(id.to_owned());
                None
            }
            None => Some(EndpointChange::Removed(id.to_owned())),
        }
    }

    /// Endpoints that did not write themselves back in time. Their time runs from the log's return, not from when this box
    /// read that a record had gone: one that leaves soon after an outage would get work for seconds too long.
    pub fn expire_unconfirmed(&mut self, now_ms: u64) -> Vec<EndpointChange> {
        if self.is_settling(now_ms) {
            return Vec::new();
        }
        std::mem::take(&mut self.unconfirmed).into_iter().map(EndpointChange::Removed).collect()
    }

    /// The endpoints that changed at `from` or later, with the position of their change, as another box may take them over,
    /// and those of which the log's copy knows less. One whose entry lapsed, and may come back, is left out until that is
    /// settled.
    pub fn changed_since(&self, from: Position) -> impl Iterator<Item = (&str, Position, Option<&EndpointRecord>)> {
        // What was not read again since the log came back may be lost.
        let is_present = |kept: &Kept| kept.position.era == self.era;
        let is_changed = move |kept: &Kept| kept.changed >= from && !kept.is_beyond_copy;
        let is_told = move |kept: &Kept| is_present(kept) && (is_changed(kept) || kept.is_over_beyond_copy());
        let changed =
            self.kept.iter().filter(move |(id, kept)| is_told(kept) && !self.unconfirmed.contains(id.as_str()));
        changed.map(|(id, kept)| {
            let position = if kept.is_beyond_copy { kept.position } else { kept.changed };
            (id.as_str(), position, kept.record.as_ref())
        })
    }

    /// What is told of one endpoint, and the position of its change; `None` where its entry lapsed and may come back.
    #[must_use]
    pub fn published(&self, id: &str) -> Option<(Position, Option<&EndpointRecord>)> {
        let kept = self.kept.get(id).filter(|_| !self.unconfirmed.contains(id))?;
        Some((kept.changed, kept.record.as_ref()))
    }

    /// Whether no entry has lapsed that may come back. Until then another box that took
    /// over all changes would miss some, and must not rely on them.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.unconfirmed.is_empty()
    }

    /// The log is listed whole, and ends here.
    pub fn on_listing_end(&mut self, end: Position) {
        if end.era == self.era {
            self.copy_end.get_or_insert(end);
        }
    }

    /// Endpoints that a whole reading of the log no longer lists are gone.
    pub fn retain_listed(&mut self, listed: &BTreeSet<String>, end: Position, now_ms: u64) -> Vec<EndpointChange> {
        if end.era < self.era {
            return Vec::new();
        }
        let is_missing = |id: &str, kept: &Kept| kept.record.is_some() && !listed.contains(id);
        let missing: Vec<String> =
            self.kept.iter().filter(|(id, kept)| is_missing(id, kept)).map(|(id, _)| id.clone()).collect();
        missing.into_iter().filter_map(|id| self.miss(&id, end, now_ms)).collect()
    }

    /// An endpoint is not in a listing after which reading goes on from `end`.
    fn miss(&mut self, id: &str, end: Position, now_ms: u64) -> Option<EndpointChange> {
        let learned = self.kept.get(id).filter(|kept| end > kept.position)?.learned;
        // In a later era it may be missing since the copy lacks it: that tells nothing newer.
        let learned = if learned.era < end.era { learned } else { end };
        let change = self.replace(id, end, None, now_ms);
        if let Some(kept) = self.kept.get_mut(id) {
            kept.is_missing = true;
            kept.learned = learned;
        }
        change
    }

    fn is_settling(&self, now_ms: u64) -> bool {
        let since_back = now_ms.saturating_sub(self.back_at_ms);
        self.away_since_ms.is_some() || (self.back_at_ms > 0 && since_back < RETURN_GRACE_MS)
    }
}
