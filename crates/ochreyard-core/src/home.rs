//! The home of an idempotency key: the one endpoint that may run it.
//!
//! The home is picked by rendezvous hash over the endpoints of the *accepted
//! configuration*, never over those that look alive. When the configuration
//! moves a key, the new home takes it only after the old one has said that it
//! has the new configuration in force; until then the key is refused.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::hash;
use crate::ids::{DataCentreId, EndpointId};

/// What decides about an endpoint as a home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeMember {
    /// Address of its agent: another address is another home.
    pub agent_addr: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentreId,
}

/// The endpoints of one service from one version of the configuration on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeSet {
    /// The first version with these members.
    pub since_version: u64,
    /// The endpoints.
    pub members: BTreeMap<EndpointId, HomeMember>,
}

/// Where one workspace's work may run from one version on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunInSet {
    /// The first version with these places.
    pub since_version: u64,
    /// The places.
    pub run_in: BTreeSet<DataCentreId>,
}

/// Identifies one agent as a home: the endpoint at an address.
#[must_use]
pub fn member_key(endpoint: &EndpointId, agent_addr: SocketAddr) -> String {
    format!("{endpoint}@{agent_addr}")
}

/// Where a key may run now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyHome {
    /// At this endpoint and no other.
    At(EndpointId),
    /// Nowhere yet: an old home may still run it.
    Moving,
    /// Nowhere: no endpoint is permitted.
    NoPermittedEndpoint,
}

/// Where keys of one workspace and service live, with all past sets that a
/// process may still hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HomeView<'a> {
    /// Endpoint sets of the service, oldest first.
    pub sets: &'a [HomeSet],
    /// Places of the workspace, oldest first.
    pub run_in: &'a [RunInSet],
    /// The version that each old home has in force.
    pub acks: &'a BTreeMap<String, u64>,
}

impl HomeView<'_> {
    /// Where the key with this hash may run.
    #[must_use]
    pub fn home_of(&self, key_hash: u64) -> KeyHome {
        let (Some(set), Some(places)) = (self.sets.last(), self.run_in.last()) else {
            return KeyHome::NoPermittedEndpoint;
        };
        let Some((home, member)) = pick(set, places, key_hash) else {
            return KeyHome::NoPermittedEndpoint;
        };
        let present = member_key(home, member.agent_addr);
        let displaced_at = set.since_version.max(places.since_version);
        let old_homes = self.sets.iter().flat_map(|s| self.run_in.iter().map(move |r| (s, r)));
        let blocked = old_homes
            .filter_map(|(s, r)| pick(s, r, key_hash))
            .map(|(endpoint, member)| member_key(endpoint, member.agent_addr))
            .any(|old| old != present && self.acks.get(&old).is_none_or(|acked| *acked < displaced_at));
        if blocked { KeyHome::Moving } else { KeyHome::At(home.clone()) }
    }
}

/// Rendezvous hash: the permitted member with the highest score.
fn pick<'a>(set: &'a HomeSet, places: &RunInSet, key_hash: u64) -> Option<(&'a EndpointId, &'a HomeMember)> {
    let score = |id: &EndpointId| hash::mix(key_hash ^ hash::mix(hash::fnv1a(id.as_str().as_bytes())));
    set.members
        .iter()
        .filter(|(_, member)| places.run_in.contains(&member.data_centre))
        .max_by_key(|(id, _)| (score(id), *id))
}

/// Hash of a key within its workspace and service.
#[must_use]
pub fn key_hash(workspace: &str, service: &str, key: &str) -> u64 {
    let parts = [workspace.as_bytes(), &[0], service.as_bytes(), &[0], key.as_bytes()];
    parts.iter().fold(hash::fnv1a(&[]), |state, part| hash::fnv1a_from(state, part))
}
