//! Some places stay free for workspaces that use few of them.

use ochreyard_core::admission::{FairQueue, Offer, SlotShares, Waiting};
use ochreyard_core::ids::{AttemptId, Incarnation};
use rstest::rstest;

fn nobody_waits() -> FairQueue {
    FairQueue::new(10, 10)
}

fn shares(running: u32, others: u64) -> SlotShares {
    let mut shares = SlotShares::default();
    shares.note_offer(&"flood".into(), 0);
    (0..running).for_each(|_| shares.note_start(&"flood".into()));
    (0..others).for_each(|other| shares.note_offer(&format!("w{other}").into(), 0));
    shares
}

#[rstest]
#[case::alone_takes_all(15, 0, true)]
#[case::alone_and_full(16, 0, false)]
#[case::one_other(15, 1, false)]
#[case::two_others(13, 2, true)]
#[case::at_most_a_quarter_is_kept(11, 9, true)]
#[case::at_most_a_quarter_and_no_more(12, 9, false)]
fn a_workspace_leaves_places_to_others(#[case] running: u32, #[case] others: u64, #[case] may: bool) {
    assert_eq!(shares(running, others).may_start(&"flood".into(), 16, &nobody_waits()), may);
}

#[test]
fn a_single_place_is_kept_from_nobody() {
    assert!(shares(0, 5).may_start(&"flood".into(), 1, &nobody_waits()));
}

#[test]
fn a_workspace_that_is_no_longer_heard_of_keeps_no_place() {
    let mut shares = shares(15, 1);
    shares.forget_idle(9_999);
    assert!(!shares.may_start(&"flood".into(), 16, &nobody_waits()));
    shares.forget_idle(10_000);
    assert!(shares.may_start(&"flood".into(), 16, &nobody_waits()));
}

#[test]
fn no_place_is_kept_for_a_workspace_that_has_work_waiting() {
    let mut queue = nobody_waits();
    let offer = Offer::new(AttemptId::new(Incarnation(1), 1, 1), Incarnation(1), "w0", "s");
    queue.push(Waiting { offer, deadline_ms: 0 });
    assert!(shares(15, 1).may_start(&"flood".into(), 16, &queue));
}
