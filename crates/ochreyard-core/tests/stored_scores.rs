//! Scores of requests that outlive a restart of all entries.

use ochreyard_core::direct::{
    Fingerprint, LostRequest, Quarantine, QuarantineDecision, QuarantineUpdate, RequestScore,
};
use rstest::rstest;

/// Run times of requests that crashed endpoints, in milliseconds: soon after the start, and later.
const EARLY_MS: u64 = 50;
const LATE_MS: u64 = 700;
/// How long a crash counts, in milliseconds.
const CRASH_LIFETIME_MS: u64 = 30 * 60 * 1_000;

fn suspect() -> Fingerprint {
    Fingerprint::of(&[b"suspect"])
}

/// Crashes an endpoint after it had run the suspect for `ran_ms`.
fn crash(quarantine: &mut Quarantine, ran_ms: u64, at_ms: u64) {
    let lost = LostRequest { fingerprint: suspect(), ran_ms: Some(ran_ms), parts: Vec::new() };
    quarantine.on_crash(&format!("e{at_ms}"), "tiles", lost, at_ms, at_ms);
}

/// Returns a quarantine after `crashes`, one each second, and the time of the last one.
fn after_crashes(crashes: &[u64]) -> (Quarantine, u64) {
    let mut quarantine = Quarantine::default();
    let times_ms = (1..).map(|second| 1_000 * second);
    crashes.iter().zip(times_ms).for_each(|(ran_ms, at_ms)| crash(&mut quarantine, *ran_ms, at_ms));
    (quarantine, 1_000 * crashes.len() as u64)
}

/// Returns an update as read from the log, with the score of the suspect.
fn stored(quarantine: &Quarantine, now_ms: u64) -> QuarantineUpdate {
    let scores = quarantine.request_score(suspect(), now_ms).into_iter().collect();
    QuarantineUpdate { scores, ..QuarantineUpdate::default() }
}

fn is_refused(quarantine: &Quarantine, now_ms: u64) -> bool {
    matches!(quarantine.decision(suspect(), now_ms), QuarantineDecision::Refuse { .. })
}

/// Only verdicts were kept in the log: after a restart of all entries, a request crashed as many endpoints again before it
/// was refused.
#[rstest]
#[case::soon_after_its_start(&[EARLY_MS; 2], &[EARLY_MS])]
#[case::later(&[LATE_MS; 2], &[LATE_MS; 2])]
#[case::later_and_on_trial(&[LATE_MS; 3], &[LATE_MS])]
#[case::both(&[EARLY_MS, LATE_MS], &[LATE_MS, EARLY_MS])]
fn a_request_is_refused_for_crashes_before_and_after_a_restart(#[case] before: &[u64], #[case] after: &[u64]) {
    let (former, last_ms) = after_crashes(before);
    let mut restarted = Quarantine::default();
    restarted.apply_update(&stored(&former, last_ms + 100), last_ms + 100);
    for (ran_ms, at_ms) in after.iter().zip((1..).map(|second| last_ms + 1_000 * second)) {
        assert!(!is_refused(&restarted, at_ms));
        assert_eq!(restarted.decision(suspect(), at_ms), former_decision(before, after, at_ms));
        crash(&mut restarted, *ran_ms, at_ms);
    }
    assert!(is_refused(&restarted, last_ms + 1_000 * after.len() as u64 + 1));
}

/// Returns the decision of an entry that has seen all crashes until `now_ms`.
fn former_decision(before: &[u64], after: &[u64], now_ms: u64) -> QuarantineDecision {
    let crashes: Vec<u64> = before.iter().chain(after).copied().collect();
    let seen = crashes.iter().zip((1..).map(|second| 1_000 * second)).filter(|(_, at_ms)| *at_ms < now_ms);
    let mut quarantine = Quarantine::default();
    seen.for_each(|(ran_ms, at_ms)| crash(&mut quarantine, *ran_ms, at_ms));
    quarantine.decision(suspect(), now_ms)
}

#[test]
fn one_crash_is_not_stored() {
    let (quarantine, last_ms) = after_crashes(&[EARLY_MS]);
    assert_eq!(quarantine.request_score(suspect(), last_ms), None);
}

#[test]
fn a_stored_score_does_not_count_beside_the_crashes_that_it_includes() {
    let (mut quarantine, last_ms) = after_crashes(&[LATE_MS; 2]);
    // The clock of the box that wrote the score is slow.
    let mut update = stored(&quarantine, last_ms);
    update.scores.iter_mut().for_each(|score| score.age_ms += 300);
    quarantine.apply_update(&update, last_ms + 10);
    assert_eq!(quarantine.decision(suspect(), last_ms + 11), QuarantineDecision::Allow);
    crash(&mut quarantine, LATE_MS, last_ms + 1_000);
    assert_eq!(quarantine.decision(suspect(), last_ms + 1_001), QuarantineDecision::AllowAsTrial);
    crash(&mut quarantine, LATE_MS, last_ms + 2_000);
    assert!(is_refused(&quarantine, last_ms + 2_001));
}

#[test]
fn a_score_is_to_be_stored_once_for_each_crash_that_raises_it() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, LATE_MS, 1_000);
    assert_eq!(quarantine.take_risen_scores().count(), 0);
    for at_ms in [2_000, 3_000] {
        crash(&mut quarantine, LATE_MS, at_ms);
        assert_eq!(quarantine.take_risen_scores().collect::<Vec<_>>(), [suspect()]);
        quarantine.remove_expired(at_ms + 500);
        assert_eq!(quarantine.take_risen_scores().count(), 0);
    }
    let mut restarted = Quarantine::default();
    restarted.apply_update(&stored(&quarantine, 3_500), 3_500);
    assert_eq!(restarted.take_risen_scores().count(), 0);
    assert_eq!(restarted.recorded_requests(3_500), [suspect()]);
}

#[test]
fn a_good_run_clears_a_stored_score_at_all_entries() {
    let (former, last_ms) = after_crashes(&[EARLY_MS; 2]);
    let mut here = Quarantine::default();
    here.apply_update(&stored(&former, last_ms), last_ms);
    assert!(!here.is_empty());
    let mut there = Quarantine::default();
    there.apply_update(&here.update_since(0, last_ms + 10), last_ms + 15);
    assert_eq!(there.decision(suspect(), last_ms + 20), QuarantineDecision::AllowAsTrial);
    let version = here.version();
    assert!(here.on_success(suspect(), last_ms + 100));
    there.apply_update(&here.update_since(version, last_ms + 110), last_ms + 115);
    for entry in [&mut here, &mut there] {
        entry.remove_expired(last_ms + 200);
        assert_eq!(entry.decision(suspect(), last_ms + 200), QuarantineDecision::Allow);
        assert_eq!(entry.request_score(suspect(), last_ms + 200), None);
    }
    // Neither the score nor the clearance circulates.
    let versions = (here.version(), there.version());
    here.apply_update(&there.update_since(0, last_ms + 300), last_ms + 305);
    there.apply_update(&here.update_since(0, last_ms + 310), last_ms + 315);
    assert_eq!((here.version(), there.version()), versions);
    assert_eq!(here.decision(suspect(), last_ms + 320), QuarantineDecision::Allow);
}

#[test]
fn a_request_is_not_refused_again_by_the_score_of_a_quarantine_that_ended() {
    let (mut former, last_ms) = after_crashes(&[EARLY_MS; 3]);
    assert!(is_refused(&former, last_ms + 1));
    let ended_ms = last_ms + 10 * 60 * 1_000;
    former.remove_expired(ended_ms);
    let mut restarted = Quarantine::default();
    restarted.apply_update(&stored(&former, ended_ms), ended_ms);
    assert_eq!(restarted.decision(suspect(), ended_ms), QuarantineDecision::AllowAsTrial);
    crash(&mut restarted, LATE_MS, ended_ms + 1_000);
    assert!(is_refused(&restarted, ended_ms + 1_001));
}

#[test]
fn a_stored_score_expires_with_its_crashes() {
    let mut quarantine = Quarantine::default();
    let score = RequestScore { fingerprint: suspect(), score: 6, age_ms: CRASH_LIFETIME_MS - 1_000 };
    let now_ms = CRASH_LIFETIME_MS;
    quarantine.apply_update(&QuarantineUpdate { scores: vec![score], ..QuarantineUpdate::default() }, now_ms);
    assert_eq!(quarantine.decision(suspect(), now_ms + 999), QuarantineDecision::AllowAsTrial);
    quarantine.remove_expired(now_ms + 1_000);
    assert_eq!(quarantine.decision(suspect(), now_ms + 1_000), QuarantineDecision::Allow);
    assert!(quarantine.is_empty());
}
