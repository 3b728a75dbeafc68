//! Scores of requests by the crashes at which they were present.
//!
//! Each request at a crashed endpoint may be the cause or a bystander. If the endpoint ran a dozen requests, eleven of
//! them are bystanders. The start times distinguish them: a request that crashes an endpoint does so soon after it
//! starts, while a bystander may be anywhere in a run of several seconds. A crash therefore scores less for a request
//! that had been running for long or had not started, and least if several endpoints crashed together. The
//! `quarantine_model` test compares such rules with one endpoint killed every 4 s and with twenty crashing requests at
//! once; the results are in docs/design/crashing-requests.md.

use std::collections::HashMap;

use super::crash::Crash;
use crate::direct::Fingerprint;

/// Returns whether a run of this age has got past the time at which most requests that crash their endpoints do so.
#[must_use]
pub const fn is_past_start(ran_ms: u64) -> bool {
    ran_ms > EARLY_MS
}

/// Returns whether a run of this age is good, although its answer is not whole yet.
#[must_use]
pub const fn is_long_run(ran_ms: u64) -> bool {
    ran_ms > LONG_RUN_MS
}

/// Age from which a run is good, in milliseconds. Some answers take minutes, and the parts of their prompts must not remain
/// suspected for as long.
const LONG_RUN_MS: u64 = 3_000;

/// How soon after its start a request counts as the likely cause of a crash, in milliseconds. Traced crashes happened
/// 40 to 110 ms after the start; healthy runs take one to three seconds.
pub const EARLY_MS: u64 = 500;
/// Score of a crash soon after the request started.
pub const EARLY_SCORE: u32 = 3;
/// Score of a crash at another time.
pub const OTHER_SCORE: u32 = 2;
/// Score of a crash among several at the same time, where a common cause is more likely than a request.
pub const SHARED_SCORE: u32 = 1;
/// Crashes of this many endpoints of one service are attributed to a common cause...
pub const SHARED_ENDPOINTS: usize = 3;
/// ... if they happen within this time, in milliseconds. The signals of one kill arrive within a few milliseconds.
pub const SHARED_WINDOW_MS: u64 = 30;
/// Score from which a request runs only as a trial: two crashes, one of them soon after its start.
pub const TRIAL_SCORE: u32 = EARLY_SCORE + OTHER_SCORE;
/// Score from which a request is quarantined: three crashes soon after its start, or four crashes in all.
pub const QUARANTINE_SCORE: u32 = 4 * OTHER_SCORE;

/// Returns the score of each request. Crashes before the last success of a request do not count, nor do those that a
/// prompt part explains.
pub fn score_requests(
    crashes: &[Crash],
    is_explained: impl Fn(&Crash) -> bool,
    last_success_ms: impl Fn(Fingerprint) -> Option<u64>,
) -> HashMap<Fingerprint, u32> {
    let mut scores = HashMap::new();
    for crash in crashes.iter().filter(|crash| !is_explained(crash)) {
        let is_shared = is_shared(crash, crashes);
        let is_counted =
            |fingerprint: &Fingerprint| last_success_ms(*fingerprint).is_none_or(|success_ms| success_ms < crash.at_ms);
        for (fingerprint, request) in crash.present.iter().filter(|(fingerprint, _)| is_counted(fingerprint)) {
            *scores.entry(*fingerprint).or_insert(0) += score(is_shared, request.ran_ms);
        }
    }
    scores
}

const fn score(is_shared: bool, ran_ms: Option<u64>) -> u32 {
    match ran_ms {
        _ if is_shared => SHARED_SCORE,
        Some(ran_ms) if ran_ms <= EARLY_MS => EARLY_SCORE,
        _ => OTHER_SCORE,
    }
}

fn is_shared(crash: &Crash, crashes: &[Crash]) -> bool {
    let together = crashes
        .iter()
        .filter(|other| other.at_ms.abs_diff(crash.at_ms) <= SHARED_WINDOW_MS && other.service == crash.service);
    together.count() >= SHARED_ENDPOINTS
}
