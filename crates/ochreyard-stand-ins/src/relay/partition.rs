//! A network partition that a relay simulates.

/// The directions of a relay that are blocked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Partition {
    /// Whether bytes and new connections from the client to the target are blocked.
    pub to_target: bool,
    /// Whether bytes from the target to the client are blocked.
    pub from_target: bool,
}
