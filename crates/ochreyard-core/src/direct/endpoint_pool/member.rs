//! One endpoint as it looks from this box: its load, its failures and its group.

use super::NEWS_LIFE_MS;
use super::attempt_outcome::AttemptOutcome;
use super::availability_notice::AvailabilityNotice;
use super::cold_limit::ColdLimit;
use super::departed::Departed;
use super::reported_load::ReportedLoad;
use super::slow_start::SlowStart;
use crate::direct::shared_limit::SharedLimit;
use crate::direct::waiting::Urgency;
use crate::direct::{EndpointIncarnation, EndpointRecord};

/// Weight of one more outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// How much an endpoint that always fails counts as more loaded.
const FAILURE_COST: f64 = 6.0;
/// How long a refusal says something, in milliseconds. One that refuses runs nothing, and by its load alone would get
/// whatever comes next: where three in ten endpoints refused nine in ten requests for nine seconds, callers got .08 more
/// of what their requests are worth with this (played days, six pairs). What a whole group refuses while it stands is
/// forgotten soon after its return.
const REFUSAL_LIFE_MS: f64 = 1_000.0;
/// How long an endpoint that cannot be reached is set aside at first, in milliseconds.
const SET_ASIDE_MS: u64 = 500;
/// The longest that it is set aside, in milliseconds.
const MAX_SET_ASIDE_MS: u64 = 4_000;
/// Most doublings of the time for which it is set aside: keeps the shift within a `u64`,
/// well beyond [`MAX_SET_ASIDE_MS`].
const MAX_DOUBLINGS: u32 = 8;
/// How much more loaded an endpoint counts that has just started, and is slow for a while: by this part, less as it warms.
const COLD_COST: f64 = 0.5;
/// An endpoint that stays cold for this long or longer counts as slow as any, in milliseconds.
const COLD_SPAN_MS: f64 = 3_000.0;
/// After this time, reported load says nothing more, in milliseconds.
const LOAD_LIFE_MS: f64 = 1_500.0;
/// The pace of an endpoint that is as fast as usual, in thousandths.
const USUAL_PACE_PERMILLE: u64 = 1_000;
/// From this pace on a rank gets requests only where no other is left, in thousandths.
const SLOW_PACE_PERMILLE: u64 = 1_500;

/// One endpoint.
#[derive(Debug, Clone)]
pub struct Member {
    /// Its record.
    pub record: EndpointRecord,
    /// Requests that this box has there.
    pub in_flight: u64,
    /// Those of them that were late when they were sent.
    pub late_in_flight: u64,
    /// The name of its group, once a leader has told of it.
    pub group: Option<String>,
    /// How much longer its work takes than usual, in thousandths.
    pub pace_permille: u64,
    /// What it has asked for in its answers.
    pub notice: AvailabilityNotice,
    /// What it takes from all boxes together, where it names that.
    pub limit: Option<SharedLimit>,
    /// What it bears while it is cold.
    pub cold: ColdLimit,
    /// Whether its data centre is evacuated.
    pub is_evacuated: bool,
    /// Requests of this box that were picked for it and are not sent yet.
    unsent: u64,
    /// Requests of this box that it has not answered yet.
    unanswered: u64,
    slow_start: SlowStart,
    /// The number of the event by which it became known.
    known: u64,
    load: ReportedLoad,
    /// Requests that this box had there when the load was told.
    own_at_load: u64,
    load_at_ms: u64,
    /// Share of its outcomes that were failures, the last ones weighing most.
    failures: f64,
    unreachable_times: u32,
    /// When it last refused a request, unless it has taken one since.
    refused_ms: Option<u64>,
    aside_until_ms: u64,
    heard_ms: u64,
}

impl Member {
    /// An endpoint of which nothing is known but its record, and what it asked for before that lapsed.
    pub fn new(record: EndpointRecord, known: u64, before: Departed, cold: ColdLimit) -> Self {
        let Departed { notice, limit } = before;
        Self {
            record,
            known,
            notice,
            limit,
            cold,
            is_evacuated: false,
            unsent: 0,
            unanswered: 0,
            slow_start: if notice.has_requested_backoff() { SlowStart::AFTER_PAUSE } else { SlowStart::Open },
            in_flight: 0,
            late_in_flight: 0,
            load: ReportedLoad { running: 0, waiting: 0 },
            own_at_load: 0,
            load_at_ms: 0,
            failures: 0.0,
            unreachable_times: 0,
            refused_ms: None,
            aside_until_ms: 0,
            heard_ms: 0,
            group: None,
            pace_permille: USUAL_PACE_PERMILLE,
        }
    }

    /// The number of the event by which it became known.
    pub const fn known(&self) -> u64 {
        self.known
    }

    /// Whether it is this life of the endpoint `id`.
    pub fn is_life(&self, id: &str, life: &EndpointIncarnation) -> bool {
        life.id == id && life.started_ms == self.record.started_ms
    }

    /// Whether it takes new work at all: it does not leave, and its data centre is not evacuated.
    pub const fn takes_work(&self) -> bool {
        !self.is_leaving() && !self.is_evacuated
    }

    /// Whether its record or an answer of it has said that it leaves.
    pub const fn is_leaving(&self) -> bool {
        self.record.is_leaving || self.notice.is_leaving()
    }

    /// Whether a request may be sent there now, as far as it has asked for anything.
    pub fn accepts_requests(&self, now_ms: u64) -> bool {
        self.takes_work() && self.notice.backoff_until_ms(now_ms).is_none()
    }

    /// Whether a request more may be sent there: while those before are unanswered, and within this box's part of what it
    /// takes from all boxes together.
    pub fn admits_one_more(&self, now_ms: u64) -> bool {
        self.slow_start.admits(self.unanswered) && self.is_free(self.unsent, now_ms)
    }

    /// When what it takes from all boxes together lets this box send the next request; `None` where nothing binds.
    pub fn limit_free_ms(&self, now_ms: u64) -> Option<u64> {
        self.free_ms(self.unsent, now_ms)
    }

    fn free_ms(&self, unsent: u64, now_ms: u64) -> Option<u64> {
        let limited_ms = self.limit.as_ref().and_then(|limit| limit.next_send_ms(unsent, now_ms));
        limited_ms.max(self.cold.next_send_ms(unsent, now_ms))
    }

    fn is_free(&self, unsent: u64, now_ms: u64) -> bool {
        self.free_ms(unsent, now_ms).is_none_or(|free_ms| now_ms >= free_ms)
    }

    /// A request is about to be written, if what it takes from all boxes together lets it.
    pub fn try_send(&mut self, now_ms: u64) -> bool {
        let is_free = self.is_free(0, now_ms);
        if is_free {
            self.cold.on_sent(now_ms);
            if let Some(limit) = &mut self.limit {
                limit.on_sent(now_ms);
            }
        }
        is_free
    }

    /// A request that was picked, or that counted as sent at `counted_ms`, is not on its way any more.
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

    /// It wants no request for so long.
    pub fn on_backoff(&mut self, backoff_ms: u64, now_ms: u64) {
        self.notice.on_backoff(backoff_ms, now_ms);
        self.slow_start = SlowStart::AFTER_PAUSE;
    }

    /// It has taken a request. What it took before it asked for a pause says nothing of what comes after.
    pub fn on_accepted(&mut self, now_ms: u64) {
        self.refused_ms = None;
        if self.notice.backoff_until_ms(now_ms).is_none() {
            self.slow_start = self.slow_start.after_accepted(self.record.slots);
        }
    }

    /// It has answered a request, with whatever.
    pub const fn on_answered(&mut self) {
        self.unanswered = self.unanswered.saturating_sub(1);
    }

    /// Requests there, as far as known: our own exactly, those of other boxes from
    /// the last report, fading with its age.
    pub fn requests(&self, now_ms: u64) -> f64 {
        let reported = self.load.running + self.load.waiting;
        let others = reported.saturating_sub(self.own_at_load) as f64;
        let age_ms = now_ms.saturating_sub(self.load_at_ms) as f64;
        self.in_flight as f64 + others * (1.0 - age_ms / LOAD_LIFE_MS).max(0.0)
    }

    /// Whether its leader said of late that it is slow: as a rank of a group it makes
    /// every step of all others longer by its own requests.
    pub const fn is_slow(&self, now_ms: u64) -> bool {
        self.pace_permille >= SLOW_PACE_PERMILLE && now_ms < self.load_at_ms + NEWS_LIFE_MS
    }

    /// How loaded it counts for a comparison.
    pub fn pressure(&self, now_ms: u64) -> f64 {
        let slots = self.record.slots.max(1) as f64;
        let cold = (self.cold.left_ms(now_ms) as f64 / COLD_SPAN_MS).min(1.0);
        (self.requests(now_ms) + 1.0) / slots
            * (1.0 + COLD_COST * cold)
            * (1.0 + FAILURE_COST * self.failures.max(self.refusal(now_ms)))
    }

    /// What its last refusal still says: 1 just after it, 0 a while later.
    fn refusal(&self, now_ms: u64) -> f64 {
        let age_ms = self.refused_ms.map_or(u64::MAX, |refused_ms| now_ms.saturating_sub(refused_ms));
        (1.0 - age_ms as f64 / REFUSAL_LIFE_MS).max(0.0)
    }

    /// Whether it is set aside, since it could not be reached.
    pub const fn is_aside(&self, now_ms: u64) -> bool {
        self.aside_until_ms > now_ms
    }

    /// Its leader told that its group goes on.
    pub const fn on_told_serving(&mut self, now_ms: u64) {
        // Its requests get their turn, also where no answer to this box is due yet.
        self.on_heard(now_ms);
    }

    /// Whether it has said nothing for so long, neither to this box nor to its leader.
    pub const fn is_silent(&self, for_ms: u64, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.heard_ms) >= for_ms
    }

    /// It was heard.
    pub const fn on_heard(&mut self, now_ms: u64) {
        self.heard_ms = now_ms;
    }

    /// It, or its leader, told its load.
    pub const fn on_load(&mut self, load: ReportedLoad, now_ms: u64) {
        self.load = load;
        self.own_at_load = self.in_flight;
        self.load_at_ms = now_ms;
    }

    /// An attempt there begins.
    pub const fn on_start(&mut self, urgency: Urgency) {
        self.in_flight += 1;
        self.unsent += 1;
        self.unanswered += 1;
        self.late_in_flight += matches!(urgency, Urgency::Late) as u64;
    }

    /// An attempt there has ended.
    pub fn on_end(&mut self, urgency: Urgency, outcome: AttemptOutcome, now_ms: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.late_in_flight = self.late_in_flight.saturating_sub(u64::from(urgency == Urgency::Late));
        let failed = match outcome {
            AttemptOutcome::Success => 0.0,
            AttemptOutcome::Failed | AttemptOutcome::Unreachable => 1.0,
            AttemptOutcome::Full => {
                self.refused_ms = Some(now_ms);
                return;
            }
            AttemptOutcome::Unknown => return,
        };
        self.failures += FAILURE_WEIGHT * (failed - self.failures);
        if outcome == AttemptOutcome::Unreachable {
            let times = self.unreachable_times.min(MAX_DOUBLINGS);
            self.aside_until_ms = now_ms + (SET_ASIDE_MS << times).min(MAX_SET_ASIDE_MS);
            self.unreachable_times += 1;
            self.cold.on_possible_restart(self.aside_until_ms);
        } else if outcome == AttemptOutcome::Success {
            self.unreachable_times = 0;
            self.aside_until_ms = 0;
        }
    }
}
