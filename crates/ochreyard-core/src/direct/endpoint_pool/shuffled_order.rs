//! A pseudorandom order of indices.

use crate::hash;

/// The numbers below a count, each once, in a pseudorandom order. It starts at a random number and advances by a step
/// that is coprime to the count.
#[derive(Debug, Clone, Copy)]
pub struct ShuffledOrder {
    count: u64,
    remaining: u64,
    current: u64,
    step: u64,
}

impl ShuffledOrder {
    /// Creates the order of the numbers below `count` from `random`, a uniformly distributed number.
    pub fn new(count: usize, random: u64) -> Self {
        let count = count as u64;
        let (start, step) = (hash::mix(random), hash::mix(!random));
        Self { count, remaining: count, current: start.checked_rem(count).unwrap_or(0), step: coprime_to(count, step) }
    }
}

impl Iterator for ShuffledOrder {
    type Item = usize;

    fn next(&mut self) -> Option<usize> {
        self.remaining = self.remaining.checked_sub(1)?;
        let current = self.current;
        self.current = (current + self.step) % self.count;
        usize::try_from(current).ok()
    }
}

/// Returns the first number from `random % count` on that is coprime to `count`.
fn coprime_to(count: u64, random: u64) -> u64 {
    let first = random.checked_rem(count).unwrap_or(0);
    (first..).find(|step| gcd(*step, count) == 1).unwrap_or(1)
}

const fn gcd(mut a: u64, mut b: u64) -> u64 {
    while b != 0 {
        (a, b) = (b, a % b);
    }
    a
}
