//! Tests one change of a group's map round by round with handwritten views.

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

/// Views of all ranks that differ only in the rank's index.
fn views(view: &RankView) -> Vec<Option<RankView>> {
    let of_rank = |rank| RankView { rank, size: RANKS, is_open: true, epoch: 1, running: 1, ..view.clone() };
    (0..RANKS).map(|rank| Some(of_rank(rank))).collect()
}

fn round(view: &RankView) -> Round {
    Round { views: views(view), outcomes: Vec::new() }
}

fn view_at_step(step: u64) -> RankView {
    RankView { step, ..RankView::default() }
}

/// A controller that has observed the group long enough to accept a proposal, at step 10.
fn ready_controller() -> MapController {
    let mut controller = MapController::new(MapControllerSettings::default(), 0, 7);
    controller.on_round(&round(&view_at_step(5)), 0);
    controller.set_current_map(OLD_MAP, placement());
    controller.on_round(&round(&view_at_step(10)), 100);
    assert!(controller.accepts_proposal(&views(&view_at_step(10)), 100));
    controller
}

fn prepared_version(orders: &[(usize, SentOrder)]) -> Option<u64> {
    orders.iter().find_map(|(_, sent)| match sent.order {
        Order::Prepare { version, .. } => Some(version),
        _ => None,
    })
}

#[test]
fn a_replaced_change_gives_way_at_ranks_that_are_still_copying() {
    let mut controller = ready_controller();
    controller.propose(placement(), 1, 100);
    let first = prepared_version(&controller.on_round(&round(&view_at_step(10)), 100)).expect("copies begin");
    let copying = RankView { is_busy: true, ..view_at_step(11) };
    assert!(controller.is_preemptible(&views(&copying)));
    controller.propose(placement(), 1, 200);
    let orders = controller.on_round(&round(&copying), 200);
    assert_eq!(orders.len(), RANKS);
    assert!(prepared_version(&orders).is_some_and(|version| version > first));
}

/// One rank left the order to prepare the map unanswered and does not copy, as some do for seconds at a time. All streams
/// of the group are late until it has copied, so the order must be sent again within about one step of 50 to 100 ms.
#[test]
fn an_unanswered_prepare_order_is_sent_again_within_a_step_and_only_to_its_rank() {
    let mut controller = ready_controller();
    controller.propose(placement(), 1, 100);
    let version = prepared_version(&controller.on_round(&round(&view_at_step(10)), 100)).expect("copies begin");
    let mut waiting = round(&RankView { is_busy: true, ..view_at_step(10) });
    waiting.views[1] = waiting.views[1].take().map(|view| RankView { is_busy: false, ..view });
    waiting.views[2] = waiting.views[2].take().map(|view| RankView { prepared: Some(version), is_busy: false, ..view });
    assert!(controller.on_round(&waiting, 125).is_empty(), "the answer may still be on its way");
    let orders = controller.on_round(&waiting, 175);
    assert_eq!(orders.iter().map(|(rank, _)| *rank).collect::<Vec<_>>(), [1]);
    assert_eq!(prepared_version(&orders), Some(version), "the same map: ranks that copy already are not disturbed");
}

#[test]
fn a_change_is_preemptible_only_while_it_copies() {
    let mut controller = ready_controller();
    assert!(!controller.is_preemptible(&views(&view_at_step(10))));
    controller.propose(placement(), 1, 100);
    let version = prepared_version(&controller.on_round(&round(&view_at_step(10)), 100)).expect("copies begin");
    let copied = RankView { prepared: Some(version), ..view_at_step(12) };
    controller.on_round(&round(&copied), 500);
    assert!(matches!(controller.phase(), ChangePhase::Holding { .. }));
    assert!(!controller.is_preemptible(&views(&copied)));
}

#[test]
fn a_lost_hold_is_placed_again_without_another_copy() {
    let mut controller = ready_controller();
    controller.propose(placement(), 1, 100);
    let version = prepared_version(&controller.on_round(&round(&view_at_step(10)), 100)).expect("copies begin");
    let copied = |step| RankView { prepared: Some(version), ..view_at_step(step) };
    controller.on_round(&round(&copied(12)), 500);
    let ChangePhase::Holding { step: first, .. } = *controller.phase() else { panic!("{:?}", controller.phase()) };
    let orders = controller.on_round(&round(&copied(first)), 600);
    let ChangePhase::Holding { step: second, .. } = *controller.phase() else { panic!("{:?}", controller.phase()) };
    // A hold of the same step could still be carried out, and would then never be released.
    assert!(second > first);
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].1.order, Order::Hold { step: second });
}

#[test]
fn an_armed_and_released_map_is_known_before_it_is_in_use() {
    let mut controller = ready_controller();
    controller.set_current_map(9, placement());
    let armed = RankView { armed: Some(ArmedMap { version: 9, step: Some(12) }), ..view_at_step(11) };
    assert!(controller.knows_map_of(&armed));
    assert!(controller.is_about_to_switch(&views(&armed)));
    assert!(!controller.knows_map_of(&view_at_step(11)));
    let idle =
        views(&armed).into_iter().flatten().map(|view| Some(RankView { running: 0, ..view })).collect::<Vec<_>>();
    assert!(!controller.is_about_to_switch(&idle));
}

#[test]
fn the_response_time_to_a_shift_is_reported_by_stage() {
    let holding = ChangePhase::Holding { version: 1, step: 9, rank: 0 };
    let mut times = ShiftResponseTimes::default();
    times.on_shift(100);
    times.on_proposed(230);
    assert_eq!(times.on_phase(&ChangePhase::Preparing { version: 1 }, 230), None);
    assert_eq!(times.on_phase(&holding, 700), None);
    let response = ShiftResponse { proposed_ms: 130, copied_ms: 470, switched_ms: 50 };
    assert_eq!(times.on_phase(&ChangePhase::Idle, 750), Some(response));
    assert_eq!(times.on_phase(&ChangePhase::Idle, 800), None, "reported once");
}

#[test]
fn a_change_proposed_before_a_shift_is_no_response_to_it() {
    let holding = ChangePhase::Holding { version: 1, step: 9, rank: 0 };
    let mut times = ShiftResponseTimes::default();
    times.on_proposed(50);
    times.on_shift(100);
    assert_eq!(times.on_phase(&holding, 120), None);
    assert_eq!(times.on_phase(&ChangePhase::Idle, 150), None);
    times.on_proposed(200);
    times.on_phase(&ChangePhase::Undoing, 300);
    assert_eq!(times.on_phase(&ChangePhase::Idle, 320), None, "the change was undone");
    times.on_proposed(400);
    times.on_phase(&holding, 800);
    let response = ShiftResponse { proposed_ms: 300, copied_ms: 400, switched_ms: 30 };
    assert_eq!(times.on_phase(&ChangePhase::Idle, 830), Some(response));
}
