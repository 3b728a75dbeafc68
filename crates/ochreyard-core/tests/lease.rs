//! Leases in the log have one holder at a time, however late readers see the records.

use ochreyard_core::ids::Incarnation;
use ochreyard_core::lease::{HeldLease, LeaseMargin, LeaseRecord, LeaseTable};
use proptest::prelude::*;

const NAME: &str = "switch/e";
const TTL_MS: u64 = 1_000;
const MARGIN: LeaseMargin = LeaseMargin { max_order_delay_ms: 100, max_clock_drift_ms: 50 };

fn record(holder: u64, replaces: Option<u64>) -> LeaseRecord {
    LeaseRecord { lease: NAME.into(), holder: Incarnation(holder), replaces, ttl_ms: TTL_MS }
}

#[test]
fn the_first_of_two_contenders_in_the_log_holds_the_lease() {
    let mut table = LeaseTable::default();
    assert!(table.apply(3, &record(1, None), 0));
    assert!(table.apply(4, &record(2, Some(3)), 10));
    assert!(!table.apply(5, &record(3, Some(3)), 10));
    assert_eq!(table.current(NAME).unwrap().holder, Incarnation(2));
}

#[test]
fn the_holder_may_renew_at_once_and_others_wait() {
    let mut table = LeaseTable::default();
    table.apply(3, &record(1, None), 500);
    assert_eq!(table.earliest_request_ms(NAME, Incarnation(1), MARGIN), 0);
    assert_eq!(table.earliest_request_ms(NAME, Incarnation(2), MARGIN), 500 + TTL_MS + 150);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// An order that the old holder may send arrives before a successor requests the lease,
    /// however late the records are seen and however long the holder is paused.
    #[test]
    fn the_last_order_arrives_before_a_successor_starts(
        requested_ms in 0..1_000u64,
        written_after_ms in prop_oneof![Just(0u64), 0..500u64],
        seen_after_ms in prop_oneof![Just(0u64), 0..500u64],
        sends in prop::collection::vec(0..3_000u64, 1..20),
        around_the_end_ms in prop::collection::vec(0..400u64, 1..20),
    ) {
        let held = HeldLease { token: 3, requested_ms, ttl_ms: TTL_MS };
        let written_ms = requested_ms + written_after_ms;
        let mut table = LeaseTable::default();
        table.apply(3, &record(1, None), written_ms + seen_after_ms);
        let successor_ms = table.earliest_request_ms(NAME, Incarnation(2), MARGIN);
        // Uniformly random send times hardly ever fall near the end of the lease (found by scripts/prove).
        let end_ms = requested_ms + TTL_MS;
        for sent_ms in sends.into_iter().chain(around_the_end_ms.into_iter().map(|ms| end_ms + ms - 200)) {
            if held.may_send(sent_ms, MARGIN) {
                prop_assert!(sent_ms + MARGIN.max_order_delay_ms < successor_ms);
            }
        }
    }
}
