//! Which boxes read the platform's log, which pass on what they were told, and which are told.
//!
//! Each call to the log is priced, and all boxes would read the same. So the first boxes of a common order read it for all,
//! the first ones of each data centre ask those, and all others ask within their data centre: one copy of what changes
//! crosses from one data centre to another for each that relays, however many boxes there are. All boxes find the order by
//! themselves, so nobody has to agree on anything, and where lists of boxes differ a few more read.

use std::collections::HashSet;
use std::net::SocketAddr;

use super::box_list::BoxList;
use super::box_record::BoxRecord;
use crate::hash;

/// Boxes that read for all: one may be lost or slow without a gap for those that ask the next.
const READERS: usize = 2;
/// Boxes of a data centre that ask the readers for the others in it.
const RELAYS: usize = 2;

/// The box that looks for its duty.
#[derive(Debug, Clone, Copy)]
pub struct LocalBox<'a> {
    /// Its name.
    pub name: &'a str,
    /// The data centre that it stands in.
    pub data_centre: &'a str,
}

/// What a box does to know what the platform's log holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRole {
    /// It reads the log for all.
    Reader,
    /// It asks those that read, for the others of its data centre. It also waits at the log for what operators write.
    Relay,
    /// It asks those that relay.
    Follower,
}

impl ReadRole {
    /// The duty of the box `own` among all `others`. Those that answer nobody have none.
    #[must_use]
    pub fn of(own: LocalBox, others: &BoxList, now_ms: u64) -> Self {
        let before =
            |others: &mut dyn Iterator<Item = &str>| others.filter(|name| place(name) < place(own.name)).count();
        if before(&mut others.responsive(now_ms).map(|(name, _)| name)) < READERS {
            return Self::Reader;
        }
        let is_near = |(_, record): &(&str, &BoxRecord)| record.data_centre == own.data_centre;
        let is_first = before(&mut others.responsive(now_ms).filter(is_near).map(|(name, _)| name)) < RELAYS;
        if is_first { Self::Relay } else { Self::Follower }
    }
}

/// Whether the box `own` is the one that tells the others of its data centre of news: the first one that answers.
#[must_use]
pub fn broadcasts_to_data_centre(own: LocalBox, others: &BoxList, now_ms: u64) -> bool {
    let mut near = others.responsive(now_ms).filter(|(_, record)| record.data_centre == own.data_centre);
    near.all(|(name, _)| place(own.name) < place(name))
}

/// Whether the box `own` is the first one that reads for all.
#[must_use]
pub fn broadcasts_to_fleet(own: LocalBox, others: &BoxList, now_ms: u64) -> bool {
    others.responsive(now_ms).all(|(name, _)| place(own.name) < place(name))
}

/// The place of a box in the order that all boxes find by themselves.
fn place(name: &str) -> u64 {
    hash::mix(hash::fnv1a(name.as_bytes()))
}

/// The box that `own` asks after it has passed over `passed_over` others that had nothing fresh to tell: first those that it
/// is meant to rely on, then all others. `None` where it reads itself, or knows no other.
pub(super) fn source(own: LocalBox, others: &BoxList, passed_over: usize, now_ms: u64) -> Option<SocketAddr> {
    let duty = ReadRole::of(own, others, now_ms);
    if duty == ReadRole::Reader {
        return None;
    }
    let at = passed_over.checked_rem(others.len())?;
    let meant = meant_sources(own, duty, others, now_ms);
    if let Some(addr) = meant.get(at) {
        return Some(*addr);
    }
    let mut ordered: Vec<(&str, &BoxRecord)> =
        others.iter().filter(|(_, record)| !meant.contains(&record.addr)).collect();
    ordered.sort_by_cached_key(|(name, _)| place(name));
    ordered.get(at - meant.len()).map(|(_, record)| record.addr)
}

/// The boxes that `own` is meant to rely on, half of all boxes each in another order.
fn meant_sources(own: LocalBox, duty: ReadRole, others: &BoxList, now_ms: u64) -> Vec<SocketAddr> {
    let near = others
        .responsive(now_ms)
        .filter(|(_, record)| duty == ReadRole::Follower && record.data_centre == own.data_centre);
    let mut meant = Vec::with_capacity(RELAYS + READERS);
    for mut sources in [first(near, RELAYS), first(others.responsive(now_ms), READERS)] {
        let turn = usize::try_from(place(own.name) % sources.len().max(1) as u64).unwrap_or(0);
        sources.rotate_left(turn);
        meant.extend(sources);
    }
    let mut seen = HashSet::new();
    meant.retain(|addr| seen.insert(*addr));
    meant
}

/// The addresses of the first `count` boxes of the order, without putting all in order.
fn first<'a>(boxes: impl Iterator<Item = (&'a str, &'a BoxRecord)>, count: usize) -> Vec<SocketAddr> {
    let mut found: Vec<(u64, SocketAddr)> = Vec::with_capacity(count + 1);
    for (name, record) in boxes {
        let at = found.partition_point(|(other, _)| *other < place(name));
        if at < count {
            found.insert(at, (place(name), record.addr));
            found.truncate(count);
        }
    }
    found.into_iter().map(|(_, addr)| addr).collect()
}
