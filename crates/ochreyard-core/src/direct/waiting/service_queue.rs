//! What an entry knows of the requests for one service: who waits, how long serving takes,
//! whether the service stands.

use std::collections::HashMap;

use super::limited_turns::LimitedTurns;
use super::{Arrival, Overload, Patience, ServiceTime, StallHistory, StallOutcomes, Ticket, Urgency, WaitQueue};

/// A caller with less of its usual time than this share has asked before: who is sent back
/// returns with two thirds of what was left, and budgets of first tries differ by less.
const RETURNED_SHARE: f64 = 0.8;
/// Share of its aim within which a request must be sent to be answered in its aim: the first
/// event takes nearly half of it.
const IN_AIM_SHARE: f64 = 0.5;
/// Share of this box's part of all slots that requests may hold which were late when they
/// were sent. With 0.6 a group that had just come back ran 270 requests in 630 places while
/// those that waited for it ran out of time; with 1.0 nothing would be left for callers to come.
const LATE_SHARE: f64 = 0.8;
/// Late requests that a box may have there in any case: where boxes outnumber slots.
const LEAST_LATE: u64 = 2;

/// The requests of one service at this entry.
#[derive(Debug, Clone, Default)]
pub struct ServiceQueue {
    /// Those that wait.
    pub wait_queue: WaitQueue,
    /// How long serving takes.
    pub service_time: ServiceTime,
    /// Whether the service stands.
    pub stalls: StallHistory,
    /// How long callers wait.
    pub patience: Patience,
    /// What the service takes while it has no room.
    pub overload: Overload,
    /// How tries that met a standing service have ended.
    pub stall_outcomes: StallOutcomes,
    /// The turns that are left where all endpoints name limits.
    pub(super) limited: Option<LimitedTurns>,
    /// The longest time that callers of each route have given it.
    usual_ms: HashMap<String, u64>,
}

impl ServiceQueue {
    /// A request arrives, with the time that its caller gives it. Its aim counts from its
    /// caller's first try; one that comes back has less time left than is usual.
    pub fn on_arrival(&mut self, route: &str, aim_ms: u64, given_ms: u64, now_ms: u64) -> Arrival {
        if !self.usual_ms.contains_key(route) {
            self.usual_ms.insert(route.to_owned(), 0);
        }
        let usual_ms = self.usual_ms.get_mut(route).expect("inserted above");
        *usual_ms = (*usual_ms).max(given_ms);
        let is_caller_retry = (given_ms as f64) < *usual_ms as f64 * RETURNED_SHARE;
        let in_aim_ms = if is_caller_retry { 0.0 } else { aim_ms as f64 * IN_AIM_SHARE };
        Arrival { on_time_until_ms: now_ms + in_aim_ms as u64, is_caller_retry }
    }

    /// Whether a request may go now, as far as others that wait here are concerned.
    pub(super) fn is_turn_of(&self, ticket: Option<Ticket>, urgency: Urgency, now_ms: u64) -> bool {
        match ticket {
            Some(ticket) => self.wait_queue.is_next(ticket, now_ms),
            None => self.wait_queue.may_overtake(urgency, now_ms),
        }
    }

    /// Late requests that this box may have at the endpoints, of `slots` that `boxes` share.
    #[must_use]
    pub fn max_late_in_flight(slots: u64, boxes: u64) -> u64 {
        ((slots as f64 * LATE_SHARE / boxes.max(1) as f64).ceil() as u64).max(LEAST_LATE)
    }
}
