//! What entries tell each other of requests that crash endpoints.
//!
//! Times are ages: the clocks of two boxes may differ.

use serde::{Deserialize, Serialize};

use crate::direct::Fingerprint;

/// A request that an endpoint had when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostRequest {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How long it had run, in milliseconds; `None` where it had not begun, as far as known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ran_ms: Option<u64>,
}

/// A crash, as an entry saw it or was told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The endpoint.
    pub endpoint: String,
    /// Its service.
    pub service: String,
    /// How long ago its connections broke, in milliseconds.
    pub age_ms: u64,
    /// Requests that it had.
    pub lost: Vec<LostRequest>,
}

/// A request that ended well after crashes, or was released by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearedRequest {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How long ago, in milliseconds.
    pub age_ms: u64,
}

/// A request that is quarantined.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How long ago it was judged, in milliseconds.
    pub age_ms: u64,
    /// How much longer it is refused, in milliseconds.
    pub left_ms: u64,
    /// How often it has been judged.
    pub times: u32,
}

/// A suspect that is being tried by one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTrial {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How long others keep copies of it back, in milliseconds.
    pub left_ms: u64,
}

/// News of any of these. What is empty is left out on the wire.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineUpdate {
    /// Crashes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashReport>,
    /// Requests that are no longer suspected.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cleared: Vec<ClearedRequest>,
    /// Requests that are quarantined.
    #[serde(rename = "verdicts", default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<QuarantineEntry>,
    /// Suspects that are being tried.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub trials: Vec<RunningTrial>,
}

impl QuarantineUpdate {
    /// Whether it tells nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty() && self.entries.is_empty() && self.trials.is_empty()
    }
}
