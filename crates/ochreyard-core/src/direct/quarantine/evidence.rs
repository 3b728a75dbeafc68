//! What crashes say of the requests that their endpoints had.
//!
//! Each request at an endpoint that crashes may be the cause, or a bystander: where an endpoint runs a dozen at once,
//! eleven of twelve are. A plain count of crashes finds the cause, and with it the bystanders that were unlucky
//! several times. So a crash counts less where many endpoints went down together, and not at all for a request
//! beside which another one was, at that crash, that crashed more endpoints by itself.

use std::collections::{HashMap, HashSet};

use super::crash::Crash;
use crate::direct::Fingerprint;

/// Weight of a crash by itself.
pub const ALONE: u32 = 2;
/// Weight of a crash among several at the same time: a common cause is likelier than a request.
const SHARED: u32 = 1;
/// Endpoints of one service that crash together have a common cause...
const SHARED_ENDPOINTS: usize = 3;
/// ... if it is within this time, in milliseconds: signals of one kill arrive within a few.
const SHARED_MS: u64 = 30;
/// Weight from which a request runs only on trial: two crashes.
pub const TRIAL_WEIGHT: u32 = 2 * ALONE;
/// Weight from which a request is quarantined: three crashes. Two would catch a bystander of two kills, which
/// come by the second on a bad day; four would let it end one more endpoint, with its whole group.
pub const VERDICT_WEIGHT: u32 = 3 * ALONE;

/// What all crashes together say.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// How much speaks against each request.
    pub weights: HashMap<Fingerprint, u32>,
    /// Those that are taken for the cause of their crashes.
    pub guilty: HashSet<Fingerprint>,
}

impl Evidence {
    /// Weighs `crashes`; what was before a request's last good end does not count.
    pub fn weigh(crashes: &[Crash], good_end_ms: impl Fn(Fingerprint) -> Option<u64>) -> Self {
        let weighed: Vec<(u32, Vec<Fingerprint>)> = crashes
            .iter()
            .map(|crash| {
                let counts = |one: &Fingerprint| good_end_ms(*one).is_none_or(|end_ms| end_ms < crash.at_ms);
                (weight(crash, crashes), crash.present.iter().copied().filter(counts).collect())
            })
            .collect();
        let weights = sum(&weighed, |_, _| true);
        let strong: HashSet<Fingerprint> =
            weights.iter().filter(|(_, weight)| **weight >= VERDICT_WEIGHT).map(|(one, _)| *one).collect();
        let guilty = if strong.len() < 2 { strong } else { causes(&weighed, &strong) };
        Self { weights, guilty }
    }
}

fn weight(crash: &Crash, crashes: &[Crash]) -> u32 {
    let together = crashes
        .iter()
        .filter(|other| other.at_ms.abs_diff(crash.at_ms) <= SHARED_MS && other.service == crash.service)
        .count();
    if together >= SHARED_ENDPOINTS { SHARED } else { ALONE }
}

/// The weight of each request over the crashes that `counts` says count for it.
fn sum(
    weighed: &[(u32, Vec<Fingerprint>)],
    counts: impl Fn(Fingerprint, &[Fingerprint]) -> bool,
) -> HashMap<Fingerprint, u32> {
    let mut weights = HashMap::new();
    for (weight, present) in weighed {
        for one in present.iter().filter(|one| counts(**one, present)) {
            *weights.entry(*one).or_insert(0) += weight;
        }
    }
    weights
}

/// Those of the strong suspects whose crashes no stronger one explains.
fn causes(weighed: &[(u32, Vec<Fingerprint>)], strong: &HashSet<Fingerprint>) -> HashSet<Fingerprint> {
    let others = |one: Fingerprint, present: &[Fingerprint]| -> Vec<Fingerprint> {
        present.iter().copied().filter(|other| *other != one && strong.contains(other)).collect()
    };
    // What a request did where no other strong suspect was.
    let by_itself = sum(weighed, |one, present| strong.contains(&one) && others(one, present).is_empty());
    let alone = |one: &Fingerprint| by_itself.get(one).copied().unwrap_or(0);
    let unexplained = sum(weighed, |one, present| {
        strong.contains(&one) && others(one, present).iter().all(|other| alone(other) <= alone(&one))
    });
    strong.iter().copied().filter(|one| unexplained.get(one).copied().unwrap_or(0) >= VERDICT_WEIGHT).collect()
}
