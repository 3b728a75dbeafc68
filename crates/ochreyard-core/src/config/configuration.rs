//! The state that the configuration stream folds to.

mod validate;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::change::{Change, ChangeError, ObjectKey};
use super::record::{ConfirmedPlan, HomeAck};
use super::spec::{DataCentreSpec, EndpointSpec, ServiceSpec, WorkspaceSpec};
use crate::home::{HomeMember, HomeSet, HomeView, RunInSet, member_key};
use crate::ids::{DataCentreId, EndpointId, ServiceId, WorkspaceId};

/// A plan whose base lies further back than this many records is void: this
/// bounds how long removed objects must be remembered.
pub const MAX_PLAN_AGE_RECORDS: u64 = 10_000;

/// Why a confirmed plan has no effect, the same at every reader.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum VoidReason {
    /// Something that it touches changed after it was made.
    #[error("`{object}` changed at version {version}, after the plan was made")]
    Conflict {
        /// The object.
        object: ObjectKey,
        /// The version of the change.
        version: u64,
    },
    /// It is too old to be judged.
    #[error("the plan is older than {MAX_PLAN_AGE_RECORDS} records")]
    TooOld,
    /// The result would not hold together.
    #[error("{0}")]
    Invalid(ChangeError),
}

/// What a record did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The configuration has a new version.
    Changed,
    /// Nothing changed.
    Unchanged,
}

/// The accepted configuration at one version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Configuration {
    version: u64,
    folded_to: u64,
    services: BTreeMap<ServiceId, ServiceSpec>,
    workspaces: BTreeMap<WorkspaceId, WorkspaceSpec>,
    #[serde(rename = "places")]
    data_centres: BTreeMap<DataCentreId, DataCentreSpec>,
    endpoints: BTreeMap<EndpointId, EndpointSpec>,
    modified: BTreeMap<ObjectKey, u64>,
    home_sets: BTreeMap<ServiceId, Vec<HomeSet>>,
    run_in_sets: BTreeMap<WorkspaceId, Vec<RunInSet>>,
    home_acks: BTreeMap<String, u64>,
}

impl Configuration {
    /// The version: one more than the offset of the last record with an effect.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// The offset of the first record that is not in this state.
    #[must_use]
    pub const fn folded_to(&self) -> u64 {
        self.folded_to
    }

    pub(super) fn set_folded_to(&mut self, offset: u64) {
        self.folded_to = offset;
    }

    /// A service by name.
    #[must_use]
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceSpec> {
        self.services.get(id)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }

    /// A workspace by name.
    #[must_use]
    pub fn workspace(&self, id: &WorkspaceId) -> Option<&WorkspaceSpec> {
        self.workspaces.get(id)
    }

    /// All workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &WorkspaceSpec> {
        self.workspaces.values()
    }

    /// A place by name.
    #[must_use]
    pub fn data_centre(&self, id: &DataCentreId) -> Option<&DataCentreSpec> {
        self.data_centres.get(id)
    }

    /// An endpoint by name.
    #[must_use]
    pub fn endpoint(&self, id: &EndpointId) -> Option<&EndpointSpec> {
        self.endpoints.get(id)
    }

    /// All endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointSpec> {
        self.endpoints.values()
    }

    /// The endpoints of one service.
    pub fn endpoints_of<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a EndpointSpec> {
        self.endpoints.values().filter(move |e| e.service == *service)
    }

    /// The endpoints in one place.
    #[must_use]
    pub fn endpoints_in(&self, data_centre: &DataCentreId) -> Vec<EndpointId> {
        let here = self.endpoints.values().filter(|e| e.data_centre == *data_centre);
        here.map(|e| e.endpoint.clone()).collect()
    }

    /// Where keys of this workspace and service live.
    #[must_use]
    pub fn home_view(&self, workspace: &WorkspaceId, service: &ServiceId) -> HomeView<'_> {
        HomeView {
            sets: self.home_sets.get(service).map_or(&[], Vec::as_slice),
            run_in: self.run_in_sets.get(workspace).map_or(&[], Vec::as_slice),
            acks: &self.home_acks,
        }
    }

    /// Whether keys of a service live in `other` where they live here.
    #[must_use]
    pub fn has_same_homes(&self, other: &Self, service: &ServiceId) -> bool {
        let same_sets = self.home_sets.get(service) == other.home_sets.get(service);
        same_sets && self.run_in_sets == other.run_in_sets && self.home_acks == other.home_acks
    }

    /// Endpoint sets of a service that some process may still hold, oldest first.
    #[must_use]
    pub fn home_sets(&self, service: &ServiceId) -> &[HomeSet] {
        self.home_sets.get(service).map_or(&[], Vec::as_slice)
    }

    /// Agents that are no longer named by any endpoint, but may still run keys:
    /// they must hear of the present version before those keys can move.
    #[must_use]
    pub fn former_homes(&self) -> BTreeSet<(EndpointId, SocketAddr)> {
        let is_present =
            |id: &EndpointId, addr: SocketAddr| self.endpoints.get(id).is_some_and(|e| e.agent_addr == addr);
        self.home_sets
            .values()
            .flatten()
            .flat_map(|set| &set.members)
            .filter(|(id, member)| !is_present(id, member.agent_addr))
            .map(|(id, member)| (id.clone(), member.agent_addr))
            .collect()
    }

    /// Whether this agent's word on `version` would let keys move.
    #[must_use]
    pub fn needs_ack(&self, endpoint: &EndpointId, agent_addr: SocketAddr, version: u64) -> bool {
        let newest = self.newest_home_change();
        let known = self.home_acks.get(&member_key(endpoint, agent_addr)).copied().unwrap_or(0);
        self.has_moving_homes() && known < newest && version >= newest
    }

    fn newest_home_change(&self) -> u64 {
        let of_sets = self.home_sets.values().filter_map(|sets| sets.last()).map(|s| s.since_version);
        let of_places = self.run_in_sets.values().filter_map(|sets| sets.last()).map(|s| s.since_version);
        of_sets.chain(of_places).max().unwrap_or(0)
    }

    fn has_moving_homes(&self) -> bool {
        self.home_sets.values().any(|sets| sets.len() > 1) || self.run_in_sets.values().any(|sets| sets.len() > 1)
    }

    /// Applies a confirmed plan that stands at `offset`.
    ///
    /// # Errors
    ///
    /// [`VoidReason`] when the plan has no effect; the state is then unchanged.
    pub fn apply(&mut self, offset: u64, plan: &ConfirmedPlan) -> Result<ApplyOutcome, VoidReason> {
        self.check_overtaken(offset, plan)?;
        let mut next = self.clone();
        next.put_and_remove(&plan.change);
        next.validate().map_err(|mut faults| VoidReason::Invalid(faults.swap_remove(0)))?;
        let version = offset + 1;
        next.version = version;
        next.modified.extend(plan.change.writes().into_iter().map(|key| (key, version)));
        next.state_dead(&plan.change, version);
        next.record_home_changes(version);
        next.forget_old_removals();
        *self = next;
        Ok(ApplyOutcome::Changed)
    }

    fn check_overtaken(&self, offset: u64, plan: &ConfirmedPlan) -> Result<(), VoidReason> {
        if plan.base_version.saturating_add(MAX_PLAN_AGE_RECORDS) < offset {
            return Err(VoidReason::TooOld);
        }
        let touched = plan.change.writes().into_iter().chain(plan.change.reads());
        for object in touched {
            let version = self.modified.get(&object).copied().unwrap_or(0);
            if version > plan.base_version {
                return Err(VoidReason::Conflict { object, version });
            }
        }
        Ok(())
    }

    fn put_and_remove(&mut self, change: &Change) {
        let Change { services, workspaces, data_centres, endpoints, remove, .. } = change.clone();
        self.services.extend(services.into_iter().map(|s| (s.service.clone(), s)));
        self.workspaces.extend(workspaces.into_iter().map(|w| (w.workspace.clone(), w)));
        self.data_centres.extend(data_centres.into_iter().map(|p| (p.data_centre.clone(), p)));
        self.endpoints.extend(endpoints.into_iter().map(|e| (e.endpoint.clone(), e)));
        self.services.retain(|id, _| !remove.services.contains(id));
        self.workspaces.retain(|id, _| !remove.workspaces.contains(id));
        self.data_centres.retain(|id, _| !remove.data_centres.contains(id));
        self.endpoints.retain(|id, _| !remove.endpoints.contains(id));
    }

    /// Takes the operator's word in place of a dead agent's.
    fn state_dead(&mut self, change: &Change, version: u64) {
        let keys: Vec<String> = change
            .stated_dead
            .iter()
            .flat_map(|id| self.home_sets.values().flatten().filter_map(move |s| s.members.get(id).map(|m| (id, m))))
            .map(|(id, member)| member_key(id, member.agent_addr))
            .collect();
        self.home_acks.extend(keys.into_iter().map(|key| (key, version)));
    }

    fn record_home_changes(&mut self, version: u64) {
        let mut present: BTreeMap<ServiceId, BTreeMap<EndpointId, HomeMember>> = BTreeMap::new();
        for e in self.endpoints.values() {
            let member = HomeMember { agent_addr: e.agent_addr, data_centre: e.data_centre.clone() };
            present.entry(e.service.clone()).or_default().insert(e.endpoint.clone(), member);
        }
        for service in self.home_sets.keys() {
            present.entry(service.clone()).or_default();
        }
        for (service, members) in present {
            let sets = self.home_sets.entry(service).or_default();
            if sets.last().is_none_or(|last| last.members != members) {
                sets.push(HomeSet { since_version: version, members });
            }
        }
        for (id, spec) in &self.workspaces {
            let sets = self.run_in_sets.entry(id.clone()).or_default();
            if sets.last().is_none_or(|last| last.run_in != spec.run_in) {
                sets.push(RunInSet { since_version: version, run_in: spec.run_in.clone() });
            }
        }
        self.collapse_home_sets();
    }

    /// Notes which agents have which version in force, at `offset`.
    pub fn record_home_acks(&mut self, offset: u64, acks: &[HomeAck]) -> ApplyOutcome {
        for ack in acks {
            let entry = self.home_acks.entry(member_key(&ack.endpoint, ack.agent_addr)).or_default();
            *entry = ack.version.max(*entry);
        }
        self.collapse_home_sets();
        self.version = offset + 1;
        ApplyOutcome::Changed
    }

    /// Forgets past sets that no agent can hold any more.
    fn collapse_home_sets(&mut self) {
        let acks = &self.home_acks;
        let acked = |set: &HomeSet, version: u64| {
            let behind = |(id, m): (&EndpointId, &HomeMember)| {
                acks.get(&member_key(id, m.agent_addr)).is_none_or(|acked| *acked < version)
            };
            !set.members.iter().any(behind)
        };
        let mut everyone_acked = 0;
        if let Some(newest) = Some(self.newest_home_change()).filter(|_| self.has_moving_homes()) {
            let all = self.home_sets.values().flatten().all(|set| acked(set, newest));
            everyone_acked = if all { newest } else { 0 };
        }
        for sets in self.home_sets.values_mut() {
            while sets.len() > 1 && acked(&sets[0], sets[sets.len() - 1].since_version) {
                sets.remove(0);
            }
        }
        for sets in self.run_in_sets.values_mut() {
            if sets.last().is_some_and(|last| last.since_version <= everyone_acked) {
                sets.drain(..sets.len() - 1);
            }
        }
        if !self.has_moving_homes() {
            self.home_acks.clear();
        }
    }

    fn forget_old_removals(&mut self) {
        let oldest = self.version.saturating_sub(MAX_PLAN_AGE_RECORDS);
        let (services, workspaces) = (&self.services, &self.workspaces);
        let (data_centres, endpoints) = (&self.data_centres, &self.endpoints);
        let lives = |key: &ObjectKey| match key.to_string().split_once('/') {
            Some(("service", id)) => services.contains_key(id),
            Some(("workspace", id)) => workspaces.contains_key(id),
            Some(("place", id)) => data_centres.contains_key(id),
            Some(("endpoint", id)) => endpoints.contains_key(id),
            _ => false,
        };
        self.modified.retain(|key, version| *version >= oldest || lives(key));
    }
}
