//! Why a request is not tried again.

/// Why no further attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUpReason {
    /// No endpoint can take it.
    NoEndpoint,
    /// The endpoints that were asked have no room.
    Full,
    /// All endpoints that take work have asked for a pause.
    Paused {
        /// How long until the first pause is over, in milliseconds.
        left_ms: u64,
    },
    /// All endpoints that take work name limits, and this box has used its part of them.
    Limited {
        /// How long until the turn of this request, in milliseconds.
        left_ms: u64,
    },
    /// All groups of the service stand.
    Stands,
    /// The box is leaving.
    Leaving,
    /// The budget of repeats is used up.
    Budget,
    /// An attempt failed and no other is allowed.
    Failed,
    /// Its time is over.
    TimeUp,
    /// It crashed endpoints, or may: it is refused.
    Quarantined {
        /// How much longer, in milliseconds.
        left_ms: u64,
    },
}
