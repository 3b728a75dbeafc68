//! A number of retries, by the part of the budget that they were taken from.

/// A number of retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RetryCount {
    /// Number of retries.
    pub count: u64,
    /// Those of them that were taken from the reserve.
    pub from_reserve: u64,
}

impl RetryCount {
    /// Counts one more retry.
    pub const fn add(&mut self, is_reserve: bool) {
        self.count += 1;
        self.from_reserve += is_reserve as u64;
    }

    /// Counts one retry less.
    pub const fn remove(&mut self, is_reserve: bool) {
        self.count = self.count.saturating_sub(1);
        self.from_reserve = self.from_reserve.saturating_sub(is_reserve as u64);
    }
}
