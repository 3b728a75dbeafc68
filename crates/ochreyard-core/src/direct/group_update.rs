//! What a group's leader tells entries of it.

use serde::{Deserialize, Serialize};

use super::roster_loads::RosterLoads;

/// What the entry that tells of a group does there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
pub enum ReporterRole {
    /// It leads: most agents have granted it.
    #[default]
    Leads,
    /// It reaches too few agents to lead, and nobody else is heard of.
    Observes,
    /// It has given the lead back.
    StoodDown,
}

/// One group, as an entry saw it a moment ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct GroupUpdate {
    /// Name of the service.
    pub service: String,
    /// Name of the group.
    pub group: String,
    /// What the entry that tells does there.
    #[serde(rename = "teller")]
    pub reporter_role: ReporterRole,
    /// Whether its steps go on: it is whole, and does not stand.
    pub is_serving: bool,
    /// How long its steps take of late, in milliseconds; 0 where that is not known.
    #[serde(default)]
    pub step_ms: u64,
    /// Its ranks, as far as their endpoints are known; empty where their loads are told without their names.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ranks: Vec<RankUpdate>,
    /// Their loads, for boxes that know their names.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub loads: Option<RosterLoads>,
}

impl GroupUpdate {
    /// The same without the names of the ranks.
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

/// One rank of a group. It is sent as a plain list of its four values, since a leader
/// tells dozens of boxes of dozens of ranks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "RankNewsList", into = "RankNewsList")]
pub struct RankUpdate {
    /// Identifier of its endpoint.
    pub endpoint: String,
    /// Requests that it runs.
    pub running: u64,
    /// Requests that wait there.
    pub waiting: u64,
    /// How much longer its work takes than usual, in thousandths of the usual time.
    pub pace_permille: u64,
}

/// Endpoint, running, waiting, pace in thousandths.
type RankNewsList = (String, u64, u64, u64);

impl From<RankNewsList> for RankUpdate {
    fn from((endpoint, running, waiting, pace_permille): RankNewsList) -> Self {
        Self { endpoint, running, waiting, pace_permille }
    }
}

impl From<RankUpdate> for RankNewsList {
    fn from(news: RankUpdate) -> Self {
        (news.endpoint, news.running, news.waiting, news.pace_permille)
    }
}
