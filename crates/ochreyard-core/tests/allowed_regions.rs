//! Where requests may run.

mod direct_fixture;

use std::collections::BTreeMap;

use direct_fixture::endpoint;
use ochreyard_core::direct::{
    AllowedRegions, EndpointChange, EndpointIncarnation, EndpointPool, EndpointRecord, PickError, Urgency,
};
use proptest::prelude::*;
use rstest::rstest;

fn homes(regions: &[&str]) -> AllowedRegions {
    AllowedRegions::of(regions.iter().map(|region| (*region).to_owned()))
}

#[rstest]
#[case::none_named(&[], &[], "north", true)]
#[case::by_the_route(&["north"], &[], "north", true)]
#[case::not_by_the_route(&["south"], &[], "north", false)]
#[case::not_by_the_workspace(&[], &["south"], "north", false)]
#[case::by_both(&["north", "south"], &["north"], "north", true)]
#[case::by_one_of_both(&["north", "south"], &["south"], "north", false)]
#[case::by_none_of_both(&["south"], &["east"], "north", false)]
fn both_the_route_and_the_workspace_bind(
    #[case] route: &[&str],
    #[case] workspace: &[&str],
    #[case] region: &str,
    #[case] wanted: bool,
) {
    assert_eq!(homes(route).intersect(&homes(workspace)).allows(Some(region)), wanted);
}

#[test]
fn a_region_that_is_not_known_is_no_home() {
    assert!(!homes(&["north"]).allows(None));
    assert!(AllowedRegions::ANY.allows(None));
}

const REGIONS: [&str; 3] = ["north", "south", "east"];

fn pool(data_centres: &[usize]) -> EndpointPool {
    let mut pool = EndpointPool::new();
    let regions = REGIONS.iter().enumerate().map(|(at, region)| (format!("dc-{at}"), (*region).to_owned()));
    pool.set_regions(regions.collect::<BTreeMap<_, _>>());
    for (at, data_centre) in data_centres.iter().enumerate() {
        let record = EndpointRecord { data_centre: format!("dc-{data_centre}"), ..endpoint(at as u16 + 1) };
        pool.apply(EndpointChange::Updated(format!("i-{at}"), record));
    }
    pool
}

proptest! {
    /// First attempts and repeats go home, whatever is full, tried or evacuated; where nothing is left, nobody gets them.
    #[test]
    fn no_request_leaves_its_homes(
        data_centres in prop::collection::vec(0usize..3, 1..8),
        allowed in prop::collection::btree_set(0usize..3, 1..3),
        tried in prop::collection::vec(0usize..8, 0..4),
        evacuated in prop::option::of(0usize..3),
        draw in any::<u64>(),
    ) {
        let mut pool = pool(&data_centres);
        if let Some(at) = evacuated {
            let name = format!("dc-{at}");
            pool.set_evacuated_data_centres([name.as_str()].into_iter());
        }
        let homes = AllowedRegions::of(allowed.iter().map(|at| REGIONS[*at].to_owned()));
        let tried: Vec<EndpointIncarnation> =
            tried.iter().map(|at| EndpointIncarnation { id: format!("i-{at}"), started_ms: 0 }).collect();
        match pool.pick_in_regions(&homes, "tiles", &tried, Urgency::OnTime, draw, 0) {
            Ok(pick) => {
                let at: usize = pick.id[2..].parse().unwrap();
                prop_assert!(allowed.contains(&data_centres[at]));
                prop_assert!(evacuated != Some(data_centres[at]));
            }
            Err(no_pick) => {
                let is_left = |(at, data_centre): (usize, &usize)| {
                    allowed.contains(data_centre)
                        && evacuated != Some(*data_centre)
                        && !tried.iter().any(|life| life.id == format!("i-{at}"))
                };
                prop_assert!(!data_centres.iter().enumerate().any(is_left));
                prop_assert_eq!(no_pick, PickError::Nobody);
            }
        }
    }
}
