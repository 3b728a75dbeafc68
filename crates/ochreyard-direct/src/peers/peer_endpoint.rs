//! An endpoint as sent between boxes.

use ochreyard_core::direct::{EndpointRecord, Position};
use serde::{Deserialize, Serialize};

/// An endpoint as sent between boxes. Without a record, the endpoint has been removed from the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerEndpoint {
    /// Identifier of the endpoint.
    pub id: String,
    /// Log position of its last change.
    pub position: Position,
    /// Record of the endpoint.
    pub record: Option<EndpointRecord>,
}
