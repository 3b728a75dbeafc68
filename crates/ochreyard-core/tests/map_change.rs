//! One change of a group's map, round by round, against views written by hand.

use ochreyard_core::group_map::{
    ArmedMap, ChangePhase, GroupPlacement, MapController, MapControllerSettings, Order, RankView, Round, SentOrder,
    ShiftResponse, ShiftResponseTimes,
};

const RANKS: usize = 3;
/// The map in use before the change.
const OLD_MAP: u64 = 0;

fn placement() -> GroupPlacement {
    GroupPlacement::round_robin(1, 6, RANKS)
}

/// The same view of every rank, but for its number.
fn views(view: &RankView) -> Vec<Option<RankView>> {
    let of_rank = |rank| RankView { rank, size: RANKS, is_open: true, epoch: 1, running: 1, ..view.clone() };
    (0..RANKS).map(|rank| Some(of_rank(rank))).collect()
}

fn round(view: &RankView) -> Round {
    Round { views: views(view), outcomes: Vec::new() }
}

fn at_step(step: u64) -> RankView {
    RankView { step, ..RankView::default() }
}

/// A controller that has seen the group long enough to propose, at step 10.
fn ready() -> MapController {
    let mut controller = MapController::new(MapControllerSettings::default(), 0, 7);
    controller.on_round(&round(&at_step(5)), 0);
    controller.set_current_map(OLD_MAP, placement());
    controller.on_round(&round(&at_step(10)), 100);
    assert!(controller.accepts_proposal(&views(&at_step(10)), 100));
    controller
}

fn prepared_version(orders: &[(usize, SentOrder)]) -> Option<u64> {
    orders.iter().find_map(|(_, sent)| match sent.order {
        Order::Prepare { version, .. } => Some(version),
        _ => None,
    })
}

#[test]
fn a_change_that_gives_way_is_replaced_at_ranks_that_still_copy() {
    let mut controller = ready();
    controller.propose(placement(), 1, 100);
    let first = prepared_version(&controller.on_round(&round(&at_step(10)), 100)).expect("copies begin");
    let copying = RankView { is_busy: true, ..at_step(11) };
    assert!(controller.is_preemptible(&views(&copying)));
    controller.propose(placement(), 1, 200);
    let orders = controller.on_round(&round(&copying), 200);
    assert_eq!(orders.len(), RANKS);
    assert!(prepared_version(&orders).is_some_and(|version| version > first));
}

#[test]
fn a_change_gives_way_only_while_it_copies() {
    let mut controller = ready();
    assert!(!controller.is_preemptible(&views(&at_step(10))));
    controller.propose(placement(), 1, 100);
    let version = prepared_version(&controller.on_round(&round(&at_step(10)), 100)).expect("copies begin");
    let copied = RankView { prepared: Some(version), ..at_step(12) };
    controller.on_round(&round(&copied), 500);
    assert!(matches!(controller.phase(), ChangePhase::Holding { .. }));
    assert!(!controller.is_preemptible(&views(&copied)));
}

#[test]
fn a_hold_that_was_lost_is_placed_anew_without_another_copy() {
    let mut controller = ready();
    controller.propose(placement(), 1, 100);
    let version = prepared_version(&controller.on_round(&round(&at_step(10)), 100)).expect("copies begin");
    let copied = |step| RankView { prepared: Some(version), ..at_step(step) };
    controller.on_round(&round(&copied(12)), 500);
    let ChangePhase::Holding { step: first, .. } = *controller.phase() else { panic!("{:?}", controller.phase()) };
    let orders = controller.on_round(&round(&copied(first)), 600);
    let ChangePhase::Holding { step: second, .. } = *controller.phase() else { panic!("{:?}", controller.phase()) };
    // A hold of the same step could still be carried out, and released by nobody.
    assert!(second > first);
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].1.order, Order::Hold { step: second });
}

#[test]
fn a_map_that_is_armed_and_released_is_known_before_it_is_in_use() {
    let mut controller = ready();
    controller.set_current_map(9, placement());
    let armed = RankView { armed: Some(ArmedMap { version: 9, step: Some(12) }), ..at_step(11) };
    assert!(controller.knows_map_of(&armed));
    assert!(controller.is_about_to_switch(&views(&armed)));
    assert!(!controller.knows_map_of(&at_step(11)));
    let idle =
        views(&armed).into_iter().flatten().map(|view| Some(RankView { running: 0, ..view })).collect::<Vec<_>>();
    assert!(!controller.is_about_to_switch(&idle));
}

#[test]
fn the_time_to_answer_a_shift_is_told_by_part() {
    let holding = ChangePhase::Holding { version: 1, step: 9, rank: 0 };
    let mut times = ShiftResponseTimes::default();
    times.on_shift(100);
    times.on_proposed(230);
    assert_eq!(times.on_phase(&ChangePhase::Preparing { version: 1 }, 230), None);
    assert_eq!(times.on_phase(&holding, 700), None);
    let answer = ShiftResponse { proposed_ms: 130, copied_ms: 470, switched_ms: 50 };
    assert_eq!(times.on_phase(&ChangePhase::Idle, 750), Some(answer));
    assert_eq!(times.on_phase(&ChangePhase::Idle, 800), None, "told once");
}

#[test]
fn a_change_from_before_a_shift_does_not_answer_it() {
    let holding = ChangePhase::Holding { version: 1, step: 9, rank: 0 };
    let mut times = ShiftResponseTimes::default();
    times.on_proposed(50);
    times.on_shift(100);
    assert_eq!(times.on_phase(&holding, 120), None);
    assert_eq!(times.on_phase(&ChangePhase::Idle, 150), None);
    times.on_proposed(200);
    times.on_phase(&ChangePhase::Undoing, 300);
    assert_eq!(times.on_phase(&ChangePhase::Idle, 320), None, "it came to nothing");
    times.on_proposed(400);
    times.on_phase(&holding, 800);
    let answer = ShiftResponse { proposed_ms: 300, copied_ms: 400, switched_ms: 30 };
    assert_eq!(times.on_phase(&ChangePhase::Idle, 830), Some(answer));
}
