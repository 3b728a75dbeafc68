//! What boxes tell each other of limits.

use serde::{Deserialize, Serialize};

use super::request_rate::RequestRate;

/// The limit of one life of an endpoint, as one box tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLimit {
    /// The endpoint's identifier.
    pub endpoint: String,
    /// When this life of it started.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
    /// What it takes from all boxes together; `None` where its limit has ended.
    pub rate: Option<RequestRate>,
    /// How long ago an answer of it said so, in milliseconds.
    pub age_ms: u64,
}

/// Limits that became known, changed, ended or were confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// The limits.
    pub limits: Vec<EndpointLimit>,
}

impl LimitUpdate {
    /// Whether there are none.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }
}
