//! The home of an idempotency key, which is the only endpoint that may run its request.
//!
//! The home is picked by rendezvous hashing over the endpoints of the *accepted configuration*, not over those that
//! appear alive. If a new configuration moves a key, the new home accepts it only after the old home has
//! acknowledged that it has the new configuration in force. Until then the key is refused.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::hash;
use crate::ids::{DataCentreId, EndpointId};

/// The properties of an endpoint that determine whether it can be the home of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeMember {
    /// Address of its agent. The same endpoint at another address is another home.
    pub agent_addr: SocketAddr,
    /// The data centre that the endpoint is in.
    pub data_centre: DataCentreId,
}

/// The endpoints of one service from one version of the configuration on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeSet {
    /// The first version with these members.
    pub since_version: u64,
    /// The endpoints of the service.
    pub members: BTreeMap<EndpointId, HomeMember>,
}

/// The data centres in which a workspace's requests may run, from one version of the configuration on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunInSet {
    /// The first version with these data centres.
    pub since_version: u64,
    /// The permitted data centres.
    pub run_in: BTreeSet<DataCentreId>,
}

/// Returns the key under which an agent's acknowledgements are stored: its endpoint and address.
#[must_use]
pub fn member_key(endpoint: &EndpointId, agent_addr: SocketAddr) -> String {
    format!("{endpoint}@{agent_addr}")
}

/// Where an idempotency key may run now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyHome {
    /// Only at this endpoint.
    At(EndpointId),
    /// Nowhere yet, because an old home may still run it.
    Moving,
    /// Nowhere, because no endpoint of the service is permitted.
    NoPermittedEndpoint,
}

/// Determines the homes of the keys of one workspace and service. It includes all past sets that a process may
/// still have in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HomeView<'a> {
    /// Endpoint sets of the service, oldest first.
    pub sets: &'a [HomeSet],
    /// Permitted data centres of the workspace, oldest first.
    pub run_in: &'a [RunInSet],
    /// The version that each agent has acknowledged, by [`member_key`].
    pub acks: &'a BTreeMap<String, u64>,
}

impl HomeView<'_> {
    /// Returns where the key with this hash may run.
    #[must_use]
    pub fn home_of(&self, key_hash: u64) -> KeyHome {
        let (Some(set), Some(run_in)) = (self.sets.last(), self.run_in.last()) else {
            return KeyHome::NoPermittedEndpoint;
        };
        let Some((home, member)) = pick_home(set, run_in, key_hash) else {
            return KeyHome::NoPermittedEndpoint;
        };
        let current = member_key(home, member.agent_addr);
        let moved_in_version = set.since_version.max(run_in.since_version);
        let combinations = self.sets.iter().flat_map(|s| self.run_in.iter().map(move |r| (s, r)));
        let is_moving = combinations
            .filter_map(|(s, r)| pick_home(s, r, key_hash))
            .map(|(endpoint, member)| member_key(endpoint, member.agent_addr))
            .any(|old| old != current && self.acks.get(&old).is_none_or(|acked| *acked < moved_in_version));
        if is_moving { KeyHome::Moving } else { KeyHome::At(home.clone()) }
    }
}

/// Picks the permitted member with the highest score (rendezvous hashing).
fn pick_home<'a>(set: &'a HomeSet, run_in: &RunInSet, key_hash: u64) -> Option<(&'a EndpointId, &'a HomeMember)> {
    let score = |id: &EndpointId| hash::mix(key_hash ^ hash::mix(hash::fnv1a(id.as_str().as_bytes())));
    set.members
        .iter()
        .filter(|(_, member)| run_in.run_in.contains(&member.data_centre))
        .max_by_key(|(id, _)| (score(id), *id))
}

/// Hashes an idempotency key together with its workspace and service.
#[must_use]
pub fn key_hash(workspace: &str, service: &str, key: &str) -> u64 {
    let parts = [workspace.as_bytes(), &[0], service.as_bytes(), &[0], key.as_bytes()];
    parts.iter().fold(hash::fnv1a(&[]), |state, part| hash::fnv1a_from(state, part))
}
