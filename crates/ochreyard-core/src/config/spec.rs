//! Objects of the configuration as operators specify them: services, workspaces, data centres and endpoints.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, EndpointId, ServiceId, WorkspaceId};

/// The kind of endpoint that serves a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines, selected by the `model` in the request.
    Model,
    /// A plain service, selected by the request path.
    Plain,
}

/// The phases of inference that an endpoint runs.
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

/// A service that callers can request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The name of the service.
    pub service: ServiceId,
    /// The kind of its endpoints.
    pub kind: ServiceKind,
    /// Service level objective for the time to the first byte of the answer, in milliseconds.
    #[serde(default = "default_first_byte_ms")]
    pub first_byte_ms: u64,
    /// Service level objective for the share of requests that are answered completely and on time, in thousandths.
    #[serde(default = "default_objective_permille")]
    pub objective_permille: u64,
}

const fn default_first_byte_ms() -> u64 {
    620
}

const fn default_objective_permille() -> u64 {
    950
}

/// A customer, the services that it may use, and the data centres for its work and its data.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// The name of the workspace.
    pub workspace: WorkspaceId,
    /// SHA-256 hash of its bearer token, in lower-case hexadecimal.
    pub token_sha256: String,
    /// The services that the workspace may use.
    pub services: BTreeSet<ServiceId>,
    /// The data centres in which its requests may run.
    pub run_in: BTreeSet<DataCentreId>,
    /// The data centres in which its data may be stored: in queues, caches and stored answers.
    #[serde(default)]
    pub keep_in: BTreeSet<DataCentreId>,
}

/// The model versions and roles of one service that the endpoints of a data centre may have.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServingPermission {
    /// The name of the service.
    pub service: ServiceId,
    /// The permitted model versions; empty for a plain service.
    #[serde(default)]
    pub model_versions: BTreeSet<String>,
    /// The permitted roles.
    #[serde(default)]
    pub roles: BTreeSet<Role>,
}

/// A data centre and what its endpoints may serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreSpec {
    /// The name of the data centre.
    pub data_centre: DataCentreId,
    /// The services, model versions and roles that its endpoints may have.
    pub may_hold: Vec<ServingPermission>,
}

impl DataCentreSpec {
    /// Returns whether the endpoint that `spec` describes may be in this data centre.
    #[must_use]
    pub fn permits(&self, spec: &EndpointSpec, kind: ServiceKind) -> bool {
        let permits = |permission: &ServingPermission| match kind {
            ServiceKind::Plain => true,
            ServiceKind::Model => {
                permission.model_versions.contains(&spec.model_version) && permission.roles.contains(&spec.role)
            }
        };
        self.may_hold.iter().any(|permission| permission.service == spec.service && permits(permission))
    }
}

/// An endpoint: a group of ranks behind one address, or an instance of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// The name of the endpoint.
    pub endpoint: EndpointId,
    /// The service that the endpoint runs.
    pub service: ServiceId,
    /// The data centre that the endpoint is in.
    pub data_centre: DataCentreId,
    /// The address of its agent.
    pub agent_addr: SocketAddr,
    /// The model version that it serves; empty for a plain service.
    #[serde(default)]
    pub model_version: String,
    /// The phases of inference that it runs.
    #[serde(default)]
    pub role: Role,
    /// The number of requests that may run at the same time.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

const fn default_slots() -> u32 {
    16
}
