//! Records that an entry appends to the log. Any entry may append them, so the entries spread them over time.

use std::net::SocketAddr;

use ochreyard_core::config::{ConfigRecord, Configuration, FoldStatus, HomeAck};
use ochreyard_core::hash;
use ochreyard_core::ids::EndpointId;

use super::{AgentState, EntryState, FormerHome};

/// Heartbeat rounds over which entries spread the records that any one of them may append.
const WRITE_SPREAD_ROUNDS: u64 = 3;

impl EntryState {
    /// Returns the acknowledgements of agents that allow keys to move to their new homes, once this entry should append
    /// them.
    pub fn due_home_acks(&mut self) -> Option<ConfigRecord> {
        let config = self.fold.state()?;
        let current_ack = |(endpoint, agent): (&EndpointId, &AgentState)| {
            let version = self.membership.member(endpoint)?.report.config_version;
            let needed = config.needs_ack(endpoint, agent.addr, version);
            needed.then(|| HomeAck { endpoint: endpoint.clone(), agent_addr: agent.addr, version })
        };
        let former_ack = |((endpoint, addr), home): (&(EndpointId, SocketAddr), &FormerHome)| {
            let version = home.config_version;
            let needed = config.needs_ack(endpoint, *addr, version);
            needed.then(|| HomeAck { endpoint: endpoint.clone(), agent_addr: *addr, version })
        };
        let former = self.former_homes.iter().filter_map(former_ack);
        let acks: Vec<HomeAck> = self.agents.iter().filter_map(current_ack).chain(former).collect();
        if acks.is_empty() {
            self.rounds_with_pending_acks = 0;
            return None;
        }
        self.rounds_with_pending_acks += 1;
        let own_round = 1 + self.write_slot(WRITE_SPREAD_ROUNDS);
        (self.rounds_with_pending_acks >= own_round).then_some(ConfigRecord::HomeAcks { acks })
    }

    /// Returns a snapshot, once this entry should append one.
    pub fn due_snapshot(&mut self, now_ms: u64) -> Option<ConfigRecord> {
        const SNAPSHOT_SLOTS: u64 = 16;
        let every_ms = self.identity.snapshot_every_ms;
        let next_snapshot_ms =
            self.last_snapshot_ms + every_ms + every_ms / SNAPSHOT_SLOTS * self.write_slot(SNAPSHOT_SLOTS) / 2;
        let state = self.fold.state().filter(|_| self.fold.status() == FoldStatus::Following)?;
        if now_ms < next_snapshot_ms || state.version() == 0 {
            return None;
        }
        self.last_snapshot_ms = now_ms;
        Some(ConfigRecord::Snapshot { as_of: state.folded_to(), state: Box::new(Configuration::clone(state)) })
    }

    /// Returns a slot below `slots` by the hash of the entry's name, so that the entries do not all append at once.
    fn write_slot(&self, slots: u64) -> u64 {
        hash::mix(hash::fnv1a(self.identity.entry.as_str().as_bytes())) % slots
    }
}
