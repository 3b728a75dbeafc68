//! Regions in which requests may run.

mod direct_fixture;

use std::collections::BTreeMap;

use direct_fixture::endpoint;
use ochreyard_core::direct::{
    EndpointChange, EndpointIncarnation, EndpointPool, EndpointRecord, PermittedRegions, PickError, Urgency,
};
use proptest::prelude::*;
use rstest::rstest;

fn permitted_regions(regions: &[&str]) -> PermittedRegions {
    PermittedRegions::of(regions.iter().map(|region| (*region).to_owned()))
}

#[rstest]
#[case::no_region_set(&[], &[], "north", true)]
#[case::allowed_by_route(&["north"], &[], "north", true)]
#[case::not_allowed_by_route(&["south"], &[], "north", false)]
#[case::not_allowed_by_workspace(&[], &["south"], "north", false)]
#[case::allowed_by_both(&["north", "south"], &["north"], "north", true)]
#[case::allowed_by_one(&["north", "south"], &["south"], "north", false)]
#[case::allowed_by_neither(&["south"], &["east"], "north", false)]
fn a_region_must_be_allowed_by_the_route_and_the_workspace(
    #[case] route: &[&str],
    #[case] workspace: &[&str],
    #[case] region: &str,
    #[case] wanted: bool,
) {
    assert_eq!(permitted_regions(route).intersect(&permitted_regions(workspace)).allows(Some(region)), wanted);
}

#[test]
fn an_unknown_region_is_allowed_only_where_all_are() {
    assert!(!permitted_regions(&["north"]).allows(None));
    assert!(PermittedRegions::ANY.allows(None));
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
    /// First attempts and retries stay in the allowed regions, whichever endpoints were tried or evacuated; where no
    /// endpoint is left, none is picked.
    #[test]
    fn no_request_leaves_its_permitted_regions(
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
        let permitted_regions = PermittedRegions::of(allowed.iter().map(|at| REGIONS[*at].to_owned()));
        let tried: Vec<EndpointIncarnation> =
            tried.iter().map(|at| EndpointIncarnation { id: format!("i-{at}"), started_ms: 0 }).collect();
        match pool.pick_in_regions(&permitted_regions, "tiles", &tried, Urgency::OnTime, draw, 0) {
            Ok(pick) => {
                let at: usize = pick.id[2..].parse().unwrap();
                prop_assert!(allowed.contains(&data_centres[at]));
                prop_assert!(evacuated != Some(data_centres[at]));
            }
            Err(pick_error) => {
                let is_left = |(at, data_centre): (usize, &usize)| {
                    allowed.contains(data_centre)
                        && evacuated != Some(*data_centre)
                        && !tried.iter().any(|incarnation| incarnation.id == format!("i-{at}"))
                };
                prop_assert!(!data_centres.iter().enumerate().any(is_left));
                prop_assert_eq!(pick_error, PickError::NoEndpoint);
            }
        }
    }
}
