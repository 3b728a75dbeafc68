//! What goes into the entry's state and comes out of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;

use ochreyard_core::config::{Configuration, Delta};
use ochreyard_core::ids::{BoxId, EndpointId, Incarnation, ServiceId, WorkspaceId};
use ochreyard_core::membership::HeartbeatTimeouts;
use ochreyard_core::routing::Policy;
use ochreyard_peer::{AgentLink, Heartbeat};

/// Who this entry is.
#[derive(Debug, Clone)]
pub struct EntryIdentity {
    /// Its box.
    pub entry: BoxId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Token to show to agents.
    pub peer_token: String,
    /// How often a snapshot is written, in milliseconds.
    pub snapshot_every_ms: u64,
    /// How an endpoint is picked.
    pub routing: Policy,
    /// How long silence lasts until an agent is suspected or taken for down.
    pub silence: HeartbeatTimeouts,
}

/// A caller's request that may be routed.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// Whose it is.
    pub workspace: WorkspaceId,
    /// Its running number.
    pub request: u64,
    /// Objective for the first byte, in milliseconds.
    pub first_byte_ms: u64,
}

/// What is needed to pick an endpoint.
#[derive(Debug, Clone)]
pub struct Wanted {
    /// Whose request it is.
    pub workspace: WorkspaceId,
    /// The service that is meant.
    pub service: ServiceId,
    /// The caller's key.
    pub key: Option<String>,
    /// Endpoints that have been tried.
    pub tried: Vec<EndpointId>,
    /// Hash of the start of the prompt; 0 for none.
    pub prefix_hash: u64,
    /// Predicted work.
    pub cost: u64,
}

/// The endpoint that was picked.
#[derive(Debug, Clone)]
pub struct Target {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The life of its agent.
    pub incarnation: Incarnation,
    /// The link to its agent.
    pub link: AgentLink,
    /// Requests of this entry that are under way there.
    pub in_flight: Arc<AtomicU32>,
}

/// One heartbeat that is due.
pub struct DueBeat {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The address of its agent, if the configuration no longer names it.
    pub former_addr: Option<SocketAddr>,
    /// The link to its agent.
    pub link: AgentLink,
    /// What to say.
    pub beat: Heartbeat,
}

/// What an agent lacks of the configuration.
#[derive(Debug)]
pub struct Lacking {
    /// The whole configuration.
    pub config: Arc<Configuration>,
    /// What changed since the version that the agent has, if that is remembered.
    pub delta: Option<Delta>,
}
