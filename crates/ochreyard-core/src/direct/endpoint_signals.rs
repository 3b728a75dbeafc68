//! What an endpoint's answer tells of the endpoint itself.

use super::endpoint_pool::ReportedLoad;
use super::shared_limit::ReportedLimit;
use crate::retry_after;

/// How long an endpoint is left alone that asks for it in words that cannot be read, in milliseconds: it wants
/// fewer requests, and the times that endpoints name are seconds.
const UNREADABLE_BACKOFF_MS: u64 = 1_000;

/// What an endpoint's answer tells of the endpoint itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EndpointSignals {
    /// For how long it wants no further request from this box, in milliseconds.
    pub backoff_ms: Option<u64>,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// Its load.
    pub load: Option<ReportedLoad>,
    /// What it says of its limit.
    pub limit: ReportedLimit,
}

/// For how long an endpoint wants no request that answers with these `Retry-After` headers, in milliseconds: the
/// longest time that can be read. `None` where it asks for nothing.
#[must_use]
pub fn parse_backoff_ms<'a>(values: impl Iterator<Item = &'a [u8]>) -> Option<u64> {
    let times = values.map(|value| std::str::from_utf8(value).ok().and_then(|text| retry_after::parse_ms(text).ok()));
    let longest = times.max()?;
    Some(longest.unwrap_or(UNREADABLE_BACKOFF_MS))
}
