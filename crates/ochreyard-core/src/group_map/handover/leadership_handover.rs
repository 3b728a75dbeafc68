//! The message by which a leader hands over a group.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::group_map::order::{MAX_NUMBER, MAX_RANKS};
use crate::group_map::placement::GroupPlacement;
use crate::group_map::selection_counts::SelectionCounts;
use crate::group_map::{compact_map, leader_id::LeaderId};

/// Most ranks in a notice, at up to 30 bytes each, and most bytes of its demand: a notice has at most 8 KB. The standby
/// leader discovers the other ranks when it leads.
const MAX_NOTICE_MEMBERS: usize = 128;
const MAX_NOTICE_DEMAND_BYTES: usize = 3_800;

/// What a leader hands over to its successor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadershipHandover {
    /// Name of the service.
    pub service: String,
    /// Name of the group.
    pub group: String,
    /// Number of ranks of the group.
    pub size: usize,
    /// The leader that hands over.
    pub from: LeaderId,
    /// Time since that leader's last report, in milliseconds.
    #[serde(default)]
    pub report_age_ms: u64,
    /// Addresses of the engines of the known ranks.
    #[serde(default)]
    pub members: BTreeMap<usize, SocketAddr>,
    /// The recent selections by set and expert.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub demand: Option<SelectionCounts>,
    /// Version of the map in use, if the leader knows the map.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub map_version: Option<u64>,
    /// The experts by set and rank of that map.
    #[serde(with = "compact_map", default, skip_serializing_if = "Vec::is_empty")]
    pub map: Vec<Vec<Vec<u16>>>,
    /// Mean time that the ranks take to arm a map, in milliseconds; 0 if it is not known.
    #[serde(default)]
    pub arming_ms: u64,
    /// The highest map version that the leader has seen or used.
    #[serde(default)]
    pub highest_version: u64,
    /// Mean duration of a polling round, in milliseconds; 0 if it is not known.
    #[serde(default)]
    pub round_ms: u64,
}

impl LeadershipHandover {
    /// Returns the handover as it is sent to the standby leader every second: without the map, which that leader reads
    /// from the ranks when it leads.
    #[must_use]
    pub fn into_notice(self) -> Self {
        let members = self.members.into_iter().take(MAX_NOTICE_MEMBERS).collect();
        let demand = self.demand.filter(|demand| demand.encoded_bytes() <= MAX_NOTICE_DEMAND_BYTES);
        Self { members, demand, map_version: None, map: Vec::new(), ..self }
    }

    /// Returns whether the values are possible and consistent.
    #[must_use]
    pub fn is_consistent(&self) -> bool {
        let has_valid_versions = self.highest_version < MAX_NUMBER && self.map_version.unwrap_or(0) < MAX_NUMBER;
        let has_valid_ranks = self.members.keys().all(|rank| *rank < self.size);
        let has_valid_map = self.map_version.is_none() || self.map.iter().all(|set| set.len() == self.size);
        (1..=MAX_RANKS).contains(&self.size) && has_valid_versions && has_valid_ranks && has_valid_map
    }

    /// Returns the map in use with its version, if it was handed over and fits engines with `sets` sets of `experts`
    /// experts.
    #[must_use]
    pub fn current_map(&self, sets: usize, experts: usize) -> Option<(u64, GroupPlacement)> {
        let version = self.map_version?;
        let is_in_range = |held: &Vec<u16>| held.iter().all(|expert| usize::from(*expert) < experts);
        let fits = self.map.len() == sets && self.map.iter().all(|set| set.len() == self.size);
        if !fits || !self.map.iter().flatten().all(is_in_range) {
            return None;
        }
        let placement = GroupPlacement::from_sets(experts, self.map.clone());
        placement.is_complete().then_some((version, placement))
    }

    /// Returns the recent selections, if they were handed over and are those of `length` experts (of all sets).
    #[must_use]
    pub fn selections(&self, length: usize) -> Option<Vec<f64>> {
        let mut selections = Vec::new();
        let is_readable = self.demand.as_ref()?.add_to(&mut selections);
        (is_readable && selections.len() == length).then_some(selections)
    }
}
