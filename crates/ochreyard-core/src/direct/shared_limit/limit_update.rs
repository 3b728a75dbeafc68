//! The updates about rate limits that boxes exchange.

use serde::{Deserialize, Serialize};

use super::request_rate::RequestRate;

/// The limit of one endpoint incarnation, as one box reports it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLimit {
    /// Identifier of the endpoint.
    pub endpoint: String,
    /// Start time of the endpoint incarnation.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
    /// The rate that the endpoint accepts from all boxes together; `None` if its limit has ended.
    pub rate: Option<RequestRate>,
    /// Time since a response of the endpoint reported the limit, in milliseconds.
    pub age_ms: u64,
}

/// Limits that became known, changed, ended or were confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// The limits of the endpoints concerned.
    pub limits: Vec<EndpointLimit>,
}

impl LimitUpdate {
    /// Returns whether the update contains no limits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }
}
