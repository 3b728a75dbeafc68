//! Leads a group while a majority of its agents grants the leadership.

mod decision;
mod discovery;
mod hold_rank;
mod observation;
mod proposal;
mod reporting;
mod round;
mod stream_limit;

use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use ochreyard_core::direct::ReporterRole;
use ochreyard_core::group_map::{
    ArmingTimes, Demand, LeaderId, Leadership, MapController, MapControllerSettings, MeanSkew, Round, SentOrder,
    ShiftResponseTimes, StreamLimit,
};
use ochreyard_direct::{Dialect, Entry};
use ochreyard_rank::{EngineFactory, LeaderRequest};

use self::discovery::Discovery;
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
    stream_limit: StreamLimit,
    pace_log: PaceLog,
    is_serving: bool,
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
            stream_limit: StreamLimit::default(),
            pace_log: PaceLog::default(),
            is_serving: true,
            demand: None,
            counts_requested_ms: 0,
            is_change_outdated: false,
            shift_times: ShiftResponseTimes::default(),
            arming_times: ArmingTimes::default(),
            pending_orders: Vec::new(),
            last_round: Round::default(),
            wait_logged_ms: 0,
            search_ms: 0,
        }
    }

    /// Leads until a majority of the agents no longer grants it. If too few agents are reached, reports what
    /// they show to the entries and waits for more of them. Returns whether this box has turned out to
    /// be too slow to lead.
    pub async fn run(mut self) -> bool {
        let mut reached = self.members.len();
        for _ in 0..MAX_OBSERVATIONS {
            if reached * 2 > self.members.size {
                self.lead().await;
                self.stand_down().await;
                return self.is_too_slow();
            }
            let Some(observed) = self.observe().await else { break };
            reached = observed;
            tokio::time::sleep(OBSERVE_PAUSE).await;
        }
        false
    }

    /// Whether the last search for a map took longer than the lease. Boxes become slow for seconds at a time,
    /// and the grants of a slow one would expire during its next search: another entry leads instead.
    const fn is_too_slow(&self) -> bool {
        self.search_ms > self.settings.lease_ms
    }

    fn now_ms(&self) -> u64 {
        self.entry.clock.now_ms()
    }

    /// Leads until a majority of the agents no longer grants it, this entry stops, or the box is too slow.
    async fn lead(&mut self) {
        let (group, size) = (self.members.group.clone(), self.members.size);
        log::info!("event=leading_asked group={group}");
        let mut is_leading = false;
        while !self.entry.is_stopping.get() {
            // The process may have been suspended. Once its grants have expired, its state of the group is
            // invalid, even if the agents grant it again.
            if is_leading && !self.leadership.has_majority(size, self.now_ms(), 0) {
                log::info!("event=leading_lapsed group={group}");
                return;
            }
            let round_started_ms = self.now_ms();
            let holder = self.run_round().await;
            if !self.leadership.has_majority(size, self.now_ms(), 0) {
                log::info!("event=leading_ended group={group} holder={holder:?}");
                return;
            }
            if !is_leading {
                is_leading = true;
                log::info!("event=leading group={group} hold_rank={}", self.controller.hold_rank());
            }
            self.act_on_round().await;
            if self.is_too_slow() {
                log::info!("event=leading_too_slow group={group} search_ms={}", self.search_ms);
                return;
            }
            tokio::time::sleep(self.pause_before_next_round(round_started_ms)).await;
        }
        log::info!("event=leading_stopped group={group}");
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
    }

    /// Logs the pace of the group's steps when the log line is due.
    fn log_pace(&mut self) {
        let now_ms = self.now_ms();
        let mut pace_log = std::mem::take(&mut self.pace_log);
        let stream_limit = self.stream_limit.requests();
        pace_log.log_if_due(&self.members.group, &self.last_round.views, stream_limit, now_ms, || self.current_skew());
        self.pace_log = pace_log;
    }

    /// Releases the grants and reports this to the entries, so that the next leader need not wait until the
    /// grants expire.
    async fn stand_down(&mut self) {
        self.leadership.clear();
        self.pending_orders.clear();
        let request = LeaderRequest { releases_grant: true, ..self.renewal_request() };
        let releases =
            self.members.iter().map(|(_, member)| send_to_agent(Rc::clone(&member.agent), request.clone(), 1));
        join_all(releases).await;
        self.report(ReporterRole::StoodDown);
    }
}
