//! Identity of requests across attempts.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of a fingerprint: half of the SHA-256 digest. Finding a collision takes about 2^64 attempts.
const BYTES: usize = 16;

/// A digest of a request and of its sender.
///
/// Each attempt of a caller has its own identifier, so only the contents show that a request is repeated. The workspace
/// is part of the digest, so that no caller can create a request that is taken for one of another workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Fingerprint([u8; BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a request from its parts, in order.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut digest = Sha256::new();
        for part in parts {
            // Without the lengths, bytes could move from one part to the next without changing the digest.
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&digest.finalize()[..BYTES]);
        Self(bytes)
    }
}

impl Fingerprint {
    /// Returns the first eight bytes as a uniformly distributed number.
    #[must_use]
    pub fn to_u64(self) -> u64 {
        self.0[..size_of::<u64>()].iter().fold(0, |number, byte| number << 8 | u64::from(*byte))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// The error for a text that is not a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a fingerprint has 32 hexadecimal digits")]
pub struct ParseFingerprintError;

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.as_bytes();
        if digits.len() != 2 * BYTES || !digits.iter().all(u8::is_ascii_hexdigit) {
            return Err(ParseFingerprintError);
        }
        let mut bytes = [0; BYTES];
        for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
            let pair = std::str::from_utf8(pair).map_err(|_| ParseFingerprintError)?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| ParseFingerprintError)?;
        }
        Ok(Self(bytes))
    }
}

impl From<Fingerprint> for String {
    fn from(fingerprint: Fingerprint) -> Self {
        fingerprint.to_string()
    }
}

impl TryFrom<String> for Fingerprint {
    type Error = ParseFingerprintError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}
