//! One endpoint of the pool: its load, its failures and its group.

use super::REPORT_LIFETIME_MS;
use super::attempt_outcome::AttemptOutcome;
use super::availability_notice::AvailabilityNotice;
use super::cold_limit::ColdLimit;
use super::departed::Departed;
use super::failure_streak::FailureStreak;
use super::reported_load::ReportedLoad;
use super::slow_start::SlowStart;
use crate::direct::shared_limit::SharedLimit;
use crate::direct::urgency::Urgency;
use crate::direct::{EndpointIncarnation, EndpointRecord};

/// Weight of the latest outcome in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// Increase of the load score of an endpoint that always fails.
const FAILURE_COST: f64 = 6.0;
/// How long a rejection counts, in milliseconds. An endpoint that rejects requests has no load and would attract the
/// next ones. With this penalty, callers got .08 more of the value of their requests (simulated days, six pairs) when
/// three in ten endpoints rejected nine in ten requests for nine seconds. The rejections of a stalled group expire soon
/// after it resumes.
const REJECTION_LIFETIME_MS: f64 = 1_000.0;
/// The first backoff after an endpoint was unreachable or left silent, in milliseconds.
const INITIAL_EJECTION_MS: u64 = 500;
/// The longest such backoff, in milliseconds.
const MAX_EJECTION_MS: u64 = 4_000;
/// Limits the exponent of the backoff so that the shift stays within a `u64`, well beyond [`MAX_EJECTION_MS`].
const MAX_DOUBLINGS: u32 = 8;
/// Increase of the load score of an endpoint that is slow because it is cold. It shrinks as the endpoint warms up.
const COLD_COST: f64 = 0.5;
/// From this remaining cold time on, an endpoint gets the full [`COLD_COST`], in milliseconds.
const FULL_COLD_COST_MS: f64 = 3_000.0;
/// How long a reported load is used, in milliseconds.
const LOAD_LIFETIME_MS: f64 = 1_500.0;
/// The pace of an endpoint with normal speed, in thousandths.
const NORMAL_PACE_PERMILLE: u64 = 1_000;
/// A rank with at least this pace gets requests only if no other rank is left, in thousandths.
const SLOW_PACE_PERMILLE: u64 = 1_500;

/// One endpoint of the pool.
#[derive(Debug, Clone)]
pub struct Member {
    /// The record of the endpoint.
    pub record: EndpointRecord,
    /// Requests of this box that are in flight to the endpoint.
    pub in_flight: u64,
    /// Requests in flight that were already late when they were sent.
    pub late_in_flight: u64,
    /// The name of the endpoint's group, once a leader has reported it.
    pub group: Option<String>,
    /// How long the endpoint needs for its work, in thousandths of the normal time.
    pub pace_permille: u64,
    /// What the endpoint has asked for in its responses.
    pub notice: AvailabilityNotice,
    /// The rate limit that the endpoint sets for all boxes together, if any.
    pub limit: Option<SharedLimit>,
    /// The rate limit that applies while the endpoint is cold.
    pub cold: ColdLimit,
    /// Whether the endpoint's data centre is evacuated.
    pub is_evacuated: bool,
    /// Requests of this box that were picked for the endpoint and are not sent yet.
    unsent: u64,
    /// Requests of this box that the endpoint has not answered yet.
    unanswered: u64,
    slow_start: SlowStart,
    /// The number of the event at which the endpoint became known.
    known_since_event: u64,
    load: ReportedLoad,
    /// Requests of this box that were in flight when the load was reported.
    own_in_flight_at_load: u64,
    load_reported_ms: u64,
    /// Exponential moving average of failed outcomes, from 0 to 1.
    failures: f64,
    unreachable_count: u32,
    failure_streak: FailureStreak,
    /// How often the endpoint was ejected because it failed, since its last success.
    failure_ejections: u32,
    /// The time of the last rejection, unless the endpoint has accepted a request since.
    rejected_ms: Option<u64>,
    ejected_until_ms: u64,
    last_activity_ms: u64,
    /// Whether the endpoint, or its leader, has shown to this process that it runs.
    has_responded: bool,
    /// How often requests were moved to another endpoint because this one was silent, since it last sent anything.
    left_silent_count: u32,
    /// Until when it gets no request that would show whether it goes on.
    no_probe_until_ms: u64,
}

impl Member {
    /// Creates the state of an endpoint from its record and from what was kept while the record was missing.
    pub fn new(record: EndpointRecord, known_since_event: u64, kept_state: Departed, cold: ColdLimit) -> Self {
        let Departed { notice, limit } = kept_state;
        Self {
            record,
            known_since_event,
            notice,
            limit,
            cold,
            is_evacuated: false,
            unsent: 0,
            unanswered: 0,
            slow_start: if notice.has_requested_backoff() { SlowStart::AFTER_BACKOFF } else { SlowStart::Inactive },
            in_flight: 0,
            late_in_flight: 0,
            load: ReportedLoad { running: 0, waiting: 0 },
            own_in_flight_at_load: 0,
            load_reported_ms: 0,
            failures: 0.0,
            unreachable_count: 0,
            failure_streak: FailureStreak::default(),
            failure_ejections: 0,
            rejected_ms: None,
            ejected_until_ms: 0,
            last_activity_ms: 0,
            has_responded: false,
            left_silent_count: 0,
            no_probe_until_ms: 0,
            group: None,
            pace_permille: NORMAL_PACE_PERMILLE,
        }
    }

    /// Returns the number of the event at which the endpoint became known.
    pub const fn known_since_event(&self) -> u64 {
        self.known_since_event
    }

    /// Returns whether this is the given incarnation of the endpoint `id`.
    pub fn is_incarnation(&self, id: &str, incarnation: &EndpointIncarnation) -> bool {
        incarnation.id == id && incarnation.started_ms == self.record.started_ms
    }

    /// Returns whether the endpoint takes new work: it is not leaving, and its data centre is not evacuated.
    pub const fn takes_work(&self) -> bool {
        !self.is_leaving() && !self.is_evacuated
    }

    /// Returns whether the record or a response of the endpoint has announced that it is leaving.
    pub const fn is_leaving(&self) -> bool {
        self.record.is_leaving || self.notice.is_leaving()
    }

    /// Returns whether the endpoint takes new work and has not asked for a backoff that is still running.
    pub fn accepts_requests(&self, now_ms: u64) -> bool {
        self.takes_work() && self.notice.backoff_until_ms(now_ms).is_none()
    }

    /// Returns whether one more request may be sent: slow start allows it beside the unanswered requests, and the share
    /// of this box in the rate limits is not used up.
    pub fn admits_request(&self, now_ms: u64) -> bool {
        self.slow_start.admits(self.unanswered)
            && self.is_send_allowed(self.unsent, now_ms)
            && !(self.is_on_probation() && self.in_flight > 0)
    }

    /// Returns whether the endpoint was ejected because it failed, and has not succeeded since. A single request at a
    /// time shows whether it recovered.
    const fn is_on_probation(&self) -> bool {
        self.failure_ejections > 0
    }

    /// Returns the earliest time for the next request of this box under the rate limits. Returns `None` if no limit
    /// applies.
    pub fn next_send_ms(&self, now_ms: u64) -> Option<u64> {
        self.next_send_beside_ms(self.unsent, now_ms)
    }

    fn next_send_beside_ms(&self, unsent: u64, now_ms: u64) -> Option<u64> {
        let limited_ms = self.limit.as_ref().and_then(|limit| limit.next_send_ms(unsent, now_ms));
        limited_ms.max(self.cold.next_send_ms(unsent, now_ms))
    }

    fn is_send_allowed(&self, unsent: u64, now_ms: u64) -> bool {
        self.next_send_beside_ms(unsent, now_ms).is_none_or(|next_ms| now_ms >= next_ms)
    }

    /// Counts a request as sent if the rate limits allow it now. Returns whether they do.
    pub fn try_record_send(&mut self, now_ms: u64) -> bool {
        let is_send_allowed = self.is_send_allowed(0, now_ms);
        if is_send_allowed {
            self.cold.on_sent(now_ms);
            if let Some(limit) = &mut self.limit {
                limit.on_sent(now_ms);
            }
        }
        is_send_allowed
    }

    /// Removes a request that will not reach the endpoint. `counted_ms` is the time at which it was counted as sent, if
    /// it was.
    pub fn on_unsent(&mut self, counted_ms: Option<u64>) {
        let Some(sent_ms) = counted_ms else {
            self.unsent = self.unsent.saturating_sub(1);
            return;
        };
        self.cold.undo_send(sent_ms);
        if let Some(limit) = &mut self.limit {
            limit.undo_send(sent_ms);
        }
    }

    /// Records that the endpoint wants no requests for `backoff_ms`.
    pub fn on_backoff(&mut self, backoff_ms: u64, now_ms: u64) {
        self.notice.on_backoff(backoff_ms, now_ms);
        self.slow_start = SlowStart::AFTER_BACKOFF;
    }

    /// Records that the endpoint accepted a request. Requests that were accepted before a backoff say nothing about the
    /// time after it.
    pub fn on_accepted(&mut self, now_ms: u64) {
        self.rejected_ms = None;
        if self.notice.backoff_until_ms(now_ms).is_none() {
            self.slow_start = self.slow_start.after_accepted(self.record.slots);
        }
    }

    /// Records that the endpoint answered a request, with any status.
    pub const fn on_answered(&mut self) {
        self.unanswered = self.unanswered.saturating_sub(1);
    }

    /// Estimates the number of requests at the endpoint. Those of this box are known exactly; those of other boxes come
    /// from the last report and are discounted by its age.
    pub fn estimated_requests(&self, now_ms: u64) -> f64 {
        let other_boxes = self.load.requests().saturating_sub(self.own_in_flight_at_load) as f64;
        let age_ms = now_ms.saturating_sub(self.load_reported_ms) as f64;
        self.in_flight as f64 + other_boxes * (1.0 - age_ms / LOAD_LIFETIME_MS).max(0.0)
    }

    /// Returns whether the leader recently reported the rank as slow. The requests of a slow rank lengthen every step
    /// of all ranks in its group.
    pub const fn is_slow(&self, now_ms: u64) -> bool {
        self.pace_permille >= SLOW_PACE_PERMILLE && now_ms < self.load_reported_ms + REPORT_LIFETIME_MS
    }

    /// Returns the load score by which endpoints are compared.
    pub fn load_score(&self, now_ms: u64) -> f64 {
        let slots = self.record.slots.max(1) as f64;
        let cold = (self.cold.remaining_ms(now_ms) as f64 / FULL_COLD_COST_MS).min(1.0);
        (self.estimated_requests(now_ms) + 1.0) / slots
            * (1.0 + COLD_COST * cold)
            * (1.0 + FAILURE_COST * self.failures.max(self.rejection_weight(now_ms)))
    }

    /// Returns the weight of the last rejection: 1 immediately after it, falling to 0 at the end of its lifetime.
    fn rejection_weight(&self, now_ms: u64) -> f64 {
        let age_ms = self.rejected_ms.map_or(u64::MAX, |rejected_ms| now_ms.saturating_sub(rejected_ms));
        (1.0 - age_ms as f64 / REJECTION_LIFETIME_MS).max(0.0)
    }

    /// Returns whether the endpoint is avoided because it was unreachable.
    pub const fn is_ejected(&self, now_ms: u64) -> bool {
        self.ejected_until_ms > now_ms
    }

    /// Records that the leader reported the group as running.
    pub fn on_group_running(&mut self, now_ms: u64) {
        // Requests at this rank make progress even if no response to this box is due yet.
        self.on_activity(now_ms);
    }

    /// Returns whether the endpoint has been silent for at least `for_ms`, both to this box and to its leader.
    pub const fn is_silent(&self, for_ms: u64, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.last_activity_ms) >= for_ms
    }

    /// Returns whether the endpoint, or its leader, has shown to this process that it runs.
    pub const fn has_responded(&self) -> bool {
        self.has_responded
    }

    /// Returns whether the endpoint has to respond to a check before it gets another request.
    pub const fn needs_liveness_check(&self) -> bool {
        !self.has_responded || self.left_silent_count > 0
    }

    /// Records a sign of life of the endpoint.
    pub fn on_activity(&mut self, now_ms: u64) {
        self.last_activity_ms = now_ms;
        self.has_responded = true;
        self.left_silent_count = 0;
        if let Some(limit) = &mut self.limit {
            limit.on_heard(now_ms);
        }
    }

    /// Records that a request that was sent at `sent_ms` was abandoned before the endpoint sent anything.
    pub fn on_abandoned(&mut self, sent_ms: u64) {
        if let Some(limit) = &mut self.limit {
            limit.on_abandoned(sent_ms);
        }
    }

    /// Records that a request was moved to another endpoint, since this one is silent.
    pub fn on_left_silent(&mut self, now_ms: u64) {
        self.no_probe_until_ms = now_ms + backoff_ms(self.left_silent_count);
        self.left_silent_count += 1;
    }

    /// Returns whether the endpoint is silent, and either a request waits there that will show when it goes on, or it is
    /// too early for the next one.
    pub const fn is_unresponsive(&self, now_ms: u64) -> bool {
        self.left_silent_count > 0 && (self.unanswered > 0 || now_ms < self.no_probe_until_ms)
    }

    /// Applies a load reported by the endpoint or by its leader.
    pub const fn on_load(&mut self, load: ReportedLoad, now_ms: u64) {
        self.load = load;
        self.own_in_flight_at_load = self.in_flight;
        self.load_reported_ms = now_ms;
    }

    /// Records the start of an attempt.
    pub const fn on_attempt_start(&mut self, urgency: Urgency) {
        self.in_flight += 1;
        self.unsent += 1;
        self.unanswered += 1;
        self.late_in_flight += matches!(urgency, Urgency::Late) as u64;
    }

    /// Records the end of an attempt.
    pub fn on_attempt_end(&mut self, urgency: Urgency, outcome: AttemptOutcome, now_ms: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.late_in_flight = self.late_in_flight.saturating_sub(u64::from(urgency == Urgency::Late));
        let failed = match outcome {
            AttemptOutcome::Success => 0.0,
            AttemptOutcome::Failed | AttemptOutcome::BrokenOff | AttemptOutcome::Unreachable => 1.0,
            AttemptOutcome::Full => {
                self.rejected_ms = Some(now_ms);
                return;
            }
            AttemptOutcome::Unknown => return,
        };
        self.failures += FAILURE_WEIGHT * (failed - self.failures);
        if outcome == AttemptOutcome::Unreachable {
            self.ejected_until_ms = now_ms + backoff_ms(self.unreachable_count);
            self.unreachable_count += 1;
            self.cold.on_possible_restart(self.ejected_until_ms);
        } else if outcome == AttemptOutcome::Success {
            self.unreachable_count = 0;
            self.ejected_until_ms = 0;
            self.failure_streak = FailureStreak::default();
            self.failure_ejections = 0;
        }
    }

    /// Counts a failed attempt that was sent at `sent_ms`. Returns whether the endpoint has failed too often in a row.
    pub const fn on_failure(&mut self, outcome: AttemptOutcome, sent_ms: u64, now_ms: u64) -> bool {
        match outcome {
            AttemptOutcome::Failed => self.failure_streak.on_failure(now_ms),
            AttemptOutcome::BrokenOff => self.failure_streak.on_broken_off(sent_ms, now_ms),
            _ => return false,
        }
        self.failure_streak.is_too_long()
    }

    /// Ejects the endpoint because it has failed too often in a row.
    pub fn eject_failing(&mut self, now_ms: u64) {
        self.ejected_until_ms = now_ms + backoff_ms(self.failure_ejections);
        self.failure_ejections += 1;
    }
}

/// Returns for how long an endpoint is avoided after a failure that followed this number of others in a row.
fn backoff_ms(failures: u32) -> u64 {
    (INITIAL_EJECTION_MS << failures.min(MAX_DOUBLINGS)).min(MAX_EJECTION_MS)
}
