//! What a leader asks an agent, and what it is told.

use ochreyard_core::group_map::{LeaderId, MapDelta, OrderOutcome, RankView, SelectionCounts, SentOrder};
use serde::{Deserialize, Serialize};

use crate::engine::HeldExperts;

/// Where an agent is asked: GET for what it sees, POST for a leader's question.
pub const RANK_PATH: &str = "/rank";

/// What an agent tells anybody who asks.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
pub struct RankStatus {
    /// The rank's view.
    pub view: Option<RankView>,
    /// Who leads, as far as this agent knows.
    pub holder: Option<LeaderId>,
}

/// A leader's question to one agent. It renews the leader's grant.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaderRequest {
    /// Who asks.
    pub leader: LeaderId,
    /// For how long the leader takes itself to be granted, in milliseconds.
    pub lease_ms: u64,
    /// Orders for the rank, carried out only if the leader is granted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub orders: Vec<SentOrder>,
    /// The map of an order to prepare that holds none, as a change of one that the agent knows.
    #[serde(rename = "map_change", default, skip_serializing_if = "Option::is_none")]
    pub map_delta: Option<MapDelta>,
    /// Whether it is wanted what the rank has chosen since it last told this leader.
    #[serde(default, skip_serializing_if = "is_false")]
    pub wants_counts: bool,
    /// Whether the held experts are wanted.
    #[serde(rename = "wants_lists", default, skip_serializing_if = "is_false")]
    pub wants_held_experts: bool,
    /// Whether the leader gives its grant back.
    #[serde(rename = "releases", default, skip_serializing_if = "is_false")]
    pub releases_grant: bool,
}

/// An agent's answer.
#[derive(Debug, Clone, Serialize, Deserialize, Default)]
pub struct AgentResponse {
    /// Whether the leader is granted.
    pub granted: bool,
    /// Who is granted, if not the leader.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holder: Option<LeaderId>,
    /// The rank's view, after the orders.
    pub view: Option<RankView>,
    /// Number of the map that the agent was last sent whole, or as a change that it could apply.
    #[serde(rename = "knows_map", default, skip_serializing_if = "Option::is_none")]
    pub known_map_version: Option<u64>,
    /// What became of the orders, in their order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub outcomes: Vec<OrderOutcome>,
    /// What the rank has chosen since it last told this leader; nothing the first time.
    #[serde(rename = "chosen", default, skip_serializing_if = "Option::is_none")]
    pub selection_counts: Option<SelectionCounts>,
    /// The held experts.
    #[serde(rename = "lists", default, skip_serializing_if = "Option::is_none")]
    pub held_experts: Option<HeldExperts>,
}

#[allow(clippy::trivially_copy_pass_by_ref)] // The library that writes messages asks for a reference.
const fn is_false(value: &bool) -> bool {
    !*value
}
