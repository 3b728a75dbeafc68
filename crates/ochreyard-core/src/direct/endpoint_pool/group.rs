//! The state of a group of endpoints whose ranks run each step together.

use super::admission_share::AdmissionShare;
use super::{Admission, GroupRunning, LeaderReport, PickRequest, REPORT_LIFETIME_MS};
use crate::direct::group_update::{GroupUpdate, RankUpdate, ReporterRole};
use crate::hash;

/// How long a group is avoided after one of its ranks reported a fault of another rank, in milliseconds. Its leader has
/// a better view by then.
const FAULT_AVOID_MS: u64 = 600;

/// How long a group is avoided after one of its ranks crashed, in milliseconds. Its leader reports the stall 0.55 to
/// 0.8 s after the crash, and the rank needs seconds to restart. Requests that were sent to the group in the meantime
/// waited 1.5 s at their ranks and were then rejected.
const CRASH_AVOID_MS: u64 = 1_000;

/// How long after the last report of its leader a group counts as leaderless, in milliseconds: three times the interval
/// of the reports, and longer than a lease.
const LEADER_TIMEOUT_MS: u64 = 900;

/// One group, as reported by its leader and its ranks.
#[derive(Debug, Clone)]
pub struct Group {
    is_serving: bool,
    step_ms: u64,
    reported_ms: u64,
    fault_until_ms: u64,
    leader_reported_ms: Option<u64>,
    /// Tag of the leader that reported last.
    leader_tag: Option<u64>,
    observer_reported_ms: Option<u64>,
    /// The number of the event at which the group last stalled, and when that was.
    stalled_at_event: u64,
    stalled_ms: Option<u64>,
    /// The names of the ranks, in the order in which their loads are reported.
    roster: Vec<String>,
    /// Requests that the group may run, by the last report.
    stream_limit: Option<u64>,
    /// Requests that the group ran or had queued, by the last report.
    reported_requests: u64,
    /// Requests that this box has sent to the group since the last report, less those that have ended.
    own_change: i64,
    /// Number of applied reports.
    reports: u64,
    /// The number of ranks in the last report of loads, if their names are not known to this box.
    unnamed_ranks: usize,
}

impl Group {
    /// Creates a group without reports.
    pub const fn new(now_ms: u64) -> Self {
        Self {
            is_serving: true,
            step_ms: 0,
            reported_ms: now_ms,
            fault_until_ms: 0,
            leader_reported_ms: None,
            leader_tag: None,
            observer_reported_ms: None,
            stalled_at_event: 0,
            stalled_ms: None,
            roster: Vec::new(),
            stream_limit: None,
            reported_requests: 0,
            own_change: 0,
            reports: 0,
            unnamed_ranks: 0,
        }
    }

    /// Applies a report about the group. Returns whether it counts: the report of an observer is ignored while the
    /// group has a leader.
    pub fn apply_update(&mut self, update: &GroupUpdate, event: u64, now_ms: u64) -> bool {
        match update.reporter_role {
            ReporterRole::Leads => {
                self.leader_reported_ms = Some(now_ms);
                self.leader_tag = update.leader_tag;
            }
            ReporterRole::Observes if self.has_leader(now_ms) => return false,
            ReporterRole::Observes => self.observer_reported_ms = Some(now_ms),
            ReporterRole::StoodDown => {
                // The update of a former leader may arrive after the first report of the next one.
                if update.leader_tag.is_none() || update.leader_tag == self.leader_tag {
                    self.leader_reported_ms = None;
                }
                return false;
            }
        }
        if !update.is_serving {
            self.record_stall(event, now_ms);
        }
        self.is_serving = update.is_serving;
        self.step_ms = update.step_ms;
        self.reported_ms = now_ms;
        self.stream_limit = update.stream_limit.filter(|stream_limit| *stream_limit > 0);
        self.reported_requests = update.requests();
        self.own_change = 0;
        self.reports += 1;
        true
    }

    /// Records that this box has sent a request to the group.
    pub const fn on_attempt_start(&mut self) {
        self.own_change += 1;
    }

    /// Records that a request of this box at the group has ended.
    pub const fn on_attempt_end(&mut self) {
        self.own_change -= 1;
    }

    /// Returns how many requests the group runs and may run. The limit holds for as long as the last report is used.
    pub fn running(&self, now_ms: u64) -> GroupRunning {
        GroupRunning {
            running: self.reported_requests.saturating_add_signed(self.own_change),
            stream_limit: self.stream_limit.filter(|_| !self.is_silent(now_ms)),
        }
    }

    /// Returns the share of the requests that the group may run which it does not run, where each rank has `slots` slots.
    pub fn free_share(&self, slots: u64, now_ms: u64) -> f64 {
        let GroupRunning { running, stream_limit } = self.running(now_ms);
        let all_slots = (self.size() as u64 * slots).max(1);
        let usable = stream_limit.map_or(all_slots, |stream_limit| stream_limit.min(all_slots));
        (1.0 - running as f64 / usable as f64).max(0.0)
    }

    /// Returns whether the stream limit admits one more request.
    pub fn admits(&self, request: &PickRequest, now_ms: u64) -> bool {
        let GroupRunning { running, stream_limit } = self.running(now_ms);
        match (stream_limit, request.admission) {
            (None, _) | (_, Admission::Exempt) => true,
            (Some(stream_limit), Admission::Drawn(draw)) => {
                let draw = hash::mix(draw ^ hash::mix(self.reports));
                AdmissionShare::new(request.urgency, request.level).admits(running, stream_limit, draw)
            }
        }
    }

    /// Returns the reported ranks with their names.
    pub fn named_ranks(&mut self, update: &GroupUpdate) -> Vec<RankUpdate> {
        let Some(loads) = &update.loads else {
            self.roster = update.ranks.iter().map(|rank| rank.endpoint.clone()).collect();
            self.unnamed_ranks = 0;
            return update.ranks.clone();
        };
        let named = loads.named(&self.roster);
        self.unnamed_ranks = if named.is_none() { loads.len() } else { 0 };
        named.unwrap_or_default()
    }

    /// Returns the number of ranks whose leader is reporting but has not told this box their names yet.
    pub const fn unnamed_ranks(&self, now_ms: u64) -> usize {
        if self.is_silent(now_ms) { 0 } else { self.unnamed_ranks }
    }

    /// Returns the number of ranks, or 0 if no report has named any.
    pub fn size(&self) -> usize {
        self.roster.len().max(self.unnamed_ranks)
    }

    /// Records the event at which the group stalled, unless it was stalled already.
    const fn record_stall(&mut self, event: u64, now_ms: u64) {
        if self.is_serving(now_ms) {
            self.stalled_at_event = event;
            self.stalled_ms = Some(now_ms);
        }
    }

    /// Returns whether the group has stalled since `since_ms`, or still did then.
    pub fn has_stalled_since(&self, since_ms: u64, now_ms: u64) -> bool {
        !self.is_serving(now_ms) || self.stalled_ms.is_some_and(|stalled_ms| stalled_ms >= since_ms)
    }

    /// Returns the number of the event at which the group last stalled.
    pub const fn stalled_at_event(&self) -> u64 {
        self.stalled_at_event
    }

    fn has_leader(&self, now_ms: u64) -> bool {
        self.leader_reported_ms.is_some_and(|leader_reported_ms| now_ms < leader_reported_ms + LEADER_TIMEOUT_MS)
    }

    /// Returns the last report of the group's leader, unless that leader has stood down.
    pub fn last_leader_report(&self, now_ms: u64) -> Option<LeaderReport> {
        let age_ms = now_ms.saturating_sub(self.leader_reported_ms?);
        Some(LeaderReport { age_ms, leader_tag: self.leader_tag })
    }

    /// Returns the last report of the group's leader, if it is recent enough for the leader to count as such.
    pub fn leader_report(&self, now_ms: u64) -> Option<LeaderReport> {
        self.last_leader_report(now_ms).filter(|report| report.age_ms < LEADER_TIMEOUT_MS)
    }

    /// Returns whether the group is neither led nor watched by an observer that checks whether it can be led.
    pub fn is_leaderless(&self, now_ms: u64) -> bool {
        let is_observed = self
            .observer_reported_ms
            .is_some_and(|observer_reported_ms| now_ms < observer_reported_ms + LEADER_TIMEOUT_MS);
        !self.has_leader(now_ms) && !is_observed
    }

    /// Records that one rank reported a fault of another rank.
    pub fn on_fault(&mut self, event: u64, now_ms: u64) {
        self.record_stall(event, now_ms);
        self.fault_until_ms = self.fault_until_ms.max(now_ms + FAULT_AVOID_MS);
    }

    /// Records that one of the ranks crashed at `at_ms`.
    pub fn on_crash(&mut self, event: u64, at_ms: u64) {
        self.record_stall(event, at_ms);
        self.fault_until_ms = self.fault_until_ms.max(at_ms + CRASH_AVOID_MS);
    }

    /// Returns the recent duration of a step in milliseconds, if it is known.
    pub fn step_ms(&self, now_ms: u64) -> Option<u64> {
        Some(self.step_ms).filter(|step_ms| *step_ms > 0 && !self.is_silent(now_ms))
    }

    /// Returns whether the last report is too old to be used.
    pub const fn is_silent(&self, now_ms: u64) -> bool {
        now_ms >= self.reported_ms + REPORT_LIFETIME_MS
    }

    /// Returns whether the group is believed to run its steps.
    pub const fn is_serving(&self, now_ms: u64) -> bool {
        now_ms >= self.fault_until_ms && (self.is_serving || self.is_silent(now_ms))
    }
}
