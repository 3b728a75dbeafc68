//! What can happen in the model.

use proptest::prelude::*;

use super::{AGENTS, ENDPOINTS, ENTRIES, KEYS, MARGIN_MS};

/// One thing that happens.
#[derive(Debug, Clone)]
pub enum Op {
    PutEndpoint {
        endpoint: usize,
        addr: usize,
    },
    RemoveEndpoint(usize),
    RunIn(usize),
    EntryReads(usize),
    Beat {
        entry: usize,
        agent: usize,
    },
    /// An entry beats all agents but one.
    BeatMost {
        entry: usize,
        but: usize,
    },
    Call {
        entry: usize,
        key: usize,
    },
    Deliver(usize),
    Repeat(usize),
    Finish {
        agent: usize,
        outcome: usize,
    },
    Revoke(usize),
    RestartAgent(usize),
    RestartEntry(usize),
    NewKey(usize, u64),
    Pass(u64),
}

/// Any of them, the usual ones more often.
pub fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        2 => (0..ENDPOINTS, 0..2usize).prop_map(|(endpoint, addr)| Op::PutEndpoint { endpoint, addr }),
        1 => (0..ENDPOINTS).prop_map(Op::RemoveEndpoint),
        1 => (1..4usize).prop_map(Op::RunIn),
        4 => (0..ENTRIES).prop_map(Op::EntryReads),
        6 => (0..ENTRIES, 0..AGENTS).prop_map(|(entry, agent)| Op::Beat { entry, agent }),
        6 => (0..ENTRIES, 0..AGENTS).prop_map(|(entry, but)| Op::BeatMost { entry, but }),
        10 => (0..ENTRIES, 0..KEYS).prop_map(|(entry, key)| Op::Call { entry, key }),
        10 => any::<usize>().prop_map(Op::Deliver),
        2 => any::<usize>().prop_map(Op::Repeat),
        6 => (0..AGENTS, 0..3usize).prop_map(|(agent, outcome)| Op::Finish { agent, outcome }),
        2 => any::<usize>().prop_map(Op::Revoke),
        2 => (0..AGENTS).prop_map(Op::RestartAgent),
        1 => (0..ENTRIES).prop_map(Op::RestartEntry),
        2 => (0..KEYS, 0..MARGIN_MS).prop_map(|(key, skew)| Op::NewKey(key, skew)),
        4 => (1..6_000u64).prop_map(Op::Pass),
    ]
}
