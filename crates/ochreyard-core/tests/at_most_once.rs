//! A non-repeatable request runs at most once, and a request that is reported as not run did not run, whatever
//! happens to messages, processes, clocks and the configuration.
//!
//! The model is in [`at_most_once_model`].

mod at_most_once_model;
mod common;

use at_most_once_model::{CLOCK_MARGIN_MS, ENDPOINTS, ENTRIES, KEYS, Op, World, op};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: common::cases(600), max_shrink_iters: 40_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_dated_key_runs_twice_and_no_attempt_reported_as_not_run_runs(ops in prop::collection::vec(op(), 1..220)) {
        let mut world = World::new();
        for op in &ops {
            world.apply(op);
        }
    }
}

/// The property above would also hold for a system that runs nothing, so this test requires that requests run.
#[test]
fn without_faults_every_new_key_runs_once() {
    let mut world = World::new();
    let converge = |world: &mut World| {
        for _ in 0..3 {
            for entry in 0..ENTRIES {
                (0..ENDPOINTS * 2).for_each(|agent| world.apply(&Op::Heartbeat { entry, agent }));
                world.apply(&Op::ReadLog(entry));
            }
        }
    };
    converge(&mut world);
    world.apply(&Op::AdvanceTime(2 * CLOCK_MARGIN_MS));
    for key in 0..KEYS {
        world.apply(&Op::NewKey(key, CLOCK_MARGIN_MS));
    }
    for key in 0..KEYS {
        world.apply(&Op::SendRequest { entry: key % ENTRIES, key });
        world.apply(&Op::Deliver(0));
        (0..ENDPOINTS * 2).for_each(|agent| world.apply(&Op::Finish { agent, outcome: 1 }));
    }
    assert_eq!(world.started_count, KEYS as u64);
}

/// Found by the property test: the new home of a key considered its records complete from its own start, but the old
/// home may run the key until it has the new configuration in force.
#[test]
fn the_records_of_a_new_home_are_complete_only_from_the_verified_end_of_the_log() {
    let mut world = World::new();
    let new_home = 4;
    for entry in 0..ENTRIES {
        for _ in 0..2 {
            world.apply(&Op::ReadLog(entry));
            world.apply(&Op::HeartbeatAllExcept { entry, except: new_home });
        }
    }
    world.apply(&Op::PutEndpoint { endpoint: 2, addr: 0 });
    world.apply(&Op::RestartAgent(new_home));
    world.apply(&Op::AdvanceTime(2 * CLOCK_MARGIN_MS));
    let call_all = |world: &mut World, entry: usize| {
        for key in 0..KEYS {
            world.apply(&Op::SendRequest { entry, key });
            world.apply(&Op::Deliver(0));
            (0..ENDPOINTS * 2).for_each(|agent| world.apply(&Op::Finish { agent, outcome: 1 }));
        }
    };
    (0..KEYS).for_each(|key| world.apply(&Op::NewKey(key, CLOCK_MARGIN_MS)));
    // Entry 1 does not know the new home yet.
    call_all(&mut world, 1);
    assert_eq!(world.started_count, KEYS as u64);
    for _ in 0..2 {
        world.apply(&Op::ReadLog(0));
        world.apply(&Op::HeartbeatAllExcept { entry: 0, except: new_home });
    }
    for _ in 0..3 {
        world.apply(&Op::ReadLog(0));
        world.apply(&Op::Heartbeat { entry: 0, agent: new_home });
    }
    call_all(&mut world, 0);
}

/// An old home restarts with an empty key store, and an entry that lags sends it the old configuration. The property
/// test hardly ever reaches this state (found by scripts/prove).
#[test]
fn a_restarted_old_home_accepts_no_key_from_a_lagging_entry() {
    let mut world = World::new();
    let (old_homes, new_home, lagging) = ([0, 2], 4, 1);
    for entry in 0..ENTRIES {
        for _ in 0..2 {
            world.apply(&Op::ReadLog(entry));
            world.apply(&Op::HeartbeatAllExcept { entry, except: new_home });
        }
    }
    world.apply(&Op::PutEndpoint { endpoint: 2, addr: 0 });
    for _ in 0..4 {
        world.apply(&Op::ReadLog(0));
        (0..ENDPOINTS * 2).for_each(|agent| world.apply(&Op::Heartbeat { entry: 0, agent }));
    }
    old_homes.iter().for_each(|agent| world.apply(&Op::RestartAgent(*agent)));
    world.apply(&Op::AdvanceTime(2 * CLOCK_MARGIN_MS));
    (0..KEYS).for_each(|key| world.apply(&Op::NewKey(key, CLOCK_MARGIN_MS)));
    for _ in 0..3 {
        old_homes.iter().for_each(|agent| world.apply(&Op::Heartbeat { entry: lagging, agent: *agent }));
    }
    for entry in [lagging, 0] {
        for key in 0..KEYS {
            world.apply(&Op::SendRequest { entry, key });
            world.apply(&Op::Deliver(0));
            (0..ENDPOINTS * 2).for_each(|agent| world.apply(&Op::Finish { agent, outcome: 1 }));
        }
    }
    assert!(world.started_count > 0, "the new home accepts its keys");
}

/// Found by the property test, about once in 10,000 cases: an endpoint moves to an agent at another address, which has
/// long been verified against the end of the log. The previous agent runs a key until it learns of the move. The new
/// agent considered itself the home of that key all along, because homes were compared by endpoint name without the
/// address.
#[test]
fn the_records_of_an_agent_that_takes_over_an_endpoint_are_complete_only_from_the_move() {
    let ops = [
        Op::ReadLog(0),
        Op::ReadLog(0),
        Op::ReadLog(0),
        Op::ReadLog(0),
        Op::ReadLog(0),
        Op::ReadLog(0),
        Op::ReadLog(0),
        Op::ReadLog(0),
        Op::ReadLog(0),
        Op::HeartbeatAllExcept { entry: 0, except: 4 },
        Op::ReadLog(0),
        Op::ReadLog(0),
        Op::ReadLog(0),
        Op::ReadLog(0),
        Op::HeartbeatAllExcept { entry: 0, except: 4 },
        Op::PutEndpoint { endpoint: 2, addr: 0 },
        Op::RunIn(3),
        Op::PutEndpoint { endpoint: 0, addr: 0 },
        Op::PutEndpoint { endpoint: 0, addr: 0 },
        Op::PutEndpoint { endpoint: 0, addr: 0 },
        Op::ReadLog(0),
        Op::Heartbeat { entry: 1, agent: 3 },
        Op::PutEndpoint { endpoint: 0, addr: 0 },
        Op::AdvanceTime(2770),
        Op::ReadLog(0),
        Op::PutEndpoint { endpoint: 1, addr: 1 },
        Op::PutEndpoint { endpoint: 0, addr: 0 },
        Op::Heartbeat { entry: 0, agent: 0 },
        Op::PutEndpoint { endpoint: 0, addr: 0 },
        Op::NewKey(2, 834),
        Op::SendRequest { entry: 0, key: 2 },
        Op::Deliver(0),
        Op::ReadLog(1),
        Op::Heartbeat { entry: 1, agent: 2 },
        Op::ReadLog(0),
        Op::Heartbeat { entry: 0, agent: 3 },
        Op::ReadLog(1),
        Op::SendRequest { entry: 0, key: 2 },
        Op::Deliver(0),
    ];
    let mut world = World::new();
    ops.iter().for_each(|op| world.apply(op));
}
