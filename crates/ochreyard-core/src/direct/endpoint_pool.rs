//! The endpoints that this entry calls directly: their load as this box estimates it, their failures, and the choice of
//! the endpoint for each request.

mod admission;
mod admission_share;
mod attempt_events;
mod attempt_outcome;
mod availability_notice;
mod cold_limit;
mod cold_limits;
mod data_centre_reach;
mod departed;
mod failure_streak;
mod group;
mod group_admissions;
mod group_running;
mod groups;
mod leader_report;
mod leaderless_groups;
mod limit_usage;
mod limits;
mod member;
mod pick;
mod pick_error;
mod pick_request;
mod reported_load;
mod selection;
mod shuffled_order;
mod slow_start;
mod sudden_removals;
mod unavailable_counts;

use std::collections::{BTreeMap, BTreeSet, HashMap};

pub use self::admission::Admission;
pub use self::admission_share::AdmissionShare;
pub use self::attempt_outcome::AttemptOutcome;
pub use self::availability_notice::AvailabilityNotice;
use self::cold_limits::ColdQuotas;
use self::data_centre_reach::DataCentreReach;
use self::departed::Departed;
use self::group::Group;
pub use self::group_running::GroupRunning;
pub use self::leader_report::LeaderReport;
pub use self::leaderless_groups::LeaderlessGroups;
pub use self::limit_usage::LimitUsage;
use self::member::Member;
pub use self::pick::Pick;
pub use self::pick_error::PickError;
pub use self::pick_request::PickRequest;
pub use self::reported_load::ReportedLoad;
use self::sudden_removals::SuddenRemovals;
pub use self::unavailable_counts::UnavailableCounts;
use super::catalog::EndpointChange;
use super::endpoint_incarnation::EndpointIncarnation;
use super::endpoint_record::EndpointRecord;
use super::permitted_regions::PermittedRegions;
use super::shared_limit::SharingBoxes;

/// How long a leader's report about its group is used, in milliseconds.
const REPORT_LIFETIME_MS: u64 = 1_500;

/// The endpoints known to this box.
#[derive(Debug, Clone, Default)]
pub struct EndpointPool {
    members: HashMap<String, Member>,
    by_service: HashMap<String, Vec<String>>,
    groups: HashMap<String, Group>,
    /// What endpoint incarnations without a record have asked for. The record of a running endpoint may expire and come
    /// back.
    departed: HashMap<EndpointIncarnation, Departed>,
    sudden_removals: SuddenRemovals,
    /// The boxes that share rate limits.
    sharing_boxes: SharingBoxes,
    cold_quotas: ColdQuotas,
    /// The start time of this process. What earlier processes of its box have sent is unknown.
    process_started_ms: Option<u64>,
    /// Data centres whose endpoints get no requests.
    evacuated: BTreeSet<String>,
    /// Whether each data centre with recent connection failures is reachable from this box.
    reach: HashMap<String, DataCentreReach>,
    /// The region of each data centre.
    regions: BTreeMap<String, String>,
    /// The version of the limits that this box knows, incremented with each change.
    limit_version: u64,
    /// The sequence number of the last event: an endpoint became known, or a group may have stalled.
    last_event: u64,
}

impl EndpointPool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a change of the catalog.
    pub fn apply(&mut self, change: EndpointChange) {
        match change {
            EndpointChange::Updated(id, record) => self.insert_or_update(id, record),
            EndpointChange::Removed(id) => self.remove(&id),
        }
    }

    fn insert_or_update(&mut self, id: String, record: EndpointRecord) {
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
        self.last_event += 1;
        let incarnation = EndpointIncarnation { id, started_ms: record.started_ms };
        let kept_state = self.departed.remove(&incarnation).unwrap_or_default();
        let cold = self.new_cold_limit(&incarnation.id, &record.service);
        let mut member = Member::new(record, self.last_event, kept_state, cold);
        member.is_evacuated = self.evacuated.contains(&member.record.data_centre);
        self.members.insert(incarnation.id, member);
    }

    /// Replaces the set of evacuated data centres. Endpoints in these data centres get no new requests.
    pub fn set_evacuated_data_centres<'a>(&mut self, data_centres: impl Iterator<Item = &'a str>) {
        self.evacuated = data_centres.map(str::to_owned).collect();
        for member in self.members.values_mut() {
            member.is_evacuated = self.evacuated.contains(&member.record.data_centre);
        }
    }

    /// Sets the start time of this process.
    pub const fn set_process_start(&mut self, started_ms: u64) {
        self.process_started_ms = Some(started_ms);
    }

    /// Sets the region of each data centre.
    pub fn set_regions(&mut self, regions: BTreeMap<String, String>) {
        self.regions = regions;
    }

    /// Returns the number of endpoints of a service that lie outside the regions in which a request may run.
    #[must_use]
    pub fn endpoints_outside_regions(&self, service: &str, permitted_regions: &PermittedRegions) -> usize {
        self.members_of_service(service)
            .filter(|(_, member)| !self.is_in_allowed_region(permitted_regions, member))
            .count()
    }

    fn is_in_allowed_region(&self, permitted_regions: &PermittedRegions, member: &Member) -> bool {
        permitted_regions.allows(self.regions.get(&member.record.data_centre).map(String::as_str))
    }

    /// The evacuated data centres, sorted by name.
    pub fn evacuated_data_centres(&self) -> impl Iterator<Item = &str> {
        self.evacuated.iter().map(String::as_str)
    }

    fn remove(&mut self, id: &str) {
        let Some(member) = self.members.remove(id) else { return };
        let departed = Departed { notice: member.notice, limit: member.limit };
        if !departed.is_empty() {
            let incarnation = EndpointIncarnation { id: id.to_owned(), started_ms: member.record.started_ms };
            self.departed.insert(incarnation, departed);
        }
        if let Some(ids) = self.by_service.get_mut(&member.record.service) {
            ids.retain(|other| other != id);
        }
    }

    /// Returns the record of an endpoint, if the endpoint is known.
    #[must_use]
    pub fn record(&self, id: &str) -> Option<&EndpointRecord> {
        self.members.get(id).map(|member| &member.record)
    }

    fn members_of_service(&self, service: &str) -> impl Iterator<Item = (&str, &Member)> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.members.get(id).map(|member| (id.as_str(), member)))
    }

    /// The endpoints of a service with their records.
    pub fn endpoints(&self, service: &str) -> impl Iterator<Item = (&str, &EndpointRecord)> {
        self.members_of_service(service).map(|(id, member)| (id, &member.record))
    }

    /// Returns the endpoint that was picked, unless it has been replaced by another incarnation.
    fn picked_member(&self, pick: &Pick) -> Option<&Member> {
        self.members.get(&pick.id).filter(|member| member.record.started_ms == pick.started_ms)
    }

    /// Like [`Self::picked_member`], with mutable access.
    fn picked_member_mut(&mut self, pick: &Pick) -> Option<&mut Member> {
        self.members.get_mut(&pick.id).filter(|member| member.record.started_ms == pick.started_ms)
    }
}
