//! When an entry requests the leadership of the groups of a service that have no leader.
//!
//! Every entry may lead, and the entries need no agreement on a leader: they send their requests
//! one after the other, in an order that each computes for itself, and the agents grant one of
//! them. An entry that is down or partitioned costs the next one a short wait. If several groups
//! have no leader, as many entries send requests at the same time, since the time of
//! sequential requests would grow with the number of groups.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::direct::{BoxList, BoxRecord, LeaderlessGroups};
use crate::hash;

/// Additional wait of each entry compared with its predecessor in the order, in milliseconds:
/// by then the predecessor has found and asked the ranks (about 0.1 s for 200 ranks).
const STAGGER_MS: u64 = 120;
/// Pause after the first attempt, in milliseconds: the default lease.
const RETRY_MS: u64 = 800;
/// Most doublings of that pause. The pause grows since each attempt asks all ranks, even where
/// none can be reached.
const MAX_DOUBLINGS: u32 = 3;

/// Time that an endpoint may belong to no known group before its agent is asked, in
/// milliseconds: a leader finds a new endpoint much earlier.
const UNGROUPED_ENDPOINT_MS: u64 = 2_000;
/// The same time for a complete group that no update reports, in milliseconds: three times the
/// interval of a leader's updates to all boxes. After a simultaneous start of all boxes there is
/// no leader, and until there is one, every stream is late.
const UNREPORTED_GROUP_MS: u64 = 900;

/// Decides whether and when one entry requests the leadership of a group of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Candidacy {
    ungrouped_since_ms: Option<u64>,
    /// The largest number of candidates that were due together since groups became leaderless. It does not shrink
    /// when some of the groups get a leader, since the entries that lead them keep their positions in the order.
    max_candidates: usize,
    /// Time at which `max_candidates` was reached, in milliseconds.
    leaderless_since_ms: u64,
    retry_at_ms: u64,
    backoff_doublings: u32,
}

impl Candidacy {
    /// Whether it is the turn of this entry, which is at `position` in the order of all entries. As many entries are
    /// due together as there are groups without a leader.
    pub fn is_due(&mut self, leaderless: LeaderlessGroups, position: usize, now_ms: u64) -> bool {
        if !self.is_leaderless(leaderless, now_ms) {
            *self = Self { ungrouped_since_ms: self.ungrouped_since_ms, ..Self::default() };
            return false;
        }
        if leaderless.max_concurrent_candidates() > self.max_candidates {
            self.max_candidates = leaderless.max_concurrent_candidates();
            self.leaderless_since_ms = now_ms;
        }
        let turn = position / self.max_candidates;
        now_ms >= self.retry_at_ms && now_ms >= self.leaderless_since_ms + turn as u64 * STAGGER_MS
    }

    /// Whether a group has no leader, according to the updates that arrived in time.
    fn is_leaderless(&mut self, leaderless: LeaderlessGroups, now_ms: u64) -> bool {
        if leaderless.ungrouped_endpoints == 0 {
            self.ungrouped_since_ms = None;
            return leaderless.known > 0;
        }
        let since_ms = *self.ungrouped_since_ms.get_or_insert(now_ms);
        let is_complete_group = leaderless.min_group_size.is_none() || leaderless.estimated_unknown() > 0;
        let wait_ms = if is_complete_group { UNREPORTED_GROUP_MS } else { UNGROUPED_ENDPOINT_MS };
        leaderless.known > 0 || now_ms >= since_ms + wait_ms
    }

    /// Records that this entry has requested the leadership. If no entry leads afterwards, it retries
    /// after a pause that grows with each attempt.
    pub const fn on_attempt(&mut self, now_ms: u64) {
        self.retry_at_ms = now_ms + (RETRY_MS << self.backoff_doublings);
        if self.backoff_doublings < MAX_DOUBLINGS {
            self.backoff_doublings += 1;
        }
    }
}

/// The position of a box in the order in which entries request the leadership of a service, from 0.
///
/// Boxes with more capacity come first: searching for a map and polling hundreds of ranks
/// take a box with half a core and 200 megabits a second a third of the time that a box with a
/// quarter core and 40 megabits a second needs. Among equal boxes, the order differs
/// from service to service, so that one box does not lead all of them.
#[must_use]
pub fn candidate_position(service: &str, own: (&str, &BoxRecord), others: &BoxList) -> usize {
    let own_key = candidate_key(service, own);
    others.iter().filter(|other| candidate_key(service, *other) < own_key).count()
}

/// The other boxes that answered recently, in the order in which they are asked to succeed a leader: that of the
/// candidates.
#[must_use]
pub fn successor_candidates(service: &str, others: &BoxList, now_ms: u64) -> Vec<SocketAddr> {
    let mut candidates: Vec<_> = others.responsive(now_ms).collect();
    candidates.sort_by_cached_key(|candidate| candidate_key(service, *candidate));
    candidates.into_iter().map(|(_, record)| record.addr).collect()
}

/// The other boxes that answered recently, in the order in which they are asked to be the standby leader of a group that
/// is led from `data_centre`: those of other data centres first, since a data centre may fail as a whole.
#[must_use]
pub fn standby_candidates(service: &str, data_centre: &str, others: &BoxList, now_ms: u64) -> Vec<SocketAddr> {
    let mut candidates: Vec<_> = others.responsive(now_ms).collect();
    candidates.sort_by_cached_key(|(name, record)| {
        (record.data_centre == data_centre, candidate_key(service, (*name, *record)))
    });
    candidates.into_iter().map(|(_, record)| record.addr).collect()
}

/// The key by which candidates are sorted.
fn candidate_key(service: &str, (name, record): (&str, &BoxRecord)) -> (Reverse<u64>, Reverse<u64>, u64) {
    let tie_breaker = hash::mix(hash::fnv1a(service.as_bytes()) ^ hash::fnv1a(name.as_bytes()));
    (Reverse(record.cores_permille), Reverse(record.link_mbps), tie_breaker)
}
