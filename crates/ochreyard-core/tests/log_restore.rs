//! The state that boxes know of endpoints when the platform's log is restored from an older copy.
//!
//! A known state does not revert: an endpoint that is leaving, has ended or has restarted stays so. Records that
//! endpoints write after the restore are applied, whatever their offset.

mod common;
mod direct_fixture;
mod log_restore_model;

use direct_fixture::endpoint;
use log_restore_model::{BOXES, ENDPOINTS, Op, Simulation};
use ochreyard_core::direct::{Catalog, EndpointChange, EndpointRecord, LogProgress, Position};
use proptest::prelude::*;
use rstest::rstest;

fn op() -> impl Strategy<Value = Op> {
    let endpoint = || 0..ENDPOINTS;
    let a_box = || 0..BOXES;
    prop_oneof![
        4 => endpoint().prop_map(Op::Write),
        2 => endpoint().prop_map(Op::Leave),
        2 => endpoint().prop_map(Op::End),
        1 => endpoint().prop_map(Op::Restart),
        1 => endpoint().prop_map(Op::Expire),
        2 => (0usize..8).prop_map(Op::RestoreLog),
        2 => a_box().prop_map(Op::List),
        4 => a_box().prop_map(Op::Read),
        3 => a_box().prop_map(|from| Op::SendUpdates { from, to: 1 - from }),
        1 => a_box().prop_map(Op::RestartBox),
        2 => Just(Op::PassTime),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: common::cases(2_000), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn known_states_never_revert_and_the_last_records_become_known(ops in prop::collection::vec(op(), 1..60)) {
        let mut simulation = Simulation::new();
        ops.iter().for_each(|op| simulation.apply(*op));
        simulation.settle();
    }
}

/// Tries every order of five of these operations, with one endpoint and two boxes.
#[test]
fn all_orders_of_five_operations_hold() {
    let ops = [
        Op::Write(0),
        Op::Leave(0),
        Op::End(0),
        Op::Restart(0),
        Op::RestoreLog(1),
        Op::RestoreLog(2),
        Op::Read(0),
        Op::Read(1),
        Op::SendUpdates { from: 0, to: 1 },
        Op::RestartBox(1),
    ];
    let mut orders = 0u64;
    try_all(&Simulation::new(), &ops, 5, &mut orders);
    assert_eq!(orders, 10u64.pow(5));
}

fn try_all(simulation: &Simulation, ops: &[Op], left: usize, orders: &mut u64) {
    if left == 0 {
        *orders += 1;
        return simulation.clone().settle();
    }
    for op in ops {
        let mut next = simulation.clone();
        next.apply(*op);
        try_all(&next, ops, left - 1, orders);
    }
}

fn updated(record: EndpointRecord) -> Option<EndpointChange> {
    Some(EndpointChange::Updated("e".to_owned(), record))
}

fn leaving() -> EndpointRecord {
    EndpointRecord { is_leaving: true, ..endpoint(1) }
}

fn incarnation(started_ms: u64) -> EndpointRecord {
    EndpointRecord { started_ms, ..endpoint(1) }
}

#[rstest]
#[case::leaving(Some(leaving()), endpoint(1))]
#[case::end(None, endpoint(1))]
#[case::later_incarnation(Some(incarnation(7)), incarnation(3))]
fn a_state_newer_than_the_restored_log_stays_known(
    #[case] read: Option<EndpointRecord>,
    #[case] in_restored_log: EndpointRecord,
) {
    let mut catalog = Catalog::new();
    catalog.on_log_restored(1, None);
    let _ = catalog.apply("e", Position::new(1, 10), Some(in_restored_log.clone()), 100);
    let _ = catalog.apply("e", Position::new(1, 20), read, 200);
    catalog.on_log_restored(2, Some(1_000));
    catalog.on_listing_end(Position::new(2, 14));
    assert_eq!(catalog.apply("e", Position::new(2, 10), Some(in_restored_log.clone()), 1_100), None);
    let again = catalog.apply("e", Position::new(2, 15), Some(in_restored_log), 1_200);
    assert!(again.is_some(), "a record written after the restore is applied");
}

#[test]
fn a_lower_offset_of_a_later_era_is_later() {
    assert!(Position::new(2, 0) > Position::new(1, 900));
    let mut progress = LogProgress::new(2_000);
    assert!(progress.advance(Position::new(1, 900), 0));
    assert!(progress.advance(Position::new(2, 3), 10));
    assert!(!progress.advance(Position::new(1, 950), 20), "a position that is behind is rejected");
}

#[test]
fn records_of_an_older_era_are_ignored() {
    let mut ahead = Catalog::new();
    ahead.on_log_restored(1, None);
    ahead.on_log_restored(2, Some(10));
    assert_eq!(ahead.apply("e", Position::new(1, 50), Some(endpoint(1)), 20), None);
    assert_eq!(ahead.apply("e", Position::new(2, 3), Some(endpoint(1)), 30), updated(endpoint(1)));
}

#[test]
fn a_state_newer_than_the_restored_log_is_published_to_boxes_that_have_read_only_that() {
    let mut old = Catalog::new();
    old.on_log_restored(1, None);
    let _ = old.apply("e", Position::new(1, 10), Some(endpoint(1)), 100);
    let _ = old.apply("e", Position::new(1, 20), Some(leaving()), 200);
    old.on_log_restored(2, Some(1_000));
    let _ = old.apply("e", Position::new(2, 10), Some(endpoint(1)), 1_100);
    let mut fresh = Catalog::new();
    fresh.on_log_restored(2, None);
    let _ = fresh.apply("e", Position::new(2, 10), Some(endpoint(1)), 1_100);
    let published: Vec<(Position, Option<EndpointRecord>)> =
        old.changed_since(Position::new(2, 11)).map(|(_, at, record)| (at, record.cloned())).collect();
    let (position, record) = published.into_iter().next().unwrap();
    assert_eq!(fresh.apply("e", position, record, 1_200), updated(leaving()));
}

#[test]
fn an_endpoint_absent_from_the_restored_log_may_write_again_for_two_seconds() {
    let mut catalog = Catalog::new();
    catalog.on_log_restored(1, None);
    let _ = catalog.apply("e", Position::new(1, 10), Some(endpoint(1)), 100);
    catalog.on_log_restored(2, Some(1_000));
    let end = Position::new(2, 4);
    assert!(catalog.retain_listed(&std::collections::BTreeSet::new(), end, 1_100).is_empty());
    assert!(catalog.expire_unconfirmed(2_900).is_empty());
    assert_eq!(catalog.expire_unconfirmed(3_000), [EndpointChange::Removed("e".to_owned())]);
}

#[rstest]
#[case("3.17", Some(Position::new(3, 17)))]
#[case("17", None)]
#[case("3.", None)]
#[case("-1.2", None)]
fn a_position_is_parsed_as_it_is_displayed(#[case] text: &str, #[case] expected: Option<Position>) {
    assert_eq!(text.parse().ok(), expected);
    if let Some(position) = expected {
        assert_eq!(position.to_string(), text);
    }
}
