//! The other boxes that a box knows, in the order in which it learned of them.

mod silences;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use self::silences::Silences;
use super::box_record::BoxRecord;
use crate::hash;

/// Other boxes by name.
///
/// Another box that asked before is told only what was learned since.
#[derive(Debug, Clone, Default)]
pub struct BoxList {
    records: BTreeMap<String, BoxRecord>,
    names: HashMap<SocketAddr, String>,
    /// Their names as they were learned; a box that moved is named once more.
    learned: Vec<String>,
    digest: u64,
    silences: Silences,
}

impl BoxList {
    /// Takes a record. Says whether that is news.
    pub fn insert(&mut self, name: &str, record: BoxRecord) -> bool {
        if self.records.get(name) == Some(&record) {
            return false;
        }
        self.digest ^= digest_of(name, &record);
        let addr = record.addr;
        if let Some(former) = self.records.insert(name.to_owned(), record) {
            self.digest ^= digest_of(name, &former);
            if self.names.get(&former.addr).is_some_and(|other| other == name) {
                self.names.remove(&former.addr);
            }
        }
        self.names.insert(addr, name.to_owned());
        self.learned.push(name.to_owned());
        true
    }

    /// A number that is the same for lists of the same boxes, whatever the order in which they were learned. `own` is the
    /// box that keeps the list, which is not in it.
    #[must_use]
    pub fn digest(&self, own: (&str, &BoxRecord)) -> u64 {
        self.digest ^ digest_of(own.0, own.1)
    }

    /// How many boxes are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no other box is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// All boxes by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &BoxRecord)> {
        self.records.iter().map(|(name, record)| (name.as_str(), record))
    }

    /// All boxes but those that answer no questions.
    pub fn responsive(&self, now_ms: u64) -> impl Iterator<Item = (&str, &BoxRecord)> {
        self.iter().filter(move |(name, _)| !self.silences.is_silent(name, now_ms))
    }

    /// The box at `addr` left a question unanswered.
    pub fn on_poll_unanswered(&mut self, addr: SocketAddr, now_ms: u64) {
        if let Some(name) = self.names.get(&addr) {
            self.silences.on_unanswered(name, now_ms);
        }
    }

    /// The box at `addr` answered, or asked.
    pub fn on_heard(&mut self, addr: SocketAddr, now_ms: u64) {
        if let Some(name) = self.names.get(&addr) {
            self.silences.on_heard(name, now_ms);
        }
    }

    /// Another box says that this one answers no questions.
    pub fn apply_reported_silence(&mut self, name: &str, now_ms: u64) {
        if self.records.contains_key(name) {
            self.silences.take_told(name, now_ms);
        }
    }

    /// The boxes that left questions of this box unanswered.
    pub fn locally_silent(&self, now_ms: u64) -> impl Iterator<Item = &str> {
        self.silences.own(now_ms)
    }

    /// Where all boxes are reached.
    pub fn addrs(&self) -> impl Iterator<Item = SocketAddr> {
        self.records.values().map(|record| record.addr)
    }

    /// How many records have been learned so far.
    #[must_use]
    pub fn learned_count(&self) -> usize {
        self.learned.len()
    }

    /// `count` boxes, others for each draw.
    pub fn sample(&self, count: usize, draw: u64) -> impl Iterator<Item = (&str, &BoxRecord)> {
        let from = usize::try_from(draw.checked_rem(self.records.len() as u64).unwrap_or(0)).unwrap_or(0);
        self.iter().skip(from).chain(self.iter().take(from)).take(count)
    }

    /// The boxes learned after the first `count` records.
    pub fn learned_since(&self, count: usize) -> impl Iterator<Item = (&str, &BoxRecord)> {
        let names = self.learned.get(count..).unwrap_or_default();
        names.iter().filter_map(|name| Some((name.as_str(), self.records.get(name)?)))
    }
}

fn digest_of(name: &str, record: &BoxRecord) -> u64 {
    hash::mix(hash::fnv1a(name.as_bytes()) ^ hash::mix(hash::fnv1a(record.addr.to_string().as_bytes())))
}
