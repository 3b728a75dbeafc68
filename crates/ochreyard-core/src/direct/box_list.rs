//! The other boxes that a box knows, in the order in which it learned of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::box_record::BoxRecord;
use crate::hash;

/// Other boxes by name.
///
/// Another box that asked before is told only what was learned since.
#[derive(Debug, Clone, Default)]
pub struct BoxList {
    records: BTreeMap<String, BoxRecord>,
    /// Their names as they were learned; a box that moved is named once more.
    learned: Vec<String>,
    digest: u64,
}

impl BoxList {
    /// Takes a record. Says whether that is news.
    pub fn take(&mut self, name: &str, record: BoxRecord) -> bool {
        if self.records.get(name) == Some(&record) {
            return false;
        }
        self.digest ^= digest_of(name, &record);
        if let Some(former) = self.records.insert(name.to_owned(), record) {
            self.digest ^= digest_of(name, &former);
        }
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

    /// Where all boxes are reached.
    pub fn addrs(&self) -> impl Iterator<Item = SocketAddr> {
        self.records.values().map(|record| record.addr)
    }

    /// How many records have been learned so far.
    #[must_use]
    pub fn learned(&self) -> usize {
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
