//! State of a watch while nothing is wrong with the peer.

/// The peer is taken for reachable.
#[derive(Debug)]
pub struct Observing {
    /// When the peer was last known to be reachable, apart from its acknowledgments.
    pub(super) reachable_ms: u64,
}
