//! How long until boxes know of a record.

use serde::Serialize;

/// After how long boxes knew of a record, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct KnownAfter {
    /// The middle box.
    pub middle_ms: u64,
    /// 99 boxes in 100 knew it by then.
    pub p99_ms: u64,
    /// The last box; `u64::MAX` where one never knew.
    pub last_ms: u64,
}

impl KnownAfter {
    /// Of the times of all boxes.
    ///
    /// # Panics
    ///
    /// Where there is no box.
    #[must_use]
    pub fn of(mut after_ms: Vec<u64>) -> Self {
        after_ms.sort_unstable();
        let last = after_ms.len() - 1;
        Self { middle_ms: after_ms[last / 2], p99_ms: after_ms[last * 99 / 100], last_ms: after_ms[last] }
    }
}
