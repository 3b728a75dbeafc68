//! The rate limit that a single response reports.

use super::request_rate::RequestRate;

/// What one response says about the limit of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReportedLimit {
    /// The response says nothing, because it is incomplete or does not answer the request itself.
    #[default]
    Unknown,
    /// The endpoint has no limit.
    Unlimited,
    /// The rate that the endpoint accepts from all boxes together.
    Limited(RequestRate),
}

impl ReportedLimit {
    /// Reads the limit from header values. `is_complete_response` says whether they belong to a complete response to
    /// the request that was sent, which would name a limit if there were one.
    #[must_use]
    pub fn from_header_values<'a>(values: impl Iterator<Item = &'a [u8]>, is_complete_response: bool) -> Self {
        match super::request_rate::parse_limit(values) {
            Some(rate) => Self::Limited(rate),
            None if is_complete_response => Self::Unlimited,
            None => Self::Unknown,
        }
    }
}
