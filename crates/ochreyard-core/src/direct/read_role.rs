//! Which boxes read the platform's log, which relay it to their data centre, and which follow.
//!
//! Each call to the log has a price, and all boxes would read the same records. So the first boxes of a common order
//! read the log for all, the first ones of each data centre poll the readers, and all others poll the relays of their
//! data centre: changes cross between data centres once per relay, however many boxes there are. Each box computes the
//! order from a hash of the names, so no agreement is needed; where lists of boxes differ, a few more boxes read.

use std::collections::HashSet;
use std::net::SocketAddr;

use super::box_list::BoxList;
use super::box_record::BoxRecord;
use crate::hash;

/// Number of readers: one may fail or be slow without a gap, since boxes then poll the next one.
const READERS: usize = 2;
/// Number of relays per data centre.
const RELAYS: usize = 2;

/// The box that computes its role.
#[derive(Debug, Clone, Copy)]
pub struct LocalBox<'a> {
    /// Name of the box.
    pub name: &'a str,
    /// Data centre of the box.
    pub data_centre: &'a str,
}

/// How a box learns the contents of the platform's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRole {
    /// The box reads the log for all boxes.
    Reader,
    /// The box polls the readers for its data centre. It also waits at the log for records of operators.
    Relay,
    /// The box polls the relays of its data centre.
    Follower,
}

impl ReadRole {
    /// Returns the role of the box `own` among `others`. Boxes that do not respond have no role.
    #[must_use]
    pub fn of(own: LocalBox, others: &BoxList, now_ms: u64) -> Self {
        let count_before = |others: &mut dyn Iterator<Item = &str>| {
            others.filter(|name| order_key(name) < order_key(own.name)).count()
        };
        if count_before(&mut others.responsive(now_ms).map(|(name, _)| name)) < READERS {
            return Self::Reader;
        }
        let is_local = |(_, record): &(&str, &BoxRecord)| record.data_centre == own.data_centre;
        let is_first = count_before(&mut others.responsive(now_ms).filter(is_local).map(|(name, _)| name)) < RELAYS;
        if is_first { Self::Relay } else { Self::Follower }
    }
}

/// Returns whether the box `own` broadcasts updates to its data centre: it is the first one there that responds.
#[must_use]
pub fn broadcasts_to_data_centre(own: LocalBox, others: &BoxList, now_ms: u64) -> bool {
    let mut local = others.responsive(now_ms).filter(|(_, record)| record.data_centre == own.data_centre);
    local.all(|(name, _)| order_key(own.name) < order_key(name))
}

/// Returns whether the box `own` broadcasts updates to all boxes: it is the first reader.
#[must_use]
pub fn broadcasts_to_fleet(own: LocalBox, others: &BoxList, now_ms: u64) -> bool {
    others.responsive(now_ms).all(|(name, _)| order_key(own.name) < order_key(name))
}

/// Sort key of a box in the common order, computed from its name alone.
fn order_key(name: &str) -> u64 {
    hash::mix(hash::fnv1a(name.as_bytes()))
}

/// Returns the box that `own` polls after it has skipped `skipped` sources without a fresh answer: first its preferred
/// sources, then all others. `None` where it is a reader, or knows no other box.
pub(super) fn source(own: LocalBox, others: &BoxList, skipped: usize, now_ms: u64) -> Option<SocketAddr> {
    let role = ReadRole::of(own, others, now_ms);
    if role == ReadRole::Reader {
        return None;
    }
    let at = skipped.checked_rem(others.len())?;
    let preferred = preferred_sources(own, role, others, now_ms);
    if let Some(addr) = preferred.get(at) {
        return Some(*addr);
    }
    let mut ordered: Vec<(&str, &BoxRecord)> =
        others.iter().filter(|(_, record)| !preferred.contains(&record.addr)).collect();
    ordered.sort_by_cached_key(|(name, _)| order_key(name));
    ordered.get(at - preferred.len()).map(|(_, record)| record.addr)
}

/// Returns the preferred sources of `own`. Half of all boxes use each order of them, which spreads the load.
fn preferred_sources(own: LocalBox, role: ReadRole, others: &BoxList, now_ms: u64) -> Vec<SocketAddr> {
    let local = others
        .responsive(now_ms)
        .filter(|(_, record)| role == ReadRole::Follower && record.data_centre == own.data_centre);
    let mut preferred = Vec::with_capacity(RELAYS + READERS);
    for mut sources in [first_in_order(local, RELAYS), first_in_order(others.responsive(now_ms), READERS)] {
        let offset = usize::try_from(order_key(own.name) % sources.len().max(1) as u64).unwrap_or(0);
        sources.rotate_left(offset);
        preferred.extend(sources);
    }
    let mut seen = HashSet::new();
    preferred.retain(|addr| seen.insert(*addr));
    preferred
}

/// Returns the addresses of the first `count` boxes of the common order, without sorting all.
fn first_in_order<'a>(boxes: impl Iterator<Item = (&'a str, &'a BoxRecord)>, count: usize) -> Vec<SocketAddr> {
    let mut found: Vec<(u64, SocketAddr)> = Vec::with_capacity(count + 1);
    for (name, record) in boxes {
        let at = found.partition_point(|(other, _)| *other < order_key(name));
        if at < count {
            found.insert(at, (order_key(name), record.addr));
            found.truncate(count);
        }
    }
    found.into_iter().map(|(_, addr)| addr).collect()
}
