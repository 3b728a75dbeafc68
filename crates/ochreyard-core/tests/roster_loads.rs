//! Encoding of the loads of ranks without their names.

mod direct_fixture;

use direct_fixture::endpoint;
use ochreyard_core::direct::{
    EndpointChange, EndpointPool, GroupUpdate, RankUpdate, ReporterRole, RosterLoads, Urgency,
};
use proptest::prelude::*;

fn rank(at: usize, running: u64, waiting: u64, pace_permille: u64) -> RankUpdate {
    RankUpdate { endpoint: format!("e{at}"), running, waiting, pace_permille }
}

fn names(ranks: &[RankUpdate]) -> Vec<String> {
    ranks.iter().map(|rank| rank.endpoint.clone()).collect()
}

proptest! {
    #[test]
    fn loads_are_decoded_as_they_were_encoded(
        loads in prop::collection::vec((0u64..75, 0u64..75, prop::sample::select(vec![1_000u64, 1_700, 900])), 0..100),
    ) {
        let ranks: Vec<RankUpdate> = loads.iter().enumerate().map(|(at, load)| rank(at, load.0, load.1, load.2)).collect();
        let text = serde_json::to_string(&RosterLoads::of(&ranks)).unwrap();
        let decoded: RosterLoads = serde_json::from_str(&text).unwrap();
        prop_assert_eq!(decoded.named(&names(&ranks)), Some(ranks));
    }

    /// Any input is decoded or rejected, without a panic.
    #[test]
    fn no_input_panics(loads in ".{0,8}", roster in any::<u64>(), paces in prop::collection::vec((any::<u16>(), any::<u64>()), 0..3)) {
        let text = serde_json::json!({"roster": roster, "loads": loads, "paces": paces}).to_string();
        let decoded: RosterLoads = serde_json::from_str(&text).unwrap();
        let _ = decoded.named(&["e0".to_owned(), "e1".to_owned()]);
    }
}

#[test]
fn loads_of_another_roster_are_rejected() {
    let loads = RosterLoads::of(&[rank(0, 1, 0, 1_000), rank(1, 2, 0, 1_000)]);
    assert_eq!(loads.named(&["e1".to_owned(), "e0".to_owned()]), None);
    assert_eq!(loads.named(&["e0".to_owned()]), None);
    assert_eq!(loads.named(&[]), None);
}

#[test]
fn loads_of_96_ranks_take_a_few_hundred_bytes() {
    let ranks: Vec<RankUpdate> =
        (0..96).map(|at| RankUpdate { endpoint: format!("i-{at:010x}"), ..rank(at, 3, 1, 1_000) }).collect();
    let update = GroupUpdate {
        service: "brief".into(),
        group: "g0-1".into(),
        is_serving: true,
        ranks,
        ..GroupUpdate::default()
    };
    let full = serde_json::to_string(&update).unwrap().len();
    let short = serde_json::to_string(&update.without_names()).unwrap().len();
    assert!(short < 400 && short * 5 < full, "{short} of {full} bytes");
}

fn group_update(running: [u64; 2]) -> GroupUpdate {
    let ranks = vec![rank(1, running[0], 0, 1_000), rank(2, running[1], 0, 1_000)];
    GroupUpdate {
        service: "tiles".into(),
        group: "g".into(),
        reporter_role: ReporterRole::Leads,
        is_serving: true,
        ranks,
        ..GroupUpdate::default()
    }
}

#[test]
fn a_box_waits_for_unknown_names_and_then_applies_loads_by_them() {
    let mut pool = EndpointPool::new();
    for at in [1u16, 2] {
        pool.apply(EndpointChange::Updated(format!("e{at}"), endpoint(at)));
    }
    pool.apply_group_update(&group_update([1, 0]).without_names(), 0);
    let leaderless = pool.leaderless_groups("tiles", 0);
    assert_eq!(
        (leaderless.known, leaderless.ungrouped_endpoints, leaderless.min_group_size),
        (0, 0, Some(2)),
        "the names of both are expected"
    );
    pool.apply_group_update(&group_update([1, 0]), 300);
    assert_eq!(pool.leaderless_groups("tiles", 300).ungrouped_endpoints, 0);
    assert!(pool.pick("tiles", &[], Urgency::OnTime, 0, 300).is_ok());
    pool.apply_group_update(&group_update([0, 2]).without_names(), 600);
    assert_eq!(pool.pick("tiles", &[], Urgency::OnTime, 0, 600).unwrap().id, "e1", "e2 is the busier one now");
}
