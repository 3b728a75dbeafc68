//! A quarantined request, as shown in logs and to operators.

use serde::{Deserialize, Serialize};

use crate::direct::Fingerprint;

/// A request that is refused because it crashed endpoints, or a prompt part whose requests are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// Fingerprint of the request or part.
    pub fingerprint: Fingerprint,
    /// Identifier of the part; `None` for a request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<String>,
    /// How many times it has been quarantined.
    pub times: u32,
    /// Remaining time of the quarantine, in milliseconds.
    pub for_ms: u64,
    /// The endpoints that crashed while they had the request, each with the time since the crash in milliseconds.
    pub crashes: Vec<(String, u64)>,
}
