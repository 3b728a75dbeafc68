//! Folds the endpoint records of the platform's log, so that a record that arrives late
//! cannot overwrite a newer one.

mod known_endpoint;

use std::collections::{BTreeSet, HashMap};

use self::known_endpoint::KnownEndpoint;
use super::endpoint_record::EndpointRecord;
use super::position::Position;

/// Time that an endpoint has to write its record again, in milliseconds, after the record expired while the log was
/// unreachable or was lost when the log was restored from an older copy.
const RECOVERY_GRACE_MS: u64 = 2_000;

/// A change of the set of known endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointChange {
    /// An endpoint is new, or its record has changed.
    Updated(String, EndpointRecord),
    /// An endpoint is gone.
    Removed(String),
}

/// The endpoints known from the log, or from another box that reads it.
///
/// For each endpoint the record at the latest position wins, whichever box read it. When the log has been restored
/// from an older copy, its records are read again. A removal, a leaving or an incarnation that is newer than the copy
/// stays known until the endpoint writes again; an endpoint whose record is absent from the copy has some time to
/// write it again.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    endpoints: HashMap<String, KnownEndpoint>,
    /// Endpoints whose record disappeared in an outage of the log or soon after; they may write it again.
    unconfirmed: BTreeSet<String>,
    unreachable_since_ms: Option<u64>,
    recovered_ms: u64,
    /// Latest known era of the log.
    era: u64,
    /// End of the log when it was first listed in that era; records at this position or later were written after the
    /// restore.
    restored_end: Option<Position>,
}

impl Catalog {
    /// Creates an empty catalog.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The log could not be read.
    pub fn on_log_unreachable(&mut self, now_ms: u64) {
        self.unreachable_since_ms.get_or_insert(now_ms);
    }

    /// The log was read.
    pub fn on_log_read(&mut self, now_ms: u64) {
        if self.unreachable_since_ms.take().is_some() {
            self.recovered_ms = now_ms;
        }
    }

    /// The log has been restored from an older copy, and is in this era now. Records of earlier eras that arrive later
    /// are ignored.
    ///
    /// `noticed_ms` is `None` where this is the first known era.
    pub fn on_log_restored(&mut self, era: u64, noticed_ms: Option<u64>) {
        self.era = era;
        self.restored_end = None;
        if let Some(noticed_ms) = noticed_ms {
            self.unreachable_since_ms = None;
            self.recovered_ms = noticed_ms;
        }
    }

    /// Applies one record; `None` is a tombstone: the record was deleted or has expired.
    pub fn apply(
        &mut self,
        id: &str,
        position: Position,
        record: Option<EndpointRecord>,
        now_ms: u64,
    ) -> Option<EndpointChange> {
        if position.era < self.era
            || self.endpoints.get(id).is_some_and(|endpoint| !endpoint.is_superseded_by(position, record.as_ref()))
        {
            return None;
        }
        let restored_end = self.restored_end;
        if let Some(endpoint) = self.endpoints.get_mut(id)
            && endpoint.may_be_outdated(position, restored_end, record.as_ref())
        {
            endpoint.keep_known_record(position, record.as_ref());
            return None;
        }
        self.replace(id, position, record, now_ms)
    }

    /// Replaces the known state by a record.
    fn replace(
        &mut self,
        id: &str,
        position: Position,
        record: Option<EndpointRecord>,
        now_ms: u64,
    ) -> Option<EndpointChange> {
        let previous = self.endpoints.remove(id);
        let previous_record = previous.as_ref().and_then(|endpoint| endpoint.record.clone());
        self.endpoints.insert(id.to_owned(), KnownEndpoint::replacing(previous, position, record.clone()));
        match record {
            Some(record) => {
                let was_unconfirmed = self.unconfirmed.remove(id);
                let has_changed = was_unconfirmed || previous_record.as_ref() != Some(&record);
                has_changed.then(|| EndpointChange::Updated(id.to_owned(), record))
            }
            // A record that expired while the log was unreachable does not mean that the
            // endpoint is gone: it may write its record again.
            None if self.is_in_grace_period(now_ms) => {
                self.unconfirmed.insert(id.to_owned());
                None
            }
            None => Some(EndpointChange::Removed(id.to_owned())),
        }
    }

    /// Removes the endpoints that did not write their record again in time, and returns them. The time runs from the
    /// recovery of the log, not from when this box read that a record was gone: an endpoint that leaves soon after an
    /// outage would otherwise get requests for seconds too long.
    pub fn expire_unconfirmed(&mut self, now_ms: u64) -> Vec<EndpointChange> {
        if self.is_in_grace_period(now_ms) {
            return Vec::new();
        }
        std::mem::take(&mut self.unconfirmed).into_iter().map(EndpointChange::Removed).collect()
    }

    /// Returns the endpoints that changed at `from` or later, with the position of the change, for another box to
    /// apply, and those whose end or leaving is newer than the restored log. An endpoint whose record has expired and
    /// may be written again is left out until that is settled.
    pub fn changed_since(&self, from: Position) -> impl Iterator<Item = (&str, Position, Option<&EndpointRecord>)> {
        // A state that was not read again since the log was restored may be lost.
        let is_present = |endpoint: &KnownEndpoint| endpoint.position.era == self.era;
        let is_changed = move |endpoint: &KnownEndpoint| endpoint.changed_at >= from && !endpoint.is_newer_than_log;
        let is_published = move |endpoint: &KnownEndpoint| {
            is_present(endpoint) && (is_changed(endpoint) || endpoint.is_end_newer_than_log())
        };
        let changed = self
            .endpoints
            .iter()
            .filter(move |(id, endpoint)| is_published(endpoint) && !self.unconfirmed.contains(id.as_str()));
        changed.map(|(id, endpoint)| {
            let position = if endpoint.is_newer_than_log { endpoint.position } else { endpoint.changed_at };
            (id.as_str(), position, endpoint.record.as_ref())
        })
    }

    /// Returns the record of one endpoint as other boxes are told it, with the position of its last change; `None`
    /// where the record has expired and may be written again.
    #[must_use]
    pub fn published(&self, id: &str) -> Option<(Position, Option<&EndpointRecord>)> {
        let endpoint = self.endpoints.get(id).filter(|_| !self.unconfirmed.contains(id))?;
        Some((endpoint.changed_at, endpoint.record.as_ref()))
    }

    /// Returns whether no record has expired that may be written again. Until then another box
    /// that applied all changes would miss some, and must not rely on them.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.unconfirmed.is_empty()
    }

    /// The log has been listed completely, and ends at `end`.
    pub fn on_listing_end(&mut self, end: Position) {
        if end.era == self.era {
            self.restored_end.get_or_insert(end);
        }
    }

    /// Removes the endpoints that are absent from a complete listing of the log.
    pub fn retain_listed(&mut self, listed: &BTreeSet<String>, end: Position, now_ms: u64) -> Vec<EndpointChange> {
        if end.era < self.era {
            return Vec::new();
        }
        let is_unlisted = |id: &str, endpoint: &KnownEndpoint| endpoint.record.is_some() && !listed.contains(id);
        let unlisted: Vec<String> = self
            .endpoints
            .iter()
            .filter(|(id, endpoint)| is_unlisted(id, endpoint))
            .map(|(id, _)| id.clone())
            .collect();
        unlisted.into_iter().filter_map(|id| self.remove_unlisted(&id, end, now_ms)).collect()
    }

    /// Handles an endpoint that is absent from a listing after which reading continues at `end`.
    fn remove_unlisted(&mut self, id: &str, end: Position, now_ms: u64) -> Option<EndpointChange> {
        let learned = self.endpoints.get(id).filter(|endpoint| end > endpoint.position)?.learned_at;
        // In a later era the endpoint may be absent because the copy is older, which is nothing new.
        let learned = if learned.era < end.era { learned } else { end };
        let change = self.replace(id, end, None, now_ms);
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.is_unlisted = true;
            endpoint.learned_at = learned;
        }
        change
    }

    fn is_in_grace_period(&self, now_ms: u64) -> bool {
        let since_recovery_ms = now_ms.saturating_sub(self.recovered_ms);
        self.unreachable_since_ms.is_some() || (self.recovered_ms > 0 && since_recovery_ms < RECOVERY_GRACE_MS)
    }
}
