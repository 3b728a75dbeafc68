//! An answer never claims more about whether a request ran than is known.

use ochreyard_core::dispatch::{Dispatch, MAX_ATTEMPTS, RetryDecision};
use ochreyard_core::error_kind::{ErrorKind, Refusal, Retry, RunStatus};
use ochreyard_core::retry::RetryBudget;
use proptest::prelude::*;
use rstest::rstest;

fn any_kind() -> impl Strategy<Value = ErrorKind> {
    prop::sample::select(ErrorKind::ALL)
}

#[test]
fn every_kind_has_a_unique_name_and_a_valid_answer() {
    for kind in ErrorKind::ALL {
        assert_eq!(ErrorKind::from_name(kind.as_str()), Some(*kind));
        let rule = kind.rule();
        assert!((400..600).contains(&rule.status), "{kind}");
        // Only a request that certainly did not run may be retried elsewhere unconditionally.
        assert!(rule.retry != Retry::Elsewhere || rule.run == RunStatus::NotRun, "{kind}");
        assert!(rule.status != 503 || rule.retry_after_ms > 0, "{kind} must say when to retry");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_request_is_retried_only_if_it_cannot_run_twice(
        repeatable: bool,
        has_key: bool,
        failures in prop::collection::vec((any_kind(), any::<bool>()), 1..8),
    ) {
        let repeatable = repeatable && !has_key;
        let mut dispatch = Dispatch::new(repeatable, has_key, 1_000);
        let mut budget = RetryBudget::new(100, 100);
        let mut may_have_run = false;
        for (index, (kind, weakens_claim)) in failures.into_iter().enumerate() {
            dispatch.begin(&format!("e{index}").into());
            let mut refusal = Refusal::new(kind);
            if weakens_claim {
                refusal = refusal.with_run(RunStatus::MayHaveRun);
            }
            may_have_run |= refusal.run != RunStatus::NotRun;
            match dispatch.on_failure(refusal, &mut budget, 10) {
                RetryDecision::RetryElsewhere => {
                    prop_assert!(!has_key, "a key may only run at its home");
                    prop_assert!(repeatable || !may_have_run, "{kind} could run twice");
                    prop_assert!(index + 1 < MAX_ATTEMPTS as usize);
                }
                RetryDecision::GiveUp(answer) => {
                    prop_assert!(answer.run != RunStatus::NotRun || !may_have_run, "{kind} claims too much");
                    break;
                }
            }
        }
    }
}

#[test]
fn a_request_is_not_retried_once_part_of_the_answer_was_forwarded() {
    let mut dispatch = Dispatch::new(true, false, 1_000);
    dispatch.begin(&"e".into());
    dispatch.on_answer_started();
    let next = dispatch.on_failure(ErrorKind::ConnectionLost.into(), &mut RetryBudget::default(), 1);
    assert!(matches!(next, RetryDecision::GiveUp(_)));
}

#[rstest]
#[case::overload(ErrorKind::Overloaded, false)]
#[case::leaving(ErrorKind::Leaving, true)]
fn an_exhausted_budget_stops_retries_except_after_a_leaving_endpoint(#[case] kind: ErrorKind, #[case] retries: bool) {
    let mut budget = RetryBudget::new(0, 0);
    let mut dispatch = Dispatch::new(true, false, 1_000);
    dispatch.begin(&"e".into());
    let next = dispatch.on_failure(kind.into(), &mut budget, 1);
    assert_eq!(next == RetryDecision::RetryElsewhere, retries);
}

#[test]
fn a_budget_allows_retries_for_a_share_of_the_requests() {
    let mut budget = RetryBudget::new(100, 5);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.on_request();
        retries += u32::from(budget.try_take());
    }
    assert!((100..=105).contains(&retries), "{retries}");
}

#[test]
fn without_any_attempt_a_request_with_a_key_is_not_reported_as_not_run() {
    let with_key = Dispatch::new(false, true, 1_000);
    assert_eq!(with_key.give_up(None).run, RunStatus::MayHaveRun);
    let without_key = Dispatch::new(false, false, 1_000);
    assert_eq!(without_key.give_up(None).run, RunStatus::NotRun);
}
