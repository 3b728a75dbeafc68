//! The address of an engine and its distance from this entry.

use std::net::SocketAddr;

use ochreyard_core::direct::EndpointRecord;

/// The location of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineLocation {
    /// The address at which the engine listens.
    pub addr: SocketAddr,
    /// Whether the engine is in the data centre of this entry.
    pub is_same_data_centre: bool,
}

impl EngineLocation {
    /// Takes the location from the engine's record, for an entry in `data_centre`.
    pub fn new(record: &EndpointRecord, data_centre: &str) -> Self {
        Self { addr: record.addr, is_same_data_centre: record.data_centre == data_centre }
    }
}
