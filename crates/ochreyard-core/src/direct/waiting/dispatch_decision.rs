//! Whether a request goes to an endpoint now, waits for one, or is given up.

use super::limited_turns::LimitedTurns;
use super::{Arrival, Patience, ServiceQueue, Ticket, Urgency, WaitFacts};
use crate::direct::allowed_regions::AllowedRegions;
use crate::direct::endpoint_incarnation::EndpointIncarnation;
use crate::direct::endpoint_pool::{EndpointPool, Pick, PickError};

/// A request that looks for an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct PendingRequest<'a> {
    /// Its service.
    pub service: &'a str,
    /// Where it may run.
    pub allowed_regions: &'a AllowedRegions,
    /// Endpoints that were tried.
    pub tried: &'a [EndpointIncarnation],
    /// How it arrived.
    pub arrival: Arrival,
    /// When its time ends.
    pub deadline_ms: u64,
    /// Since when its caller has heard nothing: since it asked, or since the last event that it got.
    pub silent_since_ms: u64,
    /// How long serving takes where nothing is known of it, in milliseconds.
    pub aim_ms: u64,
    /// How long its caller hears nothing before it goes away, where that is stated.
    pub patience_ms: Option<u64>,
    /// Its place among those that wait, if it has one.
    pub ticket: Option<Ticket>,
}

impl PendingRequest<'_> {
    /// How soon it has to go.
    #[must_use]
    pub const fn urgency(&self, now_ms: u64) -> Urgency {
        if now_ms < self.arrival.on_time_until_ms { Urgency::OnTime } else { Urgency::Late }
    }
}

/// What a request that looks for an endpoint does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchDecision {
    /// It goes to this endpoint.
    Send(Pick),
    /// It waits.
    Wait(WaitFacts),
    /// It is given up.
    GiveUp(WaitFacts),
}

impl ServiceQueue {
    /// What a request does now, where `boxes` boxes share the endpoints; `draw` is any evenly
    /// spread number.
    pub fn decide(
        &mut self,
        pool: &EndpointPool,
        boxes: u64,
        seeker: &PendingRequest,
        draw: u64,
        now_ms: u64,
    ) -> DispatchDecision {
        let no_pick = match self.pick_in_turn(pool, boxes, seeker, draw, now_ms) {
            Ok(pick) => {
                self.stalls.record(false, now_ms);
                self.overload.on_taken(seeker.urgency(now_ms), now_ms);
                return DispatchDecision::Send(pick);
            }
            Err(no_pick) => self.turn_under_limits(no_pick, pool, seeker, now_ms),
        };
        let is_down = pool.is_down(seeker.service, now_ms);
        self.stalls.record(is_down, now_ms);
        if is_down {
            self.overload.reset();
        } else if no_pick == PickError::Full {
            self.overload.on_full(now_ms);
        }
        let facts = WaitFacts {
            no_pick,
            left_ms: seeker.deadline_ms.saturating_sub(now_ms),
            needed_ms: self.service_time.estimate_after_wait_ms().unwrap_or(seeker.aim_ms),
            has_served: self.service_time.estimate_after_wait_ms().is_some(),
            is_worth_it: !is_down || seeker.ticket.is_some() || self.is_holding_worth_it(now_ms),
            stands_for_ms: match no_pick {
                PickError::Paused { until_ms } => until_ms.saturating_sub(now_ms),
                // Who waits already was let in by what was expected then.
                _ if seeker.ticket.is_some() => 0,
                _ => self.stalls.expected_remaining_ms(now_ms),
            },
            queue_ms: match no_pick {
                PickError::Full => self.queue_ms(seeker, now_ms),
                PickError::Limited { until_ms } => until_ms.saturating_sub(now_ms),
                _ => 0,
            },
            silent_ms: now_ms.saturating_sub(seeker.silent_since_ms),
            patience_ms: self.patience.hold_limit_ms().or_else(|| seeker.patience_ms.map(Patience::hold_limit_for)),
            has_come_back: seeker.arrival.is_caller_retry,
        };
        if facts.may_wait() { DispatchDecision::Wait(facts) } else { DispatchDecision::GiveUp(facts) }
    }

    /// Where limits leave no turn now: when the turn of this request comes, after those that go before it.
    fn turn_under_limits(
        &mut self,
        no_pick: PickError,
        pool: &EndpointPool,
        seeker: &PendingRequest,
        now_ms: u64,
    ) -> PickError {
        if let PickError::Limited { until_ms } = no_pick {
            self.limited = Some(LimitedTurns::new(until_ms, pool.limit_usage(seeker.service, now_ms), now_ms));
        }
        let limited = self.limited.filter(|limited| limited.is_recent(now_ms));
        match (no_pick, limited) {
            (PickError::Full | PickError::Limited { .. }, Some(limited)) => {
                let ahead = self.wait_queue.ahead(seeker.ticket, seeker.urgency(now_ms), seeker.deadline_ms, now_ms);
                PickError::Limited { until_ms: limited.turn_ms(ahead) }
            }
            (no_pick, _) => no_pick,
        }
    }

    /// How long a request that is late would wait for room; 0 where that is not known. One that can still be in its aim
    /// is not judged: it goes first, and has little time to lose.
    fn queue_ms(&self, seeker: &PendingRequest, now_ms: u64) -> u64 {
        match seeker.urgency(now_ms) {
            Urgency::OnTime => 0,
            Urgency::Late => {
                let ahead = self.wait_queue.late_ahead(seeker.ticket, seeker.deadline_ms, now_ms);
                self.overload.late_wait_ms(ahead, now_ms).unwrap_or(0)
            }
        }
    }

    /// Whether holding serves as many as sending back, as far as known. While a first stand lasts, those that were held in
    /// vain at its start say nothing of those that come near its end; where stands recur, they do.
    fn is_holding_worth_it(&self, now_ms: u64) -> bool {
        !self.stalls.has_recent(now_ms) || self.stall_outcomes.is_holding_worth_it(now_ms)
    }

    /// An endpoint, if no other request goes first and this box has a place left for it.
    fn pick_in_turn(
        &self,
        pool: &EndpointPool,
        boxes: u64,
        seeker: &PendingRequest,
        draw: u64,
        now_ms: u64,
    ) -> Result<Pick, PickError> {
        let urgency = seeker.urgency(now_ms);
        if !self.is_turn_of(seeker.ticket, urgency, now_ms) {
            return Err(PickError::Full);
        }
        let pick = pool.pick_in_regions(seeker.allowed_regions, seeker.service, seeker.tried, urgency, draw, now_ms)?;
        let is_over = urgency == Urgency::Late
            && pool.late_in_flight(seeker.service) >= Self::max_late_in_flight(pool.slots(seeker.service), boxes);
        if is_over { Err(PickError::Full) } else { Ok(pick) }
    }
}
