//! A deterministic pseudorandom generator.

use ochreyard_core::hash;

/// A source of uniformly distributed numbers.
pub struct Random {
    state: u64,
}

impl Random {
    pub const fn new(seed: u64) -> Self {
        Self { state: hash::mix(seed) }
    }

    pub fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(1);
        hash::mix(self.state)
    }

    /// Returns a number from `least` to `most`.
    pub fn in_range(&mut self, least: u64, most: u64) -> u64 {
        least + self.next_u64() % (most - least + 1)
    }

    /// Returns true with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        (self.next_u64() as f64 / u64::MAX as f64) < probability
    }
}
