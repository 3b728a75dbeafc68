//! Updates on a group that its leader sends to entries.

use serde::{Deserialize, Serialize};

use super::roster_loads::RosterLoads;

/// Role in a group of the entry that reports on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
pub enum ReporterRole {
    /// The entry leads the group: a majority of agents has granted it the lead.
    #[default]
    Leads,
    /// The entry reaches too few agents to lead, and knows of no other leader.
    Observes,
    /// The entry has given up the lead.
    StoodDown,
}

/// State of a group, as an entry observed it recently.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct GroupUpdate {
    /// Name of the service.
    pub service: String,
    /// Name of the group.
    pub group: String,
    /// Role in the group of the entry that reports.
    #[serde(rename = "teller")]
    pub reporter_role: ReporterRole,
    /// Tag of the leader that reports, or has given up the lead; absent in reports of older versions.
    #[serde(rename = "leader", default, skip_serializing_if = "Option::is_none")]
    pub leader_tag: Option<u64>,
    /// Whether the group makes progress: it is complete, and is not stalled.
    pub is_serving: bool,
    /// Recent duration of a step, in milliseconds; 0 where that is not known.
    #[serde(default)]
    pub step_ms: u64,
    /// Ranks of the group whose endpoints are known; empty where `loads` is sent instead.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ranks: Vec<RankUpdate>,
    /// Number of requests that the reported ranks may run so that the steps of the group stay within the gap target of
    /// its callers; `None`: no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream_limit: Option<u64>,
    /// Loads of the ranks without their names, for boxes that know the names.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub loads: Option<RosterLoads>,
}

impl GroupUpdate {
    /// Returns the number of running and waiting requests of all reported ranks.
    #[must_use]
    pub fn requests(&self) -> u64 {
        let requests_of = |rank: &RankUpdate| rank.running.saturating_add(rank.waiting);
        let of_ranks = || self.ranks.iter().map(requests_of).fold(0, u64::saturating_add);
        self.loads.as_ref().map_or_else(of_ranks, RosterLoads::total)
    }

    /// Returns the same update with the loads of the ranks in place of the ranks and their names.
    #[must_use]
    pub fn without_names(&self) -> Self {
        Self {
            service: self.service.clone(),
            group: self.group.clone(),
            ranks: Vec::new(),
            loads: Some(RosterLoads::of(&self.ranks)),
            ..*self
        }
    }
}

/// One rank of a group. It is serialized as a list of its four values without names, since a
/// leader sends dozens of ranks to dozens of boxes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "RankNewsList", into = "RankNewsList")]
pub struct RankUpdate {
    /// Identifier of the endpoint of the rank.
    pub endpoint: String,
    /// Number of running requests.
    pub running: u64,
    /// Number of waiting requests.
    pub waiting: u64,
    /// Present duration of the work of the rank relative to the usual one, in thousandths; 1000 is as usual.
    pub pace_permille: u64,
}

/// Endpoint, running requests, waiting requests, pace in thousandths.
type RankNewsList = (String, u64, u64, u64);

impl From<RankNewsList> for RankUpdate {
    fn from((endpoint, running, waiting, pace_permille): RankNewsList) -> Self {
        Self { endpoint, running, waiting, pace_permille }
    }
}

impl From<RankUpdate> for RankNewsList {
    fn from(update: RankUpdate) -> Self {
        (update.endpoint, update.running, update.waiting, update.pace_permille)
    }
}
