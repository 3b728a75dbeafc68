//! Why an attempt gets no endpoint.

/// Why no endpoint was picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PickError {
    /// None is left that takes work.
    Nobody,
    /// Those that take work have as much as they can serve in time.
    Full,
    /// All that take work have asked for a pause.
    Paused {
        /// When the first of these pauses is over.
        until_ms: u64,
    },
    /// All that take work name limits, of which this box has used its part.
    Limited {
        /// When it may send the next request.
        until_ms: u64,
    },
    /// All of their groups are known to stand or to be broken.
    Stands,
}
