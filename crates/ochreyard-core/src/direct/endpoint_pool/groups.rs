//! What is known of the groups that endpoints are ranks of.

use std::collections::BTreeSet;

use super::group::Group;
use super::{EndpointPool, LeaderlessGroups, Member, ReportedLoad};
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

    /// A leader, or an observer, told of its group.
    pub fn apply_group_update(&mut self, news: &GroupUpdate, now_ms: u64) {
        let name = group_name(&news.service, &news.group);
        self.events += 1;
        let event = self.events;
        let group = self.groups.entry(name.clone()).or_insert_with(|| Group::new(now_ms));
        let was_serving = group.is_serving(now_ms);
        if !group.on_news(news, event, now_ms) {
            return;
        }
        let goes_on_again = !was_serving && news.is_serving;
        for rank in &group.ranks_of(news) {
            let Some(member) = self.members.get_mut(&rank.endpoint) else { continue };
            if member.group.as_ref() != Some(&name) {
                member.group = Some(name.clone());
            }
            member.pace_permille = rank.pace_permille;
            member.on_load(ReportedLoad { running: rank.running, waiting: rank.waiting }, now_ms);
            if news.is_serving {
                member.on_told_serving(now_ms);
            }
            if goes_on_again {
                member.cold.on_possible_restart(now_ms);
            }
        }
    }

    /// Whether a group is led by nobody, as far as known.
    #[must_use]
    pub fn is_group_leaderless(&self, service: &str, group: &str, now_ms: u64) -> bool {
        self.groups.get(&group_name(service, group)).is_none_or(|group| group.is_unled(now_ms))
    }

    /// The groups of a service that nobody leads, as far as known.
    #[must_use]
    pub fn leaderless_groups(&self, service: &str, now_ms: u64) -> LeaderlessGroups {
        let mut unled = BTreeSet::new();
        let mut endpoints = 0_usize;
        for (_, member) in self.of_service(service) {
            match self.group_of(member) {
                Some(group) if group.is_unled(now_ms) => drop(unled.insert(&member.group)),
                None if member.takes_work() => endpoints += 1,
                _ => {}
            }
        }
        let unnamed: usize = self.groups_of(service).map(|group| group.unnamed(now_ms)).sum();
        LeaderlessGroups {
            known: unled.len(),
            ungrouped_endpoints: endpoints.saturating_sub(unnamed),
            min_group_size: self.groups_of(service).map(Group::size).filter(|size| *size > 0).min(),
        }
    }

    /// The records of the endpoints of a service that are not known to be in a group other
    /// than `group`.
    pub fn possible_group_members(&self, service: &str, group: &str) -> impl Iterator<Item = &EndpointRecord> {
        let name = group_name(service, group);
        let fits = move |member: &Member| member.group.as_ref().is_none_or(|other| *other == name);
        self.of_service(service).filter(move |(_, member)| fits(member)).map(|(_, member)| &member.record)
    }

    /// An endpoint told that another rank of its group is at fault.
    pub fn on_group_fault(&mut self, id: &str, now_ms: u64) {
        self.events += 1;
        let event = self.events;
        if let Some(group) = self.group_of_mut(id) {
            group.on_fault(event, now_ms);
        }
    }

    /// An endpoint crashed at `at_ms`: its whole group stands.
    pub fn on_crash(&mut self, id: &str, at_ms: u64) {
        self.events += 1;
        let event = self.events;
        if let Some(group) = self.group_of_mut(id) {
            group.on_crash(event, at_ms);
        }
    }
}

/// The name under which a group is kept: groups of two services may be called alike.
fn group_name(service: &str, group: &str) -> String {
    format!("{service}/{group}")
}
