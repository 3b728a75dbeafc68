//! Numbers in an order that is drawn.

use crate::hash;

/// The numbers below a count, each once, in an order that is drawn: from any start, in steps of any length that has no
/// divisor in common with the count.
#[derive(Debug, Clone, Copy)]
pub struct ShuffledOrder {
    count: u64,
    left: u64,
    at: u64,
    step: u64,
}

impl ShuffledOrder {
    /// The numbers below `count` in the order of `draw`, which is any evenly spread number.
    pub fn new(count: usize, draw: u64) -> Self {
        let count = count as u64;
        let (start, step) = (hash::mix(draw), hash::mix(!draw));
        Self { count, left: count, at: start.checked_rem(count).unwrap_or(0), step: coprime_to(count, step) }
    }
}

impl Iterator for ShuffledOrder {
    type Item = usize;

    fn next(&mut self) -> Option<usize> {
        self.left = self.left.checked_sub(1)?;
        let at = self.at;
        self.at = (at + self.step) % self.count;
        usize::try_from(at).ok()
    }
}

/// The first number from a drawn one on, below `count`, that has no divisor in common with it.
fn coprime_to(count: u64, draw: u64) -> u64 {
    let first = draw.checked_rem(count).unwrap_or(0);
    (first..).find(|step| gcd(*step, count) == 1).unwrap_or(1)
}

const fn gcd(mut a: u64, mut b: u64) -> u64 {
    while b != 0 {
        (a, b) = (b, a % b);
    }
    a
}
