//! What is claimed about a run is never more than what is known.

use ochreyard_core::dispatch::{Dispatch, MAX_ATTEMPTS, RetryDecision};
use ochreyard_core::error_kind::{ErrorKind, Refusal, Retry, RunStatus};
use ochreyard_core::retry::RetryBudget;
use proptest::prelude::*;
use rstest::rstest;

fn any_kind() -> impl Strategy<Value = ErrorKind> {
    prop::sample::select(ErrorKind::ALL)
}

#[test]
fn every_kind_has_a_name_of_its_own_and_an_answer() {
    for kind in ErrorKind::ALL {
        assert_eq!(ErrorKind::from_name(kind.as_str()), Some(*kind));
        let rule = kind.rule();
        assert!((400..600).contains(&rule.status), "{kind}");
        // Only what surely did not run may go elsewhere as a matter of course.
        assert!(rule.retry != Retry::Elsewhere || rule.run == RunStatus::NotRun, "{kind}");
        assert!(rule.status != 503 || rule.retry_after_ms > 0, "{kind} must say when to come back");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_request_goes_on_only_if_that_cannot_double_it(
        repeatable: bool,
        keyed: bool,
        failures in prop::collection::vec((any_kind(), any::<bool>()), 1..8),
    ) {
        let repeatable = repeatable && !keyed;
        let mut dispatch = Dispatch::new(repeatable, keyed, 1_000);
        let mut budget = RetryBudget::new(100, 100);
        let mut may_have_run = false;
        for (at, (kind, weaker)) in failures.into_iter().enumerate() {
            dispatch.begin(&format!("e{at}").into());
            let mut refusal = Refusal::new(kind);
            if weaker {
                refusal = refusal.with_run(RunStatus::MayHaveRun);
            }
            may_have_run |= refusal.run != RunStatus::NotRun;
            match dispatch.on_failure(refusal, &mut budget, 10) {
                RetryDecision::RetryElsewhere => {
                    prop_assert!(!keyed, "a key has one home");
                    prop_assert!(repeatable || !may_have_run, "{kind} could run twice");
                    prop_assert!(at + 1 < MAX_ATTEMPTS as usize);
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
fn nothing_is_tried_again_once_part_of_the_answer_is_out() {
    let mut dispatch = Dispatch::new(true, false, 1_000);
    dispatch.begin(&"e".into());
    dispatch.on_answer_started();
    let next = dispatch.on_failure(ErrorKind::ConnectionLost.into(), &mut RetryBudget::default(), 1);
    assert!(matches!(next, RetryDecision::GiveUp(_)));
}

#[rstest]
#[case::overload(ErrorKind::Overloaded, false)]
#[case::leaving(ErrorKind::Leaving, true)]
fn a_spent_budget_stops_retries_but_not_the_way_around_a_leaving_endpoint(
    #[case] kind: ErrorKind,
    #[case] goes_on: bool,
) {
    let mut budget = RetryBudget::new(0, 0);
    let mut dispatch = Dispatch::new(true, false, 1_000);
    dispatch.begin(&"e".into());
    let next = dispatch.on_failure(kind.into(), &mut budget, 1);
    assert_eq!(next == RetryDecision::RetryElsewhere, goes_on);
}

#[test]
fn a_budget_gives_a_share_of_the_requests_and_no_more() {
    let mut budget = RetryBudget::new(100, 5);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.on_request();
        retries += u32::from(budget.try_take());
    }
    assert!((100..=105).contains(&retries), "{retries}");
}

#[test]
fn without_any_attempt_a_key_is_not_said_to_be_not_run() {
    let keyed = Dispatch::new(false, true, 1_000);
    assert_eq!(keyed.give_up(None).run, RunStatus::MayHaveRun);
    let plain = Dispatch::new(false, false, 1_000);
    assert_eq!(plain.give_up(None).run, RunStatus::NotRun);
}
