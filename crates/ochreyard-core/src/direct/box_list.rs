//! The other boxes that a box knows, in the order in which it learned of them.

mod silences;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use self::silences::Silences;
use super::box_record::BoxRecord;
use crate::hash;

/// Other boxes by name.
///
/// A box that polls again is only told the records learned since its last poll.
#[derive(Debug, Clone, Default)]
pub struct BoxList {
    records: BTreeMap<String, BoxRecord>,
    names: HashMap<SocketAddr, String>,
    /// Names in the order in which records were learned; the name of a box whose record changed is added again.
    learned: Vec<String>,
    digest: u64,
    silences: Silences,
}

impl BoxList {
    /// Inserts or replaces a record. Returns whether the list has changed.
    pub fn insert(&mut self, name: &str, record: BoxRecord) -> bool {
        if self.records.get(name) == Some(&record) {
            return false;
        }
        self.digest ^= digest_of(name, &record);
        let addr = record.addr;
        if let Some(previous) = self.records.insert(name.to_owned(), record) {
            self.digest ^= digest_of(name, &previous);
            if self.names.get(&previous.addr).is_some_and(|other| other == name) {
                self.names.remove(&previous.addr);
            }
        }
        self.names.insert(addr, name.to_owned());
        self.learned.push(name.to_owned());
        true
    }

    /// Returns a digest that is the same for lists of the same boxes, whatever the order in which they were learned.
    /// `own` is the box that keeps the list, which is not in it.
    #[must_use]
    pub fn digest(&self, own: (&str, &BoxRecord)) -> u64 {
        self.digest ^ digest_of(own.0, own.1)
    }

    /// Returns the number of known boxes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no other box is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns all boxes by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &BoxRecord)> {
        self.records.iter().map(|(name, record)| (name.as_str(), record))
    }

    /// Returns all boxes except those that count as silent.
    pub fn responsive(&self, now_ms: u64) -> impl Iterator<Item = (&str, &BoxRecord)> {
        self.iter().filter(move |(name, _)| !self.silences.is_silent(name, now_ms))
    }

    /// The box at `addr` left a poll unanswered.
    pub fn on_poll_unanswered(&mut self, addr: SocketAddr, now_ms: u64) {
        if let Some(name) = self.names.get(&addr) {
            self.silences.on_unanswered(name, now_ms);
        }
    }

    /// The box at `addr` answered a poll, or polled this box.
    pub fn on_heard(&mut self, addr: SocketAddr, now_ms: u64) {
        if let Some(name) = self.names.get(&addr) {
            self.silences.on_heard(name, now_ms);
        }
    }

    /// Another box reported that the box `name` is silent.
    pub fn apply_reported_silence(&mut self, name: &str, now_ms: u64) {
        if self.records.contains_key(name) {
            self.silences.apply_report(name, now_ms);
        }
    }

    /// Returns the boxes that are silent because they left polls of this box unanswered.
    pub fn locally_silent(&self, now_ms: u64) -> impl Iterator<Item = &str> {
        self.silences.own(now_ms)
    }

    /// Returns the addresses of all boxes.
    pub fn addrs(&self) -> impl Iterator<Item = SocketAddr> {
        self.records.values().map(|record| record.addr)
    }

    /// Returns the number of records learned so far.
    #[must_use]
    pub fn learned_count(&self) -> usize {
        self.learned.len()
    }

    /// Returns `count` boxes in the order of their names, starting at one that the random number `draw` selects.
    pub fn sample(&self, count: usize, draw: u64) -> impl Iterator<Item = (&str, &BoxRecord)> {
        let from = usize::try_from(draw.checked_rem(self.records.len() as u64).unwrap_or(0)).unwrap_or(0);
        self.iter().skip(from).chain(self.iter().take(from)).take(count)
    }

    /// Returns the boxes learned after the first `count` records.
    pub fn learned_since(&self, count: usize) -> impl Iterator<Item = (&str, &BoxRecord)> {
        let names = self.learned.get(count..).unwrap_or_default();
        names.iter().filter_map(|name| Some((name.as_str(), self.records.get(name)?)))
    }
}

fn digest_of(name: &str, record: &BoxRecord) -> u64 {
    hash::mix(hash::fnv1a(name.as_bytes()) ^ hash::mix(hash::fnv1a(record.addr.to_string().as_bytes())))
}
