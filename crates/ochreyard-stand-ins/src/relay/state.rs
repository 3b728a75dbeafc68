//! The faults that a relay injects at present.

use std::time::Duration;

use super::partition::Partition;

/// The faults that a relay injects at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RelayState {
    /// The blocked directions.
    pub partition: Partition,
    /// How long each chunk is delayed.
    pub delay: Duration,
    /// Number of times that all connections were reset.
    pub resets: u64,
    /// Whether the listener is closed.
    pub is_closed: bool,
}
