//! The fleet that is modelled: data centres, boxes, and how often they do what.

use std::net::SocketAddr;

/// The time in which an endpoint that leaves must get no more work, in milliseconds.
pub const LEAVING_KNOWN_MS: u64 = 5_000;
/// The model's steps, in milliseconds.
pub const STEP_MS: u64 = 50;
/// How often a box asks others, in milliseconds.
pub const ASK_EVERY_MS: u64 = 400;
/// How long a box leaves the log to others after its start, drawn from this range, in milliseconds.
pub const LEFT_TO_OTHERS_MS: std::ops::RangeInclusive<u64> = 1_000..=2_000;
/// Within this time boxes that have learned that the log came back from a copy read it again, in milliseconds.
pub const READ_AGAIN_MS: u64 = 400;
/// How long boxes that the platform names are asked now and then, in milliseconds.
pub const SEEDS_ASKED_MS: u64 = 10_000;
/// How often a box that reads, and one that relays, lists all boxes, in milliseconds.
pub const LIST_EVERY_MS: (u64, u64) = (8_000, 60_000);
/// Data centres, and boxes that the platform names.
pub const DATA_CENTRES: usize = 5;
pub const SEEDS: usize = 3;
/// When the trouble begins and ends, and when the record is written that all are to know, in milliseconds.
pub const TROUBLE_MS: (u64, u64) = (10_000, 19_000);
pub const WRITTEN_MS: u64 = 15_000;
/// How far the log's positions go back when it returns from a copy, in milliseconds of writing.
pub const COPY_AGE_MS: u64 = 4_000;

/// Where a box is reached.
pub fn addr(at: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (at / 250) as u8, (at % 250) as u8], 7_340))
}

/// The name of a box.
pub fn name(at: usize) -> String {
    format!("box-{at}")
}

/// The data centre of a box.
pub fn data_centre(at: usize) -> String {
    format!("hall-{}", at % DATA_CENTRES)
}
