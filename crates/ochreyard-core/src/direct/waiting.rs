//! Requests that wait at an entry for an endpoint, and the order in which they are sent.
//!
//! Requests wait while a group is stalled for seconds (a data centre is cut off, a box is
//! frozen) and then serves again, or while a group has more work than slots. Callers keep
//! sending at their usual rate meanwhile, and a group needs about as long to serve a second
//! of arrivals as they took to arrive, so a backlog does not drain: each request that is
//! sent first takes a slot from another one. A request that can still meet its latency
//! target is worth several times one that is only late, so requests on time go first. Late
//! requests get a bounded share of the slots, so that they do not delay newer requests.
//! After a stall they get those that the requests expected next do not need (`LateSlots`).
//! Among requests on time, and among late ones, those of a more urgent priority go first,
//! and workspaces share a priority fairly by work.

mod admission_seed;
mod arrival;
mod arrival_rate;
mod decaying_count;
mod dispatch_decision;
mod fair_queue;
mod late_slots;
mod limited_turns;
mod longest_runs;
mod overload;
mod patience;
mod service_queue;
mod service_time;
mod stall_history;
mod stall_outcomes;
mod ticket;
mod usual_work;
mod wait_queue;

pub use arrival::Arrival;
pub use arrival_rate::ArrivalRate;
pub use dispatch_decision::{DispatchDecision, PendingRequest};
pub use late_slots::{LateSlots, SlotDemand};
pub use longest_runs::LongestRuns;
pub use overload::Overload;
pub use patience::Patience;
pub use service_queue::ServiceQueue;
pub use service_time::ServiceTime;
pub use stall_history::StallHistory;
pub use stall_outcomes::{StallHandling, StallOutcomes};
pub use ticket::Ticket;
pub use usual_work::UsualWork;
pub use wait_queue::WaitQueue;

use super::endpoint_pool::PickError;

/// Patience that is assumed for callers of unknown patience where the length of the wait is known, in milliseconds.
/// A caller can be told when to retry, and one that expects an answer in half a second waits at least twice that long.
const ASSUMED_PATIENCE_MS: u64 = 1_000;

/// What is known of a request for which no endpoint could be picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitFacts {
    /// Why no endpoint was picked.
    pub pick_error: PickError,
    /// Time left until the deadline of the request, in milliseconds.
    pub left_ms: u64,
    /// Expected time to serve the request once it is sent, in milliseconds.
    pub needed_ms: u64,
    /// Whether the service has completed any request of this box; one that never has may be stalled for good.
    pub has_served: bool,
    /// Whether holding requests serves as many of them as sending callers back, judged by recent attempts.
    pub is_holding_worthwhile: bool,
    /// How much longer the service is expected to be stalled, or the time until the first pause of an endpoint ends, in
    /// milliseconds; 0 where the service is not stalled.
    pub expected_stall_ms: u64,
    /// Expected wait for a free slot, during a stall after its end, in milliseconds; 0 where that is unknown.
    pub queue_ms: u64,
    /// How long the caller has received nothing, in milliseconds.
    pub silent_ms: u64,
    /// How long callers wait without receiving anything before they disconnect, in milliseconds, where that is known.
    pub patience_ms: Option<u64>,
    /// Whether the request is a retry by its caller.
    pub is_caller_retry: bool,
}

impl WaitFacts {
    /// Returns whether the request should wait: an endpoint is expected to be free while the
    /// request can still be served and its caller is still connected.
    #[must_use]
    pub fn may_wait(&self) -> bool {
        let wait_ms = self.expected_stall_ms.saturating_add(self.queue_ms);
        // Where the request would never get a turn, `wait_ms` is close to `u64::MAX`.
        let has_time = self.left_ms >= self.needed_ms.saturating_add(wait_ms);
        let is_patient = |patience_ms| self.silent_ms.saturating_add(wait_ms) < patience_ms;
        // The expected length of a stall may be too high; the end of a pause and the turn in the queue are known.
        let is_wait_known = self.pick_error != PickError::Stalled && wait_ms > 0;
        let assumed = is_wait_known.then_some(ASSUMED_PATIENCE_MS);
        let caller_stays = self.patience_ms.or(assumed).is_none_or(is_patient);
        let may_get_endpoint = match self.pick_error {
            PickError::NoEndpoint => false,
            PickError::Full | PickError::Limited { .. } | PickError::Paused { .. } => true,
            PickError::Stalled => self.has_served,
        };
        may_get_endpoint && has_time && caller_stays && self.is_holding_worthwhile
    }
}
