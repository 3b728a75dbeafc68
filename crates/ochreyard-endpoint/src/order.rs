//! Orders to an endpoint, each fenced by a token.

use serde::{Deserialize, Serialize};

/// What is ordered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Order {
    /// Hold an expert map beside the one in use.
    StageMap {
        /// Number of the map.
        map: u64,
        /// The rank that is meant.
        rank: u32,
    },
    /// Enter no step from `step` on until released.
    Gate {
        /// The first step that is held back.
        step: u64,
        /// The rank that is meant.
        rank: u32,
    },
    /// Use a staged map from the gated step on.
    ActivateMap {
        /// Number of the map.
        map: u64,
        /// The rank that is meant.
        rank: u32,
    },
    /// Go on with steps.
    Release {
        /// The rank that is meant.
        rank: u32,
    },
    /// Load a model version.
    LoadVersion {
        /// The version.
        model_version: String,
    },
    /// Change the role.
    ChangeRole {
        /// The role.
        role: String,
    },
}

/// What a rank says to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// The step that the rank is in.
    pub step: u64,
    /// Whether the order was carried out.
    pub done: bool,
}
