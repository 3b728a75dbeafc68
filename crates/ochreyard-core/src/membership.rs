//! What an entry knows of the agents: heartbeats, incarnations, suspicion.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{EndpointId, Incarnation};

/// What an agent says of itself in answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AgentReport {
    /// The life of the agent.
    pub incarnation: Incarnation,
    /// Running number of the report within that life.
    pub number: u64,
    /// The version of the configuration in force there.
    pub config_version: u64,
    /// Whether it knows that its configuration was the log's newest after its start.
    pub tail_verified: bool,
    /// Whether it refuses new work.
    pub leaving: bool,
    /// Requests that run there, from all entries.
    pub running: u32,
    /// Requests that wait there, from all entries.
    pub waiting: u32,
    /// Requests that may run at the same time.
    pub slots: u32,
    /// Mean time of a run, in milliseconds.
    pub mean_run_ms: u64,
    /// Time of one step of the group, in microseconds; 0 when unknown.
    pub step_us: u64,
}

/// How an agent looks from here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// Heard of lately.
    Alive,
    /// Late: used only where no other can serve.
    Suspect,
    /// Not heard of for long, or its connection broke.
    Down,
}

/// How long silence lasts until an agent is suspected or taken for down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatTimeouts {
    /// Silence before suspicion, in milliseconds.
    pub suspect_after_ms: u64,
    /// Silence before it counts as down, in milliseconds.
    pub down_after_ms: u64,
}

impl Default for HeartbeatTimeouts {
    fn default() -> Self {
        Self { suspect_after_ms: 2_500, down_after_ms: 5_000 }
    }
}

/// One agent as an entry sees it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Member {
    /// Its last report.
    pub report: AgentReport,
    /// When that came, in milliseconds.
    pub last_report_ms: u64,
    /// When this life of it was first met, in milliseconds.
    pub first_seen_ms: u64,
    /// Whether its connection has broken since.
    pub connection_broken: bool,
    /// Whether the platform's list calls its box leaving.
    pub listed_leaving: bool,
}

/// All agents that an entry has met.
#[derive(Debug, Clone, Default)]
pub struct Membership {
    limits: HeartbeatTimeouts,
    members: BTreeMap<EndpointId, Member>,
}

impl Membership {
    /// An entry that has met nobody.
    #[must_use]
    pub const fn new(limits: HeartbeatTimeouts) -> Self {
        Self { limits, members: BTreeMap::new() }
    }

    /// Takes a report. A late one, from an earlier life or with a lower number, is dropped.
    pub fn on_report(&mut self, endpoint: &EndpointId, report: AgentReport, now_ms: u64) -> bool {
        let member = self.members.entry(endpoint.clone()).or_default();
        let old = (member.report.incarnation, member.report.number);
        if (report.incarnation, report.number) <= old {
            return false;
        }
        if report.incarnation != member.report.incarnation {
            member.first_seen_ms = now_ms;
        }
        member.report = report;
        member.last_report_ms = now_ms;
        member.connection_broken = false;
        true
    }

    /// Notes that the connection to an agent broke.
    pub fn on_connection_lost(&mut self, endpoint: &EndpointId) {
        if let Some(member) = self.members.get_mut(endpoint) {
            member.connection_broken = true;
        }
    }

    /// Notes that an agent refused work because it leaves.
    pub fn on_leaving(&mut self, endpoint: &EndpointId) {
        if let Some(member) = self.members.get_mut(endpoint) {
            member.report.leaving = true;
        }
    }

    /// Takes the platform's lagging list: the endpoints whose boxes it calls leaving.
    pub fn on_listed_leaving(&mut self, leaving: &[EndpointId]) {
        for (endpoint, member) in &mut self.members {
            member.listed_leaving = leaving.contains(endpoint);
        }
    }

    /// Forgets agents that the configuration no longer names.
    pub fn retain(&mut self, keep: impl Fn(&EndpointId) -> bool) {
        self.members.retain(|endpoint, _| keep(endpoint));
    }

    /// One agent.
    #[must_use]
    pub fn member(&self, endpoint: &EndpointId) -> Option<&Member> {
        self.members.get(endpoint)
    }

    /// All agents.
    pub fn members(&self) -> impl Iterator<Item = (&EndpointId, &Member)> {
        self.members.iter()
    }

    /// How an agent looks at `now_ms`.
    #[must_use]
    pub fn health(&self, endpoint: &EndpointId, now_ms: u64) -> Health {
        let Some(member) = self.members.get(endpoint) else {
            return Health::Down;
        };
        let silence_ms = now_ms.saturating_sub(member.last_report_ms);
        if member.connection_broken || silence_ms >= self.limits.down_after_ms {
            Health::Down
        } else if silence_ms >= self.limits.suspect_after_ms {
            Health::Suspect
        } else {
            Health::Alive
        }
    }

    /// Whether new work may be sent there.
    #[must_use]
    pub fn accepts_work(&self, endpoint: &EndpointId, now_ms: u64) -> bool {
        let stays = self.members.get(endpoint).is_some_and(|m| !m.report.leaving && !m.listed_leaving);
        stays && self.health(endpoint, now_ms) < Health::Down
    }
}
