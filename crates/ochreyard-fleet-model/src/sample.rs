//! The measured figures of one run.

use serde::Serialize;

use crate::fault::Fault;
use crate::fleet::Fleet;
use crate::propagation_times::PropagationTimes;
use crate::traffic::Traffic;

/// Length of a run, in milliseconds of virtual time.
pub const RUN_MS: u64 = 30_000;
/// Length of the startup phase at the beginning of a run, in milliseconds of virtual time.
pub const STARTUP_MS: u64 = 6_000;

/// The figures of one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Sample {
    /// Number of boxes in the fleet.
    pub boxes: usize,
    /// The injected fault.
    #[serde(rename = "trouble")]
    pub fault: Fault,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The traffic in the first [`STARTUP_MS`].
    #[serde(rename = "start")]
    pub startup: Traffic,
    /// The traffic in the whole of [`RUN_MS`].
    #[serde(rename = "whole")]
    pub total: Traffic,
    /// Number of polls that the busiest box answered.
    #[serde(rename = "most_questions")]
    pub max_answered_polls: u64,
    /// Bytes of answers that the median box sent after the startup phase.
    #[serde(rename = "middle_bytes")]
    pub median_bytes: u64,
    /// Bytes of answers that the busiest box sent after the startup phase.
    #[serde(rename = "most_bytes")]
    pub max_bytes: u64,
    /// How long the boxes took to learn of a record.
    #[serde(rename = "known_after")]
    pub propagation_times: PropagationTimes,
}

impl Sample {
    /// Simulates one run.
    #[must_use]
    pub fn run(boxes: usize, fault: Fault, seed: u64) -> Self {
        let mut fleet = Fleet::new(boxes, fault, seed);
        fleet.run_until(STARTUP_MS);
        let startup = fleet.traffic();
        let startup_bytes = fleet.answered_bytes().to_vec();
        fleet.run_until(RUN_MS);
        let mut bytes: Vec<u64> =
            fleet.answered_bytes().iter().zip(&startup_bytes).map(|(total, startup)| total - startup).collect();
        bytes.sort_unstable();
        Self {
            boxes,
            fault,
            seed,
            startup,
            total: fleet.traffic(),
            max_answered_polls: fleet.max_answered_polls(),
            median_bytes: bytes[bytes.len() / 2],
            max_bytes: bytes[bytes.len() - 1],
            propagation_times: fleet.propagation_times(),
        }
    }

    /// Returns the calls to the log per minute after the startup phase.
    #[must_use]
    pub fn calls_per_minute(&self) -> f64 {
        (self.total.calls() - self.startup.calls()) as f64 * 60_000.0 / (RUN_MS - STARTUP_MS) as f64
    }

    /// Returns the bytes of answers per second that the median box sent after the startup phase.
    #[must_use]
    pub fn median_bytes_per_second(&self) -> f64 {
        per_second(self.median_bytes)
    }

    /// Returns the bytes of answers per second that the busiest box sent after the startup phase.
    #[must_use]
    pub fn max_bytes_per_second(&self) -> f64 {
        per_second(self.max_bytes)
    }
}

fn per_second(bytes: u64) -> f64 {
    bytes as f64 * 1_000.0 / (RUN_MS - STARTUP_MS) as f64
}
