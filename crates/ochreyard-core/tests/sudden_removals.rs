//! Endpoints whose connections break at about the time at which their record is removed.
//!
//! Guards against a crash that is taken for a planned end. A platform removes the record of an endpoint that has
//! crashed; a box that learned of it before it checked the endpoint did not count the crash, so a request could crash
//! one endpoint after the other.

use ochreyard_core::direct::{EndpointChange, EndpointPool, EndpointRecord, Pick};
use rstest::rstest;

/// When the record is removed.
const REMOVED_MS: u64 = 100_000;

fn record(is_leaving: bool) -> EndpointRecord {
    EndpointRecord {
        service: "tiles".to_owned(),
        addr: "127.0.0.1:7000".parse().unwrap(),
        data_centre: "a".to_owned(),
        slots: 4,
        started_ms: 7,
        is_leaving,
        cold_ms: 0,
    }
}

fn pick() -> Pick {
    Pick::from_record("i-0", &record(false))
}

#[rstest]
#[case::broke_before(false, REMOVED_MS - 3_000, false)]
#[case::broke_together(false, REMOVED_MS + 20, false)]
#[case::broke_long_after(false, REMOVED_MS + 3_000, true)]
#[case::announced(true, REMOVED_MS + 20, true)]
#[case::announced_and_broke_before(true, REMOVED_MS - 20, true)]
fn only_an_announced_end_or_an_earlier_removal_is_planned(
    #[case] is_leaving: bool,
    #[case] broke_ms: u64,
    #[case] is_planned: bool,
) {
    let mut pool = EndpointPool::new();
    pool.apply(EndpointChange::Updated("i-0".to_owned(), record(false)));
    assert!(!pool.ended_as_planned(&pick(), broke_ms), "the endpoint is known, and has not announced anything");
    pool.apply(EndpointChange::Updated("i-0".to_owned(), record(is_leaving)));
    pool.on_removal("i-0", REMOVED_MS);
    pool.apply(EndpointChange::Removed("i-0".to_owned()));
    assert_eq!(pool.ended_as_planned(&pick(), broke_ms), is_planned);
}

#[test]
fn a_removal_says_nothing_about_another_incarnation() {
    let mut pool = EndpointPool::new();
    pool.apply(EndpointChange::Updated("i-0".to_owned(), record(false)));
    pool.on_removal("i-0", REMOVED_MS);
    pool.apply(EndpointChange::Removed("i-0".to_owned()));
    let earlier = Pick { started_ms: 6, ..pick() };
    assert!(pool.ended_as_planned(&earlier, REMOVED_MS));
}
