//! The endpoint that was picked for an attempt.

use std::net::SocketAddr;

use crate::direct::waiting::Urgency;

/// The endpoint for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Its identifier.
    pub id: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Requests that this box already has there.
    pub in_flight: u64,
    /// How soon the request had to go.
    pub urgency: Urgency,
}
