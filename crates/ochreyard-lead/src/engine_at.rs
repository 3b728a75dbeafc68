//! Where an engine is, seen from this entry.

use std::net::SocketAddr;

use ochreyard_core::direct::EndpointRecord;

/// Where an engine is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineAt {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Whether it stands in the data centre of this entry.
    pub is_near: bool,
}

impl EngineAt {
    /// As the engine's record says, seen from an entry in `data_centre`.
    pub fn new(record: &EndpointRecord, data_centre: &str) -> Self {
        Self { addr: record.addr, is_near: record.data_centre == data_centre }
    }
}
