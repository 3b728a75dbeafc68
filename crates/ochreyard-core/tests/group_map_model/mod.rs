//! A model of a group whose engines follow the documented rules, where orders are lost, stay
//! unanswered or are carried out late, and where agents grant leadership, freeze, crash and restart.

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
/// Time to copy the experts of one change, in milliseconds.
const COPY_MS: u64 = 80;
/// Mean number of rounds after which a leader wants to replace a change in progress.
const PREEMPTION_ONE_IN: u64 = 12;
/// Mean number of rounds after which a leader stops and hands over.
const HANDOVER_ONE_IN: u64 = 80;

/// Uniform random numbers from a seed.
pub struct Random(u64);

impl Random {
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
    /// The version and content of the map whose experts are being copied, and the time at which the copies are complete.
    copying: Option<(u64, u64, u64)>,
    prepared: Option<(u64, u64)>,
    armed: Option<(u64, u64, u64)>,
    held: Option<u64>,
}

/// A hash of the content of a map.
fn content_hash(map: &[Vec<Vec<u16>>]) -> u64 {
    let words = map.iter().flatten().flat_map(|held| held.iter().map(|e| u64::from(*e) + 1).chain([0]));
    words.fold(7, |sum, word| hash::mix(sum ^ word))
}

fn initial_placement() -> GroupPlacement {
    GroupPlacement::round_robin(1, EXPERTS, RANKS)
}

/// A placement in which one expert has a second replica, both chosen by `number`.
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
    incarnation: u64,
    leadership: Leadership,
    controller: MapController,
    frozen_until_ms: u64,
    pending: Vec<(usize, SentOrder)>,
    outcomes: Vec<(usize, SentOrder, OrderOutcome)>,
    proposals: u64,
    retry_at_ms: u64,
    is_leading: bool,
    /// Until when the candidate asks for the leadership without waiting for its turn, since it was handed over.
    succeeds_until_ms: u64,
}

/// What a leader that stops hands over.
#[derive(Clone)]
struct Handover {
    highest_version: u64,
    map: Option<(u64, GroupPlacement)>,
}

impl Candidate {
    fn new(rank: usize, incarnation: u64) -> Self {
        Self {
            incarnation,
            leadership: Leadership::new(LEASE_MS),
            controller: MapController::new(MapControllerSettings::default(), rank, incarnation),
            frozen_until_ms: 0,
            pending: Vec::new(),
            outcomes: Vec::new(),
            proposals: 0,
            retry_at_ms: 0,
            is_leading: false,
            succeeds_until_ms: 0,
        }
    }
}

/// A group with its agents, under faults chosen at random from a seed.
pub struct World {
    random: Random,
    now_ms: u64,
    epoch: u64,
    step: u64,
    next_step_ms: u64,
    is_idle: bool,
    engines: Vec<Engine>,
    agents: Vec<Agent>,
    candidates: Vec<Candidate>,
    late_orders: Vec<(u64, usize, SentOrder)>,
    /// Handovers by the time of their arrival and the candidate that they are for.
    handovers: Vec<(u64, usize, Handover)>,
    /// Random numbers for handovers; `None` if leaders that stop do not hand over. They are separate so that the seeds
    /// of earlier failures still cause the same faults.
    handover_random: Option<Random>,
    /// Number of candidates that began to lead by a handover.
    pub successions: u64,
    last_incarnation: u64,
    /// Longest time that a hold has stalled the group, in milliseconds.
    pub max_stall_ms: u64,
    stalled_since_ms: Option<u64>,
    /// Number of changes of the map in use.
    pub switches: u64,
    has_faults: bool,
    /// After the restart of an engine, the time at which the group forms anew; it is stalled until then.
    forms_at_ms: Option<u64>,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let agents = (0..RANKS).map(|_| Agent { grant: LeaderGrant::new(LEASE_MS, 0), down_until_ms: 0 }).collect();
        let candidates = (0..RANKS).map(|rank| Candidate::new(rank, rank as u64 + 1)).collect();
        let engine = Engine { map: (0, content_hash(initial_placement().sets())), ..Engine::default() };
        Self {
            random: Random(seed),
            now_ms: 0,
            epoch: 1,
            step: 0,
            next_step_ms: 0,
            is_idle: false,
            engines: vec![engine; RANKS],
            agents,
            candidates,
            late_orders: Vec::new(),
            handovers: Vec::new(),
            handover_random: None,
            successions: 0,
            last_incarnation: RANKS as u64,
            max_stall_ms: 0,
            stalled_since_ms: None,
            switches: 0,
            has_faults: true,
            forms_at_ms: None,
        }
    }

    /// A group whose leaders also stop at random, and hand over.
    pub fn with_handovers(seed: u64) -> Self {
        Self { handover_random: Some(Random(hash::mix(seed))), ..Self::new(seed) }
    }

    /// Ends all faults; late orders may still be carried out.
    pub fn end_faults(&mut self) {
        self.has_faults = false;
        self.is_idle = false;
    }

    /// Runs the group for `for_ms`. The error describes a step that uses two maps.
    pub fn run(&mut self, for_ms: u64) -> Result<(), String> {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.now_ms += TICK_MS;
            if self.has_faults {
                self.inject_faults();
            }
            self.carry_out_late_orders();
            self.receive_handovers();
            self.complete_copies();
            self.advance_steps()?;
            for at in 0..RANKS {
                self.run_round(at);
            }
        }
        Ok(())
    }

    fn inject_faults(&mut self) {
        if self.random.one_in(150) {
            self.is_idle = !self.is_idle;
        }
        if self.random.one_in(120) {
            let at = self.random.below(RANKS as u64) as usize;
            self.candidates[at].frozen_until_ms = self.now_ms + 50 + self.random.below(1_500);
        }
        if self.random.one_in(200) {
            let at = self.random.below(RANKS as u64) as usize;
            let down_ms = 50 + self.random.below(800);
            self.restart_agent(at, down_ms);
        }
        if self.random.one_in(900) {
            self.form_anew();
        }
        if self.forms_at_ms.is_none() && self.random.one_in(500) {
            self.restart_engine();
        }
    }

    fn restart_agent(&mut self, at: usize, down_ms: u64) {
        self.last_incarnation += 1;
        let up_ms = self.now_ms + down_ms;
        self.agents[at] = Agent { grant: LeaderGrant::new(LEASE_MS, up_ms), down_until_ms: up_ms };
        self.candidates[at] = Candidate::new(at, self.last_incarnation);
        self.candidates[at].frozen_until_ms = up_ms;
    }

    /// Restarts an engine with its state reset. Until the group forms anew, this goes unnoticed: the
    /// engine reports the epoch and the state of the group as before, and accepts orders.
    fn restart_engine(&mut self) {
        let at = self.random.below(RANKS as u64) as usize;
        self.engines[at] = Engine { map: (0, content_hash(initial_placement().sets())), ..Engine::default() };
        self.forms_at_ms = Some(self.now_ms + 20 + self.random.below(600));
    }

    fn form_anew(&mut self) {
        self.forms_at_ms = None;
        self.epoch += 1;
        let map = (0, content_hash(initial_placement().sets()));
        // A map version is never used again, not even in another epoch.
        self.engines.iter_mut().for_each(|e| *e = Engine { map, highest: e.highest, ..Engine::default() });
    }

    fn carry_out_late_orders(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<_> = self.late_orders.iter().filter(|(due_ms, ..)| *due_ms <= now_ms).cloned().collect();
        self.late_orders.retain(|(due_ms, ..)| *due_ms > now_ms);
        for (_, rank, order) in due {
            self.carry_out(rank, &order);
        }
    }

    fn complete_copies(&mut self) {
        let now_ms = self.now_ms;
        for engine in &mut self.engines {
            if let Some((version, content, _)) = engine.copying.take_if(|(.., until_ms)| *until_ms <= now_ms) {
                engine.prepared = Some((version, content));
            }
        }
    }

    fn advance_steps(&mut self) -> Result<(), String> {
        if self.forms_at_ms.is_some_and(|forms_at_ms| forms_at_ms <= self.now_ms) {
            self.form_anew();
        }
        if self.forms_at_ms.is_some() {
            // All ranks make a step together, so none is made while one rank is missing.
            self.stalled_since_ms = None;
            return Ok(());
        }
        let next = self.step + 1;
        let is_held = self.engines.iter().any(|engine| engine.held == Some(next));
        if self.is_idle || self.now_ms < self.next_step_ms {
            self.stalled_since_ms = None;
            return Ok(());
        }
        if is_held {
            let since_ms = *self.stalled_since_ms.get_or_insert(self.now_ms);
            self.max_stall_ms = self.max_stall_ms.max(self.now_ms - since_ms);
            return Ok(());
        }
        self.stalled_since_ms = None;
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
            return Err(format!("step {next} at {} ms uses different maps: {maps:?}", self.now_ms));
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
                        // The copies for the previously prepared map are dropped.
                        engine.prepared = None;
                        engine.copying = Some((*version, content_hash(map), copied_ms));
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

    /// Delivers an order: it is carried out now, late or never, and its answer may be lost.
    fn deliver(&mut self, rank: usize, sent: &SentOrder) -> OrderOutcome {
        if !self.has_faults {
            return self.carry_out(rank, sent);
        }
        match self.random.below(10) {
            0 => {
                let late_ms = 20 + self.random.below(3_000);
                self.late_orders.push((self.now_ms + late_ms, rank, sent.clone()));
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

    /// Runs one polling round of one candidate: it sends the pending orders, asks all agents, and decides.
    fn run_round(&mut self, at: usize) {
        let now_ms = self.now_ms;
        if now_ms < self.candidates[at].frozen_until_ms {
            return;
        }
        let leader_id = LeaderId { life: self.candidates[at].incarnation };
        let has_lapsed =
            self.candidates[at].is_leading && !self.candidates[at].leadership.has_majority(RANKS, now_ms, 0);
        if has_lapsed {
            self.resign(at);
            return;
        }
        let may_stop = self.has_faults && self.candidates[at].is_leading;
        if may_stop && self.handover_random.as_mut().is_some_and(|random| random.one_in(HANDOVER_ONE_IN)) {
            self.hand_over(at);
            return;
        }
        let is_led_by_other = self.agents[at].grant.holder(now_ms).is_some_and(|holder| *holder != leader_id);
        let pending = std::mem::take(&mut self.candidates[at].pending);
        for (rank, order) in pending {
            let outcome = self.send(&leader_id, rank, &order);
            self.candidates[at].outcomes.push((rank, order, outcome));
        }
        // Candidates ask in turn, so that one of them gets a majority of the grants.
        let is_own_turn = now_ms / TICK_MS % (2 * RANKS as u64) == 2 * at as u64;
        let is_leading = self.candidates[at].leadership.has_majority(RANKS, now_ms, 0);
        let is_successor = now_ms < self.candidates[at].succeeds_until_ms;
        let waits = is_led_by_other || !is_own_turn || now_ms < self.candidates[at].retry_at_ms;
        if !is_leading && waits && !is_successor {
            return;
        }
        let must_reach_all = self.candidates[at].controller.must_reach_all();
        let mut views = Vec::new();
        for rank in 0..RANKS {
            let is_up = now_ms >= self.agents[rank].down_until_ms;
            let granted = is_up && self.agents[rank].grant.try_grant(&leader_id, LEASE_MS, now_ms);
            self.candidates[at].leadership.on_answer(rank, granted, now_ms);
            views.push((is_up || must_reach_all).then(|| self.view(rank)));
        }
        self.decide(at, views);
    }

    fn send(&mut self, leader_id: &LeaderId, rank: usize, order: &SentOrder) -> OrderOutcome {
        let is_up = self.now_ms >= self.agents[rank].down_until_ms;
        let accepts_orders = self.agents[rank].grant.holder(self.now_ms) == Some(leader_id);
        // Holds and releases are sent directly to the engine, as are all orders while its agent is
        // down: the engine does not check grants.
        let is_sent_to_engine = matches!(order.order, Order::Hold { .. } | Order::Go { .. });
        if is_up && !accepts_orders && !is_sent_to_engine {
            return OrderOutcome::Unknown;
        }
        self.deliver(rank, order)
    }

    fn decide(&mut self, at: usize, views: Vec<Option<RankView>>) {
        let now_ms = self.now_ms;
        let epoch_map = self.engines[0].map;
        let is_frozen = self.has_faults && self.random.one_in(60);
        let freeze_ms = 30 + self.random.below(1_200);
        let wants_other_map = self.has_faults && self.random.one_in(PREEMPTION_ONE_IN);
        let candidate = &mut self.candidates[at];
        let round = Round { views, outcomes: std::mem::take(&mut candidate.outcomes) };
        if !candidate.leadership.has_majority(RANKS, now_ms, 50) {
            if !candidate.leadership.has_majority(RANKS, now_ms, 0) {
                self.resign(at);
            }
            return;
        }
        if !candidate.is_leading && now_ms < candidate.succeeds_until_ms {
            self.successions += 1;
        }
        candidate.is_leading = true;
        let is_map_known = candidate.controller.current_map().is_some_and(|(version, _)| *version == epoch_map.0);
        let all_maps_equal = self.engines.iter().all(|engine| engine.map == epoch_map);
        if !is_map_known && all_maps_equal {
            let placement =
                (0..64).map(variant).chain([initial_placement()]).find(|p| content_hash(p.sets()) == epoch_map.1);
            if let Some(placement) = placement {
                candidate.controller.set_current_map(epoch_map.0, placement);
            }
        }
        candidate.pending = candidate.controller.on_round(&round, now_ms);
        let is_preempted = wants_other_map && candidate.controller.is_preemptible(&round.views);
        if is_preempted || candidate.controller.accepts_proposal(&round.views, now_ms) {
            candidate.proposals += 1;
            let number = hash::mix(candidate.incarnation * 1000 + candidate.proposals);
            candidate.controller.propose(variant(number % 24), 1, now_ms);
        }
        if is_frozen {
            candidate.frozen_until_ms = now_ms + freeze_ms;
        }
    }
}

impl World {
    /// Releases the grants of a candidate, which then waits one lease so that another can win a majority.
    fn resign(&mut self, at: usize) {
        let candidate = &mut self.candidates[at];
        candidate.controller = candidate.controller.restarted(at);
        candidate.leadership.clear();
        candidate.is_leading = false;
        candidate.pending.clear();
        candidate.outcomes.clear();
        candidate.retry_at_ms = self.now_ms + LEASE_MS;
        let leader_id = LeaderId { life: candidate.incarnation };
        self.agents.iter_mut().for_each(|agent| agent.grant.release(&leader_id));
    }

    /// Stops a leader, which restarts as a new box, and sends a handover to one or two other candidates: the first
    /// one's answer may be late. Each handover may be lost, late or doubled.
    fn hand_over(&mut self, at: usize) {
        let Some(mut random) = self.handover_random.take() else { return };
        let controller = &self.candidates[at].controller;
        let handover =
            Handover { highest_version: controller.highest_version(), map: controller.current_map().cloned() };
        self.resign(at);
        for _ in 0..=random.below(2) {
            let to = (at + 1 + random.below(RANKS as u64 - 1) as usize) % RANKS;
            for _ in 0..random.below(3) {
                let late_ms = if random.one_in(4) { random.below(3_000) } else { TICK_MS };
                self.handovers.push((self.now_ms + late_ms, to, handover.clone()));
            }
        }
        self.last_incarnation += 1;
        self.candidates[at] = Candidate::new(at, self.last_incarnation);
        self.candidates[at].frozen_until_ms = self.now_ms + 50 + random.below(1_500);
        self.handover_random = Some(random);
    }

    /// Makes the candidates that a handover reaches begin a new term, unless they lead already.
    fn receive_handovers(&mut self) {
        let now_ms = self.now_ms;
        let arrived: Vec<_> = self.handovers.extract_if(.., |(at_ms, ..)| *at_ms <= now_ms).collect();
        for (_, to, handover) in arrived {
            if self.candidates[to].is_leading || now_ms < self.candidates[to].frozen_until_ms {
                continue;
            }
            self.resign(to);
            self.last_incarnation += 1;
            let mut successor = Candidate::new(to, self.last_incarnation);
            successor.controller.raise_highest_version(handover.highest_version);
            if let Some((version, placement)) = handover.map {
                successor.controller.set_current_map(version, placement);
            }
            successor.succeeds_until_ms = now_ms + LEASE_MS;
            self.candidates[to] = successor;
        }
    }
}
