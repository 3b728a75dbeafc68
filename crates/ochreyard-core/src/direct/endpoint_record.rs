//! Record that an endpoint writes of itself to the platform's log.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Record of one endpoint, written by the endpoint itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Service of the endpoint.
    pub service: String,
    /// Address that the endpoint listens on.
    pub addr: SocketAddr,
    /// Data centre of the endpoint.
    pub data_centre: String,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u64,
    /// Whether the endpoint is leaving, and must get no new requests.
    pub is_leaving: bool,
    /// How much longer the endpoint is slow after its start, in milliseconds.
    pub cold_ms: u64,
    /// When this incarnation started, by the clock of the endpoint, in milliseconds since 1970; 0 where the endpoint
    /// does not state it.
    #[serde(default, rename = "born_ms")]
    pub started_ms: u64,
}
