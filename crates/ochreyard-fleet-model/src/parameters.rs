//! Parameters of the simulated fleet: data centres, boxes, intervals and the times of faults.

use std::net::SocketAddr;

/// Time after which a leaving endpoint must get no more requests, in milliseconds.
pub const LEAVE_PROPAGATION_MS: u64 = 5_000;
/// Step of the virtual time, in milliseconds.
pub const STEP_MS: u64 = 50;
/// Interval at which a box polls other boxes, in milliseconds.
pub const POLL_INTERVAL_MS: u64 = 400;
/// Range of the random time for which a box leaves reading the log to other boxes after its start, in milliseconds.
pub const STARTUP_LOG_DELAY_MS: std::ops::RangeInclusive<u64> = 1_000..=2_000;
/// Upper bound of the random delay with which a box reads the log again after learning that it was restored from a
/// copy, in milliseconds.
pub const REREAD_SPREAD_MS: u64 = 400;
/// Time after its start for which a box also polls seed boxes, in milliseconds.
pub const SEED_POLLING_MS: u64 = 10_000;
/// Intervals at which a reader and a relay read the list of all boxes, in milliseconds.
pub const LIST_INTERVALS_MS: (u64, u64) = (8_000, 60_000);
/// Interval at which a reader reads the list of all boxes while it lacks boxes, in milliseconds.
pub const GROWING_LIST_INTERVAL_MS: u64 = 2_000;
/// Number of data centres.
pub const DATA_CENTRES: usize = 5;
/// Number of seed boxes, whose addresses the platform gives to every box.
pub const SEED_BOXES: usize = 3;
/// When the fault begins and ends, in milliseconds after the start of the run.
pub const FAULT_WINDOW_MS: (u64, u64) = (10_000, 19_000);
/// When the record whose propagation is measured is written, in milliseconds after the start of the run.
pub const RECORD_WRITTEN_MS: u64 = 15_000;
/// How far the log's positions go back when it is restored from a copy, in milliseconds of writing.
pub const RESTORED_COPY_AGE_MS: u64 = 4_000;

/// Returns the address of a box.
pub fn addr(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (index / 250) as u8, (index % 250) as u8], 7_340))
}

/// Returns the name of a box.
pub fn name(index: usize) -> String {
    format!("box-{index}")
}

/// Returns the name of the data centre of a box.
pub fn data_centre(index: usize) -> String {
    format!("hall-{}", index % DATA_CENTRES)
}
