//! What a rank's requests have chosen since the last telling, in one byte an expert.
//!
//! A leader asks dozens of ranks several times a second for more than a thousand
//! counts each, over links of a few megabits a second. Only the proportions
//! matter to a plan, so counts are told in a common unit.

use base64::Engine;
use base64::prelude::BASE64_STANDARD_NO_PAD;
use serde::{Deserialize, Serialize};

/// Counts by set and expert, each as a multiple of one unit.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SelectionCounts {
    /// What one step of a count stands for.
    unit: u64,
    /// The multiples, one byte an expert, in base64.
    multiples: String,
}

impl SelectionCounts {
    /// Counts rounded to the smallest unit in which the largest one fits a byte.
    #[must_use]
    pub fn new(chosen: &[u64]) -> Self {
        let most = chosen.iter().copied().max().unwrap_or(0);
        let unit = most.div_ceil(u64::from(u8::MAX)).max(1);
        let rounded = |count: &u64| u8::try_from((count + unit / 2) / unit).unwrap_or(u8::MAX);
        let multiples: Vec<u8> = chosen.iter().map(rounded).collect();
        Self { unit, multiples: BASE64_STANDARD_NO_PAD.encode(multiples) }
    }

    /// Adds the counts to `sums`, which takes their length if it is empty. Counts
    /// that cannot be read, or of another length, add nothing; `false` says so.
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
