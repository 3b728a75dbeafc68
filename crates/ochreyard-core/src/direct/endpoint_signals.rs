//! What a response reports about the state of its endpoint.

use super::endpoint_pool::ReportedLoad;
use super::shared_limit::ReportedLimit;
use crate::retry_after;

/// The backoff that is assumed if the `Retry-After` header cannot be parsed, in milliseconds. The endpoint wants fewer
/// requests, and endpoints name whole seconds.
const FALLBACK_BACKOFF_MS: u64 = 1_000;

/// What a response reports about the state of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EndpointSignals {
    /// How long the endpoint wants no further requests from this box, in milliseconds.
    pub backoff_ms: Option<u64>,
    /// Whether the endpoint is leaving.
    pub is_leaving: bool,
    /// The load of the endpoint.
    pub load: Option<ReportedLoad>,
    /// The rate limit of the endpoint.
    pub limit: ReportedLimit,
}

/// Returns the longest backoff that the values of the `Retry-After` headers ask for, in milliseconds, or `None` if
/// there are no values.
#[must_use]
pub fn parse_backoff_ms<'a>(values: impl Iterator<Item = &'a [u8]>) -> Option<u64> {
    let backoffs =
        values.map(|value| std::str::from_utf8(value).ok().and_then(|text| retry_after::parse_ms(text).ok()));
    let longest = backoffs.max()?;
    Some(longest.unwrap_or(FALLBACK_BACKOFF_MS))
}
