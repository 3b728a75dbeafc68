//! The priority of a request.

use std::fmt;

/// The priority of a request; 0 is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Priority(u8);

impl Priority {
    /// The least urgent priority.
    pub const LOWEST: Self = Self(9);

    /// Creates a priority from a number of the configuration. Larger numbers than 9 count as 9.
    #[must_use]
    pub fn new(number: u64) -> Self {
        u8::try_from(number).map_or(Self::LOWEST, |number| Self(number).min(Self::LOWEST))
    }

    /// Returns the number of the priority, from 0 to 9.
    #[must_use]
    pub const fn number(self) -> u8 {
        self.0
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
