//! When an entry asks to lead the groups of a service that nobody leads.
//!
//! All entries may lead, and nobody has to agree on who does: they ask one after
//! the other, in an order that each works out for itself, and the agents grant
//! one of them. An entry that is down or cut off costs the next one a short wait.
//! Where several groups are led by nobody, as many entries ask at the same time: one
//! after the other would take longer the more groups there are.

use std::cmp::Reverse;

use crate::direct::{BoxList, BoxRecord, LeaderlessGroups};
use crate::hash;

/// How much longer each entry waits than the one before it in the order, in milliseconds:
/// the one before has found the ranks and asked them by then (about 0.1 s for 200 ranks).
const STAGGER_MS: u64 = 120;
/// Pause after the first attempt, in milliseconds: the default lease.
const RETRY_MS: u64 = 800;
/// Most doublings of that pause, where no rank can be reached: each attempt asks all of them.
const MAX_DOUBLINGS: u32 = 3;

/// How long an endpoint may be in no known group before its agent is asked, in
/// milliseconds: a leader finds a new endpoint well before.
const GROUPLESS_MS: u64 = 2_000;
/// The same for a whole group of which nobody tells, in milliseconds: three times the pause
/// between a leader's words to all boxes. After a start of all boxes at once nobody leads, and
/// each second until somebody does makes every stream of that second late.
const UNHEARD_MS: u64 = 900;

/// Whether and when one entry asks to lead a group of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Candidacy {
    groupless_since_ms: Option<u64>,
    /// The most groups that were led by nobody at a time: those that lead some of them by now keep their places.
    most_unled: usize,
    /// Since when as many are.
    unled_since_ms: u64,
    waits_until_ms: u64,
    tried_in_turn: u32,
}

impl Candidacy {
    /// Whether it is this entry's turn, at `place` in the order of all entries. As many are due together as there are
    /// groups to lead.
    pub fn is_due(&mut self, unled: LeaderlessGroups, place: usize, now_ms: u64) -> bool {
        if !self.is_unled(unled, now_ms) {
            *self = Self { groupless_since_ms: self.groupless_since_ms, ..Self::default() };
            return false;
        }
        if unled.max_concurrent_candidates() > self.most_unled {
            self.most_unled = unled.max_concurrent_candidates();
            self.unled_since_ms = now_ms;
        }
        let turn = place / self.most_unled;
        now_ms >= self.waits_until_ms && now_ms >= self.unled_since_ms + turn as u64 * STAGGER_MS
    }

    /// Whether a group is led by nobody, for all that has been told in time.
    fn is_unled(&mut self, unled: LeaderlessGroups, now_ms: u64) -> bool {
        if unled.ungrouped_endpoints == 0 {
            self.groupless_since_ms = None;
            return unled.known > 0;
        }
        let since_ms = *self.groupless_since_ms.get_or_insert(now_ms);
        let is_whole_group = unled.min_group_size.is_none() || unled.estimated_unknown() > 0;
        let wait_ms = if is_whole_group { UNHEARD_MS } else { GROUPLESS_MS };
        unled.known > 0 || now_ms >= since_ms + wait_ms
    }

    /// This entry has asked. Unless somebody leads by then, it asks again later, each time
    /// after a longer pause.
    pub const fn on_attempt(&mut self, now_ms: u64) {
        self.waits_until_ms = now_ms + (RETRY_MS << self.tried_in_turn);
        if self.tried_in_turn < MAX_DOUBLINGS {
            self.tried_in_turn += 1;
        }
    }
}

/// The place of a box in the order in which entries ask to lead a service.
///
/// Strong boxes come first: the search for a map and the questions to hundreds of ranks
/// take a box of half a core and 200 megabits a second a third of the time that one of a
/// quarter core and 40 megabits a second needs. Among boxes alike, the order differs
/// from service to service, so that one box does not lead all of them.
#[must_use]
pub fn candidate_position(service: &str, own: (&str, &BoxRecord), others: &BoxList) -> usize {
    let key = |(name, record): (&str, &BoxRecord)| {
        let drawn = hash::mix(hash::fnv1a(service.as_bytes()) ^ hash::fnv1a(name.as_bytes()));
        (Reverse(record.cores_permille), Reverse(record.link_mbps), drawn)
    };
    others.iter().filter(|other| key(*other) < key(own)).count()
}
