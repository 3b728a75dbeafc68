//! The endpoint that was picked for an attempt.

use std::net::SocketAddr;

use crate::direct::waiting::Urgency;
use crate::direct::{EndpointIncarnation, EndpointRecord};

/// The endpoint for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Its identifier.
    pub id: String,
    /// When the life of it that was picked started.
    pub started_ms: u64,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Requests that this box already has there.
    pub in_flight: u64,
    /// How soon the request had to go.
    pub urgency: Urgency,
}

impl Pick {
    /// The endpoint `id` as its record says, for whoever asks of it without a request.
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

    /// The life of the endpoint that was picked.
    #[must_use]
    pub fn incarnation(&self) -> EndpointIncarnation {
        EndpointIncarnation { id: self.id.clone(), started_ms: self.started_ms }
    }
}
