//! Messages that entries exchange about requests that crash endpoints.
//!
//! Times are sent as ages, since the clocks of two boxes may differ.

use serde::{Deserialize, Serialize};

use crate::direct::Fingerprint;

/// A request that was at an endpoint when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostRequest {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// How long the request had been running, in milliseconds; `None` if it is not known to have started.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ran_ms: Option<u64>,
}

/// A crash that an entry detected or was told about.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Identifier of the endpoint.
    pub endpoint: String,
    /// Service of the endpoint.
    pub service: String,
    /// Time since the connections to the endpoint broke, in milliseconds.
    pub age_ms: u64,
    /// Requests that were at the endpoint.
    pub lost: Vec<LostRequest>,
}

/// A request that succeeded after crashes, or was released by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearedRequest {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Time since the request was cleared, in milliseconds.
    pub age_ms: u64,
}

/// A request that is quarantined.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Time since the quarantine began, in milliseconds.
    pub age_ms: u64,
    /// Remaining time of the quarantine, in milliseconds.
    pub left_ms: u64,
    /// How many times the request has been quarantined.
    pub times: u32,
}

/// A suspect that one entry is running as a trial.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTrial {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// How long other entries hold back copies of the request, in milliseconds.
    pub left_ms: u64,
}

/// Changes of the quarantine. Empty lists are omitted on the wire.
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
    /// Suspects that are under trial.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub trials: Vec<RunningTrial>,
}

impl QuarantineUpdate {
    /// Returns whether the update contains no changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty() && self.entries.is_empty() && self.trials.is_empty()
    }
}
