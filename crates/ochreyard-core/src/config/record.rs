//! Records of the configuration stream in the platform's log.

use serde::{Deserialize, Serialize};

use super::change::Change;
use super::configuration::Configuration;
use crate::ids::{EndpointId, PlanId};

/// A plan as it stands in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmedPlan {
    /// Its identifier.
    pub plan_id: PlanId,
    /// The version of the configuration that it was made from.
    pub base_version: u64,
    /// What it changes.
    pub change: Change,
}

/// An endpoint's word that it has the configuration up to a version in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeAck {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Address of the agent that said so.
    pub agent_addr: std::net::SocketAddr,
    /// The version.
    pub version: u64,
}

/// One record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ConfigRecord {
    /// A plan that waits to be confirmed: changes nothing.
    Proposed(ConfirmedPlan),
    /// A confirmed plan: in force from here on, unless it was overtaken.
    Confirmed(ConfirmedPlan),
    /// Endpoints that have a version in force, so that keys may move from them.
    HomeAcks {
        /// Each endpoint's word.
        acks: Vec<HomeAck>,
    },
    /// The state before offset `as_of`, so that older records may expire.
    Snapshot {
        /// The offset up to which records are in `state`.
        as_of: u64,
        /// The state.
        state: Box<Configuration>,
    },
    /// The highest state among peers, written after the log had lost all records.
    Seed {
        /// The first offset that the writer could read.
        first_offset: u64,
        /// The state.
        state: Box<Configuration>,
    },
}
