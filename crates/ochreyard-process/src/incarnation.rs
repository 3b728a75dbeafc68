//! A number for the life of a process.

use std::hash::{BuildHasher, Hasher, RandomState};
use std::time::{SystemTime, UNIX_EPOCH};

/// A number that no other life of any box has: random bits of the system, the
/// name of the box and the time. The time alone is not enough, since many boxes
/// start in the same microsecond.
#[must_use]
pub fn new_incarnation(name: &str) -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write(name.as_bytes());
    hasher.write_u32(std::process::id());
    hasher.write_u128(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos());
    hasher.finish()
}
