//! Requests that wait at an entry for an endpoint, and which of them may go next.
//!
//! The load that this answers: a group that stands for seconds (a data centre is cut off,
//! a box is frozen) and then serves again, or a group with more work than places, while
//! callers go on asking at their usual rate. A second of callers takes a group about as
//! long to serve as it took them to ask, so a backlog is never made up for while they ask:
//! whoever goes first takes a place from somebody else. A request that can still be in its
//! aim is worth several times one that is only late, so those go first. The late ones get
//! a bounded part of the places, in which they do not hold up those who come next.

mod arrival;
mod decaying_count;
mod dispatch_decision;
mod limited_turns;
mod overload;
mod patience;
mod service_queue;
mod service_time;
mod stall_history;
mod stall_outcomes;
mod wait_queue;

pub use arrival::Arrival;
pub use dispatch_decision::{DispatchDecision, PendingRequest};
pub use overload::Overload;
pub use patience::Patience;
pub use service_queue::ServiceQueue;
pub use service_time::ServiceTime;
pub use stall_history::StallHistory;
pub use stall_outcomes::{StallHandling, StallOutcomes};
pub use wait_queue::{Ticket, WaitQueue};

use super::endpoint_pool::PickError;

/// How soon a request has to go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// It can still be answered in its aim.
    OnTime,
    /// It can only be answered late.
    Late,
}

/// How long callers are held through a wait of known length while nothing is known of their patience, in milliseconds.
/// They can be told when to come back, and those that expect an answer in half a second wait twice as long at least.
const UNKNOWN_PATIENCE_MS: u64 = 1_000;

/// What is known of a request that found no endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitFacts {
    /// Why it found none.
    pub no_pick: PickError,
    /// Time that it has left, in milliseconds.
    pub left_ms: u64,
    /// Time that serving it takes, in milliseconds.
    pub needed_ms: u64,
    /// Whether its service has served anybody here: one that never has may stand for good.
    pub has_served: bool,
    /// Whether holding serves as many as sending back, by how tries have ended of late.
    pub is_worth_it: bool,
    /// How much longer its service is expected to stand, or until the first pause of an endpoint is over, in
    /// milliseconds; 0 where it goes on.
    pub stands_for_ms: u64,
    /// How long it would wait for room, by what the service takes, in milliseconds; 0 where that is not known.
    pub queue_ms: u64,
    /// How long its caller has heard nothing, in milliseconds.
    pub silent_ms: u64,
    /// For how long callers hear nothing before they go away, in milliseconds, where that is known.
    pub patience_ms: Option<u64>,
    /// Whether its caller has asked before.
    pub has_come_back: bool,
}

impl WaitFacts {
    /// Whether waiting makes sense: an endpoint is expected while the request can still be
    /// served, and its caller is still there.
    #[must_use]
    pub fn may_wait(&self) -> bool {
        let wait_ms = self.stands_for_ms.max(self.queue_ms);
        // There may be no turn at all, which is an endless wait.
        let is_in_time = self.left_ms >= self.needed_ms.saturating_add(wait_ms);
        let stays = |patience_ms| self.silent_ms.saturating_add(wait_ms) < patience_ms;
        // How long a group stands is a guess that may be too long; the end of a pause and the turn in a line are known.
        let is_wait_known = self.no_pick != PickError::Stands && wait_ms > 0;
        let unknown = is_wait_known.then_some(UNKNOWN_PATIENCE_MS);
        let is_there = self.patience_ms.or(unknown).is_none_or(stays);
        let is_hopeful = match self.no_pick {
            PickError::Nobody => false,
            PickError::Full | PickError::Limited { .. } | PickError::Paused { .. } => true,
            PickError::Stands => self.has_served,
        };
        is_hopeful && is_in_time && is_there && self.is_worth_it
    }
}
