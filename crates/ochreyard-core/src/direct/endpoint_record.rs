//! An endpoint as it writes of itself into the platform's log.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One endpoint as its own record says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u64,
    /// Whether it leaves: no new work.
    pub is_leaving: bool,
    /// How much longer it is slow from its start, in milliseconds.
    pub cold_ms: u64,
    /// When this life of it started, by its own clock, in milliseconds since 1970; 0 where it does not tell.
    #[serde(default, rename = "born_ms")]
    pub started_ms: u64,
}
