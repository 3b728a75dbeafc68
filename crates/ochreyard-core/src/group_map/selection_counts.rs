//! How often a rank's requests selected each expert since its last report, at one byte per expert.
//!
//! A leader asks dozens of ranks several times a second for more than a thousand
//! counts each, over links of a few megabits a second. Only the proportions
//! matter to a plan, so the counts are quantized to a common unit.

use base64::Engine;
use base64::prelude::BASE64_STANDARD_NO_PAD;
use serde::{Deserialize, Serialize};

/// Selection counts by set and expert, each as a multiple of one unit.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SelectionCounts {
    /// Number of selections that a multiple of 1 represents.
    unit: u64,
    /// The multiples, one byte per expert, in base64.
    multiples: String,
}

impl SelectionCounts {
    /// Rounds `selections` to the smallest unit in which the largest count fits into a byte.
    #[must_use]
    pub fn new(selections: &[u64]) -> Self {
        let max_count = selections.iter().copied().max().unwrap_or(0);
        let unit = max_count.div_ceil(u64::from(u8::MAX)).max(1);
        let quantize = |count: &u64| u8::try_from((count + unit / 2) / unit).unwrap_or(u8::MAX);
        let multiples: Vec<u8> = selections.iter().map(quantize).collect();
        Self { unit, multiples: BASE64_STANDARD_NO_PAD.encode(multiples) }
    }

    /// The number of bytes that the counts take in a message.
    #[must_use]
    pub const fn encoded_bytes(&self) -> usize {
        self.multiples.len()
    }

    /// Adds the counts to `sums`, which is resized to their number if it is empty. Returns
    /// `false`, and adds nothing, if the counts cannot be decoded or their number differs.
    pub fn add_to(&self, sums: &mut Vec<f64>) -> bool {
        let Ok(multiples) = BASE64_STANDARD_NO_PAD.decode(&self.multiples) else { return false };
        if sums.is_empty() {
            sums.resize(multiples.len(), 0.0);
        }
        if sums.len() != multiples.len() {
            return false;
        }
        let unit = self.unit as f64;
        sums.iter_mut().zip(multiples).for_each(|(sum, multiple)| *sum += unit * f64::from(multiple));
        true
    }
}
