//! Leads a group while a majority of its agents grants the leadership.

mod decision;
mod discovery;
mod handing_over;
mod hold_rank;
mod informing;
mod observation;
mod proposal;
mod reporting;
mod round;

use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use ochreyard_core::direct::ReporterRole;
use ochreyard_core::group_map::{
    ArmingTimes, Demand, FirstGrants, LeaderId, Leadership, MapController, MapControllerSettings, MeanSkew, Round,
    RoundTimes, SentOrder, ShiftResponseTimes,
};
use ochreyard_direct::{Dialect, Entry};
use ochreyard_rank::{EngineFactory, LeaderRequest};

use self::discovery::Discovery;
use self::informing::StandbyChoice;
use crate::group_reporter::GroupReporter;
use crate::members::Members;
use crate::pace_log::PaceLog;
use crate::rank_requests::send_to_agent;
use crate::sent_map::SentMap;
use crate::settings::LeaderSettings;
use crate::step_progress::StepProgress;

/// Pause between observations of a group that this entry cannot lead because it reaches too few of
/// its agents.
const OBSERVE_PAUSE: Duration = Duration::from_millis(300);
/// Maximum number of observations of such a group before another entry may attempt to lead it.
const MAX_OBSERVATIONS: u32 = 10;

/// How long a leader waits for its agents to release the grants: a few round trips between data centres.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(100);

/// Leads one group for one term.
pub struct Leader<D, F> {
    entry: Rc<Entry<D>>,
    engine_factory: F,
    service: String,
    settings: LeaderSettings,
    /// A new identifier for each term, so that no version of a map is used twice.
    id: LeaderId,
    leadership: Leadership,
    controller: MapController,
    members: Members,
    discovery: Discovery,
    sent_map: SentMap,
    reporter: GroupReporter<D>,
    progress: StepProgress,
    mean_skew: MeanSkew,
    pace_log: PaceLog,
    is_serving: bool,
    /// Whether a majority of the agents has granted the leadership.
    is_leading: bool,
    demand: Option<Demand>,
    counts_requested_ms: u64,
    /// Whether the demand has shifted since the change in progress was planned.
    is_change_outdated: bool,
    shift_times: ShiftResponseTimes,
    arming_times: ArmingTimes,
    pending_orders: Vec<(usize, SentOrder)>,
    last_round: Round,
    wait_logged_ms: u64,
    /// Duration of the last search for a map, in milliseconds.
    search_ms: u64,
    round_times: RoundTimes,
    /// The other leaders that agents named in the last round.
    other_holders: Vec<LeaderId>,
    /// The handover by which this leader began.
    predecessor: Option<Predecessor>,
    standby: StandbyChoice,
}

/// What a leader knows about the one that handed over to it.
struct Predecessor {
    first_grants: FirstGrants,
    /// Time of the predecessor's last report, in milliseconds.
    reported_ms: u64,
    /// Mean duration of the predecessor's rounds, in milliseconds; 0 if it is not known.
    round_ms: u64,
}

/// Why a leader no longer leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeadEnd {
    /// Too few agents grant the leadership.
    NotGranted,
    /// The entry stops.
    Stopping,
    /// The box is too slow.
    TooSlow,
}

impl<D: Dialect, F: EngineFactory> Leader<D, F> {
    /// Creates a leader that has not sent any request yet.
    pub fn new(
        entry: Rc<Entry<D>>,
        engine_factory: F,
        service: &str,
        members: Members,
        settings: LeaderSettings,
    ) -> Self {
        let id = LeaderId { life: entry.next_random() };
        // Any rank can be the hold rank; successive leaders usually choose different ones.
        let hold_rank = usize::try_from(id.life % members.size.max(1) as u64).unwrap_or(0);
        Self {
            reporter: GroupReporter::new(Rc::clone(&entry)),
            entry,
            engine_factory,
            service: service.to_owned(),
            settings,
            id,
            leadership: Leadership::new(settings.lease_ms),
            controller: MapController::new(MapControllerSettings::default(), hold_rank, id.life),
            members,
            discovery: Discovery::default(),
            sent_map: SentMap::default(),
            progress: StepProgress::default(),
            mean_skew: MeanSkew::default(),
            pace_log: PaceLog::default(),
            is_serving: true,
            is_leading: false,
            demand: None,
            counts_requested_ms: 0,
            is_change_outdated: false,
            shift_times: ShiftResponseTimes::default(),
            arming_times: ArmingTimes::default(),
            pending_orders: Vec::new(),
            last_round: Round::default(),
            wait_logged_ms: 0,
            search_ms: 0,
            round_times: RoundTimes::default(),
            other_holders: Vec::new(),
            predecessor: None,
            standby: StandbyChoice::default(),
        }
    }

    /// Leads until a majority of the agents no longer grants it. If too few agents are reached, reports what
    /// they show to the entries and waits for more of them. Returns whether this box has turned out to
    /// be too slow to lead.
    pub async fn run(mut self) -> bool {
        let mut reached = self.members.len();
        for _ in 0..MAX_OBSERVATIONS {
            if reached * 2 > self.members.size {
                let end = self.lead().await;
                self.stand_down(end).await;
                return end == LeadEnd::TooSlow;
            }
            let Some(observed) = self.observe().await else { break };
            reached = observed;
            tokio::time::sleep(OBSERVE_PAUSE).await;
        }
        false
    }

    /// Whether the last search for a map took longer than the lease, or the rounds take much longer than those of the
    /// predecessor. Boxes become slow for seconds at a time, and the grants of a slow one would expire during its next
    /// search: another entry leads instead.
    fn is_too_slow(&self) -> bool {
        let predecessor_round_ms = self.predecessor.as_ref().map_or(0, |predecessor| predecessor.round_ms);
        self.search_ms > self.settings.lease_ms || self.round_times.are_too_long(predecessor_round_ms)
    }

    fn now_ms(&self) -> u64 {
        self.entry.clock.now_ms()
    }

    /// Leads until a majority of the agents no longer grants it, this entry stops, or the box is too slow.
    async fn lead(&mut self) -> LeadEnd {
        let (group, size) = (self.members.group.clone(), self.members.size);
        log::info!("event=leading_asked group={group}");
        while !self.entry.is_stopping.get() {
            // The process may have been suspended. Once its grants have expired, its state of the group is
            // invalid, even if the agents grant it again.
            if self.is_leading && !self.leadership.has_majority(size, self.now_ms(), 0) {
                log::info!("event=leading_lapsed group={group}");
                return LeadEnd::NotGranted;
            }
            let round_started_ms = self.now_ms();
            let holder = self.run_round().await;
            if !self.leadership.has_majority(size, self.now_ms(), 0) {
                if self.retry_first_grants().await {
                    continue;
                }
                log::info!("event=leading_ended group={group} holder={holder:?}");
                return LeadEnd::NotGranted;
            }
            if self.last_round.views.iter().all(Option::is_some) {
                self.round_times.observe(self.now_ms().saturating_sub(round_started_ms));
            }
            if !self.is_leading {
                self.on_leading();
            }
            self.act_on_round().await;
            if self.is_too_slow() {
                let (search_ms, round_ms) = (self.search_ms, self.round_times.mean_ms());
                log::info!("event=leading_too_slow group={group} search_ms={search_ms} round_ms={round_ms}");
                return LeadEnd::TooSlow;
            }
            self.sleep_before_next_round(round_started_ms).await;
        }
        log::info!("event=leading_stopped group={group}");
        LeadEnd::Stopping
    }

    /// Records that a majority of the agents has granted the leadership for the first time.
    fn on_leading(&mut self) {
        self.is_leading = true;
        let group = &self.members.group;
        log::info!("event=leading group={group} hold_rank={}", self.controller.hold_rank());
        if let Some(predecessor) = &self.predecessor {
            let since_report_ms = self.now_ms().saturating_sub(predecessor.reported_ms);
            log::info!("event=leadership_taken_over group={group} since_report_ms={since_report_ms}");
        }
    }

    /// Waits until the next round is due, or this entry stops.
    async fn sleep_before_next_round(&self, round_started_ms: u64) {
        let stop_begun = self.entry.stop_begun.notified();
        if self.entry.is_stopping.get() {
            return;
        }
        let pause = self.pause_before_next_round(round_started_ms);
        // Both outcomes are followed by a check of `is_stopping`.
        let _ = tokio::time::timeout(pause, stop_begun).await;
    }

    /// Advances the change in progress and reports the group, according to the last round.
    async fn act_on_round(&mut self) {
        self.discover_missing_ranks();
        if self.controller.is_copying() {
            self.refresh_hold_rank().await;
        }
        self.decide().await;
        if self.controller.is_placing_hold() {
            self.place_hold().await;
        }
        self.log_pace();
        self.report_if_due(ReporterRole::Leads);
        self.inform_standby_if_due();
    }

    /// Logs the pace of the group's steps when the log line is due.
    fn log_pace(&mut self) {
        let now_ms = self.now_ms();
        let mut pace_log = std::mem::take(&mut self.pace_log);
        pace_log.log_if_due(&self.members.group, &self.last_round.views, now_ms, || self.current_skew());
        self.pace_log = pace_log;
    }

    /// Releases the grants, and hands the leadership over to another entry if this one stops or is too slow. If there is
    /// no successor, reports to the entries that this one no longer leads, so that the next leader need not wait until
    /// the grants expire.
    async fn stand_down(&mut self, end: LeadEnd) {
        let hands_over = end != LeadEnd::NotGranted && (self.is_leading || self.predecessor.is_some());
        if hands_over && self.is_leading {
            // The other entries do not stand for election while the successor takes over.
            self.report(ReporterRole::Leads);
        }
        self.release_grants().await;
        self.pending_orders.clear();
        if hands_over && self.hand_over().await {
            return;
        }
        self.report(ReporterRole::StoodDown);
    }

    /// Releases the grants of all agents, without waiting long for agents that do not answer.
    async fn release_grants(&mut self) {
        self.leadership.clear();
        let request = LeaderRequest { releases_grant: true, ..self.renewal_request() };
        let releases: Vec<_> = self
            .members
            .iter()
            .map(|(_, member)| send_to_agent(Rc::clone(&member.agent), request.clone(), 1))
            .collect();
        let released = tokio::task::spawn_local(join_all(releases));
        // Releases that take longer arrive later; a majority is enough for the next leader.
        let _ = tokio::time::timeout(RELEASE_TIMEOUT, released).await;
    }
}
