//! The configuration at one version, which the records of the configuration stream fold to.

mod validate;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::change::{Change, ChangeError, ObjectKey};
use super::record::{ConfirmedPlan, HomeAck};
use super::spec::{DataCentreSpec, EndpointSpec, ServiceSpec, WorkspaceSpec};
use crate::home::{HomeMember, HomeSet, HomeView, RunInSet, member_key};
use crate::ids::{DataCentreId, EndpointId, ServiceId, WorkspaceId};

/// Maximum number of records between the base version of a plan and its confirmation; an older plan is void. This
/// bounds how long the versions of removed objects are stored.
pub const MAX_PLAN_AGE_RECORDS: u64 = 10_000;

/// Why a confirmed plan has no effect. Every reader of the log derives the same reason.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum VoidReason {
    /// An object that the plan writes or refers to changed after the plan was made.
    #[error("`{object}` changed at version {version}, after the plan was made")]
    Conflict {
        /// The key of the changed object.
        object: ObjectKey,
        /// The version in which the object changed.
        version: u64,
    },
    /// The plan is too old to be checked for conflicts.
    #[error("the plan is older than {MAX_PLAN_AGE_RECORDS} records")]
    TooOld,
    /// The resulting configuration would be invalid.
    #[error("{0}")]
    Invalid(ChangeError),
}

/// The effect of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The configuration has a new version.
    Changed,
    /// The record had no effect.
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
    /// The version, which is one more than the offset of the last record that had an effect.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// The offset of the first record that is not included in this state.
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

    /// A data centre by name.
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

    /// The endpoints in one data centre.
    #[must_use]
    pub fn endpoints_in(&self, data_centre: &DataCentreId) -> Vec<EndpointId> {
        let specs = self.endpoints.values().filter(|e| e.data_centre == *data_centre);
        specs.map(|e| e.endpoint.clone()).collect()
    }

    /// The view that determines the homes of keys of this workspace and service.
    #[must_use]
    pub fn home_view(&self, workspace: &WorkspaceId, service: &ServiceId) -> HomeView<'_> {
        HomeView {
            sets: self.home_sets.get(service).map_or(&[], Vec::as_slice),
            run_in: self.run_in_sets.get(workspace).map_or(&[], Vec::as_slice),
            acks: &self.home_acks,
        }
    }

    /// Returns whether the keys of a service have the same homes in `other` as here.
    #[must_use]
    pub fn has_same_homes(&self, other: &Self, service: &ServiceId) -> bool {
        let same_sets = self.home_sets.get(service) == other.home_sets.get(service);
        same_sets && self.run_in_sets == other.run_in_sets && self.home_acks == other.home_acks
    }

    /// Endpoint sets of a service that some process may still have in force, oldest first.
    #[must_use]
    pub fn home_sets(&self, service: &ServiceId) -> &[HomeSet] {
        self.home_sets.get(service).map_or(&[], Vec::as_slice)
    }

    /// Agents that no endpoint in the configuration names any more, but that may still run keys. They must
    /// acknowledge the current version before those keys can move.
    #[must_use]
    pub fn former_homes(&self) -> BTreeSet<(EndpointId, SocketAddr)> {
        let is_current =
            |id: &EndpointId, addr: SocketAddr| self.endpoints.get(id).is_some_and(|e| e.agent_addr == addr);
        self.home_sets
            .values()
            .flatten()
            .flat_map(|set| &set.members)
            .filter(|(id, member)| !is_current(id, member.agent_addr))
            .map(|(id, member)| (id.clone(), member.agent_addr))
            .collect()
    }

    /// Returns whether an acknowledgement of `version` by this agent is missing for keys to move.
    #[must_use]
    pub fn needs_ack(&self, endpoint: &EndpointId, agent_addr: SocketAddr, version: u64) -> bool {
        let newest = self.newest_home_change();
        let acked = self.home_acks.get(&member_key(endpoint, agent_addr)).copied().unwrap_or(0);
        self.has_moving_homes() && acked < newest && version >= newest
    }

    fn newest_home_change(&self) -> u64 {
        let of_sets = self.home_sets.values().filter_map(|sets| sets.last()).map(|s| s.since_version);
        let of_run_in = self.run_in_sets.values().filter_map(|sets| sets.last()).map(|s| s.since_version);
        of_sets.chain(of_run_in).max().unwrap_or(0)
    }

    fn has_moving_homes(&self) -> bool {
        self.home_sets.values().any(|sets| sets.len() > 1) || self.run_in_sets.values().any(|sets| sets.len() > 1)
    }

    /// Applies a confirmed plan whose record is at `offset`.
    ///
    /// # Errors
    ///
    /// Returns the [`VoidReason`] if the plan has no effect; the state is then unchanged.
    pub fn apply(&mut self, offset: u64, plan: &ConfirmedPlan) -> Result<ApplyOutcome, VoidReason> {
        self.check_conflicts(offset, plan)?;
        let mut next = self.clone();
        next.write_objects(&plan.change);
        next.validate().map_err(|mut errors| VoidReason::Invalid(errors.swap_remove(0)))?;
        let version = offset + 1;
        next.version = version;
        next.modified.extend(plan.change.writes().into_iter().map(|key| (key, version)));
        next.acknowledge_for_dead(&plan.change, version);
        next.record_home_changes(version);
        next.prune_removed_objects();
        *self = next;
        Ok(ApplyOutcome::Changed)
    }

    fn check_conflicts(&self, offset: u64, plan: &ConfirmedPlan) -> Result<(), VoidReason> {
        if plan.base_version.saturating_add(MAX_PLAN_AGE_RECORDS) < offset {
            return Err(VoidReason::TooOld);
        }
        let objects = plan.change.writes().into_iter().chain(plan.change.reads());
        for object in objects {
            let version = self.modified.get(&object).copied().unwrap_or(0);
            if version > plan.base_version {
                return Err(VoidReason::Conflict { object, version });
            }
        }
        Ok(())
    }

    fn write_objects(&mut self, change: &Change) {
        let Change { services, workspaces, data_centres, endpoints, remove, .. } = change.clone();
        self.services.extend(services.into_iter().map(|s| (s.service.clone(), s)));
        self.workspaces.extend(workspaces.into_iter().map(|w| (w.workspace.clone(), w)));
        self.data_centres.extend(data_centres.into_iter().map(|d| (d.data_centre.clone(), d)));
        self.endpoints.extend(endpoints.into_iter().map(|e| (e.endpoint.clone(), e)));
        self.services.retain(|id, _| !remove.services.contains(id));
        self.workspaces.retain(|id, _| !remove.workspaces.contains(id));
        self.data_centres.retain(|id, _| !remove.data_centres.contains(id));
        self.endpoints.retain(|id, _| !remove.endpoints.contains(id));
    }

    /// Records acknowledgements on behalf of agents that the operator declares dead.
    fn acknowledge_for_dead(&mut self, change: &Change, version: u64) {
        let keys: Vec<String> = change
            .stated_dead
            .iter()
            .flat_map(|id| self.home_sets.values().flatten().filter_map(move |s| s.members.get(id).map(|m| (id, m))))
            .map(|(id, member)| member_key(id, member.agent_addr))
            .collect();
        self.home_acks.extend(keys.into_iter().map(|key| (key, version)));
    }

    fn record_home_changes(&mut self, version: u64) {
        let mut members_of: BTreeMap<ServiceId, BTreeMap<EndpointId, HomeMember>> = BTreeMap::new();
        for e in self.endpoints.values() {
            let member = HomeMember { agent_addr: e.agent_addr, data_centre: e.data_centre.clone() };
            members_of.entry(e.service.clone()).or_default().insert(e.endpoint.clone(), member);
        }
        for service in self.home_sets.keys() {
            members_of.entry(service.clone()).or_default();
        }
        for (service, members) in members_of {
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

    /// Records which versions agents have in force, from a record at `offset`.
    pub fn record_home_acks(&mut self, offset: u64, acks: &[HomeAck]) -> ApplyOutcome {
        for ack in acks {
            let entry = self.home_acks.entry(member_key(&ack.endpoint, ack.agent_addr)).or_default();
            *entry = ack.version.max(*entry);
        }
        self.collapse_home_sets();
        self.version = offset + 1;
        ApplyOutcome::Changed
    }

    /// Drops past sets that no agent can have in force any more.
    fn collapse_home_sets(&mut self) {
        let acks = &self.home_acks;
        let acked = |set: &HomeSet, version: u64| {
            let is_behind = |(id, m): (&EndpointId, &HomeMember)| {
                acks.get(&member_key(id, m.agent_addr)).is_none_or(|acked| *acked < version)
            };
            !set.members.iter().any(is_behind)
        };
        let mut acked_by_all = 0;
        if let Some(newest) = Some(self.newest_home_change()).filter(|_| self.has_moving_homes()) {
            let all = self.home_sets.values().flatten().all(|set| acked(set, newest));
            acked_by_all = if all { newest } else { 0 };
        }
        for sets in self.home_sets.values_mut() {
            while sets.len() > 1 && acked(&sets[0], sets[sets.len() - 1].since_version) {
                sets.remove(0);
            }
        }
        for sets in self.run_in_sets.values_mut() {
            if sets.last().is_some_and(|last| last.since_version <= acked_by_all) {
                sets.drain(..sets.len() - 1);
            }
        }
        if !self.has_moving_homes() {
            self.home_acks.clear();
        }
    }

    /// Drops the versions of removed objects that no valid plan can conflict with any more.
    fn prune_removed_objects(&mut self) {
        let oldest = self.version.saturating_sub(MAX_PLAN_AGE_RECORDS);
        let (services, workspaces) = (&self.services, &self.workspaces);
        let (data_centres, endpoints) = (&self.data_centres, &self.endpoints);
        let exists = |key: &ObjectKey| match key.to_string().split_once('/') {
            Some(("service", id)) => services.contains_key(id),
            Some(("workspace", id)) => workspaces.contains_key(id),
            Some(("place", id)) => data_centres.contains_key(id),
            Some(("endpoint", id)) => endpoints.contains_key(id),
            _ => false,
        };
        self.modified.retain(|key, version| *version >= oldest || exists(key));
    }
}
