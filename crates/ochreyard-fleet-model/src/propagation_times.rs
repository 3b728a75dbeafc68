//! How long the boxes take to learn of a record.

use serde::Serialize;

/// Quantiles of the time that boxes took to learn of a record, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct PropagationTimes {
    /// The median over all boxes.
    #[serde(rename = "middle_ms")]
    pub median_ms: u64,
    /// The 99th percentile over all boxes.
    pub p99_ms: u64,
    /// The time of the last box; `u64::MAX` if a box never learned of the record.
    pub last_ms: u64,
}

impl PropagationTimes {
    /// Computes the quantiles from the times of all boxes.
    ///
    /// # Panics
    ///
    /// Panics if there is no box.
    #[must_use]
    pub fn from_box_times(mut times_ms: Vec<u64>) -> Self {
        times_ms.sort_unstable();
        let last = times_ms.len() - 1;
        Self { median_ms: times_ms[last / 2], p99_ms: times_ms[last * 99 / 100], last_ms: times_ms[last] }
    }
}
