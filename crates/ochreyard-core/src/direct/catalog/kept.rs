//! What is known of one endpoint, and whether a record of the log says more.

use crate::direct::endpoint_record::EndpointRecord;
use crate::direct::position::Position;

/// What is known of one endpoint.
#[derive(Debug, Clone)]
pub struct Kept {
    /// Where the last record stands that was taken.
    pub position: Position,
    /// The position at which it last changed; the records after it said the same.
    pub changed: Position,
    /// Where the last record stands that told something: in an era before, where the copy of the log holds nothing newer.
    pub learned: Position,
    /// What is known; `None` where it has lost its entry.
    pub record: Option<EndpointRecord>,
    /// Whether the copy of the log holds something older than what is known.
    pub is_beyond_copy: bool,
    /// It was not in a listing of the log. What stands at `position` was not read yet.
    pub is_missing: bool,
}

impl Kept {
    /// What is known once a record has been taken.
    pub fn after(former: Option<Self>, position: Position, record: Option<EndpointRecord>) -> Self {
        let is_same = |kept: &Self| kept.record == record && !kept.is_beyond_copy && kept.changed.era == position.era;
        let changed = former.filter(is_same).map_or(position, |kept| kept.changed);
        Self { position, changed, learned: position, record, is_beyond_copy: false, is_missing: false }
    }

    /// Whether a record may be of the copy from which the log has come back, and so older than what is known: it stands in a
    /// later era at an offset that was given out before, and before the end that the log had when it was first listed in
    /// that era.
    ///
    /// What was written between the return and the first listing looks the same where its offset is low. It is passed over,
    /// too, until the endpoint writes again: work for one that has left would be worse than a heartbeat's time without. That
    /// a life begins to leave is never older.
    pub fn may_outlive(&self, position: Position, copy_end: Option<Position>, record: Option<&EndpointRecord>) -> bool {
        let begins_to_leave =
            self.record.as_ref().zip(record).is_some_and(|(known, told)| begins_to_leave(known, told));
        let is_before_end = copy_end.is_none_or(|end| position < end);
        let is_low = position.era > self.learned.era && position.offset <= self.learned.offset;
        is_low && is_before_end && !begins_to_leave
    }

    /// Takes a record that may be of the copy: what is known stays known.
    pub fn outlive(&mut self, position: Position, record: Option<&EndpointRecord>) {
        self.position = position;
        self.is_missing = false;
        self.is_beyond_copy = self.record.as_ref() != record;
        if !self.is_beyond_copy {
            self.changed = position;
        }
    }

    /// Whether it tells more than the copy of the log, for those that have seen the copy alone: an end, or a leaving.
    pub fn is_over_beyond_copy(&self) -> bool {
        self.is_beyond_copy && self.record.as_ref().is_none_or(|record| record.is_leaving)
    }

    /// Whether a record tells more than is known. At the position that is known, one box may have outlived the copy that
    /// another has read: who knows of an end or a leaving knows more.
    pub fn is_news(&self, position: Position, record: Option<&EndpointRecord>) -> bool {
        let has_gone_on = match (&self.record, record) {
            (Some(_), None) => true,
            (Some(known), Some(told)) => begins_to_leave(known, told),
            (None, _) => false,
        };
        position > self.position || (position == self.position && (has_gone_on || self.is_missing))
    }
}

/// Whether a later record says that the same life of an endpoint leaves now.
const fn begins_to_leave(known: &EndpointRecord, told: &EndpointRecord) -> bool {
    told.started_ms == known.started_ms && told.is_leaving && !known.is_leaving
}
