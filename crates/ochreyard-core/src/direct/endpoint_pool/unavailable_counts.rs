//! How many endpoints ask for something.

/// How many endpoints of a service ask this box for something.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UnavailableCounts {
    /// Those that want no request for now.
    pub paused: usize,
    /// Those that leave, by their record or by their own word.
    pub leaving: usize,
}
