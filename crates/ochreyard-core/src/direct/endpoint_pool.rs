//! The endpoints that an entry calls itself: how loaded they look from here,
//! which of them fail, and which gets the next request.

mod attempt_events;
mod attempt_outcome;
mod availability_notice;
mod cold_limit;
mod cold_limits;
mod data_centre_reach;
mod departed;
mod group;
mod groups;
mod leaderless_groups;
mod limit_usage;
mod limits;
mod member;
mod pick;
mod pick_error;
mod reported_load;
mod selection;
mod shuffled_order;
mod slow_start;
mod unavailable_counts;

use std::collections::{BTreeMap, BTreeSet, HashMap};

pub use self::attempt_outcome::AttemptOutcome;
pub use self::availability_notice::AvailabilityNotice;
use self::cold_limits::ColdQuotas;
use self::data_centre_reach::DataCentreReach;
use self::departed::Departed;
use self::group::Group;
pub use self::leaderless_groups::LeaderlessGroups;
pub use self::limit_usage::LimitUsage;
use self::member::Member;
pub use self::pick::Pick;
pub use self::pick_error::PickError;
pub use self::reported_load::ReportedLoad;
pub use self::unavailable_counts::UnavailableCounts;
use super::allowed_regions::AllowedRegions;
use super::catalog::EndpointChange;
use super::endpoint_incarnation::EndpointIncarnation;
use super::endpoint_record::EndpointRecord;
use super::shared_limit::SharingBoxes;

/// After this time, what a leader told of its group says nothing more, in milliseconds.
const NEWS_LIFE_MS: u64 = 1_500;

/// The endpoints known to this box.
#[derive(Debug, Clone, Default)]
pub struct EndpointPool {
    members: HashMap<String, Member>,
    by_service: HashMap<String, Vec<String>>,
    groups: HashMap<String, Group>,
    /// What lives have asked for that have no record now: one that lapsed may come back.
    parted: HashMap<EndpointIncarnation, Departed>,
    /// The boxes that share limits.
    sharers: SharingBoxes,
    cold_quotas: ColdQuotas,
    /// Data centres whose endpoints get no request.
    evacuated: BTreeSet<String>,
    /// What is known of the way to each data centre, where attempts failed.
    reach: HashMap<String, DataCentreReach>,
    /// The region of each data centre.
    regions: BTreeMap<String, String>,
    /// Changes of limits are numbered in their order.
    limit_version: u64,
    /// Endpoints that became known, and groups that began to stand, are numbered in their order.
    events: u64,
}

impl EndpointPool {
    /// An empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Follows a change of the catalog.
    pub fn apply(&mut self, change: EndpointChange) {
        match change {
            EndpointChange::Updated(id, record) => self.put(id, record),
            EndpointChange::Removed(id) => self.remove(&id),
        }
    }

    fn put(&mut self, id: String, record: EndpointRecord) {
        if let Some(member) = self.members.get_mut(&id)
            && member.record.service == record.service
            && member.record.started_ms == record.started_ms
        {
            member.is_evacuated = self.evacuated.contains(&record.data_centre);
            member.record = record;
            return;
        }
        self.remove(&id);
        self.by_service.entry(record.service.clone()).or_default().push(id.clone());
        self.events += 1;
        let life = EndpointIncarnation { id, started_ms: record.started_ms };
        let before = self.parted.remove(&life).unwrap_or_default();
        let cold = self.cold_bound(&life.id, &record.service);
        let mut member = Member::new(record, self.events, before, cold);
        member.is_evacuated = self.evacuated.contains(&member.record.data_centre);
        self.members.insert(life.id, member);
    }

    /// Endpoints of these data centres get no request from now on, those of all others do.
    pub fn set_evacuated_data_centres<'a>(&mut self, data_centres: impl Iterator<Item = &'a str>) {
        self.evacuated = data_centres.map(str::to_owned).collect();
        for member in self.members.values_mut() {
            member.is_evacuated = self.evacuated.contains(&member.record.data_centre);
        }
    }

    /// Sets the region of each data centre.
    pub fn set_regions(&mut self, regions: BTreeMap<String, String>) {
        self.regions = regions;
    }

    /// How many endpoints of a service are not at home for requests with these homes.
    #[must_use]
    pub fn endpoints_outside_regions(&self, service: &str, homes: &AllowedRegions) -> usize {
        self.of_service(service).filter(|(_, member)| !self.is_home(homes, member)).count()
    }

    fn is_home(&self, homes: &AllowedRegions, member: &Member) -> bool {
        homes.allows(self.regions.get(&member.record.data_centre).map(String::as_str))
    }

    /// The data centres whose endpoints get no request, in the order of their names.
    pub fn evacuated_data_centres(&self) -> impl Iterator<Item = &str> {
        self.evacuated.iter().map(String::as_str)
    }

    fn remove(&mut self, id: &str) {
        let Some(member) = self.members.remove(id) else { return };
        let parted = Departed { notice: member.notice, limit: member.limit };
        if !parted.is_empty() {
            let life = EndpointIncarnation { id: id.to_owned(), started_ms: member.record.started_ms };
            self.parted.insert(life, parted);
        }
        if let Some(ids) = self.by_service.get_mut(&member.record.service) {
            ids.retain(|other| other != id);
        }
    }

    /// The record of an endpoint, if it is known.
    #[must_use]
    pub fn record(&self, id: &str) -> Option<&EndpointRecord> {
        self.members.get(id).map(|member| &member.record)
    }

    fn of_service(&self, service: &str) -> impl Iterator<Item = (&str, &Member)> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.members.get(id).map(|member| (id.as_str(), member)))
    }

    /// The endpoints of a service, each with its record.
    pub fn endpoints(&self, service: &str) -> impl Iterator<Item = (&str, &EndpointRecord)> {
        self.of_service(service).map(|(id, member)| (id, &member.record))
    }

    /// The endpoint that was picked, if it still lives the same life.
    fn picked(&self, pick: &Pick) -> Option<&Member> {
        self.members.get(&pick.id).filter(|member| member.record.started_ms == pick.started_ms)
    }

    /// The same, to be changed.
    fn member_of(&mut self, pick: &Pick) -> Option<&mut Member> {
        self.members.get_mut(&pick.id).filter(|member| member.record.started_ms == pick.started_ms)
    }
}
