//! Leads a group while most of its agents grant it.

mod candidacy;
mod decision;
mod entry_news;
mod members;
mod own_rank;
mod pace_note;
mod proposal;
mod questions;
mod register;
mod round;
mod sent_maps;
mod settings;

use std::rc::Rc;
use std::time::Duration;

use ochreyard_core::direct::EngineFigures;
use ochreyard_core::group_map::{
    Controller, ControllerSettings, Demand, LeaderId, Leadership, RankView, Round, SentOrder, ShiftTimes,
};
use ochreyard_direct::{Dialect, KeyedLog};

use self::members::Members;
use self::pace_note::PaceNote;
use self::sent_maps::SentMaps;
pub use self::settings::LeaderSettings;
use crate::agent::Agent;
use crate::endpoints::GroupEndpoints;
use crate::engine::Engines;
use crate::entries::Entries;
use crate::step_progress::StepProgress;

/// Pause between looks of an agent that does not lead: an eighth of the default lease.
const FOLLOW_PAUSE: Duration = Duration::from_millis(100);

/// Leads one group, or waits until it may.
pub struct Leader<D, L, S: Engines> {
    agent: Rc<Agent<S::Engine>>,
    dialect: D,
    log: L,
    service: String,
    settings: LeaderSettings,
    leadership: Leadership,
    controller: Controller,
    members: Members,
    sent_maps: SentMaps,
    endpoints: GroupEndpoints<S>,
    entries: Entries,
    progress: StepProgress,
    pace_note: PaceNote,
    is_serving: bool,
    figures: Option<EngineFigures>,
    demand: Option<Demand>,
    counts_asked_ms: u64,
    /// Whether the demand has shifted since the change under way was planned.
    is_outdated: bool,
    shift_times: ShiftTimes,
    leaderless_since_ms: Option<u64>,
    waits_until_ms: u64,
    pending: Vec<(usize, SentOrder)>,
    last_round: Round,
    busy_noted_ms: u64,
}

impl<D: Dialect, L: KeyedLog, S: Engines> Leader<D, L, S> {
    /// A leader that waits.
    pub fn new(
        agent: Rc<Agent<S::Engine>>,
        dialect: D,
        log: L,
        engines: S,
        service: &str,
        settings: LeaderSettings,
    ) -> Self {
        let controller = Controller::new(ControllerSettings::default(), 0, agent.life);
        Self {
            agent,
            dialect,
            log,
            service: service.to_owned(),
            settings,
            leadership: Leadership::new(settings.lease_ms),
            controller,
            members: Members::default(),
            sent_maps: SentMaps::default(),
            endpoints: GroupEndpoints::new(engines),
            entries: Entries::default(),
            progress: StepProgress::default(),
            pace_note: PaceNote::default(),
            is_serving: true,
            figures: None,
            demand: None,
            counts_asked_ms: 0,
            is_outdated: false,
            shift_times: ShiftTimes::default(),
            leaderless_since_ms: None,
            waits_until_ms: 0,
            pending: Vec::new(),
            last_round: Round::default(),
            busy_noted_ms: 0,
        }
    }

    /// Waits and leads until the process ends.
    pub async fn run(mut self) {
        self.register().await;
        loop {
            if self.may_lead().await {
                self.lead().await;
                self.stand_down().await;
            }
            tokio::time::sleep(FOLLOW_PAUSE).await;
        }
    }

    fn me(&self, view: &RankView) -> LeaderId {
        LeaderId { rank: view.rank, life: self.agent.life }
    }

    /// Leads until most agents no longer grant it.
    async fn lead(&mut self) {
        let Some(view) = self.agent.last_view() else { return };
        log::info!("event=leading_asked group={} rank={}", view.group, view.rank);
        self.controller = self.controller.renewed(view.rank);
        self.members.read(&self.log, &view, self.agent.clock.now_ms()).await;
        let mut is_leading = false;
        loop {
            // A process may have stood still: what it knew of the group is void once its
            // grants have run out, even if it is granted again.
            if is_leading && !self.leadership.holds(view.size, self.agent.clock.now_ms(), 0) {
                log::info!("event=leading_lapsed group={} rank={}", view.group, view.rank);
                return;
            }
            let holder = self.round(&view).await;
            let now_ms = self.agent.clock.now_ms();
            if !self.leadership.holds(view.size, now_ms, 0) {
                if holder.is_none() {
                    // Cut off from most of the group, this agent may be the only one that reaches these entries.
                    self.tell_entries(&view).await;
                }
                log::info!("event=leading_ended group={} rank={} holder={holder:?}", view.group, view.rank);
                return;
            }
            if !is_leading {
                is_leading = true;
                log::info!("event=leading group={} rank={}", view.group, view.rank);
            }
            self.act_on_round(&view).await;
            tokio::time::sleep(self.pause()).await;
        }
    }

    /// Goes on with a change, and tells of the group, as the last round showed it.
    async fn act_on_round(&mut self, view: &RankView) {
        if self.last_round.views.iter().any(Option::is_none) {
            self.members.read(&self.log, view, self.agent.clock.now_ms()).await;
        }
        if self.controller.is_copying() {
            self.look_at_own_rank(view).await;
        }
        self.decide();
        if self.controller.is_holding_at(view.rank) {
            self.hold_own_rank(view).await;
        }
        self.note_pace(view);
        self.tell_entries(view).await;
    }

    /// Tells now and then how fast the group's steps are.
    fn note_pace(&mut self, view: &RankView) {
        let now_ms = self.agent.clock.now_ms();
        let mut note = std::mem::take(&mut self.pace_note);
        note.note(&view.group, &self.last_round.views, now_ms, || self.present_skew());
        self.pace_note = note;
    }
}
