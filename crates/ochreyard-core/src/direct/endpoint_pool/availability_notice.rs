//! What one incarnation of an endpoint has asked for in its responses.

/// How long a notice is kept for an incarnation without a record, in milliseconds: longer than any planned log outage,
/// and short enough that notices of ended incarnations do not pile up.
const RETENTION_MS: u64 = 600_000;

/// The backoff or departure that one incarnation of an endpoint has announced in its responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AvailabilityNotice {
    /// The time until which the endpoint wants no requests from this box.
    backoff_until_ms: u64,
    /// The time of the last request for a backoff.
    backoff_requested_ms: Option<u64>,
    /// Whether the endpoint has announced that it is leaving. This cannot be withdrawn.
    is_leaving: bool,
    /// The time of the last announcement of either kind.
    announced_ms: u64,
}

impl AvailabilityNotice {
    /// Records that the endpoint wants no requests for `backoff_ms`. A shorter backoff does not replace a longer one,
    /// since responses are independent of each other and can arrive out of order.
    pub fn on_backoff(&mut self, backoff_ms: u64, now_ms: u64) {
        self.backoff_until_ms = self.backoff_until_ms.max(now_ms + backoff_ms);
        self.backoff_requested_ms = Some(now_ms);
        self.announced_ms = now_ms;
    }

    /// Records that the endpoint is leaving.
    pub const fn on_leaving(&mut self, now_ms: u64) {
        self.is_leaving = true;
        self.announced_ms = now_ms;
    }

    /// Returns whether the endpoint has announced that it is leaving.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns whether the endpoint has ever asked for a backoff.
    #[must_use]
    pub const fn has_requested_backoff(&self) -> bool {
        self.backoff_requested_ms.is_some()
    }

    /// Returns the end of the current backoff, or `None` if the endpoint accepts requests.
    #[must_use]
    pub fn backoff_until_ms(&self, now_ms: u64) -> Option<u64> {
        (now_ms < self.backoff_until_ms).then_some(self.backoff_until_ms)
    }

    /// Returns whether the notice must be kept for an incarnation without a record. An expired record comes back within
    /// seconds after the log is available again.
    #[must_use]
    pub const fn is_retained(&self, now_ms: u64) -> bool {
        now_ms < self.announced_ms + RETENTION_MS || now_ms < self.backoff_until_ms
    }

    /// Returns the time since the last request for a backoff, in milliseconds.
    #[must_use]
    pub fn backoff_request_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.backoff_requested_ms.map(|backoff_requested_ms| now_ms.saturating_sub(backoff_requested_ms))
    }
}
