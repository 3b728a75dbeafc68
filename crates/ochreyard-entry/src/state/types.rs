//! The types that the entry's state takes and returns.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;

use ochreyard_core::config::{Configuration, Delta};
use ochreyard_core::ids::{BoxId, EndpointId, Incarnation, ServiceId, WorkspaceId};
use ochreyard_core::membership::HeartbeatTimeouts;
use ochreyard_core::routing::Policy;
use ochreyard_peer::{AgentLink, Heartbeat};

/// The identity and the settings of this entry.
#[derive(Debug, Clone)]
pub struct EntryIdentity {
    /// Name of its box.
    pub entry: BoxId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Token that authenticates the entry to agents.
    pub peer_token: String,
    /// Interval between snapshots in the log, in milliseconds.
    pub snapshot_every_ms: u64,
    /// The policy by which endpoints are picked.
    pub routing: Policy,
    /// How long an agent may be silent until it is suspect, and until it is down.
    pub heartbeat_timeouts: HeartbeatTimeouts,
}

/// A caller's request that is authorized and may be routed.
#[derive(Debug, Clone)]
pub struct AdmittedRequest {
    /// The workspace that the request belongs to.
    pub workspace: WorkspaceId,
    /// Sequence number of the request in this incarnation of the entry.
    pub request_number: u64,
    /// Latency target for the first byte of the answer, in milliseconds.
    pub first_byte_ms: u64,
}

/// The properties of a request by which its endpoint is picked.
#[derive(Debug, Clone)]
pub struct PickRequest {
    /// The workspace that the request belongs to.
    pub workspace: WorkspaceId,
    /// The requested service.
    pub service: ServiceId,
    /// The idempotency key, if the caller gave one.
    pub key: Option<String>,
    /// Endpoints at which the request has already been attempted.
    pub tried: Vec<EndpointId>,
    /// Hash of the prefix of the prompt, or 0 if there is no prompt.
    pub prefix_hash: u64,
    /// Predicted cost, in tokens or calls.
    pub cost: u64,
}

/// The endpoint that was picked.
#[derive(Debug, Clone)]
pub struct Target {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation of its agent.
    pub incarnation: Incarnation,
    /// The link to its agent.
    pub link: AgentLink,
    /// Requests of this entry that are in flight at the endpoint.
    pub in_flight: Arc<AtomicU32>,
}

/// A heartbeat that is due.
pub struct DueHeartbeat {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The address of the agent, if the configuration no longer names it.
    pub former_addr: Option<SocketAddr>,
    /// The link to its agent.
    pub link: AgentLink,
    /// The content of the heartbeat.
    pub heartbeat: Heartbeat,
}

/// An update of the configuration for an agent that has an older version.
#[derive(Debug)]
pub struct ConfigUpdate {
    /// The complete configuration.
    pub config: Arc<Configuration>,
    /// The changes since the agent's version, if they are still known.
    pub delta: Option<Delta>,
}
