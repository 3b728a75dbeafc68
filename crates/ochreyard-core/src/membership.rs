//! An entry's view of the agents: their heartbeats, incarnations and health.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{EndpointId, Incarnation};

/// The status that an agent reports in answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AgentReport {
    /// The incarnation of the agent.
    pub incarnation: Incarnation,
    /// Sequence number of the report within that incarnation.
    pub number: u64,
    /// The version of the configuration that the agent has in force.
    pub config_version: u64,
    /// Whether it has been confirmed since the agent's start that its configuration was the newest in the log.
    pub tail_verified: bool,
    /// Whether the agent is leaving and refuses new work.
    pub leaving: bool,
    /// Running requests, from all entries.
    pub running: u32,
    /// Queued requests, from all entries.
    pub waiting: u32,
    /// Requests that may run at the same time.
    pub slots: u32,
    /// Mean run time of a request, in milliseconds.
    pub mean_run_ms: u64,
    /// Duration of one step of the group, in microseconds; 0 if unknown.
    pub step_us: u64,
}

/// The health of an agent as seen by one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// The agent has reported recently.
    Alive,
    /// The agent's report is late. It is used only if no agent is alive.
    Suspect,
    /// The agent has not reported for long, or its connection was lost.
    Down,
}

/// How long after its last report an agent becomes suspect or down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatTimeouts {
    /// Time without a report until the agent is suspect, in milliseconds.
    pub suspect_after_ms: u64,
    /// Time without a report until the agent is down, in milliseconds.
    pub down_after_ms: u64,
    /// Interval of the heartbeats, in milliseconds.
    pub interval_ms: u64,
}

impl Default for HeartbeatTimeouts {
    fn default() -> Self {
        Self { suspect_after_ms: 2_500, down_after_ms: 5_000, interval_ms: 1_000 }
    }
}

/// An entry's record of one agent.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Member {
    /// The last report of the agent.
    pub report: AgentReport,
    /// When the last report arrived, in milliseconds.
    pub last_report_ms: u64,
    /// From when the agent's silence counts, in milliseconds: from its last report, without the time since then in which
    /// this entry did not run.
    silent_since_ms: u64,
    /// When the first report of this incarnation arrived, in milliseconds.
    pub first_seen_ms: u64,
    /// Whether the connection was lost after the last report.
    pub connection_broken: bool,
    /// Whether the platform's list marks the box of the agent as leaving.
    pub listed_leaving: bool,
}

impl Member {
    /// For how long the agent has been silent while this entry ran, in milliseconds.
    #[must_use]
    pub const fn silence_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.silent_since_ms)
    }
}

/// All agents that have reported to an entry.
#[derive(Debug, Clone, Default)]
pub struct Membership {
    timeouts: HeartbeatTimeouts,
    members: BTreeMap<EndpointId, Member>,
    /// When this entry last ran, as far as known.
    last_ran_ms: Option<u64>,
}

impl Membership {
    /// Creates the view of an entry that has received no report.
    #[must_use]
    pub const fn new(timeouts: HeartbeatTimeouts) -> Self {
        Self { timeouts, members: BTreeMap::new(), last_ran_ms: None }
    }

    /// Records that this entry runs, at each heartbeat and before the health of agents is used. If it did not run for some
    /// heartbeats, the reports of that time are still unread: no agent has been silent meanwhile.
    pub fn on_running(&mut self, now_ms: u64) {
        let Some(last_ran_ms) = self.last_ran_ms.replace(now_ms) else { return };
        let paused_ms = now_ms.saturating_sub(last_ran_ms).saturating_sub(self.timeouts.interval_ms);
        if paused_ms > self.timeouts.interval_ms {
            for member in self.members.values_mut() {
                member.silent_since_ms = now_ms.min(member.silent_since_ms + paused_ms);
            }
        }
    }

    /// Records a report. Returns `false` and drops it if it is from an earlier incarnation, or of the same one with
    /// no higher sequence number.
    pub fn on_report(&mut self, endpoint: &EndpointId, report: AgentReport, now_ms: u64) -> bool {
        let member = self.members.entry(endpoint.clone()).or_default();
        let last = (member.report.incarnation, member.report.number);
        if (report.incarnation, report.number) <= last {
            return false;
        }
        if report.incarnation != member.report.incarnation {
            member.first_seen_ms = now_ms;
        }
        member.report = report;
        member.last_report_ms = now_ms;
        member.silent_since_ms = now_ms;
        member.connection_broken = false;
        true
    }

    /// Records that the connection to an agent was lost.
    pub fn on_connection_lost(&mut self, endpoint: &EndpointId) {
        if let Some(member) = self.members.get_mut(endpoint) {
            member.connection_broken = true;
        }
    }

    /// Records that an agent refused work because it is leaving.
    pub fn on_leaving(&mut self, endpoint: &EndpointId) {
        if let Some(member) = self.members.get_mut(endpoint) {
            member.report.leaving = true;
        }
    }

    /// Records which endpoints the platform's list, which may lag, marks as leaving.
    pub fn on_listed_leaving(&mut self, leaving: &[EndpointId]) {
        for (endpoint, member) in &mut self.members {
            member.listed_leaving = leaving.contains(endpoint);
        }
    }

    /// Removes the agents of endpoints for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&EndpointId) -> bool) {
        self.members.retain(|endpoint, _| keep(endpoint));
    }

    /// The record of one agent.
    #[must_use]
    pub fn member(&self, endpoint: &EndpointId) -> Option<&Member> {
        self.members.get(endpoint)
    }

    /// The records of all agents.
    pub fn members(&self) -> impl Iterator<Item = (&EndpointId, &Member)> {
        self.members.iter()
    }

    /// The health of an agent at `now_ms`.
    #[must_use]
    pub fn health(&self, endpoint: &EndpointId, now_ms: u64) -> Health {
        let Some(member) = self.members.get(endpoint) else {
            return Health::Down;
        };
        let silence_ms = member.silence_ms(now_ms);
        if member.connection_broken || silence_ms >= self.timeouts.down_after_ms {
            Health::Down
        } else if silence_ms >= self.timeouts.suspect_after_ms {
            Health::Suspect
        } else {
            Health::Alive
        }
    }

    /// Returns whether new work may be sent to the agent.
    #[must_use]
    pub fn accepts_work(&self, endpoint: &EndpointId, now_ms: u64) -> bool {
        let is_staying = self.members.get(endpoint).is_some_and(|m| !m.report.leaving && !m.listed_leaving);
        is_staying && self.health(endpoint, now_ms) < Health::Down
    }
}
