//! Messages between entry and agent, as plain types.

use bytes::Bytes;
use ochreyard_core::admission::Offer;
use ochreyard_core::error_kind::Refusal;
use ochreyard_core::ids::Incarnation;

/// A heartbeat that an entry sends to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Name of the entry's box.
    pub entry: String,
    /// The incarnation of the agent for which the entry has read the log to its end.
    pub verified_for: Incarnation,
    /// The configuration version at the end of the log; 0 if no such read has been made.
    pub tail_version: u64,
}

/// The caller's request, as it is sent to the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ServiceRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Value of `Content-Type`; empty if there is none.
    pub content_type: String,
    /// The request body.
    pub body: Bytes,
}

/// An attempt together with its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRequest {
    /// The offer on which the agent decides whether to admit the attempt.
    pub offer: Offer,
    /// The request for the endpoint.
    pub request: ServiceRequest,
}

/// The outcome of a call at the agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The agent has sent all frames. The entry checks whether they arrived completely.
    Sent,
    /// The call was refused or interrupted.
    Refused(Refusal),
}
