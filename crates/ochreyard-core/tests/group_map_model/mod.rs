//! A group of engines as its rules say, with orders that get lost, go unanswered
//! or are carried out late; and agents that grant, freeze, die and come back.

use ochreyard_core::group_map::{
    ArmedMap, GroupPlacement, LeaderGrant, LeaderId, Leadership, MapController, MapControllerSettings, Order,
    OrderOutcome, RankView, Round, SentOrder,
};
use ochreyard_core::hash;

pub const RANKS: usize = 4;
const EXPERTS: usize = 8;
const LEASE_MS: u64 = 300;
const TICK_MS: u64 = 10;
const STEP_MS: u64 = 50;
/// Time to copy the experts of one change.
const COPY_MS: u64 = 80;
/// One round in so many in which a leader would rather change to another map.
const GIVES_WAY_ONE_IN: u64 = 12;

/// Even numbers from a seed.
pub struct Draws(u64);

impl Draws {
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(1);
        hash::mix(self.0) % bound
    }

    pub fn one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }
}

#[derive(Clone, Default)]
struct Engine {
    map: (u64, u64),
    highest: u64,
    /// The map whose experts are being copied, and when they are there.
    copying: Option<(u64, u64, u64)>,
    prepared: Option<(u64, u64)>,
    armed: Option<(u64, u64, u64)>,
    held: Option<u64>,
}

/// What a map holds, as a number.
fn content_of(map: &[Vec<Vec<u16>>]) -> u64 {
    let words = map.iter().flatten().flat_map(|held| held.iter().map(|e| u64::from(*e) + 1).chain([0]));
    words.fold(7, |sum, word| hash::mix(sum ^ word))
}

fn dealt() -> GroupPlacement {
    GroupPlacement::round_robin(1, EXPERTS, RANKS)
}

/// A placement that differs with `number`: one expert has a second replica.
fn variant(number: u64) -> GroupPlacement {
    let mut ranks: Vec<Vec<Vec<u16>>> =
        (0..RANKS).map(|rank| vec![(rank..EXPERTS).step_by(RANKS).map(|e| e as u16).collect()]).collect();
    let expert = (number % EXPERTS as u64) as usize;
    let rank = (expert + 1 + (number / EXPERTS as u64 % (RANKS as u64 - 1)) as usize) % RANKS;
    ranks[rank][0].push(expert as u16);
    GroupPlacement::from_ranks(EXPERTS, &ranks)
}

struct Agent {
    grant: LeaderGrant,
    down_until_ms: u64,
}

struct Candidate {
    life: u64,
    leadership: Leadership,
    controller: MapController,
    frozen_until_ms: u64,
    pending: Vec<(usize, SentOrder)>,
    outcomes: Vec<(usize, SentOrder, OrderOutcome)>,
    asked: u64,
    waits_until_ms: u64,
    leads: bool,
}

impl Candidate {
    fn new(rank: usize, life: u64) -> Self {
        Self {
            life,
            leadership: Leadership::new(LEASE_MS),
            controller: MapController::new(MapControllerSettings::default(), rank, life),
            frozen_until_ms: 0,
            pending: Vec::new(),
            outcomes: Vec::new(),
            asked: 0,
            waits_until_ms: 0,
            leads: false,
        }
    }
}

/// A group with its agents, under faults drawn from a seed.
pub struct World {
    draws: Draws,
    now_ms: u64,
    epoch: u64,
    step: u64,
    next_step_ms: u64,
    is_idle: bool,
    engines: Vec<Engine>,
    agents: Vec<Agent>,
    candidates: Vec<Candidate>,
    late: Vec<(u64, usize, SentOrder)>,
    lives: u64,
    /// Longest time that the group has waited on a hold, in milliseconds.
    pub stood_ms: u64,
    standing_since_ms: Option<u64>,
    /// Times that the map in use changed.
    pub switches: u64,
    has_faults: bool,
    /// Until when the group stands since an engine has started again: then it forms anew.
    forms_ms: Option<u64>,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let agents = (0..RANKS).map(|_| Agent { grant: LeaderGrant::new(LEASE_MS, 0), down_until_ms: 0 }).collect();
        let candidates = (0..RANKS).map(|rank| Candidate::new(rank, rank as u64 + 1)).collect();
        let engine = Engine { map: (0, content_of(dealt().sets())), ..Engine::default() };
        Self {
            draws: Draws(seed),
            now_ms: 0,
            epoch: 1,
            step: 0,
            next_step_ms: 0,
            is_idle: false,
            engines: vec![engine; RANKS],
            agents,
            candidates,
            late: Vec::new(),
            lives: RANKS as u64,
            stood_ms: 0,
            standing_since_ms: None,
            switches: 0,
            has_faults: true,
            forms_ms: None,
        }
    }

    /// Ends all faults; late orders may still be carried out.
    pub fn calm(&mut self) {
        self.has_faults = false;
        self.is_idle = false;
    }

    /// Runs for so long; an error says how two maps came to be in one step.
    pub fn run(&mut self, for_ms: u64) -> Result<(), String> {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.now_ms += TICK_MS;
            if self.has_faults {
                self.inject();
            }
            self.carry_out_late();
            self.end_copies();
            self.advance_steps()?;
            for at in 0..RANKS {
                self.act(at);
            }
        }
        Ok(())
    }

    fn inject(&mut self) {
        if self.draws.one_in(150) {
            self.is_idle = !self.is_idle;
        }
        if self.draws.one_in(120) {
            let at = self.draws.below(RANKS as u64) as usize;
            self.candidates[at].frozen_until_ms = self.now_ms + 50 + self.draws.below(1_500);
        }
        if self.draws.one_in(200) {
            let at = self.draws.below(RANKS as u64) as usize;
            let down_ms = 50 + self.draws.below(800);
            self.restart_agent(at, down_ms);
        }
        if self.draws.one_in(900) {
            self.form_anew();
        }
        if self.forms_ms.is_none() && self.draws.one_in(500) {
            self.restart_engine();
        }
    }

    fn restart_agent(&mut self, at: usize, down_ms: u64) {
        self.lives += 1;
        let up_ms = self.now_ms + down_ms;
        self.agents[at] = Agent { grant: LeaderGrant::new(LEASE_MS, up_ms), down_until_ms: up_ms };
        self.candidates[at] = Candidate::new(at, self.lives);
        self.candidates[at].frozen_until_ms = up_ms;
    }

    /// An engine starts again as itself. Until the group forms anew, nobody has noticed: it
    /// reports the epoch and the state of the group as before, and takes orders.
    fn restart_engine(&mut self) {
        let at = self.draws.below(RANKS as u64) as usize;
        self.engines[at] = Engine { map: (0, content_of(dealt().sets())), ..Engine::default() };
        self.forms_ms = Some(self.now_ms + 20 + self.draws.below(600));
    }

    fn form_anew(&mut self) {
        self.forms_ms = None;
        self.epoch += 1;
        let map = (0, content_of(dealt().sets()));
        // A number of a map is never used again, in no epoch.
        self.engines.iter_mut().for_each(|e| *e = Engine { map, highest: e.highest, ..Engine::default() });
    }

    fn carry_out_late(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<_> = self.late.iter().filter(|(at_ms, ..)| *at_ms <= now_ms).cloned().collect();
        self.late.retain(|(at_ms, ..)| *at_ms > now_ms);
        for (_, rank, order) in due {
            self.carry_out(rank, &order);
        }
    }

    fn end_copies(&mut self) {
        let now_ms = self.now_ms;
        for engine in &mut self.engines {
            if let Some((version, content, _)) = engine.copying.take_if(|(.., until_ms)| *until_ms <= now_ms) {
                engine.prepared = Some((version, content));
            }
        }
    }

    fn advance_steps(&mut self) -> Result<(), String> {
        if self.forms_ms.is_some_and(|forms_ms| forms_ms <= self.now_ms) {
            self.form_anew();
        }
        if self.forms_ms.is_some() {
            // Steps are made by all ranks together.
            self.standing_since_ms = None;
            return Ok(());
        }
        let next = self.step + 1;
        let is_held = self.engines.iter().any(|engine| engine.held == Some(next));
        if self.is_idle || self.now_ms < self.next_step_ms {
            self.standing_since_ms = None;
            return Ok(());
        }
        if is_held {
            let since_ms = *self.standing_since_ms.get_or_insert(self.now_ms);
            self.stood_ms = self.stood_ms.max(self.now_ms - since_ms);
            return Ok(());
        }
        self.standing_since_ms = None;
        self.step = next;
        self.next_step_ms = self.now_ms + STEP_MS;
        let before = self.engines[0].map;
        for engine in &mut self.engines {
            if let Some((version, content, _)) = engine.armed.take_if(|(_, _, step)| *step <= next) {
                engine.map = (version, content);
                engine.prepared = None;
            }
        }
        let first = self.engines[0].map;
        self.switches += u64::from(first != before);
        if self.engines.iter().any(|engine| engine.map != first) {
            let maps: Vec<_> = self.engines.iter().map(|engine| engine.map).collect();
            return Err(format!("step {next} at {} ms begins with {maps:?}", self.now_ms));
        }
        Ok(())
    }

    fn carry_out(&mut self, rank: usize, sent: &SentOrder) -> OrderOutcome {
        let step = self.step;
        let copied_ms = self.now_ms + COPY_MS;
        let engine = &mut self.engines[rank];
        let fits = sent.epoch == self.epoch;
        let taken = fits
            && match &sent.order {
                Order::Prepare { version, map } => {
                    let allowed = *version > engine.highest && engine.armed.is_none();
                    if allowed {
                        engine.highest = *version;
                        // What was copied for the map before is dropped.
                        engine.prepared = None;
                        engine.copying = Some((*version, content_of(map), copied_ms));
                    }
                    allowed
                }
                Order::Arm { version, step: from } => {
                    let prepared = engine.prepared.filter(|(prepared, _)| prepared == version);
                    let allowed = prepared.filter(|_| step < *from);
                    engine.armed = allowed.map(|(version, content)| (version, content, *from)).or(engine.armed);
                    allowed.is_some()
                }
                Order::Disarm { version } => {
                    engine.armed.take_if(|(armed, ..)| armed == version);
                    engine.map.0 != *version
                }
                Order::Hold { step: at } => {
                    let allowed = step < *at && engine.held.is_none_or(|held| held == *at);
                    if allowed {
                        engine.held = Some(*at);
                    }
                    allowed
                }
                Order::Go { step: at } => engine.held.take_if(|held| held == at).is_some(),
            };
        if taken { OrderOutcome::Taken } else { OrderOutcome::Refused }
    }

    /// An order on its way: carried out now, or late, or never.
    fn deliver(&mut self, rank: usize, sent: &SentOrder) -> OrderOutcome {
        if !self.has_faults {
            return self.carry_out(rank, sent);
        }
        match self.draws.below(10) {
            0 => {
                let late_ms = 20 + self.draws.below(3_000);
                self.late.push((self.now_ms + late_ms, rank, sent.clone()));
                OrderOutcome::Unknown
            }
            1 => OrderOutcome::Unknown,
            2 => {
                self.carry_out(rank, sent);
                OrderOutcome::Unknown
            }
            _ => self.carry_out(rank, sent),
        }
    }

    fn view(&self, rank: usize) -> RankView {
        let engine = &self.engines[rank];
        RankView {
            group: "g".into(),
            rank,
            size: RANKS,
            epoch: self.epoch,
            is_open: true,
            step: self.step,
            map: engine.map.0,
            is_busy: engine.copying.is_some(),
            prepared: engine.prepared.map(|(version, _)| version),
            armed: engine.armed.map(|(version, _, step)| ArmedMap { version, step: Some(step) }),
            held: engine.held,
            ..RankView::default()
        }
    }

    /// One round of one candidate: sends what is pending, asks all, decides.
    fn act(&mut self, at: usize) {
        let now_ms = self.now_ms;
        if now_ms < self.candidates[at].frozen_until_ms {
            return;
        }
        let me = LeaderId { life: self.candidates[at].life };
        let has_lapsed = self.candidates[at].leads && !self.candidates[at].leadership.has_majority(RANKS, now_ms, 0);
        if has_lapsed {
            self.stand_down(at);
            return;
        }
        let is_led = self.agents[at].grant.holder(now_ms).is_some_and(|holder| *holder != me);
        let pending = std::mem::take(&mut self.candidates[at].pending);
        for (rank, order) in pending {
            let outcome = self.send(&me, rank, &order);
            self.candidates[at].outcomes.push((rank, order, outcome));
        }
        // Candidates ask in turn, so that one of them gets most grants.
        let is_turn = now_ms / TICK_MS % (2 * RANKS as u64) == 2 * at as u64;
        let leads = self.candidates[at].leadership.has_majority(RANKS, now_ms, 0);
        if !leads && (is_led || !is_turn || now_ms < self.candidates[at].waits_until_ms) {
            return;
        }
        let reach = self.candidates[at].controller.must_reach_all();
        let mut views = Vec::new();
        for rank in 0..RANKS {
            let is_up = now_ms >= self.agents[rank].down_until_ms;
            let granted = is_up && self.agents[rank].grant.try_grant(&me, LEASE_MS, now_ms);
            self.candidates[at].leadership.on_answer(rank, granted, now_ms);
            views.push((is_up || reach).then(|| self.view(rank)));
        }
        self.decide(at, views);
    }

    fn send(&mut self, me: &LeaderId, rank: usize, order: &SentOrder) -> OrderOutcome {
        let is_up = self.now_ms >= self.agents[rank].down_until_ms;
        let obeys = self.agents[rank].grant.holder(self.now_ms) == Some(me);
        // Holds and releases go to the engine itself, as all orders do where its agent is
        // down: nobody looks at grants there.
        let is_direct = matches!(order.order, Order::Hold { .. } | Order::Go { .. });
        if is_up && !obeys && !is_direct {
            return OrderOutcome::Unknown;
        }
        self.deliver(rank, order)
    }

    fn decide(&mut self, at: usize, views: Vec<Option<RankView>>) {
        let now_ms = self.now_ms;
        let epoch_map = self.engines[0].map;
        let freeze = self.has_faults && self.draws.one_in(60);
        let freeze_ms = 30 + self.draws.below(1_200);
        let wants_another = self.has_faults && self.draws.one_in(GIVES_WAY_ONE_IN);
        let candidate = &mut self.candidates[at];
        let round = Round { views, outcomes: std::mem::take(&mut candidate.outcomes) };
        if !candidate.leadership.has_majority(RANKS, now_ms, 50) {
            if !candidate.leadership.has_majority(RANKS, now_ms, 0) {
                self.stand_down(at);
            }
            return;
        }
        candidate.leads = true;
        let maps_known = candidate.controller.current_map().is_some_and(|(version, _)| *version == epoch_map.0);
        let all_equal = self.engines.iter().all(|engine| engine.map == epoch_map);
        if !maps_known && all_equal {
            let placement = (0..64).map(variant).chain([dealt()]).find(|p| content_of(p.sets()) == epoch_map.1);
            if let Some(placement) = placement {
                candidate.controller.set_current_map(epoch_map.0, placement);
            }
        }
        candidate.pending = candidate.controller.on_round(&round, now_ms);
        let gives_way = wants_another && candidate.controller.is_preemptible(&round.views);
        if gives_way || candidate.controller.accepts_proposal(&round.views, now_ms) {
            candidate.asked += 1;
            let number = hash::mix(candidate.life * 1000 + candidate.asked);
            candidate.controller.propose(variant(number % 24), 1, now_ms);
        }
        if freeze {
            candidate.frozen_until_ms = now_ms + freeze_ms;
        }
    }
}

impl World {
    /// Gives back what was granted, and leaves the others a lease to agree.
    fn stand_down(&mut self, at: usize) {
        let candidate = &mut self.candidates[at];
        candidate.controller = candidate.controller.restarted(at);
        candidate.leadership.clear();
        candidate.leads = false;
        candidate.pending.clear();
        candidate.outcomes.clear();
        candidate.waits_until_ms = self.now_ms + LEASE_MS;
        let me = LeaderId { life: candidate.life };
        self.agents.iter_mut().for_each(|agent| agent.grant.release(&me));
    }
}
