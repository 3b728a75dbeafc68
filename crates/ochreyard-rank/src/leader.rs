//! Leads a group while most of its agents grant it.

mod entry_news;
mod members;
mod pace_note;
mod proposal;
mod questions;
mod round;
mod sent_maps;
mod settings;

use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use ochreyard_core::direct::EngineFigures;
use ochreyard_core::group_map::{
    Controller, ControllerSettings, Demand, LeaderId, Leadership, Phase, RankView, Round, SentOrder,
};
use ochreyard_direct::{Dialect, KeyedLog, Topic};

use self::members::Members;
use self::pace_note::PaceNote;
use self::questions::{ask_agent, brief};
use self::sent_maps::SentMaps;
pub use self::settings::LeaderSettings;
use crate::agent::Agent;
use crate::endpoints::GroupEndpoints;
use crate::engine::Engines;
use crate::entries::Entries;
use crate::message::{Ask, RankRecord, rank_key};
use crate::step_progress::StepProgress;

/// Pause between attempts to write the rank's record: the engine starts meanwhile,
/// or the log answers again.
const REGISTER_PAUSE: Duration = Duration::from_millis(250);
/// Pause between looks of an agent that does not lead: an eighth of the default lease.
const FOLLOW_PAUSE: Duration = Duration::from_millis(100);
/// How much longer each rank waits before it asks to lead, in milliseconds: the lowest
/// goes first, and its questions should arrive before the next one asks.
const RANK_STAGGER_MS: u64 = 60;
/// Pause between rounds while a change is under way: well under a step, which takes 50 ms and more.
const BUSY_PAUSE: Duration = Duration::from_millis(10);
/// Pause between rounds while experts are copied: a copy takes tens of milliseconds, and
/// a round as long again.
const COPY_PAUSE: Duration = Duration::from_millis(25);
/// Pause before orders go out: other tasks get their turn.
const ORDER_PAUSE: Duration = Duration::from_millis(1);
/// Least time that a grant must still hold for orders to go out, in milliseconds: a
/// quarter of the default lease, and many times what an order takes to arrive.
const ORDER_MARGIN_MS: u64 = 200;
/// How long a change takes before what it waits for is logged, in milliseconds: longer
/// than the longest waits of [`ControllerSettings`] for a hold and for arms together.
const STUCK_NOTE_MS: u64 = 1_000;

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

    /// Writes the rank's record once its engine tells the group.
    async fn register(&mut self) {
        loop {
            if let Some(view) = self.agent.look().await {
                let record = RankRecord { agent_addr: self.agent.peer_addr, engine_addr: self.agent.engine_addr };
                let text = serde_json::to_vec(&record).unwrap_or_default();
                match self.log.append(Topic::Ranks, &rank_key(&view.group, view.rank), &text).await {
                    Ok(()) => {
                        log::info!("event=rank_registered group={} rank={}", view.group, view.rank);
                        return;
                    }
                    Err(error) => log::warn!("event=rank_not_registered error=\"{error}\""),
                }
            }
            tokio::time::sleep(REGISTER_PAUSE).await;
        }
    }

    fn me(&self, view: &RankView) -> LeaderId {
        LeaderId { rank: view.rank, life: self.agent.life }
    }

    /// Whether nobody leads, and it is this rank's turn to ask.
    async fn may_lead(&mut self) -> bool {
        let Some(view) = self.agent.last_view() else {
            self.agent.look().await;
            return false;
        };
        if self.agent.is_led_by_other(&self.me(&view)) {
            self.leaderless_since_ms = None;
            return false;
        }
        let now_ms = self.agent.clock.now_ms();
        if now_ms < self.waits_until_ms {
            return false;
        }
        let since_ms = *self.leaderless_since_ms.get_or_insert(now_ms);
        if now_ms < since_ms + view.rank as u64 * RANK_STAGGER_MS {
            return false;
        }
        self.read_figures().await;
        self.figures.is_some()
    }

    async fn read_figures(&mut self) {
        let page = match self.log.newest(Topic::Config).await {
            Ok(page) => page,
            Err(error) => {
                log::debug!("event=figures_unread error=\"{error}\"");
                return;
            }
        };
        for document in page.records.iter().filter_map(|record| record.value.as_ref()) {
            let Ok(table) = self.dialect.read_config(document) else { continue };
            let figures = table.service(&self.service).and_then(|service| service.engine);
            self.figures = figures.filter(|figures| figures.sets > 0).or(self.figures);
        }
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
            if self.last_round.views.iter().any(Option::is_none) {
                self.members.read(&self.log, &view, self.agent.clock.now_ms()).await;
            }
            if self.controller.is_copying() {
                self.look_at_own_rank(&view).await;
            }
            self.decide();
            if self.controller.is_holding_at(view.rank) {
                self.hold_own_rank(&view).await;
            }
            self.note_pace(&view);
            self.tell_entries(&view).await;
            tokio::time::sleep(self.pause()).await;
        }
    }

    /// Places the hold at the own rank, and goes on with its confirmation: that takes a
    /// call on the own box, where a round takes the way to all others.
    async fn hold_own_rank(&mut self, view: &RankView) {
        let orders = std::mem::take(&mut self.pending);
        let told = self.agent.answer(&self.ask_for(view.rank, view, &orders)).await;
        if let Some(place) = self.last_round.views.get_mut(view.rank) {
            *place = told.view;
        }
        let sent = orders.into_iter().zip(told.outcomes);
        self.last_round.outcomes = sent.map(|((rank, order), outcome)| (rank, order, outcome)).collect();
        self.decide();
    }

    /// Tells now and then how fast the group's steps are.
    fn note_pace(&mut self, view: &RankView) {
        let now_ms = self.agent.clock.now_ms();
        let mut note = std::mem::take(&mut self.pace_note);
        note.note(&view.group, &self.last_round.views, now_ms, || self.present_skew());
        self.pace_note = note;
    }

    /// Reads the own rank once more: a hold is placed a few steps ahead of the newest
    /// one known, and the answers of a large group take about as long as a step.
    async fn look_at_own_rank(&mut self, view: &RankView) {
        let own = self.agent.look().await;
        if let Some(place) = self.last_round.views.get_mut(view.rank) {
            *place = own;
        }
    }

    async fn stand_down(&mut self) {
        self.leadership.clear();
        self.pending.clear();
        self.leaderless_since_ms = None;
        // Leaves the others a lease to agree on one of them.
        self.waits_until_ms = self.agent.clock.now_ms() + self.settings.lease_ms;
        let Some(view) = self.agent.last_view() else { return };
        // Whoever is granted more than we are should not wait for our grants to run out.
        let ask = Ask {
            leader: self.me(&view),
            group: view.group,
            orders: Vec::new(),
            map_change: None,
            wants_counts: false,
            wants_lists: false,
            releases: true,
        };
        self.agent.answer(&ask).await;
        join_all(self.members.links().into_iter().map(|link| ask_agent(link, ask.clone(), 1))).await;
    }

    fn pause(&self) -> Duration {
        if !self.pending.is_empty() {
            return ORDER_PAUSE;
        }
        match self.controller.phase() {
            Phase::Idle => Duration::from_millis(self.settings.round_ms),
            Phase::Preparing { .. } => COPY_PAUSE,
            _ => BUSY_PAUSE,
        }
    }

    /// Tells once a second what a change that does not end waits for.
    fn note_stuck(&mut self, now_ms: u64) {
        if !self.controller.is_busy() {
            self.busy_noted_ms = now_ms;
        }
        if now_ms < self.busy_noted_ms + STUCK_NOTE_MS {
            return;
        }
        self.busy_noted_ms = now_ms;
        let views: Vec<String> =
            self.last_round.views.iter().map(|view| view.as_ref().map_or("-".into(), brief)).collect();
        log::warn!("event=map_change_waits phase={:?} ranks=\"{}\"", self.controller.phase(), views.join(" "));
    }

    /// Lets the controller take the round, and proposes a map where one is worth it.
    fn decide(&mut self) {
        let now_ms = self.agent.clock.now_ms();
        let size = self.last_round.views.len();
        if !self.leadership.holds(size, now_ms, ORDER_MARGIN_MS) {
            return;
        }
        self.note_stuck(now_ms);
        let before = self.controller.phase().clone();
        let round = std::mem::take(&mut self.last_round);
        self.pending = self.controller.on_round(&round, now_ms);
        self.last_round = round;
        if self.controller.takes_proposal(&self.last_round.views, now_ms) && self.propose(now_ms) {
            // The first orders need not wait for another round.
            let views = self.last_round.views.clone();
            self.pending = self.controller.on_round(&Round { views, outcomes: Vec::new() }, now_ms);
        }
        if *self.controller.phase() != before {
            let (switched, undone) = self.controller.counts();
            log::info!("event=map_phase phase={:?} switched={switched} undone={undone}", self.controller.phase());
        }
    }
}
