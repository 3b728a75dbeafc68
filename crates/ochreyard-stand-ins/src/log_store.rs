//! An append-only log in memory, with retention by count.

use std::collections::VecDeque;

/// One stream.
#[derive(Debug, Clone, Default)]
pub struct LogStore {
    first_offset: u64,
    records: VecDeque<String>,
}

impl LogStore {
    /// Appends a record and returns its offset.
    pub fn append(&mut self, text: String) -> u64 {
        self.records.push_back(text);
        self.next_offset() - 1
    }

    /// The oldest offset that can be read.
    #[must_use]
    pub const fn first_offset(&self) -> u64 {
        self.first_offset
    }

    /// The offset that the next append gets.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    /// Lets all but the last `keep` records expire.
    pub fn expire_to(&mut self, keep: usize) {
        while self.records.len() > keep {
            self.records.pop_front();
            self.first_offset += 1;
        }
    }

    /// Records from `from` on, `limit` at the most.
    pub fn read(&self, from: u64, limit: usize) -> impl Iterator<Item = (u64, &str)> {
        let skip = usize::try_from(from.saturating_sub(self.first_offset)).unwrap_or(usize::MAX);
        let start = self.first_offset + skip as u64;
        self.records.iter().skip(skip).take(limit).enumerate().map(move |(at, text)| (start + at as u64, text.as_str()))
    }
}
