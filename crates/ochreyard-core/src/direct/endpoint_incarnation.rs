//! One life of an endpoint.

use std::fmt;

/// One life of an endpoint, from its start to its end.
///
/// One that starts again may keep its identifier. It knows nothing of before, so nothing that was learned of
/// the life before, or was sent to it, says anything of the next.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct EndpointIncarnation {
    /// Its identifier.
    pub id: String,
    /// When it started, by its own clock, in milliseconds since 1970; 0 where it does not tell. Clocks
    /// may be behind, so a later life need not have a higher number.
    pub started_ms: u64,
}

impl fmt::Display for EndpointIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.id)
    }
}
