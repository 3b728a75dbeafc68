//! How long a successor asks for its first grants.

use crate::group_map::leader_id::LeaderId;

/// Least pause between two rounds of requests, in milliseconds: a round trip, in which releases arrive.
const MIN_PAUSE_MS: u64 = 20;
/// Range of the random part of the pause, in milliseconds. Two successors that share the grants release them, and the
/// one that waits less gets all of them.
const PAUSE_RANGE_MS: u64 = 60;

/// Decides whether a successor that too few agents have granted the leadership asks them again.
///
/// The releases of the former leader may arrive late or not at all, and a box whose answer to the handover was late
/// may be a second successor.
#[derive(Debug, Clone, Copy)]
pub struct FirstGrants {
    former: LeaderId,
    until_ms: u64,
}

impl FirstGrants {
    /// Creates the state of a successor that begins now. The grants of its predecessor `former` expire within
    /// `lease_ms`.
    #[must_use]
    pub const fn new(former: LeaderId, lease_ms: u64, now_ms: u64) -> Self {
        Self { former, until_ms: now_ms + lease_ms }
    }

    /// Returns the pause before the next round of requests, in milliseconds; `None` if another leader holds a majority
    /// of the `size` agents, or the time is over. `holders` are the other leaders that agents named, and `draw` is a
    /// random number.
    #[must_use]
    pub fn retry_pause_ms(&self, holders: &[LeaderId], size: usize, draw: u64, now_ms: u64) -> Option<u64> {
        let holds_majority = |holder: &LeaderId| holders.iter().filter(|other| *other == holder).count() * 2 > size;
        let has_other_leader = holders.iter().any(|holder| *holder != self.former && holds_majority(holder));
        (!has_other_leader && now_ms < self.until_ms).then_some(MIN_PAUSE_MS + draw % PAUSE_RANGE_MS)
    }
}
