//! Hash functions whose results are the same in every process and version.
//!
//! The 64-bit hashes distribute keys; they do not protect against forgery.

use sha2::{Digest, Sha256};

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// FNV-1a over bytes, continued from `state`.
#[must_use]
pub fn fnv1a_from(state: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(state, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// FNV-1a over bytes.
#[must_use]
pub fn fnv1a(bytes: &[u8]) -> u64 {
    fnv1a_from(FNV_OFFSET, bytes)
}

/// Mixes a number so that each input bit reaches each output bit (SplitMix64).
#[must_use]
pub const fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// SHA-256 hash of a secret in lower-case hexadecimal, which the configuration stores instead of the secret.
#[must_use]
pub fn sha256_hex(secret: &str) -> String {
    Sha256::digest(secret.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}
