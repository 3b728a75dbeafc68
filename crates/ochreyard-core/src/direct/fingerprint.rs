//! What makes two attempts the same request.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of a fingerprint: half of the digest, which leaves a collision to be found by 2^64 tries.
const BYTES: usize = 16;

/// A digest of who sends a request, and of what is sent.
///
/// Each attempt of a caller has an identifier of its own, so only the contents tell that a request
/// comes again. The workspace is part of it: nobody can make a request that is taken for that of another workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Fingerprint([u8; BYTES]);

impl Fingerprint {
    /// The fingerprint of a request's parts, in their order.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut digest = Sha256::new();
        for part in parts {
            // Without its length, the end of one part could pass for the start of the next.
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&digest.finalize()[..BYTES]);
        Self(bytes)
    }
}

impl Fingerprint {
    /// A part of it as a number: as evenly spread.
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

/// A text that is no fingerprint.
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
