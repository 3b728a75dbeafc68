//! What is known of the groups that endpoints are ranks of.

use super::group::Group;
use super::{EndpointPool, Member, ReportedLoad};
use crate::direct::endpoint_record::EndpointRecord;
use crate::direct::group_news::GroupNews;

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
    pub fn on_news(&mut self, news: &GroupNews, now_ms: u64) {
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
                member.cold.on_return(now_ms);
            }
        }
    }

    /// Whether a group is led by nobody, as far as known.
    #[must_use]
    pub fn is_unled(&self, service: &str, group: &str, now_ms: u64) -> bool {
        self.groups.get(&group_name(service, group)).is_none_or(|group| group.is_unled(now_ms))
    }

    /// Whether a known group of a service is led by nobody.
    #[must_use]
    pub fn has_unled_group(&self, service: &str, now_ms: u64) -> bool {
        let mut groups = self.of_service(service).filter_map(|(_, member)| self.group_of(member));
        groups.any(|group| group.is_unled(now_ms))
    }

    /// Whether the names of the ranks of a group are about to be told.
    #[must_use]
    pub fn awaits_names(&self, service: &str, now_ms: u64) -> bool {
        self.groups_of(service).any(|group| group.awaits_names(now_ms))
    }

    /// Whether a group of a service is known.
    #[must_use]
    pub fn knows_group(&self, service: &str) -> bool {
        self.of_service(service).any(|(_, member)| self.group_of(member).is_some())
    }

    /// Whether an endpoint of a service belongs to no group that is known.
    #[must_use]
    pub fn has_endpoint_without_group(&self, service: &str) -> bool {
        self.of_service(service).any(|(_, member)| member.takes_work() && self.group_of(member).is_none())
    }

    /// The records of the endpoints of a service that are not known to be in a group other
    /// than `group`.
    pub fn outside_other_groups(&self, service: &str, group: &str) -> impl Iterator<Item = &EndpointRecord> {
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
