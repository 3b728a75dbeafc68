//! What travels between entry and agent, as plain values.

use bytes::Bytes;
use ochreyard_core::admission::Offer;
use ochreyard_core::error_kind::Refusal;
use ochreyard_core::ids::Incarnation;

/// What an entry says with each heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Name of the entry's box.
    pub entry: String,
    /// The life of the agent for which the log was read to its end.
    pub verified_for: Incarnation,
    /// The version found there; 0 when no such read has been made.
    pub tail_version: u64,
}

/// The caller's request, as the endpoint is to get it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ServiceRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Value of `Content-Type`; empty for none.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// One attempt with its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRequest {
    /// What the agent decides on.
    pub offer: Offer,
    /// What the endpoint gets.
    pub request: ServiceRequest,
}

/// How a call ended at the agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// All frames were sent; whether they arrived whole is for the entry to check.
    Sent,
    /// It was refused or broke off.
    Refused(Refusal),
}
