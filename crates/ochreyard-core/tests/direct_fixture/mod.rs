//! Endpoint records for tests.

use std::net::SocketAddr;

use ochreyard_core::direct::EndpointRecord;

pub fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn endpoint(port: u16) -> EndpointRecord {
    EndpointRecord {
        service: "tiles".to_owned(),
        addr: addr(port),
        data_centre: "a".to_owned(),
        slots: 2,
        is_leaving: false,
        cold_ms: 0,
        started_ms: 0,
    }
}
