//! What crashes say of the requests that their endpoints had.
//!
//! Each request at an endpoint that crashes may be the cause, or a bystander: where an endpoint runs a dozen at once,
//! eleven of twelve are. What tells them apart is when they began to run: what crashes an endpoint does so soon, while a
//! bystander may be anywhere in a run of seconds. So a crash counts less against a request that had run for long, or had
//! not begun, and least where several endpoints went down together. Measured by the model (test `quarantine_model`) with
//! an endpoint killed every 4 s, and with twenty such requests at once; the table is in docs/design/crashing-requests.md.

use std::collections::HashMap;

use super::crash::Crash;
use crate::direct::Fingerprint;

/// How soon after the start of its run a request counts as the likely cause of a crash, in milliseconds. Crashes that
/// were traced came 40 to 110 ms after it; healthy runs take one to three seconds.
const SOON_MS: u64 = 500;
/// Weight of a crash soon after the request began to run.
const SOON: u32 = 3;
/// Weight of a crash at another time.
const OTHER: u32 = 2;
/// Weight of a crash among several at the same time: a common cause is likelier than a request.
const SHARED: u32 = 1;
/// Endpoints of one service that crash together have a common cause...
const SHARED_ENDPOINTS: usize = 3;
/// ... if it is within this time, in milliseconds: signals of one kill arrive within a few.
const SHARED_MS: u64 = 30;
/// Weight from which a request runs only on trial: two crashes, one of them soon.
pub const TRIAL_WEIGHT: u32 = SOON + OTHER;
/// Weight from which a request is quarantined: three crashes soon after its start, or four in all.
pub const VERDICT_WEIGHT: u32 = 4 * OTHER;

/// How much speaks against each request; what was before its last good end does not count.
pub fn weigh(crashes: &[Crash], good_end_ms: impl Fn(Fingerprint) -> Option<u64>) -> HashMap<Fingerprint, u32> {
    let mut weights = HashMap::new();
    for crash in crashes {
        let is_shared = is_shared(crash, crashes);
        let counts = |one: &Fingerprint| good_end_ms(*one).is_none_or(|end_ms| end_ms < crash.at_ms);
        for (fingerprint, ran_ms) in crash.present.iter().filter(|(one, _)| counts(one)) {
            *weights.entry(*fingerprint).or_insert(0) += weight(is_shared, *ran_ms);
        }
    }
    weights
}

const fn weight(is_shared: bool, ran_ms: Option<u64>) -> u32 {
    match ran_ms {
        _ if is_shared => SHARED,
        Some(ran_ms) if ran_ms <= SOON_MS => SOON,
        _ => OTHER,
    }
}

fn is_shared(crash: &Crash, crashes: &[Crash]) -> bool {
    let together =
        crashes.iter().filter(|other| other.at_ms.abs_diff(crash.at_ms) <= SHARED_MS && other.service == crash.service);
    together.count() >= SHARED_ENDPOINTS
}
