//! The state that a box knows of one endpoint, and whether a record of the log is newer.

use crate::direct::endpoint_record::EndpointRecord;
use crate::direct::position::Position;

/// The state that a box knows of one endpoint.
#[derive(Debug, Clone)]
pub struct KnownEndpoint {
    /// Position of the last record that was applied.
    pub position: Position,
    /// Position of the last change of the record; records after it were equal.
    pub changed_at: Position,
    /// Position of the last record that brought something new. It stays in an earlier era while the restored log holds
    /// nothing newer.
    pub learned_at: Position,
    /// The record of the endpoint; `None` where it was deleted or has expired.
    pub record: Option<EndpointRecord>,
    /// Whether this state is newer than what the restored log holds of the endpoint.
    pub is_newer_than_log: bool,
    /// Whether the endpoint was absent from a listing of the log. The record at `position` has not been read yet.
    pub is_unlisted: bool,
}

impl KnownEndpoint {
    /// Returns the state after a record has been applied to the previous one.
    pub fn replacing(previous: Option<Self>, position: Position, record: Option<EndpointRecord>) -> Self {
        let is_unchanged =
            |known: &Self| known.record == record && !known.is_newer_than_log && known.changed_at.era == position.era;
        let changed_at = previous.filter(is_unchanged).map_or(position, |known| known.changed_at);
        Self { position, changed_at, learned_at: position, record, is_newer_than_log: false, is_unlisted: false }
    }

    /// Returns whether a record may come from the older copy that the log was restored from, and so be older than the
    /// known state: it is in a later era, at an offset that was assigned in the earlier era already, and before the
    /// end that the log had when it was first listed in the later era.
    ///
    /// A record with a low offset that was written between the restore and the first listing looks the same. It is
    /// ignored too, until the endpoint writes again: sending requests to an endpoint that has left would be worse than
    /// sending it none for one heartbeat interval. A record by which an incarnation starts to leave is never outdated.
    pub fn may_be_outdated(
        &self,
        position: Position,
        restored_end: Option<Position>,
        record: Option<&EndpointRecord>,
    ) -> bool {
        let starts_leaving =
            self.record.as_ref().zip(record).is_some_and(|(known, update)| starts_leaving(known, update));
        let is_before_restored_end = restored_end.is_none_or(|end| position < end);
        let is_reused_offset = position.era > self.learned_at.era && position.offset <= self.learned_at.offset;
        is_reused_offset && is_before_restored_end && !starts_leaving
    }

    /// Advances the position to a record that may be outdated, and keeps the known record.
    pub fn keep_known_record(&mut self, position: Position, record: Option<&EndpointRecord>) {
        self.position = position;
        self.is_unlisted = false;
        self.is_newer_than_log = self.record.as_ref() != record;
        if !self.is_newer_than_log {
            self.changed_at = position;
        }
    }

    /// Returns whether the endpoint has ended or is leaving, and the restored log does not hold that.
    pub fn is_end_newer_than_log(&self) -> bool {
        self.is_newer_than_log && self.record.as_ref().is_none_or(|record| record.is_leaving)
    }

    /// Returns whether a record is newer than the known state. Two boxes may know different records for one position,
    /// where one of them has kept a newer state over the restored log; the record that ends the endpoint or starts its
    /// leaving is the newer one.
    pub fn is_superseded_by(&self, position: Position, record: Option<&EndpointRecord>) -> bool {
        let is_later_state = match (&self.record, record) {
            (Some(_), None) => true,
            (Some(known), Some(update)) => starts_leaving(known, update),
            (None, _) => false,
        };
        position > self.position || (position == self.position && (is_later_state || self.is_unlisted))
    }
}

/// Returns whether an update says that the same incarnation of an endpoint starts to leave.
const fn starts_leaving(known: &EndpointRecord, update: &EndpointRecord) -> bool {
    update.started_ms == known.started_ms && update.is_leaving && !known.is_leaving
}
