//! Records of the configuration stream, which are stored in the platform's log.

use serde::{Deserialize, Serialize};

use super::change::Change;
use super::configuration::Configuration;
use crate::ids::{EndpointId, PlanId};

/// A plan as stored in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmedPlan {
    /// The identifier of the plan.
    pub plan_id: PlanId,
    /// The version of the configuration that the plan was made from.
    pub base_version: u64,
    /// The change that the plan makes.
    pub change: Change,
}

/// An agent's acknowledgement that it has a version of the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeAck {
    /// The endpoint of the agent.
    pub endpoint: EndpointId,
    /// The address of the agent.
    pub agent_addr: std::net::SocketAddr,
    /// The version in force.
    pub version: u64,
}

/// One record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ConfigRecord {
    /// A plan that is not confirmed yet. It has no effect.
    Proposed(ConfirmedPlan),
    /// A confirmed plan. It is in force from here on, unless it is void.
    Confirmed(ConfirmedPlan),
    /// Acknowledgements of agents, which allow keys to move away from them.
    HomeAcks {
        /// The acknowledgements.
        acks: Vec<HomeAck>,
    },
    /// The state before offset `as_of`, which allows older records to expire.
    Snapshot {
        /// The offset of the first record that is not included in `state`.
        as_of: u64,
        /// The configuration at that offset.
        state: Box<Configuration>,
    },
    /// The newest state among the peers, written after the log lost all records.
    Seed {
        /// The oldest offset that the writer could read.
        first_offset: u64,
        /// The configuration of that peer.
        state: Box<Configuration>,
    },
}
