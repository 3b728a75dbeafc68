//! Whether a part was present at more crashes than chance explains.
//!
//! A part that crashes endpoints in some of its runs has good runs, too. What distinguishes it from a bystander is how often
//! it is present: a bystander is at a crash by chance, according to its share of the requests. Each crash, from the oldest
//! to the latest, shifts a cumulative sum by the evidence in its presence or absence, in bits.

use std::collections::BTreeSet;

use super::crash::Crash;

/// Share of the crashes at which a cause is expected to be present. Something else may have crashed the rest.
const CAUSE_PRESENCE: f64 = 0.9;
/// Largest evidence in one crash, in bits, so that one does not suffice.
const MAX_BITS: f64 = 3.0;
/// Evidence from which chance does not explain the presences, in bits.
pub const MIN_EVIDENCE_BITS: f64 = 6.0;

/// The crashes in the order of their times.
#[derive(Debug)]
pub struct Recurrence<'a> {
    crashes: &'a [Crash],
    order: Vec<usize>,
}

impl<'a> Recurrence<'a> {
    /// Prepares crashes. Endpoints that crash together count one by one, since chance decides at each of them which parts it
    /// runs.
    pub fn new(crashes: &'a [Crash]) -> Self {
        let mut order: Vec<usize> = (0..crashes.len()).collect();
        order.sort_by_key(|index| crashes[*index].at_ms);
        Self { crashes, order }
    }

    /// Returns the evidence that a part was present at these crashes (in ascending order) more often than chance explains. This
    /// share of all requests names the part.
    pub fn evidence_bits(&self, present_at: &[usize], share: f64) -> f64 {
        if present_at.len() < 2 {
            return 0.0;
        }
        let services: BTreeSet<&str> = present_at.iter().map(|index| self.crashes[*index].service.as_str()).collect();
        let counted = self.order.iter().filter(|index| services.contains(self.crashes[**index].service.as_str()));
        counted.fold(0.0_f64, |sum, index| {
            let is_present = present_at.binary_search(index).is_ok();
            (sum + evidence_bits(is_present, share, self.crashes[*index].candidates().count())).max(0.0)
        })
    }
}

/// Returns the evidence that a part is a cause, in its presence or absence at a crash with this many requests.
fn evidence_bits(is_present: bool, share: f64, requests: usize) -> f64 {
    let by_chance = 1.0 - (1.0 - share).powi(i32::try_from(requests).unwrap_or(i32::MAX));
    if by_chance >= CAUSE_PRESENCE {
        return 0.0;
    }
    let ratio = if is_present { CAUSE_PRESENCE / by_chance } else { (1.0 - CAUSE_PRESENCE) / (1.0 - by_chance) };
    ratio.log2().min(MAX_BITS)
}
