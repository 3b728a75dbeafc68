//! The operations of the model.

use proptest::prelude::*;

use super::{AGENTS, CLOCK_MARGIN_MS, ENDPOINTS, ENTRIES, KEYS};

/// One operation.
#[derive(Debug, Clone)]
pub enum Op {
    PutEndpoint {
        endpoint: usize,
        addr: usize,
    },
    RemoveEndpoint(usize),
    RunIn(usize),
    ReadLog(usize),
    Heartbeat {
        entry: usize,
        agent: usize,
    },
    /// Heartbeats of an entry to all agents except one.
    HeartbeatAllExcept {
        entry: usize,
        except: usize,
    },
    SendRequest {
        entry: usize,
        key: usize,
    },
    Deliver(usize),
    Duplicate(usize),
    Finish {
        agent: usize,
        outcome: usize,
    },
    Revoke(usize),
    RestartAgent(usize),
    RestartEntry(usize),
    NewKey(usize, u64),
    AdvanceTime(u64),
}

/// Generates any operation, the frequent ones of a real system more often.
pub fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        2 => (0..ENDPOINTS, 0..2usize).prop_map(|(endpoint, addr)| Op::PutEndpoint { endpoint, addr }),
        1 => (0..ENDPOINTS).prop_map(Op::RemoveEndpoint),
        1 => (1..4usize).prop_map(Op::RunIn),
        4 => (0..ENTRIES).prop_map(Op::ReadLog),
        6 => (0..ENTRIES, 0..AGENTS).prop_map(|(entry, agent)| Op::Heartbeat { entry, agent }),
        6 => (0..ENTRIES, 0..AGENTS).prop_map(|(entry, except)| Op::HeartbeatAllExcept { entry, except }),
        10 => (0..ENTRIES, 0..KEYS).prop_map(|(entry, key)| Op::SendRequest { entry, key }),
        10 => any::<usize>().prop_map(Op::Deliver),
        2 => any::<usize>().prop_map(Op::Duplicate),
        6 => (0..AGENTS, 0..3usize).prop_map(|(agent, outcome)| Op::Finish { agent, outcome }),
        2 => any::<usize>().prop_map(Op::Revoke),
        2 => (0..AGENTS).prop_map(Op::RestartAgent),
        1 => (0..ENTRIES).prop_map(Op::RestartEntry),
        2 => (0..KEYS, 0..CLOCK_MARGIN_MS).prop_map(|(key, skew)| Op::NewKey(key, skew)),
        4 => (1..6_000u64).prop_map(Op::AdvanceTime),
    ]
}
