//! In every step all ranks use the same map, whatever happens to orders, replies and
//! leaders, and a change ends within a bounded time after faults have ended.

mod common;

use std::collections::BTreeMap;

use ochreyard_core::map_switch::{
    MapSwitch, OrderEnvelope, Rank, RankReply, SwitchOutcome, SwitchPhase, SwitchSettings,
};
use proptest::prelude::*;

const RANKS: u32 = 4;
const SETTINGS: SwitchSettings = SwitchSettings { steps_ahead: 3, resend_ms: 20, phase_timeout_ms: 100 };
const OLD_MAP: u64 = 1;

#[derive(Debug, Clone)]
enum Op {
    /// The rank enters its next step, if lock-step and its gate allow it.
    Step(u32),
    /// All ranks enter their next steps, in order.
    StepAll,
    DeliverOrder(usize),
    RepeatOrder(usize),
    LoseOrder(usize),
    DeliverReply(usize),
    RepeatReply(usize),
    LoseReply(usize),
    DeliverAll,
    Tick {
        leader: usize,
        ms: u64,
    },
    /// The newest leader is paused and another takes over. The old one may resume later.
    NewLeader,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0..RANKS).prop_map(Op::Step),
        4 => Just(Op::StepAll),
        8 => any::<usize>().prop_map(Op::DeliverOrder),
        2 => any::<usize>().prop_map(Op::RepeatOrder),
        2 => any::<usize>().prop_map(Op::LoseOrder),
        8 => any::<usize>().prop_map(Op::DeliverReply),
        2 => any::<usize>().prop_map(Op::RepeatReply),
        2 => any::<usize>().prop_map(Op::LoseReply),
        3 => Just(Op::DeliverAll),
        6 => (any::<usize>(), 1..60u64).prop_map(|(leader, ms)| Op::Tick { leader, ms }),
        1 => Just(Op::NewLeader),
    ]
}

struct World {
    now_ms: u64,
    ranks: Vec<Rank>,
    leaders: Vec<MapSwitch>,
    orders: Vec<(usize, OrderEnvelope)>,
    replies: Vec<(usize, RankReply)>,
    map_by_step: BTreeMap<u64, u64>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now_ms: 0,
            ranks: (0..RANKS).map(|_| Rank::new(OLD_MAP)).collect(),
            leaders: Vec::new(),
            orders: Vec::new(),
            replies: Vec::new(),
            map_by_step: BTreeMap::new(),
        };
        world.new_leader();
        world
    }

    fn new_leader(&mut self) {
        let token = self.leaders.len() as u64 + 1;
        let mut leader = MapSwitch::new(SETTINGS, token, RANKS, OLD_MAP + token, self.now_ms);
        let orders = leader.start(self.now_ms);
        self.leaders.push(leader);
        self.send(self.leaders.len() - 1, orders);
    }

    fn send(&mut self, leader: usize, orders: Vec<OrderEnvelope>) {
        self.orders.extend(orders.into_iter().map(|order| (leader, order)));
    }

    fn step(&mut self, rank: usize) {
        let next = self.ranks[rank].view().step + 1;
        let lock_step = self.ranks.iter().all(|other| other.view().step + 1 >= next);
        if !lock_step || !self.ranks[rank].may_enter(next) {
            return;
        }
        let map = self.ranks[rank].enter(next);
        let expected = *self.map_by_step.entry(next).or_insert(map);
        assert_eq!(expected, map, "rank {rank} uses map {map} in step {next}, another uses {expected}");
    }

    fn deliver_order(&mut self, (leader, order): (usize, OrderEnvelope)) {
        let reply = self.ranks[order.rank as usize].on_order(&order);
        self.replies.push((leader, reply));
    }

    fn deliver_reply(&mut self, (leader, reply): (usize, RankReply)) {
        let orders = self.leaders[leader].on_reply(reply, self.now_ms);
        self.send(leader, orders);
    }

    fn deliver_all(&mut self) {
        std::mem::take(&mut self.orders).into_iter().for_each(|order| self.deliver_order(order));
        std::mem::take(&mut self.replies).into_iter().for_each(|reply| self.deliver_reply(reply));
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Step(rank) => self.step(rank as usize),
            Op::StepAll => (0..RANKS as usize).for_each(|rank| self.step(rank)),
            Op::DeliverOrder(at) if !self.orders.is_empty() => {
                let order = self.orders.swap_remove(at % self.orders.len());
                self.deliver_order(order);
            }
            Op::RepeatOrder(at) if !self.orders.is_empty() => self.deliver_order(self.orders[at % self.orders.len()]),
            Op::LoseOrder(at) if !self.orders.is_empty() => drop(self.orders.swap_remove(at % self.orders.len())),
            Op::DeliverReply(at) if !self.replies.is_empty() => {
                let reply = self.replies.swap_remove(at % self.replies.len());
                self.deliver_reply(reply);
            }
            Op::RepeatReply(at) if !self.replies.is_empty() => {
                self.deliver_reply(self.replies[at % self.replies.len()].clone());
            }
            Op::LoseReply(at) if !self.replies.is_empty() => drop(self.replies.swap_remove(at % self.replies.len())),
            Op::DeliverAll => self.deliver_all(),
            Op::Tick { leader, ms } => {
                self.now_ms += ms;
                let leader = leader % self.leaders.len();
                let orders = self.leaders[leader].tick(self.now_ms);
                self.send(leader, orders);
            }
            Op::NewLeader => self.new_leader(),
            _ => {}
        }
    }

    /// Runs the newest leader without faults until its change ends.
    fn run_without_faults(&mut self) -> SwitchOutcome {
        const ROUNDS: u32 = 200;
        for _ in 0..ROUNDS {
            self.deliver_all();
            (0..RANKS as usize).for_each(|rank| self.step(rank));
            self.now_ms += SETTINGS.resend_ms;
            let newest = self.leaders.len() - 1;
            let orders = self.leaders[newest].tick(self.now_ms);
            self.send(newest, orders);
            if let Some(outcome) = self.leaders[newest].outcome() {
                return outcome;
            }
        }
        panic!("the change did not end: {:?}", self.leaders.last().unwrap().phase());
    }

    fn assert_makes_progress(&mut self) {
        let before = self.ranks[0].view().step;
        for _ in 0..20 {
            (0..RANKS as usize).for_each(|rank| self.step(rank));
        }
        assert!(self.ranks[0].view().step >= before + 10, "the group is stuck at a gate");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: common::cases(2_000), max_shrink_iters: 40_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_step_has_two_maps_and_every_change_ends(ops in prop::collection::vec(op(), 1..250)) {
        let mut world = World::new();
        ops.iter().for_each(|op| world.apply(op));
        world.run_without_faults();
        world.assert_makes_progress();
    }
}

#[test]
fn without_faults_the_group_switches_to_the_new_map() {
    let mut world = World::new();
    assert_eq!(world.run_without_faults(), SwitchOutcome::Switched);
    world.assert_makes_progress();
    assert_eq!(world.map_by_step.values().last(), Some(&(OLD_MAP + 1)));
}

#[test]
fn an_unresponsive_rank_makes_the_group_return_to_the_old_map() {
    let mut world = World::new();
    // Rank 3 receives no orders from the gate on, and later it is reachable again.
    for _ in 0..40 {
        world.now_ms += SETTINGS.resend_ms;
        let orders = world.leaders[0].tick(world.now_ms);
        world.send(0, orders);
        let is_gate = |order: &OrderEnvelope| {
            !matches!(
                order.order,
                ochreyard_core::map_switch::RankOrder::Inspect | ochreyard_core::map_switch::RankOrder::Stage { .. }
            )
        };
        world.orders.retain(|(_, order)| order.rank != 3 || !is_gate(order));
        world.deliver_all();
        (0..RANKS as usize).for_each(|rank| world.step(rank));
    }
    assert_eq!(world.leaders[0].outcome(), None);
    assert_eq!(world.run_without_faults(), SwitchOutcome::Undone);
    world.assert_makes_progress();
    assert_eq!(world.map_by_step.values().last(), Some(&OLD_MAP));
}

/// Regression test: the second change gated the step from which the first change's map was
/// scheduled, replaced that map in the schedule, and had no map left to restore.
#[test]
fn a_change_right_after_another_keeps_a_map_to_restore() {
    let mut world = World::new();
    while world.leaders[0].outcome().is_none() {
        world.deliver_all();
    }
    world.new_leader();
    while !matches!(world.leaders[1].phase(), SwitchPhase::Activate(_)) {
        world.deliver_all();
    }
    world.apply(&Op::LoseOrder(0));
    world.apply(&Op::Tick { leader: 1, ms: SETTINGS.phase_timeout_ms });
    assert_eq!(world.run_without_faults(), SwitchOutcome::Undone);
    world.assert_makes_progress();
    assert_eq!(world.map_by_step.values().last(), Some(&(OLD_MAP + 1)));
}
