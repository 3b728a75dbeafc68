//! Retries that count until the abandoned attempt of their request has arrived.

use ochreyard_core::direct::{AbandonedAttempt, EndpointIncarnation, RetryBudgetLimits, SharedRetryBudget, TakenRetry};

const LIMITS: RetryBudgetLimits = RetryBudgetLimits { ratio: 0.0, fixed: 40, window_ms: 10_000 };
const SERVICE: &str = "s";
/// Later than a window after the start of the process, so that it has its reserve.
const START_MS: u64 = 20_000;

fn incarnation(id: &str, started_ms: u64) -> EndpointIncarnation {
    EndpointIncarnation { id: id.to_owned(), started_ms }
}

fn budget() -> SharedRetryBudget {
    let mut budget = SharedRetryBudget::new(LIMITS, 1, 0);
    budget.on_request(SERVICE, START_MS);
    budget
}

fn abandoned(id: &str, now_ms: u64) -> AbandonedAttempt {
    AbandonedAttempt { endpoint: incarnation(id, 1), sent_ms: now_ms - 750, abandoned_ms: now_ms }
}

/// Takes a retry and holds it for an attempt that was abandoned at the endpoint `id`.
fn take_and_hold(budget: &mut SharedRetryBudget, id: &str, now_ms: u64) -> TakenRetry {
    let mut retry = budget.try_take(SERVICE, now_ms).expect("a retry is left");
    budget.hold(SERVICE, &mut retry, abandoned(id, now_ms), now_ms);
    retry
}

fn counted(budget: &SharedRetryBudget, now_ms: u64) -> (u64, u64) {
    let usage = budget.usage(SERVICE, now_ms);
    (usage.retries, usage.held)
}

/// Guards against a retry that leaves the window before the abandoned attempt has arrived.
#[test]
fn a_held_retry_counts_until_one_window_after_its_endpoint_goes_on() {
    let mut budget = budget();
    take_and_hold(&mut budget, "e", START_MS);
    assert_eq!(counted(&budget, START_MS + 15_000), (1, 1));
    let answered_ms = START_MS + 15_000;
    assert_eq!(budget.on_answered(SERVICE, &incarnation("e", 1), answered_ms - 10, answered_ms), 1);
    assert_eq!(counted(&budget, answered_ms + 9_900), (1, 0));
    assert_eq!(counted(&budget, answered_ms + 11_000), (0, 0));
}

/// Guards against counting a held retry twice within a window.
#[test]
fn a_retry_that_is_held_for_two_attempts_counts_once() {
    let mut budget = budget();
    let mut retry = take_and_hold(&mut budget, "e", START_MS);
    budget.hold(SERVICE, &mut retry, abandoned("f", START_MS + 800), START_MS + 800);
    assert_eq!(counted(&budget, START_MS + 800), (1, 1));
    assert_eq!(budget.on_answered(SERVICE, &incarnation("e", 1), START_MS, START_MS + 900), 0);
    assert_eq!(budget.on_answered(SERVICE, &incarnation("f", 1), START_MS + 800, START_MS + 900), 1);
}

#[test]
fn answers_to_earlier_requests_and_of_other_endpoints_settle_nothing() {
    let mut budget = budget();
    take_and_hold(&mut budget, "e", START_MS);
    for (endpoint, sent_ms) in [(incarnation("e", 1), START_MS - 751), (incarnation("f", 1), START_MS)] {
        assert_eq!(budget.on_answered(SERVICE, &endpoint, sent_ms, START_MS + 1_000), 0);
    }
}

/// Guards against a budget that stays used up by endpoints that never come back.
#[test]
fn a_held_retry_is_released_by_a_restart_of_its_endpoint_and_by_age() {
    let mut budget = budget();
    take_and_hold(&mut budget, "e", START_MS);
    take_and_hold(&mut budget, "f", START_MS);
    budget.on_restarted(SERVICE, "e", 1, START_MS + 1_000);
    assert_eq!(counted(&budget, START_MS + 1_000), (2, 2));
    budget.on_restarted(SERVICE, "e", 2, START_MS + 1_000);
    assert_eq!(counted(&budget, START_MS + 1_000), (2, 1));
    budget.expire_held(START_MS + 31_000);
    assert_eq!(counted(&budget, START_MS + 31_000), (0, 0));
}

/// Guards against an allowance that is held entirely: it arrives later, when callers may send fewer requests.
#[test]
fn half_of_the_allowance_can_be_held() {
    let mut budget = budget();
    let mut held = 0;
    for now_ms in (START_MS..START_MS + 60_000).step_by(100) {
        budget.on_request(SERVICE, now_ms);
        if budget.has_holdable_retry(SERVICE, now_ms) {
            take_and_hold(&mut budget, "e", now_ms);
            held += 1;
        }
    }
    assert_eq!(held, LIMITS.fixed / 2);
    assert!(budget.has_retry(SERVICE, START_MS + 60_000));
}
