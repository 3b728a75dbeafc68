//! Incarnations of processes.

use std::hash::{BuildHasher, Hasher, RandomState};
use std::time::{SystemTime, UNIX_EPOCH};

/// Returns an incarnation that no other process of any box has. It is a hash of random bits of the system, the name of
/// the box, the process ID and the time. The time alone is not unique, since many boxes start in the same microsecond.
#[must_use]
pub fn new_incarnation(box_name: &str) -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write(box_name.as_bytes());
    hasher.write_u32(std::process::id());
    hasher.write_u128(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos());
    hasher.finish()
}
