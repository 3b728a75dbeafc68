//! What an entry writes into the log, when it is its turn.

use std::net::SocketAddr;

use ochreyard_core::config::{ConfigRecord, Configuration, FoldStatus, HomeAck};
use ochreyard_core::hash;
use ochreyard_core::ids::EndpointId;

use super::{EntryState, FormerHome, Peer};

/// Heartbeat rounds over which entries spread what any one of them may write.
const WRITE_SPREAD_ROUNDS: u64 = 3;

impl EntryState {
    /// What agents have said that lets keys move, once it is this entry's turn to write it.
    pub fn due_acks(&mut self) -> Option<ConfigRecord> {
        let config = self.fold.state()?;
        let word = |(endpoint, peer): (&EndpointId, &Peer)| {
            let version = self.membership.member(endpoint)?.report.config_version;
            let needed = config.needs_ack(endpoint, peer.addr, version);
            needed.then(|| HomeAck { endpoint: endpoint.clone(), agent_addr: peer.addr, version })
        };
        let former_word = |((endpoint, addr), home): (&(EndpointId, SocketAddr), &FormerHome)| {
            let version = home.config_version;
            let needed = config.needs_ack(endpoint, *addr, version);
            needed.then(|| HomeAck { endpoint: endpoint.clone(), agent_addr: *addr, version })
        };
        let former = self.former_homes.iter().filter_map(former_word);
        let acks: Vec<HomeAck> = self.peers.iter().filter_map(word).chain(former).collect();
        if acks.is_empty() {
            self.rounds_with_pending_acks = 0;
            return None;
        }
        self.rounds_with_pending_acks += 1;
        let own_turn = 1 + self.rank(WRITE_SPREAD_ROUNDS);
        (self.rounds_with_pending_acks >= own_turn).then_some(ConfigRecord::HomeAcks { acks })
    }

    /// A snapshot, once it is this entry's turn to write one.
    pub fn due_snapshot(&mut self, now_ms: u64) -> Option<ConfigRecord> {
        const SPREAD: u64 = 16;
        let every_ms = self.identity.snapshot_every_ms;
        let due_ms = self.snapshot_seen_ms + every_ms + every_ms / SPREAD * self.rank(SPREAD) / 2;
        let state = self.fold.state().filter(|_| self.fold.status() == FoldStatus::Following)?;
        if now_ms < due_ms || state.version() == 0 {
            return None;
        }
        self.snapshot_seen_ms = now_ms;
        Some(ConfigRecord::Snapshot { as_of: state.folded_to(), state: Box::new(Configuration::clone(state)) })
    }

    /// A small number that differs between entries, so that they do not write all at once.
    fn rank(&self, of: u64) -> u64 {
        hash::mix(hash::fnv1a(self.identity.entry.as_str().as_bytes())) % of
    }
}
