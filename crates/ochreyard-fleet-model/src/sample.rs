//! The figures of one run.

use serde::Serialize;

use crate::fleet::Fleet;
use crate::known_after::KnownAfter;
use crate::traffic::Traffic;
use crate::trouble::Trouble;

/// How long a run takes, in milliseconds of its own time.
pub const LENGTH_MS: u64 = 30_000;
/// Which part of it is the start, in milliseconds.
pub const START_MS: u64 = 6_000;

/// What one run came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Sample {
    /// Boxes of the fleet.
    pub boxes: usize,
    /// What went wrong.
    pub trouble: Trouble,
    /// The seed of all that was drawn.
    pub seed: u64,
    /// What was called, asked and sent in the first [`START_MS`].
    pub start: Traffic,
    /// The same in the whole of [`LENGTH_MS`].
    pub whole: Traffic,
    /// Questions that the busiest box answered.
    pub most_questions: u64,
    /// Bytes of answers of the middle box after the start.
    pub middle_bytes: u64,
    /// The same of the busiest box.
    pub most_bytes: u64,
    /// How long until boxes knew of a record.
    pub known_after: KnownAfter,
}

impl Sample {
    /// Plays one run.
    #[must_use]
    pub fn play(boxes: usize, trouble: Trouble, seed: u64) -> Self {
        let mut fleet = Fleet::new(boxes, trouble, seed);
        fleet.run_until(START_MS);
        let start = fleet.traffic();
        let bytes_of_start = fleet.answered_bytes().to_vec();
        fleet.run_until(LENGTH_MS);
        let mut bytes: Vec<u64> =
            fleet.answered_bytes().iter().zip(&bytes_of_start).map(|(whole, start)| whole - start).collect();
        bytes.sort_unstable();
        Self {
            boxes,
            trouble,
            seed,
            start,
            whole: fleet.traffic(),
            most_questions: fleet.most_questions(),
            middle_bytes: bytes[bytes.len() / 2],
            most_bytes: bytes[bytes.len() - 1],
            known_after: fleet.known_after(),
        }
    }

    /// Calls to the log a minute, after the start.
    #[must_use]
    pub fn calls_a_minute(&self) -> f64 {
        (self.whole.calls() - self.start.calls()) as f64 * 60_000.0 / (LENGTH_MS - START_MS) as f64
    }

    /// Bytes of answers that the middle box sent in a second, after the start.
    #[must_use]
    pub fn middle_bytes_a_second(&self) -> f64 {
        a_second(self.middle_bytes)
    }

    /// The same of the busiest box.
    #[must_use]
    pub fn most_bytes_a_second(&self) -> f64 {
        a_second(self.most_bytes)
    }
}

fn a_second(bytes: u64) -> f64 {
    bytes as f64 * 1_000.0 / (LENGTH_MS - START_MS) as f64
}
