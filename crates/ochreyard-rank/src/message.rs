//! The messages between a leader and an agent.

use ochreyard_core::group_map::{LeaderId, MapDelta, OrderOutcome, RankView, SelectionCounts, SentOrder};
use serde::{Deserialize, Serialize};

use crate::engine::HeldExperts;

/// Path of an agent's HTTP endpoint: GET returns a [`RankStatus`], POST takes a [`LeaderRequest`].
pub const RANK_PATH: &str = "/rank";

/// The status that an agent returns to any client.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
pub struct RankStatus {
    /// The view that the rank reports; `None` if it could not be read.
    pub view: Option<RankView>,
    /// The leader that holds this agent's grant.
    pub holder: Option<LeaderId>,
}

/// A leader's request to one agent. It also requests or renews the agent's grant.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaderRequest {
    /// The leader that sends the request.
    pub leader: LeaderId,
    /// Requested duration of the grant, in milliseconds.
    pub lease_ms: u64,
    /// Orders for the rank, carried out only while the leader holds the grant.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub orders: Vec<SentOrder>,
    /// For a prepare order with an empty map: the delta from a map that the agent knows.
    #[serde(rename = "map_change", default, skip_serializing_if = "Option::is_none")]
    pub map_delta: Option<MapDelta>,
    /// Whether to return the selection counts since the last ones that were returned to this leader.
    #[serde(default, skip_serializing_if = "is_false")]
    pub wants_counts: bool,
    /// Whether to return the experts that the rank holds.
    #[serde(rename = "wants_lists", default, skip_serializing_if = "is_false")]
    pub wants_held_experts: bool,
    /// Whether the leader releases its grant.
    #[serde(rename = "releases", default, skip_serializing_if = "is_false")]
    pub releases_grant: bool,
}

/// An agent's response to a [`LeaderRequest`].
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
pub struct AgentResponse {
    /// Whether the agent granted or renewed the lease of the requesting leader.
    pub granted: bool,
    /// The leader that holds the grant, if it is another one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holder: Option<LeaderId>,
    /// The view that the rank reports after the orders; `None` if it was not or could not be read.
    pub view: Option<RankView>,
    /// Version of the last map that the agent received complete, or as a delta that it could apply.
    #[serde(rename = "knows_map", default, skip_serializing_if = "Option::is_none")]
    pub known_map_version: Option<u64>,
    /// The outcomes of the orders, in the order of the request.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub outcomes: Vec<OrderOutcome>,
    /// The selections since the last counts that were returned to this leader; `None` the first time.
    #[serde(rename = "chosen", default, skip_serializing_if = "Option::is_none")]
    pub selection_counts: Option<SelectionCounts>,
    /// The experts that the rank holds.
    #[serde(rename = "lists", default, skip_serializing_if = "Option::is_none")]
    pub held_experts: Option<HeldExperts>,
}

#[allow(clippy::trivially_copy_pass_by_ref)] // `skip_serializing_if` passes a reference.
const fn is_false(value: &bool) -> bool {
    !*value
}
