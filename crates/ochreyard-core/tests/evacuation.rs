//! Evacuation of data centres: the known state, and which endpoints get requests.

mod direct_fixture;

use std::collections::BTreeSet;

use direct_fixture::endpoint;
use ochreyard_core::direct::{
    EndpointChange, EndpointPool, EndpointRecord, EvacuationUpdate, Evacuations, Pick, PickError, Position, Urgency,
};
use proptest::prelude::*;
use rstest::rstest;

const GRACE_MS: u64 = 5_000;

const fn at(era: u64, offset: u64) -> Position {
    Position::new(era, offset)
}

fn in_force(evacuations: &Evacuations) -> Vec<&str> {
    evacuations.in_force().collect()
}

#[test]
fn an_evacuation_is_in_force_until_it_is_withdrawn() {
    let mut evacuations = Evacuations::default();
    assert!(evacuations.apply("a", at(0, 3), true, 0));
    assert_eq!(in_force(&evacuations), ["a"]);
    assert!(evacuations.apply("a", at(0, 7), false, 0));
    assert!(in_force(&evacuations).is_empty());
    assert!(!evacuations.apply("a", at(0, 3), true, 0), "a record that arrives late is ignored");
}

#[test]
fn an_evacuation_absent_from_a_listing_is_over() {
    let mut evacuations = Evacuations::default();
    evacuations.apply("a", at(0, 3), true, 0);
    evacuations.retain_listed(&BTreeSet::new(), at(0, 3));
    assert_eq!(in_force(&evacuations), ["a"], "the listing is older than the record");
    evacuations.retain_listed(&BTreeSet::new(), at(0, 9));
    assert!(in_force(&evacuations).is_empty());
    assert!(
        evacuations.apply("a", at(0, 9), true, 0),
        "the next record may have the position at which the listing ended"
    );
}

#[test]
fn an_evacuation_survives_a_restore_of_the_log_until_the_operator_has_had_time_to_write_it_again() {
    let mut evacuations = Evacuations::default();
    evacuations.apply("a", at(0, 30), true, 0);
    evacuations.on_log_restored(1, 1_000);
    evacuations.retain_listed(&BTreeSet::new(), at(1, 9));
    assert!(!evacuations.expire_missing(1_000 + GRACE_MS - 1));
    assert_eq!(in_force(&evacuations), ["a"]);
    let mut again = evacuations.clone();
    again.apply("a", at(1, 9), true, 2_000);
    assert!(!again.expire_missing(60_000));
    assert_eq!(in_force(&again), ["a"], "it was written again");
    assert!(evacuations.expire_missing(1_000 + GRACE_MS));
    assert!(in_force(&evacuations).is_empty(), "it was not written again");
}

#[test]
fn an_evacuation_of_an_earlier_era_received_from_another_box_expires() {
    let mut evacuations = Evacuations::default();
    evacuations.on_log_restored(2, 0);
    evacuations.apply("a", at(1, 30), true, 100);
    assert_eq!(in_force(&evacuations), ["a"]);
    assert!(evacuations.expire_missing(100 + GRACE_MS));
    assert!(in_force(&evacuations).is_empty());
}

#[test]
fn an_evacuation_in_the_restored_log_is_in_force_again() {
    let mut evacuations = Evacuations::default();
    evacuations.apply("a", at(0, 30), true, 0);
    evacuations.apply("a", at(0, 40), false, 0);
    evacuations.on_log_restored(1, 1_000);
    evacuations.apply("a", at(1, 30), true, 1_100);
    assert_eq!(in_force(&evacuations), ["a"], "the operator has not withdrawn it in this era");
    evacuations.apply("a", at(1, 31), false, 1_200);
    assert!(in_force(&evacuations).is_empty());
}

#[derive(Debug, Clone)]
struct Record {
    data_centre: usize,
    is_in_force: bool,
}

fn record() -> impl Strategy<Value = Record> {
    (0usize..3, any::<bool>()).prop_map(|(data_centre, is_in_force)| Record { data_centre, is_in_force })
}

const NAMES: [&str; 3] = ["a", "b", "c"];

proptest! {
    /// In whatever order and however often records arrive, from the log or from other boxes, all boxes end with the
    /// state that was written last.
    #[test]
    fn all_boxes_converge_to_the_last_records(
        records in prop::collection::vec(record(), 1..12),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..40),
        is_sent in prop::collection::vec(any::<bool>(), 40),
    ) {
        let mut boxes = [Evacuations::default(), Evacuations::default()];
        let position = |offset: usize| at(0, offset as u64);
        let all = 0..records.len();
        for (step, offset) in order.iter().map(|index| index.index(records.len())).chain(all).enumerate() {
            let Record { data_centre, is_in_force } = records[offset];
            boxes[0].apply(NAMES[data_centre], position(offset), is_in_force, 0);
            if is_sent.get(step).copied().unwrap_or(true) {
                let updates_to_send: Vec<EvacuationUpdate> = boxes[0].updates().collect();
                for update in updates_to_send {
                    boxes[1].apply(&update.data_centre, update.position, update.is_in_force, 0);
                }
            }
        }
        let updates_to_send: Vec<EvacuationUpdate> = boxes[0].updates().collect();
        for update in updates_to_send {
            boxes[1].apply(&update.data_centre, update.position, update.is_in_force, 0);
        }
        let last = |name: usize| records.iter().rev().find(|record| record.data_centre == name);
        let expected: Vec<&str> =
            (0..NAMES.len()).filter(|name| last(*name).is_some_and(|record| record.is_in_force)).map(|name| NAMES[name]).collect();
        prop_assert_eq!(in_force(&boxes[0]), expected.clone());
        prop_assert_eq!(in_force(&boxes[1]), expected);
    }
}

fn in_data_centre(port: u16, data_centre: &str) -> EndpointRecord {
    EndpointRecord { data_centre: data_centre.to_owned(), ..endpoint(port) }
}

fn pool() -> EndpointPool {
    let mut pool = EndpointPool::new();
    pool.apply(EndpointChange::Updated("i-a".to_owned(), in_data_centre(1, "a")));
    pool.apply(EndpointChange::Updated("i-b".to_owned(), in_data_centre(2, "b")));
    pool
}

fn pick(pool: &EndpointPool, draw: u64) -> Result<Pick, PickError> {
    pool.pick("tiles", &[], Urgency::OnTime, draw, 0)
}

#[rstest]
#[case::known_before(false)]
#[case::known_later(true)]
fn no_endpoint_of_an_evacuated_data_centre_is_picked(#[case] is_known_later: bool) {
    let mut pool = if is_known_later { EndpointPool::new() } else { pool() };
    pool.set_evacuated_data_centres(["a"].into_iter());
    if is_known_later {
        pool.apply(EndpointChange::Updated("i-a".to_owned(), in_data_centre(1, "a")));
        pool.apply(EndpointChange::Updated("i-b".to_owned(), in_data_centre(2, "b")));
    }
    assert!((0..100).all(|draw| pick(&pool, draw).unwrap().id == "i-b"));
    pool.set_evacuated_data_centres([].into_iter());
    assert!((0..100).any(|draw| pick(&pool, draw).unwrap().id == "i-a"));
}

#[test]
fn a_request_that_was_picked_before_an_evacuation_is_withheld() {
    let mut pool = pool();
    let picked = (0..100).filter_map(|draw| pick(&pool, draw).ok()).find(|pick| pick.id == "i-a").unwrap();
    pool.on_attempt_start(&picked);
    pool.set_evacuated_data_centres(["a"].into_iter());
    assert!(!pool.try_record_send(&picked, None, 1));
    assert!(!pool.is_gone_or_leaving(&picked), "requests that run there are not interrupted");
}

#[test]
fn no_endpoint_is_left_where_all_data_centres_are_evacuated() {
    let mut pool = pool();
    pool.set_evacuated_data_centres(["a", "b"].into_iter());
    assert_eq!(pick(&pool, 0), Err(PickError::NoEndpoint));
}
