//! An append-only in-memory log with retention by number of records.

use std::collections::VecDeque;

/// One stream of the log.
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

    /// Returns the offset of the oldest record that can be read.
    #[must_use]
    pub const fn first_offset(&self) -> u64 {
        self.first_offset
    }

    /// Returns the offset that the next appended record gets.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    /// Expires all but the last `keep` records.
    pub fn expire_to(&mut self, keep: usize) {
        while self.records.len() > keep {
            self.records.pop_front();
            self.first_offset += 1;
        }
    }

    /// Returns at most `limit` records from offset `from` on, each with its offset.
    pub fn read(&self, from: u64, limit: usize) -> impl Iterator<Item = (u64, &str)> {
        let skip = usize::try_from(from.saturating_sub(self.first_offset)).unwrap_or(usize::MAX);
        let start = self.first_offset + skip as u64;
        self.records
            .iter()
            .skip(skip)
            .take(limit)
            .enumerate()
            .map(move |(index, text)| (start + index as u64, text.as_str()))
    }
}
