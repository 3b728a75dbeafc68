//! The endpoint that was picked for an attempt.

use std::net::SocketAddr;

use crate::direct::urgency::Urgency;
use crate::direct::{EndpointIncarnation, EndpointRecord};

/// The endpoint that was picked for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Identifier of the endpoint.
    pub id: String,
    /// Start time of the picked incarnation.
    pub started_ms: u64,
    /// The address at which the endpoint listens.
    pub addr: SocketAddr,
    /// Requests of this box that were in flight to the endpoint when it was picked.
    pub in_flight: u64,
    /// The urgency of the request.
    pub urgency: Urgency,
}

impl Pick {
    /// Creates a pick of the endpoint `id` from its record, for uses without a request.
    #[must_use]
    pub fn from_record(id: &str, record: &EndpointRecord) -> Self {
        Self {
            id: id.to_owned(),
            started_ms: record.started_ms,
            addr: record.addr,
            in_flight: 0,
            urgency: Urgency::OnTime,
        }
    }

    /// Returns the picked incarnation of the endpoint.
    #[must_use]
    pub fn incarnation(&self) -> EndpointIncarnation {
        EndpointIncarnation { id: self.id.clone(), started_ms: self.started_ms }
    }
}
