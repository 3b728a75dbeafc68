//! What one answer of an endpoint says of its limit.

use super::request_rate::RequestRate;

/// What one answer says of the limit of the endpoint that gave it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReportedLimit {
    /// Nothing: it is no answer to the request, or not a whole one.
    #[default]
    Unknown,
    /// It names none, so there is none.
    Unlimited,
    /// What the endpoint takes from all boxes together.
    Limited(RequestRate),
}

impl ReportedLimit {
    /// The limit that an answer names; `is_own` says whether it is a whole answer to the request that was sent, which
    /// would name a limit if there were one.
    #[must_use]
    pub fn from_header_values<'a>(values: impl Iterator<Item = &'a [u8]>, is_own: bool) -> Self {
        match super::request_rate::parse_limit(values) {
            Some(rate) => Self::Limited(rate),
            None if is_own => Self::Unlimited,
            None => Self::Unknown,
        }
    }
}
