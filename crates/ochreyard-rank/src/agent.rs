//! What an agent does for whoever is granted its rank.

use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use ochreyard_core::group_map::{LeaderGrant, LeaderId, Order, OrderOutcome, RankView, SelectionCounts, SentOrder};
use ochreyard_process::Clock;

use crate::engine::{EngineError, RankEngine, SelectionTotals};
use crate::message::{AgentResponse, LeaderRequest, RankStatus};
use crate::versioned_map::VersionedMap;

/// The running counts as they stood when a leader was last told.
#[derive(Debug, Clone)]
struct ToldCounts {
    leader: LeaderId,
    counts: SelectionTotals,
}

/// The agent of one rank.
pub struct Agent<E> {
    engine: E,
    engine_addr: SocketAddr,
    clock: Clock,
    grant: RefCell<LeaderGrant>,
    told_counts: RefCell<Option<ToldCounts>>,
    known_map: RefCell<Option<VersionedMap>>,
    is_reachable: Cell<bool>,
}

impl<E: RankEngine> Agent<E> {
    /// An agent that starts now. It grants nothing for longer than `lease_ms`.
    pub fn new(engine: E, engine_addr: SocketAddr, lease_ms: u64, clock: Clock) -> Rc<Self> {
        let grant = RefCell::new(LeaderGrant::new(lease_ms, clock.now_ms()));
        Rc::new(Self {
            engine,
            engine_addr,
            clock,
            grant,
            told_counts: RefCell::new(None),
            known_map: RefCell::new(None),
            is_reachable: Cell::new(true),
        })
    }

    /// What it sees, for anybody who asks.
    pub async fn looked(&self) -> RankStatus {
        let view = self.look().await;
        let holder = self.grant.borrow().holder(self.clock.now_ms()).copied();
        RankStatus { view, holder }
    }

    async fn look(&self) -> Option<RankView> {
        self.noted(self.engine.view().await)
    }

    /// Answers a leader: grants or refuses, carries out its orders, and tells of the rank.
    pub async fn answer(&self, ask: &LeaderRequest) -> AgentResponse {
        if ask.releases_grant {
            self.grant.borrow_mut().release(&ask.leader);
            return AgentResponse::default();
        }
        let now_ms = self.clock.now_ms();
        let granted = self.grant.borrow_mut().try_grant(&ask.leader, ask.lease_ms, now_ms);
        let holder = self.grant.borrow().holder(now_ms).filter(|_| !granted).copied();
        let outcomes = if granted { self.carry_out(ask).await } else { Vec::new() };
        let view = self.look().await;
        let selection_counts = if ask.wants_counts { self.chosen_for(&ask.leader).await } else { None };
        let held_experts = if ask.wants_held_experts { self.noted(self.engine.held_experts().await) } else { None };
        let known_map_version = self.known_map.borrow().as_ref().map(|known| known.version);
        AgentResponse { granted, holder, view, known_map_version, outcomes, selection_counts, held_experts }
    }

    /// What the rank has chosen since `leader` was last told.
    async fn chosen_for(&self, leader: &LeaderId) -> Option<SelectionCounts> {
        let counts = self.noted(self.engine.selection_totals().await)?;
        let told = ToldCounts { leader: *leader, counts };
        let before = self.told_counts.replace(Some(told.clone())).filter(|before| before.leader == *leader)?;
        Some(SelectionCounts::new(&told.counts.since(&before.counts)))
    }

    async fn carry_out(&self, ask: &LeaderRequest) -> Vec<OrderOutcome> {
        let mut outcomes = Vec::with_capacity(ask.orders.len());
        for order in &ask.orders {
            // A process may have stood still since the grant was looked at.
            let is_granted = self.grant.borrow().holder(self.clock.now_ms()) == Some(&ask.leader);
            let order = self.with_map(order, ask).filter(|_| is_granted);
            outcomes.push(match order {
                Some(order) => self.engine.order(&order).await,
                None => OrderOutcome::Unknown,
            });
        }
        outcomes
    }

    /// An order with its whole map, which it may only hold as a change of one that is
    /// known here; `None` where it is not.
    fn with_map<'a>(&self, sent: &'a SentOrder, ask: &LeaderRequest) -> Option<Cow<'a, SentOrder>> {
        let Order::Prepare { version, map } = &sent.order else { return Some(Cow::Borrowed(sent)) };
        let mut known = self.known_map.borrow_mut();
        let Some(change) = &ask.map_delta else {
            known.replace(VersionedMap { version: *version, experts: map.clone() });
            return Some(Cow::Borrowed(sent));
        };
        let base = known.as_ref().filter(|known| known.version == change.base)?;
        let experts = change.apply(&base.experts)?;
        known.replace(VersionedMap { version: *version, experts: experts.clone() });
        let order = Order::Prepare { version: *version, map: experts };
        Some(Cow::Owned(SentOrder { order, ..sent.clone() }))
    }

    fn noted<T>(&self, result: Result<T, EngineError>) -> Option<T> {
        let was_reachable = self.is_reachable.replace(result.is_ok());
        match result {
            Ok(value) => {
                if !was_reachable {
                    log::info!("event=engine_regained addr={}", self.engine_addr);
                }
                Some(value)
            }
            Err(error) => {
                if was_reachable {
                    log::warn!("event=engine_lost addr={} error=\"{error}\"", self.engine_addr);
                }
                None
            }
        }
    }
}
