//! Times and distances of a change.

/// Times and distances of a change.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MapControllerSettings {
    /// Steps between the last one begun and the one that is held: enough for all
    /// orders to arrive before any rank has to wait.
    pub steps_ahead: u64,
    /// Longest time for a hold to be confirmed, in milliseconds.
    pub hold_timeout_ms: u64,
    /// Longest time for all ranks to confirm that they are armed, in milliseconds.
    pub arm_timeout_ms: u64,
    /// Longest time for copies, in milliseconds, for each copy to one rank.
    pub timeout_per_copy_ms: f64,
    /// Longest time for copies beside that, in milliseconds: orders may be lost.
    pub prepare_slack_ms: u64,
    /// Pause before an order whose outcome is unknown is sent again, in milliseconds.
    pub resend_ms: u64,
    /// Pause after a change that came to nothing, in milliseconds.
    pub failure_pause_ms: u64,
}

impl Default for MapControllerSettings {
    /// A step takes about 50 to 100 ms and an order a few, so two steps of lead
    /// leave room for a lost order; the rest are small multiples of those.
    fn default() -> Self {
        Self {
            steps_ahead: 2,
            hold_timeout_ms: 300,
            arm_timeout_ms: 400,
            timeout_per_copy_ms: 400.0,
            prepare_slack_ms: 2_000,
            resend_ms: 250,
            failure_pause_ms: 500,
        }
    }
}
