//! What boxes know of endpoints when the platform's log comes back from an older copy.
//!
//! What a box has read does not go back: that an endpoint leaves, has ended, or has started again. What endpoints write
//! after the return is read, whatever its offset.

mod common;
mod direct_fixture;
mod store_return_model;

use direct_fixture::endpoint;
use ochreyard_core::direct::{Catalog, EndpointChange, EndpointRecord, LogProgress, Position};
use proptest::prelude::*;
use rstest::rstest;
use store_return_model::{BOXES, ENDPOINTS, Op, World};

fn op() -> impl Strategy<Value = Op> {
    let endpoint = || 0..ENDPOINTS;
    let a_box = || 0..BOXES;
    prop_oneof![
        4 => endpoint().prop_map(Op::Write),
        2 => endpoint().prop_map(Op::Leave),
        2 => endpoint().prop_map(Op::End),
        1 => endpoint().prop_map(Op::StartAgain),
        1 => endpoint().prop_map(Op::Lapse),
        2 => (0usize..8).prop_map(Op::Return),
        2 => a_box().prop_map(Op::List),
        4 => a_box().prop_map(Op::Read),
        3 => a_box().prop_map(|from| Op::Tell { from, to: 1 - from }),
        1 => a_box().prop_map(Op::StartBox),
        2 => Just(Op::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: common::cases(2_000), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_was_read_never_goes_back_and_what_is_written_last_is_known(ops in prop::collection::vec(op(), 1..60)) {
        let mut world = World::new();
        ops.iter().for_each(|op| world.apply(*op));
        world.settle();
    }
}

/// Every order of some things, five at a time, of one endpoint and two boxes with up to two returns.
#[test]
fn all_orders_of_few_things_hold() {
    let ops = [
        Op::Write(0),
        Op::Leave(0),
        Op::End(0),
        Op::StartAgain(0),
        Op::Return(1),
        Op::Return(2),
        Op::Read(0),
        Op::Read(1),
        Op::Tell { from: 0, to: 1 },
        Op::StartBox(1),
    ];
    let mut orders = 0u64;
    try_all(&World::new(), &ops, 5, &mut orders);
    assert_eq!(orders, 10u64.pow(5));
}

fn try_all(world: &World, ops: &[Op], left: usize, orders: &mut u64) {
    if left == 0 {
        *orders += 1;
        return world.clone().settle();
    }
    for op in ops {
        let mut next = world.clone();
        next.apply(*op);
        try_all(&next, ops, left - 1, orders);
    }
}

fn known(record: EndpointRecord) -> Option<EndpointChange> {
    Some(EndpointChange::Updated("e".to_owned(), record))
}

fn leaving() -> EndpointRecord {
    EndpointRecord { is_leaving: true, ..endpoint(1) }
}

fn life(started_ms: u64) -> EndpointRecord {
    EndpointRecord { started_ms, ..endpoint(1) }
}

#[rstest]
#[case::a_leaving(Some(leaving()), endpoint(1))]
#[case::an_end(None, endpoint(1))]
#[case::a_later_life(Some(life(7)), life(3))]
fn what_the_copy_lacks_stays_read(#[case] read: Option<EndpointRecord>, #[case] in_copy: EndpointRecord) {
    let mut catalog = Catalog::new();
    catalog.on_log_restored(1, None);
    let _ = catalog.apply("e", Position::new(1, 10), Some(in_copy.clone()), 100);
    let _ = catalog.apply("e", Position::new(1, 20), read, 200);
    catalog.on_log_restored(2, Some(1_000));
    catalog.on_listing_end(Position::new(2, 14));
    assert_eq!(catalog.apply("e", Position::new(2, 10), Some(in_copy.clone()), 1_100), None);
    let again = catalog.apply("e", Position::new(2, 15), Some(in_copy), 1_200);
    assert!(again.is_some(), "what it writes itself after the return holds");
}

#[test]
fn a_lower_offset_of_a_later_era_is_later() {
    assert!(Position::new(2, 0) > Position::new(1, 900));
    let mut reading = LogProgress::new(2_000);
    assert!(reading.advance(Position::new(1, 900), 0));
    assert!(reading.advance(Position::new(2, 3), 10));
    assert!(!reading.advance(Position::new(1, 950), 20), "one that is behind tells nothing");
}

#[test]
fn a_box_of_an_older_era_takes_and_does_not_give() {
    let mut ahead = Catalog::new();
    ahead.on_log_restored(1, None);
    ahead.on_log_restored(2, Some(10));
    assert_eq!(ahead.apply("e", Position::new(1, 50), Some(endpoint(1)), 20), None);
    assert_eq!(ahead.apply("e", Position::new(2, 3), Some(endpoint(1)), 30), known(endpoint(1)));
}

#[test]
fn one_that_outlived_the_copy_tells_those_that_have_seen_the_copy_alone() {
    let mut old = Catalog::new();
    old.on_log_restored(1, None);
    let _ = old.apply("e", Position::new(1, 10), Some(endpoint(1)), 100);
    let _ = old.apply("e", Position::new(1, 20), Some(leaving()), 200);
    old.on_log_restored(2, Some(1_000));
    let _ = old.apply("e", Position::new(2, 10), Some(endpoint(1)), 1_100);
    let mut fresh = Catalog::new();
    fresh.on_log_restored(2, None);
    let _ = fresh.apply("e", Position::new(2, 10), Some(endpoint(1)), 1_100);
    let told: Vec<(Position, Option<EndpointRecord>)> =
        old.changed_since(Position::new(2, 11)).map(|(_, at, record)| (at, record.cloned())).collect();
    let (position, record) = told.into_iter().next().unwrap();
    assert_eq!(fresh.apply("e", position, record, 1_200), known(leaving()));
}

#[test]
fn an_endpoint_that_the_copy_lacks_may_write_again_for_two_seconds() {
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
fn a_position_is_read_as_it_is_written(#[case] text: &str, #[case] expected: Option<Position>) {
    assert_eq!(text.parse().ok(), expected);
    if let Some(position) = expected {
        assert_eq!(position.to_string(), text);
    }
}
