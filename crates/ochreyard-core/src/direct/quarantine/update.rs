//! Messages that entries exchange about requests that crash endpoints.
//!
//! Times are sent as ages, since the clocks of two boxes may differ.

use serde::{Deserialize, Serialize};

use crate::direct::Fingerprint;

/// A part of the prompt of a request that was at an endpoint when it crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostPart {
    /// Identifier of the part.
    pub id: String,
    /// Number of good runs with this part, as far as the reporting entry knows.
    #[serde(default)]
    pub good_runs: u32,
    /// Time since the last one of them began, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub good_age_ms: Option<u64>,
    /// Whether the request was the trial of this part.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_tried: bool,
}

/// A request that was at an endpoint when it crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostRequest {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// How long the request had been at the endpoint, or since its answer began, in milliseconds; `None` if that is not
    /// known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ran_ms: Option<u64>,
    /// Parts of its prompt, in their order. Empty if the run was known to be good.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<LostPart>,
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

/// A request or prompt part that succeeded after crashes, or was released by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearedRequest {
    /// Fingerprint of the request or part.
    pub fingerprint: Fingerprint,
    /// Time since it was cleared, in milliseconds.
    pub age_ms: u64,
}

/// A run with a suspected prompt part that got past the start of its answer, and does not clear the part by itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GoodRun {
    /// Fingerprint of the part.
    pub fingerprint: Fingerprint,
    /// Time since the run began, in milliseconds.
    pub age_ms: u64,
    /// Whether the answer was whole, or went on for long.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_whole: bool,
}

/// A request or prompt part that is quarantined.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// Fingerprint of the request or part.
    pub fingerprint: Fingerprint,
    /// Identifier of the part; `None` for a request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<String>,
    /// Time since the quarantine began, in milliseconds.
    pub age_ms: u64,
    /// Remaining time of the quarantine, in milliseconds.
    pub left_ms: u64,
    /// How many times it has been quarantined.
    pub times: u32,
}

/// A suspect that one entry is running as a trial.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTrial {
    /// Fingerprint of the request, or of a service and a part that is tried there.
    pub fingerprint: Fingerprint,
    /// How long other entries hold back such requests, in milliseconds; 0 ends the trial.
    pub left_ms: u64,
    /// The request that runs the trial of a part; `None` for the trial of a request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub claimant: Option<u64>,
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
    /// Good runs with suspected parts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub good_runs: Vec<GoodRun>,
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
        self.crashes.is_empty()
            && self.cleared.is_empty()
            && self.good_runs.is_empty()
            && self.entries.is_empty()
            && self.trials.is_empty()
    }
}
