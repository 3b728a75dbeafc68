//! The groups whose ranks are endpoints of the pool.

use std::collections::BTreeSet;

use super::group::Group;
use super::{EndpointPool, GroupRunning, LeaderReport, LeaderlessGroups, Member, ReportedLoad};
use crate::direct::endpoint_record::EndpointRecord;
use crate::direct::group_update::GroupUpdate;

impl EndpointPool {
    pub(super) fn group_of(&self, member: &Member) -> Option<&Group> {
        member.group.as_ref().and_then(|name| self.groups.get(name))
    }

    pub(super) fn group_of_mut(&mut self, id: &str) -> Option<&mut Group> {
        let name = self.members.get(id).and_then(|member| member.group.as_ref())?;
        self.groups.get_mut(name)
    }

    pub(super) fn groups_of(&self, service: &str) -> impl Iterator<Item = &Group> {
        let is_of_service = move |name: &str| name.strip_prefix(service).is_some_and(|rest| rest.starts_with('/'));
        self.groups.iter().filter(move |(name, _)| is_of_service(name)).map(|(_, group)| group)
    }

    /// Returns the running requests and the stream limit of each group of a service, by the name of the group.
    pub fn group_running<'a>(&'a self, service: &'a str, now_ms: u64) -> impl Iterator<Item = (&'a str, GroupRunning)> {
        let of_service = self.groups.iter().filter_map(move |(key, group)| {
            let name = key.strip_prefix(service)?.strip_prefix('/')?;
            Some((name, group))
        });
        of_service.map(move |(name, group)| (name, group.running(now_ms)))
    }

    /// Applies the report of a group's leader or observer.
    pub fn apply_group_update(&mut self, update: &GroupUpdate, now_ms: u64) {
        let key = group_key(&update.service, &update.group);
        self.last_event += 1;
        let event = self.last_event;
        let group = self.groups.entry(key.clone()).or_insert_with(|| Group::new(now_ms));
        let was_serving = group.is_serving(now_ms);
        if !group.apply_update(update, event, now_ms) {
            return;
        }
        let has_resumed = !was_serving && update.is_serving;
        for rank in &group.named_ranks(update) {
            let Some(member) = self.members.get_mut(&rank.endpoint) else { continue };
            if member.group.as_ref() != Some(&key) {
                member.group = Some(key.clone());
            }
            member.pace_permille = rank.pace_permille;
            member.on_load(ReportedLoad { running: rank.running, waiting: rank.waiting }, now_ms);
            if update.is_serving {
                member.on_group_running(now_ms);
            }
            if has_resumed {
                member.cold.on_possible_restart(now_ms);
            }
        }
    }

    /// Returns whether a group has neither a known leader nor an observer that checks whether it can be led.
    #[must_use]
    pub fn is_group_leaderless(&self, service: &str, group: &str, now_ms: u64) -> bool {
        self.groups.get(&group_key(service, group)).is_none_or(|group| group.is_leaderless(now_ms))
    }

    /// Returns the last report of a group's leader, if it is recent enough for the leader to count as such.
    #[must_use]
    pub fn leader_report(&self, service: &str, group: &str, now_ms: u64) -> Option<LeaderReport> {
        self.groups.get(&group_key(service, group))?.leader_report(now_ms)
    }

    /// Returns the last report of a group's leader, unless that leader has stood down.
    #[must_use]
    pub fn last_leader_report(&self, service: &str, group: &str, now_ms: u64) -> Option<LeaderReport> {
        self.groups.get(&group_key(service, group))?.last_leader_report(now_ms)
    }

    /// Returns the groups of a service without a known leader.
    #[must_use]
    pub fn leaderless_groups(&self, service: &str, now_ms: u64) -> LeaderlessGroups {
        let mut leaderless = BTreeSet::new();
        let mut endpoints = 0_usize;
        for (_, member) in self.members_of_service(service) {
            match self.group_of(member) {
                Some(group) if group.is_leaderless(now_ms) => drop(leaderless.insert(&member.group)),
                None if member.takes_work() => endpoints += 1,
                _ => {}
            }
        }
        let unnamed_ranks: usize = self.groups_of(service).map(|group| group.unnamed_ranks(now_ms)).sum();
        LeaderlessGroups {
            known: leaderless.len(),
            ungrouped_endpoints: endpoints.saturating_sub(unnamed_ranks),
            min_group_size: self.groups_of(service).map(Group::size).filter(|size| *size > 0).min(),
        }
    }

    /// The records of the endpoints of a service that are not known to belong to a group other than `group`.
    pub fn possible_group_members(&self, service: &str, group: &str) -> impl Iterator<Item = &EndpointRecord> {
        let key = group_key(service, group);
        let may_belong = move |member: &Member| member.group.as_ref().is_none_or(|other| *other == key);
        self.members_of_service(service).filter(move |(_, member)| may_belong(member)).map(|(_, member)| &member.record)
    }

    /// Records that an endpoint reported a fault of another rank of its group.
    pub fn on_group_fault(&mut self, id: &str, now_ms: u64) {
        self.last_event += 1;
        let event = self.last_event;
        if let Some(group) = self.group_of_mut(id) {
            group.on_fault(event, now_ms);
        }
    }

    /// Records that an endpoint crashed at `at_ms`, which stalls its whole group.
    pub fn on_crash(&mut self, id: &str, at_ms: u64) {
        self.last_event += 1;
        let event = self.last_event;
        if let Some(group) = self.group_of_mut(id) {
            group.on_crash(event, at_ms);
        }
    }
}

/// Returns the key of a group. Two services may use the same group name.
fn group_key(service: &str, group: &str) -> String {
    format!("{service}/{group}")
}
