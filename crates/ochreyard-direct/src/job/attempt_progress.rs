//! How far an attempt has come.

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptProgress {
    /// When the attempt began.
    pub started_ms: u64,
    /// When the head of its answer came.
    pub head_ms: Option<u64>,
    /// Number of complete events that it has delivered.
    pub event_count: usize,
    /// Whether its run was recorded as past the start of its answer.
    pub is_past_start: bool,
    /// Whether its run was recorded as good.
    pub is_good_run: bool,
}

impl AttemptProgress {
    /// Returns the progress of an attempt that begins.
    pub const fn start(now_ms: u64) -> Self {
        Self { started_ms: now_ms, head_ms: None, event_count: 0, is_past_start: false, is_good_run: false }
    }
}
