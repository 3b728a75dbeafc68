//! State of a watch while a new connection to the peer is opened.

/// A new connection to the peer is being opened, since the peer has acknowledged nothing for a while.
#[derive(Debug)]
pub struct Verifying {
    /// When it was begun.
    pub(super) started_ms: u64,
}
