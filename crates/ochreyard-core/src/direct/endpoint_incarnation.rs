//! Identity of one incarnation of an endpoint.

use std::fmt;

/// One incarnation of an endpoint, from its start to its end.
///
/// An endpoint that restarts may keep its identifier. It has lost its state, so nothing that was learned of the
/// previous incarnation, or was sent to it, applies to the next one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct EndpointIncarnation {
    /// Identifier of the endpoint.
    pub id: String,
    /// When the incarnation started, by the clock of the endpoint, in milliseconds since 1970; 0 where the endpoint
    /// does not state it. Clocks may be wrong, so a later incarnation need not have a higher number.
    pub started_ms: u64,
}

impl fmt::Display for EndpointIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.id)
    }
}
