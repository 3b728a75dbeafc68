//! Leads a group while most of its agents grant it.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use http::Request;
use http_body_util::Full;
use ochreyard_core::direct::{EngineFigures, GroupNews, RankNews};
use ochreyard_core::group_map::{
    Controller, ControllerSettings, Demand, GroupPlacement, LeaderId, Leadership, PlanSettings, Planner, RankView,
    Round, SentOrder, chosen_between,
};
use ochreyard_direct::{CallLink, Dialect, KeyedLog, Topic};

use crate::agent::Agent;
use crate::endpoints::GroupEndpoints;
use crate::engine::{Counts, Engines, Lists, RankEngine};
use crate::entries::Entries;
use crate::message::{ASK_PATH, Ask, RankRecord, Told, rank_key};
use crate::step_progress::StepProgress;

/// Pause between looks of an agent that does not lead.
const FOLLOW_PAUSE: Duration = Duration::from_millis(100);
/// How much longer each rank waits before it asks to lead: the lowest goes first.
const RANK_STAGGER_MS: u64 = 60;
/// Longest wait for an agent's answer: its engine's answers and a few round trips.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause between rounds while a change is under way.
const BUSY_PAUSE: Duration = Duration::from_millis(10);
/// Pause between rounds while experts are copied, which takes hundreds of milliseconds.
const COPY_PAUSE: Duration = Duration::from_millis(50);
/// Least time that a grant must still hold for orders to go out, in milliseconds.
const ORDER_MARGIN_MS: u64 = 200;
/// Least pause between readings of the list of ranks, in milliseconds.
const DIRECTORY_EVERY_MS: u64 = 2_000;
/// How long a change takes before what it waits for is logged, in milliseconds.
const STUCK_NOTE_MS: u64 = 1_000;
/// Choices that a plan must rest on, for each expert and set.
const LEAST_WEIGHT: f64 = 4.0;

/// What a leader weighs, from the settings.
#[derive(Debug, Clone, Copy)]
pub struct LeaderSettings {
    /// How long a grant lasts, in milliseconds.
    pub lease_ms: u64,
    /// Pause between rounds while nothing changes, in milliseconds.
    pub round_ms: u64,
    /// After this time counts have lost most of their weight, in milliseconds.
    pub fade_ms: u64,
    /// For how long a map is expected to fit, in milliseconds.
    pub horizon_ms: u64,
    /// What a copy costs beside its time, in milliseconds of the group's time.
    pub copy_price_ms: f64,
    /// Saving over the horizon below which nothing is changed, in milliseconds.
    pub least_saving_ms: u64,
}

/// Time of a change beside the copies, in milliseconds: two steps and a few round trips.
const SWITCH_MS: f64 = 250.0;
/// How much longer steps take while experts are copied, as engines state it.
const COPY_DRAG: f64 = 0.15;

/// One other rank: its agent.
struct Member {
    record: RankRecord,
    link: Rc<CallLink>,
    counts: Counts,
}

/// Leads one group, or waits until it may.
pub struct Leader<D, L, S: Engines> {
    agent: Rc<Agent<S::Engine>>,
    dialect: D,
    log: L,
    service: String,
    settings: LeaderSettings,
    leadership: Leadership,
    controller: Controller,
    members: BTreeMap<usize, Member>,
    endpoints: GroupEndpoints<S>,
    entries: Entries,
    progress: StepProgress,
    is_serving: bool,
    directory_read_ms: u64,
    figures: Option<EngineFigures>,
    demand: Option<Demand>,
    leaderless_since_ms: Option<u64>,
    waits_until_ms: u64,
    pending: Vec<(usize, SentOrder)>,
    last_round: Round,
    own_counts: Counts,
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
            members: BTreeMap::new(),
            endpoints: GroupEndpoints::new(engines),
            entries: Entries::default(),
            progress: StepProgress::default(),
            is_serving: true,
            directory_read_ms: 0,
            figures: None,
            demand: None,
            leaderless_since_ms: None,
            waits_until_ms: 0,
            pending: Vec::new(),
            last_round: Round::default(),
            own_counts: Counts::default(),
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
            tokio::time::sleep(Duration::from_millis(250)).await;
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

    /// Reads where the other ranks are.
    async fn read_directory(&mut self, view: &RankView) {
        let now_ms = self.agent.clock.now_ms();
        if self.directory_read_ms > 0 && now_ms < self.directory_read_ms + DIRECTORY_EVERY_MS {
            return;
        }
        self.directory_read_ms = now_ms;
        let page = match self.log.newest(Topic::Ranks).await {
            Ok(page) => page,
            Err(error) => {
                log::debug!("event=ranks_unread error=\"{error}\"");
                return;
            }
        };
        for rank in (0..view.size).filter(|rank| *rank != view.rank) {
            let key = rank_key(&view.group, rank);
            let value = page.records.iter().find(|record| record.key == key).and_then(|record| record.value.as_ref());
            let record = value.and_then(|value| serde_json::from_slice::<RankRecord>(value).ok());
            if let Some(record) = record {
                self.note_member(rank, record);
            }
        }
    }

    fn note_member(&mut self, rank: usize, record: RankRecord) {
        if self.members.get(&rank).is_some_and(|member| member.record == record) {
            return;
        }
        let link = Rc::new(CallLink::new(record.agent_addr));
        self.members.insert(rank, Member { record, link, counts: Counts::default() });
    }

    /// Leads until most agents no longer grant it.
    async fn lead(&mut self) {
        let Some(view) = self.agent.last_view() else { return };
        log::info!("event=leading_asked group={} rank={}", view.group, view.rank);
        self.controller = self.controller.renewed(view.rank);
        self.read_directory(&view).await;
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
                self.read_directory(&view).await;
            }
            self.decide();
            self.tell_entries(&view).await;
            tokio::time::sleep(self.pause()).await;
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
            wants_counts: false,
            wants_lists: false,
            releases: true,
        };
        self.agent.answer(&ask).await;
        let links: Vec<Rc<CallLink>> = self.members.values().map(|member| Rc::clone(&member.link)).collect();
        join_all(links.into_iter().map(|link| ask_agent(link, ask.clone()))).await;
    }

    fn pause(&self) -> Duration {
        use ochreyard_core::group_map::Phase;
        match self.controller.phase() {
            Phase::Idle => Duration::from_millis(self.settings.round_ms),
            Phase::Preparing { .. } => COPY_PAUSE,
            _ => BUSY_PAUSE,
        }
    }

    /// Asks all ranks at once, with the orders that are due. Says who else is granted, if somebody is.
    async fn round(&mut self, view: &RankView) -> Option<LeaderId> {
        // A group that stands may be held at a rank whose agent is down.
        let is_needed = self.controller.must_reach_all() || !self.is_serving;
        let reach = is_needed && self.last_round.views.iter().any(Option::is_none);
        if reach {
            let epoch = self.epoch();
            self.endpoints.find(&self.log, &self.dialect, &self.service, view, epoch, self.agent.clock.now_ms()).await;
        }
        let asked_ms = self.agent.clock.now_ms();
        let size = view.size;
        let orders = std::mem::take(&mut self.pending);
        let knows_present = self.knows_present();
        let is_busy = self.controller.is_busy();
        let ask_for = |rank: usize| Ask {
            leader: self.me(view),
            group: view.group.clone(),
            orders: orders.iter().filter(|(to, _)| *to == rank).map(|(_, order)| order.clone()).collect(),
            wants_counts: !is_busy || self.controller.is_copying(),
            wants_lists: !knows_present,
            releases: false,
        };
        let own_ask = ask_for(view.rank);
        let own = self.agent.answer(&own_ask);
        let endpoints = &self.endpoints;
        let others = self.members.iter().map(|(rank, member)| {
            let ask = ask_for(*rank);
            let engine = endpoints.engine(*rank).filter(|_| reach);
            async move { (*rank, ask_member(member, ask, engine).await) }
        });
        let (own, others) = futures::join!(own, join_all(others));
        let mut told: Vec<Option<Told>> = (0..size).map(|_| None).collect();
        if let Some(place) = told.get_mut(view.rank) {
            *place = Some(own);
        }
        for (rank, answer) in others {
            if let Some(place) = told.get_mut(rank) {
                *place = answer;
            }
        }
        self.take(told, &orders, asked_ms)
    }

    fn epoch(&self) -> u64 {
        self.last_round.views.iter().flatten().map(|view| view.epoch).max().unwrap_or(0)
    }

    /// Tells entries of the group: at once when it stops or goes on, else now and then.
    async fn tell_entries(&mut self, view: &RankView) {
        let now_ms = self.agent.clock.now_ms();
        let is_serving = self.progress.note(&self.last_round.views, now_ms);
        self.is_serving = is_serving;
        if !self.entries.is_due(is_serving, now_ms) {
            return;
        }
        let epoch = self.epoch();
        self.endpoints.find(&self.log, &self.dialect, &self.service, view, epoch, self.agent.clock.now_ms()).await;
        self.entries.read(&self.log, now_ms).await;
        let rank_news = |(rank, view): (usize, &Option<RankView>)| {
            let view = view.as_ref()?;
            let endpoint = self.endpoints.id(rank)?.to_owned();
            let (running, waiting, pace_permille) = (view.running, view.waiting, view.pace_permille);
            Some(RankNews { endpoint, running, waiting, pace_permille })
        };
        let ranks = self.last_round.views.iter().enumerate().filter_map(rank_news).collect();
        let news = GroupNews { service: self.service.clone(), group: view.group.clone(), is_serving, ranks };
        if self.entries.tell(&news) {
            log::info!("event=group_state group={} serving={is_serving}", view.group);
        }
    }

    fn knows_present(&self) -> bool {
        let map = self.last_round.views.iter().flatten().next().map(|view| view.map);
        map.is_some() && self.controller.present().map(|(version, _)| *version) == map
    }

    fn take(&mut self, told: Vec<Option<Told>>, orders: &[(usize, SentOrder)], asked_ms: u64) -> Option<LeaderId> {
        let mut holder = None;
        let mut round = Round { views: vec![None; told.len()], outcomes: Vec::new() };
        let mut chosen: Vec<f64> = Vec::new();
        let mut lists: Vec<Option<Lists>> = vec![None; told.len()];
        for (rank, told) in told.into_iter().enumerate() {
            let Some(told) = told else { continue };
            self.leadership.on_answer(rank, told.granted, asked_ms);
            holder = holder.or(told.holder);
            round.views[rank] = told.view.filter(|view| view.rank == rank && view.size == round.views.len());
            let sent = orders.iter().filter(|(to, _)| *to == rank);
            round.outcomes.extend(sent.zip(told.outcomes).map(|((to, order), outcome)| (*to, order.clone(), outcome)));
            lists[rank] = told.lists;
            if let Some(counts) = told.counts {
                self.add_chosen(rank, counts, &mut chosen);
            }
        }
        self.take_lists(&lists);
        let now_ms = self.agent.clock.now_ms();
        if !chosen.is_empty() {
            let fade_ms = self.settings.fade_ms as f64;
            self.demand.get_or_insert_with(|| Demand::new(chosen.len(), fade_ms)).add(&chosen, now_ms);
        }
        self.last_round = round;
        holder
    }

    fn add_chosen(&mut self, rank: usize, counts: Counts, chosen: &mut Vec<f64>) {
        let now = &counts.counts;
        let before = self.members.get(&rank).map_or(&self.own_counts, |member| &member.counts);
        let news = chosen_between(&before.counts, now);
        let is_first = before.counts.is_empty();
        if chosen.is_empty() {
            chosen.resize(now.len(), 0.0);
        }
        if !is_first {
            chosen.iter_mut().zip(&news).for_each(|(sum, more)| *sum += *more as f64);
        }
        match self.members.get_mut(&rank) {
            Some(member) => member.counts = counts,
            None => self.own_counts = counts,
        }
    }

    fn take_lists(&mut self, lists: &[Option<Lists>]) {
        let Some(figures) = self.figures else { return };
        let all: Option<Vec<&Lists>> = lists.iter().map(Option::as_ref).collect();
        let Some(all) = all else { return };
        let Some(first) = all.first() else { return };
        if all.iter().all(|list| list.version == first.version && list.epoch == first.epoch) {
            let ranks: Vec<Vec<Vec<u16>>> = all.iter().map(|list| list.experts.clone()).collect();
            let placement = GroupPlacement::from_ranks(figures.experts, &ranks);
            if placement.is_complete() {
                self.controller.set_present(first.version, placement);
            }
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
        if self.controller.takes_proposal(&self.last_round.views, now_ms) {
            self.propose(now_ms);
        }
        if *self.controller.phase() != before {
            let (switched, undone) = self.controller.counts();
            log::info!("event=map_phase phase={:?} switched={switched} undone={undone}", self.controller.phase());
        }
    }

    fn propose(&mut self, now_ms: u64) {
        let (Some(figures), Some((_, present)), Some(demand)) = (self.figures, self.controller.present(), &self.demand)
        else {
            return;
        };
        let enough = demand.rates().len() as f64 * LEAST_WEIGHT;
        if demand.rates().len() != figures.sets * figures.experts || demand.weight() < enough {
            return;
        }
        let views = self.last_round.views.iter().flatten();
        let paces: Vec<f64> = views.map(|view| (view.pace_permille as f64 / 1000.0).max(1.0)).collect();
        let planner = Planner::new(plan_settings(&figures, &self.settings));
        let Some(planned) = planner.plan(present, demand.rates(), &paces) else { return };
        log::info!(
            "event=map_proposed skew_before={:.3} skew_after={:.3} copies_of_rank={} saving_ms={:.0}",
            planned.skew.0,
            planned.skew.1,
            planned.copies_of_rank,
            planned.saving_ms
        );
        self.controller.propose(planned.placement, planned.copies_of_rank, now_ms);
    }
}

/// A rank's view in a few words: epoch, step, orders taken, map, prepared, armed, held.
fn brief(view: &RankView) -> String {
    let open = if view.is_open { "open" } else { "broken" };
    let number = |value: Option<u64>| value.map_or("-".to_owned(), |value| value.to_string());
    let armed = number(view.armed.map(|armed| armed.version));
    let (prepared, held) = (number(view.prepared), number(view.held));
    format!("{open}:{}:{}:{}:{}:{prepared}:{armed}:{held}", view.epoch, view.step, view.sequence, view.map)
}

fn plan_settings(figures: &EngineFigures, settings: &LeaderSettings) -> PlanSettings {
    const BITS_OF_MEGABYTE: f64 = 8.0;
    PlanSettings {
        places: figures.places,
        spare: figures.spare,
        copy_ms: figures.expert_mb * BITS_OF_MEGABYTE / figures.link_mbps.max(1.0) * 1000.0,
        switch_ms: SWITCH_MS,
        copy_drag: COPY_DRAG,
        horizon_ms: settings.horizon_ms as f64,
        copy_price_ms: settings.copy_price_ms,
        least_saving_ms: settings.least_saving_ms as f64,
    }
}

/// Asks a rank's agent; where it does not answer, its engine, if one is given.
async fn ask_member<E: RankEngine>(member: &Member, ask: Ask, engine: Option<&E>) -> Option<Told> {
    let told = ask_agent(Rc::clone(&member.link), ask.clone()).await;
    let Some(engine) = engine.filter(|_| told.is_none()) else { return told };
    let mut outcomes = Vec::new();
    for order in &ask.orders {
        outcomes.push(engine.order(order).await);
    }
    let view = engine.view().await;
    match &view {
        Ok(view) => log::info!("event=rank_reached_directly rank={} view={}", view.rank, brief(view)),
        Err(error) => log::info!("event=rank_unreachable agent={} error=\"{error}\"", member.record.agent_addr),
    }
    Some(Told { view: Some(view.ok()?), outcomes, ..Told::default() })
}

async fn ask_agent(link: Rc<CallLink>, ask: Ask) -> Option<Told> {
    let body = serde_json::to_vec(&ask).ok()?;
    let request = Request::post(ASK_PATH)
        .header(http::header::HOST, link.addr().to_string())
        .body(Full::from(Bytes::from(body)))
        .ok()?;
    match link.call(request, ASK_TIMEOUT).await {
        Ok(response) => serde_json::from_slice(response.body()).ok(),
        Err(error) => {
            log::debug!("event=agent_silent addr={} error=\"{error}\"", link.addr());
            None
        }
    }
}
