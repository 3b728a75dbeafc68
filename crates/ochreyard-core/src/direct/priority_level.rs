//! The position of a priority among the priorities that a service has.

/// The position of a request's priority among the different priorities that the configuration gives to requests of its
/// service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PriorityLevel {
    /// Position among the priorities; 0 is the most urgent one.
    pub index: usize,
    /// Number of different priorities; at least 1.
    pub count: usize,
}

impl PriorityLevel {
    /// The level where all requests of a service have the same priority.
    pub const SINGLE: Self = Self { index: 0, count: 1 };
}

impl Default for PriorityLevel {
    fn default() -> Self {
        Self::SINGLE
    }
}
