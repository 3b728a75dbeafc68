//! Decides whether a request is sent to an endpoint now, waits for one, or is given up.

use super::limited_turns::LimitedTurns;
use super::{Arrival, Patience, ServiceQueue, Ticket, WaitFacts};
use crate::direct::endpoint_incarnation::EndpointIncarnation;
use crate::direct::endpoint_pool::{Admission, EndpointPool, Pick, PickError, PickRequest};
use crate::direct::permitted_regions::PermittedRegions;
use crate::direct::priority::Priority;
use crate::direct::priority_level::PriorityLevel;
use crate::direct::urgency::Urgency;

/// A request that needs an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct PendingRequest<'a> {
    /// Service that the request is for.
    pub service: &'a str,
    /// Regions in which the request may run.
    pub permitted_regions: &'a PermittedRegions,
    /// Endpoints that the request has been sent to already.
    pub tried: &'a [EndpointIncarnation],
    /// Workspace that the request belongs to, if it has one.
    pub workspace: Option<&'a str>,
    /// Predicted work of the request, in tokens.
    pub work_tokens: u64,
    /// Priority of the request.
    pub priority: Priority,
    /// Position of that priority among those of the service.
    pub level: PriorityLevel,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// What was derived at the arrival of the request.
    pub arrival: Arrival,
    /// Deadline of the request, in milliseconds.
    pub deadline_ms: u64,
    /// Since when the caller has received nothing: the arrival of the request or the last event sent to the caller.
    pub silent_since_ms: u64,
    /// Latency target, used as the service time where none has been measured yet, in milliseconds.
    pub target_latency_ms: u64,
    /// How long the caller waits without receiving anything before it disconnects, where that is configured.
    pub patience_ms: Option<u64>,
    /// Ticket of the request in the wait queue, if it waits there.
    pub ticket: Option<Ticket>,
}

impl PendingRequest<'_> {
    /// Returns whether the request can still meet its latency target.
    #[must_use]
    pub const fn urgency(&self, now_ms: u64) -> Urgency {
        if now_ms < self.arrival.on_time_until_ms { Urgency::OnTime } else { Urgency::Late }
    }
}

/// What is done with a request that needs an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchDecision {
    /// The request is sent to this endpoint.
    Send(Pick),
    /// The request waits.
    Wait(WaitFacts),
    /// The request is given up.
    GiveUp(WaitFacts),
}

impl ServiceQueue {
    /// Decides what to do with a request now, where `boxes` boxes share the endpoints; `draw` is a
    /// uniformly distributed random number.
    pub fn decide(
        &mut self,
        pool: &EndpointPool,
        boxes: u64,
        request: &PendingRequest,
        draw: u64,
        now_ms: u64,
    ) -> DispatchDecision {
        let was_stalled = self.stalls.is_stalled();
        let is_still_stalled = was_stalled && pool.is_down(request.service, now_ms);
        if was_stalled && !is_still_stalled {
            self.record_stall(false, draw, now_ms);
        }
        self.end_recovery(now_ms);
        let pick_error = match self.pick_in_turn(pool, boxes, request, draw, now_ms) {
            Ok(pick) => {
                let urgency = request.urgency(now_ms);
                self.overload.on_dispatched(urgency, now_ms);
                if let (Urgency::Late, Some(late_slots)) = (urgency, &mut self.late_slots) {
                    late_slots.on_sent(now_ms);
                }
                if let Some(ticket) = request.ticket {
                    self.wait_queue.on_sent(ticket);
                }
                return DispatchDecision::Send(pick);
            }
            Err(pick_error) => self.turn_under_limits(pick_error, pool, request, now_ms),
        };
        let is_down = if was_stalled { is_still_stalled } else { pool.is_down(request.service, now_ms) };
        self.record_stall(is_down, draw, now_ms);
        if is_down {
            self.overload.reset();
        } else if pick_error == PickError::Full {
            self.overload.on_full(now_ms);
        }
        let facts = WaitFacts {
            pick_error,
            left_ms: request.deadline_ms.saturating_sub(now_ms),
            needed_ms: self.service_time.estimate_after_wait_ms().unwrap_or(request.target_latency_ms),
            has_served: self.service_time.estimate_after_wait_ms().is_some(),
            is_holding_worthwhile: !is_down || request.ticket.is_some() || self.is_holding_worthwhile(now_ms),
            expected_stall_ms: match pick_error {
                PickError::Paused { until_ms } => until_ms.saturating_sub(now_ms),
                // A request that waits already was admitted by the estimate of that time.
                _ if request.ticket.is_some() => 0,
                _ => self.stalls.expected_remaining_ms(now_ms),
            },
            queue_ms: match pick_error {
                PickError::Full | PickError::Stalled => self.queue_ms(pool, boxes, request, now_ms),
                PickError::Limited { until_ms } => until_ms.saturating_sub(now_ms),
                _ => 0,
            },
            silent_ms: now_ms.saturating_sub(request.silent_since_ms),
            patience_ms: self.hold_limit_ms(request),
            is_caller_retry: request.arrival.is_caller_retry,
        };
        if facts.may_wait() { DispatchDecision::Wait(facts) } else { DispatchDecision::GiveUp(facts) }
    }

    /// Returns the reason why no endpoint was picked. Where rate limits leave no turn now, it states when the turn of
    /// this request comes, after those ahead of it.
    fn turn_under_limits(
        &mut self,
        pick_error: PickError,
        pool: &EndpointPool,
        request: &PendingRequest,
        now_ms: u64,
    ) -> PickError {
        if let PickError::Limited { until_ms } = pick_error {
            self.limited_turns = Some(LimitedTurns::new(until_ms, pool.limit_usage(request.service, now_ms), now_ms));
        }
        let turns = self.limited_turns.filter(|turns| turns.is_recent(now_ms));
        match (pick_error, turns) {
            (PickError::Full | PickError::Limited { .. }, Some(turns)) => {
                let ahead = self.wait_queue.ahead(request, now_ms);
                PickError::Limited { until_ms: turns.turn_ms(ahead) }
            }
            (pick_error, _) => pick_error,
        }
    }

    /// Returns how long a late request would wait for a free slot, in milliseconds; 0 where that is not known. A
    /// request on time gets no estimate: it goes first, and its wait is short.
    fn queue_ms(&mut self, pool: &EndpointPool, boxes: u64, request: &PendingRequest, now_ms: u64) -> u64 {
        if request.urgency(now_ms) == Urgency::OnTime {
            return 0;
        }
        let ahead = self.wait_queue.late_ahead(request, now_ms);
        let overload_ms = self.overload.late_wait_ms(ahead, now_ms).unwrap_or(0);
        match &self.late_slots {
            // Callers retry once. A first attempt is held for as long as its caller waits, so that the retries of
            // callers are spread over the recovery like their first attempts were over the stall: sent back at once
            // when the stall ended, they returned within one second.
            Some(_) if !request.arrival.is_caller_retry && self.hold_limit_ms(request).is_some() => 0,
            Some(late_slots) => {
                let in_flight = pool.late_in_flight(request.service);
                // One group may resume before the others, so the wait is that for the slots of all.
                let demand = self.slot_demand(pool.slots(request.service), boxes, now_ms);
                overload_ms.max(late_slots.wait_ms(&demand, in_flight, ahead as u64, now_ms))
            }
            None => overload_ms,
        }
    }

    /// Returns whether the caller still waits for a request that is held back, as far as known.
    #[must_use]
    pub fn is_caller_patient(&self, request: &PendingRequest, now_ms: u64) -> bool {
        let silent_ms = now_ms.saturating_sub(request.silent_since_ms);
        self.hold_limit_ms(request).is_none_or(|limit_ms| silent_ms < limit_ms)
    }

    /// Returns the longest silence of the caller up to which its request is held, in milliseconds, where it is known.
    fn hold_limit_ms(&self, request: &PendingRequest) -> Option<u64> {
        self.patience.hold_limit_ms().or_else(|| request.patience_ms.map(Patience::hold_limit_for))
    }

    /// Returns whether holding requests serves as many as sending callers back, as far as known. During a first stall,
    /// requests that were held in vain at its start do not predict those that arrive near its end; where stalls recur,
    /// they do.
    fn is_holding_worthwhile(&self, now_ms: u64) -> bool {
        !self.stalls.has_recent(now_ms) || self.stall_outcomes.is_holding_worthwhile(now_ms)
    }

    /// Picks an endpoint if no other request goes first and this box has a slot left for a request of this urgency.
    ///
    /// A request that may have run replaces itself among the running requests of the service, so that no stream limit
    /// keeps it out. The retry budget bounds how many of these there are.
    fn pick_in_turn(
        &mut self,
        pool: &EndpointPool,
        boxes: u64,
        request: &PendingRequest,
        draw: u64,
        now_ms: u64,
    ) -> Result<Pick, PickError> {
        let urgency = request.urgency(now_ms);
        if !self.may_go_now(request, now_ms) {
            return Err(PickError::Full);
        }
        let admission = if request.may_have_run {
            Admission::Exempt
        } else {
            Admission::Drawn(self.admission_seed.of(request.ticket, draw))
        };
        let PendingRequest { service, permitted_regions, tried, level, .. } = *request;
        let pick_request = PickRequest { service, permitted_regions, tried, urgency, level, admission };
        let pick = pool.pick_for(&pick_request, draw, now_ms)?;
        let may_send = urgency == Urgency::OnTime || self.has_late_slot(pool, boxes, request, now_ms);
        if may_send { Ok(pick) } else { Err(PickError::Full) }
    }

    /// Returns whether this box has a slot for one more late request. While the service recovers from a stall, it has
    /// none for a request that would not be served within its time. A stream that is resumed needs less time than a
    /// whole one.
    fn has_late_slot(&self, pool: &EndpointPool, boxes: u64, request: &PendingRequest, now_ms: u64) -> bool {
        let in_flight = pool.late_in_flight(request.service);
        let Some(late_slots) = &self.late_slots else {
            return in_flight < Self::max_late_in_flight(pool.slots(request.service), boxes);
        };
        let demand = self.slot_demand(pool.serving_slots(request.service, now_ms), boxes, now_ms);
        let left_ms = request.deadline_ms.saturating_sub(now_ms);
        let has_time = !request.tried.is_empty() || demand.service_ms.is_none_or(|service_ms| left_ms >= service_ms);
        has_time && in_flight < late_slots.count(&demand)
    }
}
