//! What operators state about services, workspaces, places and endpoints.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, EndpointId, ServiceId, WorkspaceId};

/// What kind of back end a service has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines, called by `model` name.
    Model,
    /// A plain service, called by path.
    Plain,
}

/// What part of the work an endpoint does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Mixed,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Mixed => "mixed",
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        })
    }
}

/// A service that callers can name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Its name.
    pub service: ServiceId,
    /// The kind of its back ends.
    pub kind: ServiceKind,
    /// Objective: the first byte of the answer within this time, in milliseconds.
    #[serde(default = "default_first_byte_ms")]
    pub first_byte_ms: u64,
    /// Objective: share of requests answered whole and in time, in thousandths.
    #[serde(default = "default_objective_permille")]
    pub objective_permille: u64,
}

const fn default_first_byte_ms() -> u64 {
    620
}

const fn default_objective_permille() -> u64 {
    950
}

/// A customer, the services it may use and the places of its work and data.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// Its name.
    pub workspace: WorkspaceId,
    /// SHA-256 of its bearer token, in lower-case hexadecimal.
    pub token_sha256: String,
    /// The services that it may use.
    pub services: BTreeSet<ServiceId>,
    /// The data centres where its work may run.
    pub run_in: BTreeSet<DataCentreId>,
    /// The data centres where its data may rest: queues, caches, kept answers.
    #[serde(default)]
    pub keep_in: BTreeSet<DataCentreId>,
}

/// What an endpoint in a place may hold of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    /// The service.
    pub service: ServiceId,
    /// The model versions; empty for a plain service.
    #[serde(default)]
    pub model_versions: BTreeSet<String>,
    /// The roles.
    #[serde(default)]
    pub roles: BTreeSet<Role>,
}

/// A data centre, and what its endpoints may hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreSpec {
    /// Its name.
    pub data_centre: DataCentreId,
    /// What may be held there.
    pub may_hold: Vec<Holding>,
}

impl DataCentreSpec {
    /// Whether an endpoint as `spec` says may stand here.
    #[must_use]
    pub fn permits(&self, spec: &EndpointSpec, kind: ServiceKind) -> bool {
        let holds = |holding: &Holding| match kind {
            ServiceKind::Plain => true,
            ServiceKind::Model => {
                holding.model_versions.contains(&spec.model_version) && holding.roles.contains(&spec.role)
            }
        };
        self.may_hold.iter().any(|holding| holding.service == spec.service && holds(holding))
    }
}

/// A group of ranks behind one address, or one plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// Its name.
    pub endpoint: EndpointId,
    /// The service that it runs.
    pub service: ServiceId,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Address of its agent.
    pub agent_addr: SocketAddr,
    /// The model version that it holds; empty for a plain service.
    #[serde(default)]
    pub model_version: String,
    /// The part of the work that it does.
    #[serde(default)]
    pub role: Role,
    /// How many requests run at the same time.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

const fn default_slots() -> u32 {
    16
}
