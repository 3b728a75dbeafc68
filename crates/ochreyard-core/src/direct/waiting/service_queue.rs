//! State of an entry for the requests of one service: which wait, how long serving takes,
//! whether the service is stalled.

use std::collections::HashMap;

use super::admission_seed::AdmissionSeed;
use super::arrival_rate::ArrivalRate;
use super::late_slots::{LateSlots, MAX_LATE_SHARE, SlotDemand};
use super::limited_turns::LimitedTurns;
use super::longest_runs::LongestRuns;
use super::{
    Arrival, Overload, Patience, PendingRequest, ServiceTime, StallHistory, StallOutcomes, UsualWork, WaitQueue,
};

/// A request with a timeout below this share of the longest one is a retry of its caller: a caller that was sent back
/// retries with two thirds of the time it had left, and timeouts of first attempts differ by less.
const RETRY_TIMEOUT_SHARE: f64 = 0.8;
/// Share of the latency target within which a request must be sent to meet the target: the first event takes nearly
/// half of it.
const ON_TIME_SEND_SHARE: f64 = 0.5;
/// Service times for which the service must have run before a stall for slots to be set aside after it. Where stalls of
/// 2.6 s recur every 4 s, only what is sent as soon as the service resumes is served before the next one.
const MIN_SERVICE_TIMES: u64 = 2;
/// Late requests that a box may always have in flight, for services with fewer slots than boxes.
const MIN_LATE: u64 = 2;

/// The requests of one service at this entry.
#[derive(Debug, Clone, Default)]
pub struct ServiceQueue {
    /// Requests that wait.
    pub wait_queue: WaitQueue,
    /// Usual work of requests by route.
    pub usual_work: UsualWork,
    /// Time that serving a request takes.
    pub service_time: ServiceTime,
    /// How long runs take at the most, by route.
    pub longest_runs: LongestRuns,
    /// Present and past stalls of the service.
    pub stalls: StallHistory,
    /// How long callers wait before they disconnect.
    pub patience: Patience,
    /// Rate at which the service accepts late requests while it is full.
    pub overload: Overload,
    /// Outcomes of requests that arrived while the service was stalled.
    pub stall_outcomes: StallOutcomes,
    /// Rate at which first attempts of callers arrive at this box.
    pub arrival_rate: ArrivalRate,
    /// Slots for late requests, from the begin of a stall to the end of the recovery from it.
    pub(super) late_slots: Option<LateSlots>,
    /// Turns that rate limits leave to this box where all endpoints state limits.
    pub(super) limited_turns: Option<LimitedTurns>,
    /// Random number of the first waiting request.
    pub(super) admission_seed: AdmissionSeed,
    /// Longest timeout of a request by route.
    longest_timeout_ms: HashMap<String, u64>,
}

impl ServiceQueue {
    /// Classifies an arriving request by the timeout that its caller gave it. The latency target counts from the first
    /// attempt of the caller; a retry has less time left than usual.
    pub fn on_arrival(&mut self, route: &str, target_latency_ms: u64, timeout_ms: u64, now_ms: u64) -> Arrival {
        if !self.longest_timeout_ms.contains_key(route) {
            self.longest_timeout_ms.insert(route.to_owned(), 0);
        }
        let longest_timeout_ms = self.longest_timeout_ms.get_mut(route).expect("inserted above");
        *longest_timeout_ms = (*longest_timeout_ms).max(timeout_ms);
        let is_caller_retry = (timeout_ms as f64) < *longest_timeout_ms as f64 * RETRY_TIMEOUT_SHARE;
        if !is_caller_retry {
            self.arrival_rate.record(now_ms);
        }
        let on_time_ms = if is_caller_retry { 0.0 } else { target_latency_ms as f64 * ON_TIME_SEND_SHARE };
        Arrival { on_time_until_ms: now_ms + on_time_ms as u64, is_caller_retry }
    }

    /// Records whether the service is stalled. `draw` is a uniformly distributed random number.
    pub(super) fn record_stall(&mut self, is_stalled: bool, draw: u64, now_ms: u64) {
        self.stalls.record(is_stalled, now_ms);
        if is_stalled {
            self.late_slots.take_if(|late_slots| late_slots.has_recovered(0, now_ms));
            let service_ms = self.service_time.estimate_after_wait_ms().unwrap_or(0);
            if !self.stalls.has_recurred_within(service_ms * MIN_SERVICE_TIMES) {
                self.late_slots.get_or_insert_with(|| LateSlots::new(draw));
            }
        } else if let Some(late_slots) = &mut self.late_slots {
            late_slots.on_resumed(now_ms);
        }
    }

    /// Ends a recovery after the longest time that callers give a request: by then none is left that arrived during the
    /// stall.
    pub(super) fn end_recovery(&mut self, now_ms: u64) {
        let longest_ms = self.longest_timeout_ms.values().max().copied().unwrap_or(0);
        self.late_slots.take_if(|late_slots| late_slots.has_recovered(longest_ms, now_ms));
    }

    /// Returns what determines the slots for late requests during a recovery.
    pub(super) fn slot_demand(&self, slots: u64, boxes: u64, now_ms: u64) -> SlotDemand {
        SlotDemand {
            slots,
            boxes,
            arrivals_per_ms: self.arrival_rate.per_ms(now_ms),
            service_ms: self.service_time.estimate_after_wait_ms(),
        }
    }

    /// Returns whether no waiting request goes before this one.
    pub(super) fn may_go_now(&mut self, request: &PendingRequest, now_ms: u64) -> bool {
        match request.ticket {
            Some(ticket) => self.wait_queue.is_next(ticket, now_ms),
            None => self.wait_queue.may_overtake(request.urgency(now_ms), request.priority, now_ms),
        }
    }

    /// Returns how many late requests this box may have in flight, of `slots` that `boxes` boxes share.
    #[must_use]
    pub fn max_late_in_flight(slots: u64, boxes: u64) -> u64 {
        ((slots as f64 * MAX_LATE_SHARE / boxes.max(1) as f64).ceil() as u64).max(MIN_LATE)
    }
}
