//! The memory for bodies, and what one endpoint may take of it.

use ochreyard_core::direct::{BodyMemory, BodyOwner};
use proptest::prelude::*;
use rstest::rstest;

const MAX_BYTES: usize = 1_200;
const ENDPOINTS: [&str; 3] = ["a", "b", "c"];

/// Reserves single bytes for some endpoints in turn until none gets any more.
fn fill(memory: &mut BodyMemory, endpoints: &[&str]) {
    while endpoints.iter().filter(|id| memory.try_reserve(BodyOwner::Endpoint(id), 1)).count() > 0 {}
}

/// Guards against requests of callers, and answers of other endpoints, that are refused because one endpoint takes all
/// of the memory.
#[rstest]
#[case::one_endpoint(1, 600)]
#[case::two_endpoints(2, 800)]
#[case::three_endpoints(3, 900)]
fn endpoints_whose_answers_never_end_leave_memory_to_others(#[case] endless: usize, #[case] taken: usize) {
    let mut memory = BodyMemory::new(MAX_BYTES);
    fill(&mut memory, &ENDPOINTS[..endless]);
    assert!(memory.used_bytes() <= taken, "{}", memory.used_bytes());
    assert!(memory.try_reserve(BodyOwner::Endpoint("healthy"), 100));
    assert!(memory.try_reserve(BodyOwner::Callers, MAX_BYTES - taken - 100));
}

/// Guards against requests that are refused because answers for slow callers take all of the memory.
#[test]
fn answers_of_many_endpoints_leave_memory_to_requests() {
    let mut memory = BodyMemory::new(MAX_BYTES);
    let ids: Vec<String> = (0..50).map(|number| format!("e{number}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    fill(&mut memory, &ids);
    assert_eq!(memory.used_bytes(), MAX_BYTES - MAX_BYTES / 8);
    assert!(memory.try_reserve(BodyOwner::Callers, MAX_BYTES / 8));
}

proptest! {
    #[test]
    fn what_is_released_can_be_reserved_again(
        steps in proptest::collection::vec((0usize..4, 1usize..200, any::<bool>()), 1..200)
    ) {
        let mut memory = BodyMemory::new(MAX_BYTES);
        let owner = |at: usize| ENDPOINTS.get(at).map_or(BodyOwner::Callers, |id| BodyOwner::Endpoint(id));
        let mut held: Vec<(usize, usize)> = Vec::new();
        for (at, bytes, releases) in steps {
            if releases {
                if let Some((at, bytes)) = held.pop() {
                    memory.release(owner(at), bytes);
                }
            } else if memory.try_reserve(owner(at), bytes) {
                held.push((at, bytes));
            }
            prop_assert_eq!(memory.used_bytes(), held.iter().map(|(_, bytes)| bytes).sum::<usize>());
            prop_assert!(memory.used_bytes() <= MAX_BYTES);
        }
        held.into_iter().for_each(|(at, bytes)| memory.release(owner(at), bytes));
        prop_assert!(memory.try_reserve(BodyOwner::Callers, MAX_BYTES));
    }
}
