//! A request that is refused, as logs and operators see it.

use serde::{Deserialize, Serialize};

use crate::direct::Fingerprint;

/// A request that was found to crash endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How often it has been judged.
    pub times: u32,
    /// For how long it is refused, in milliseconds.
    pub for_ms: u64,
    /// The endpoints that crashed with it, and how long ago, in milliseconds.
    pub crashes: Vec<(String, u64)>,
}
