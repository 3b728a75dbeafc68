//! What a relay does at present.

use std::time::Duration;

use super::partition::Partition;

/// What a relay does at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Manner {
    /// Which directions are cut.
    pub partition: Partition,
    /// How long each piece is held back.
    pub delay: Duration,
    /// How often all connections were reset.
    pub resets: u64,
}
