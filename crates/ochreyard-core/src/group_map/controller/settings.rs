//! Timeouts and distances of a map change.

/// Timeouts and distances of a map change.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MapControllerSettings {
    /// Steps between the last one that has begun and the one that is held: enough for all
    /// orders to arrive before any rank has to wait.
    pub steps_ahead: u64,
    /// Longest time for a hold to be confirmed, in milliseconds.
    pub hold_timeout_ms: u64,
    /// Longest time for all ranks to confirm that they are armed, in milliseconds.
    pub arm_timeout_ms: u64,
    /// Longest time for each copy to one rank, in milliseconds.
    pub timeout_per_copy_ms: f64,
    /// Time allowed for preparing in addition to the copies, in milliseconds, since orders may be lost.
    pub prepare_slack_ms: u64,
    /// Pause before an order whose outcome is unknown is sent again, in milliseconds.
    pub resend_ms: u64,
    /// The same for orders to prepare a map, in milliseconds. A rank that copies already gets no second one.
    pub prepare_resend_ms: u64,
    /// Pause after a change that was dropped, in milliseconds.
    pub failure_pause_ms: u64,
}

impl Default for MapControllerSettings {
    /// A step takes about 50 to 100 ms and an order a few, so holding two steps ahead
    /// leaves time for a lost order; the other values are small multiples of these times.
    fn default() -> Self {
        Self {
            steps_ahead: 2,
            hold_timeout_ms: 300,
            arm_timeout_ms: 400,
            timeout_per_copy_ms: 400.0,
            prepare_slack_ms: 2_000,
            resend_ms: 250,
            prepare_resend_ms: 60,
            failure_pause_ms: 500,
        }
    }
}
