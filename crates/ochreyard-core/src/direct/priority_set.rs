//! The different priorities that requests of one service can have.

use super::priority::Priority;
use super::priority_level::PriorityLevel;

/// A set of priorities, ordered from the most urgent one to the least urgent one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PrioritySet {
    /// Bit `n` is set if the set contains the priority with number `n`.
    bits: u16,
}

impl PrioritySet {
    /// Adds a priority.
    pub const fn insert(&mut self, priority: Priority) {
        self.bits |= 1 << priority.number();
    }

    /// Returns all priorities of this set and of `other`.
    #[must_use]
    pub const fn union(self, other: Self) -> Self {
        Self { bits: self.bits | other.bits }
    }

    /// Returns the position of a priority in the set. A priority that is not in the set gets the position of the next
    /// less urgent one, or else of the least urgent one.
    #[must_use]
    pub fn level(self, priority: Priority) -> PriorityLevel {
        let count = self.bits.count_ones().max(1) as usize;
        let more_urgent = self.bits & ((1 << priority.number()) - 1);
        PriorityLevel { index: (more_urgent.count_ones() as usize).min(count - 1), count }
    }

    /// Returns the priorities, the most urgent one first.
    pub fn iter(self) -> impl Iterator<Item = Priority> {
        (0..=Priority::LOWEST.number())
            .filter(move |number| self.bits & (1 << number) != 0)
            .map(|number| Priority::new(u64::from(number)))
    }
}

impl FromIterator<Priority> for PrioritySet {
    fn from_iter<I: IntoIterator<Item = Priority>>(priorities: I) -> Self {
        let mut set = Self::default();
        priorities.into_iter().for_each(|priority| set.insert(priority));
        set
    }
}
