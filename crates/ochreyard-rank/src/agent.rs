//! Answers status queries and the requests of leaders for one rank.

use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ochreyard_core::group_map::{LeaderGrant, LeaderId, Order, OrderOutcome, RankView, SelectionCounts, SentOrder};
use ochreyard_process::Clock;

use crate::engine::{EngineError, RankEngine, SelectionTotals};
use crate::message::{AgentResponse, LeaderRequest, RankStatus};
use crate::versioned_map::VersionedMap;

/// How often a stopping agent checks whether a request is in flight.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The selection totals at the time of the last response with counts, and the leader that received it.
#[derive(Debug, Clone)]
struct ReportedTotals {
    leader: LeaderId,
    totals: SelectionTotals,
}

/// The agent of one rank.
pub struct Agent<E> {
    engine: E,
    engine_addr: SocketAddr,
    clock: Clock,
    grant: RefCell<LeaderGrant>,
    reported_totals: RefCell<Option<ReportedTotals>>,
    known_map: RefCell<Option<VersionedMap>>,
    is_reachable: Cell<bool>,
    /// Cloned for each request in flight.
    in_flight: Rc<()>,
}

impl<E: RankEngine> Agent<E> {
    /// Creates an agent that starts now: it grants nothing for the first `lease_ms`, and no lease
    /// longer than that.
    pub fn new(engine: E, engine_addr: SocketAddr, lease_ms: u64, clock: Clock) -> Rc<Self> {
        let grant = RefCell::new(LeaderGrant::new(lease_ms, clock.now_ms()));
        Rc::new(Self {
            engine,
            engine_addr,
            clock,
            grant,
            reported_totals: RefCell::new(None),
            known_map: RefCell::new(None),
            is_reachable: Cell::new(true),
            in_flight: Rc::new(()),
        })
    }

    /// Counts a request as in flight until the returned value is dropped.
    pub fn begin_request(&self) -> Rc<()> {
        Rc::clone(&self.in_flight)
    }

    /// Waits until no request is in flight: an order may have been given to the engine, and its leader has to hear of it.
    pub async fn wait_until_idle(&self) {
        while Rc::strong_count(&self.in_flight) > 1 {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        }
    }

    /// Returns the status of the rank and the holder of the grant.
    pub async fn status(&self) -> RankStatus {
        let view = self.read_view().await;
        let holder = self.grant.borrow().holder(self.clock.now_ms()).copied();
        RankStatus { view, holder }
    }

    async fn read_view(&self) -> Option<RankView> {
        self.track_reachability(self.engine.view().await)
    }

    /// Handles a request of a leader: grants or refuses the lease, carries out the orders while the
    /// leader holds it, and returns the requested state of the rank.
    pub async fn handle_request(&self, request: &LeaderRequest) -> AgentResponse {
        if request.releases_grant {
            self.grant.borrow_mut().release(&request.leader);
            return AgentResponse::default();
        }
        let now_ms = self.clock.now_ms();
        let granted = self.grant.borrow_mut().try_grant(&request.leader, request.lease_ms, now_ms);
        let holder = self.grant.borrow().holder(now_ms).filter(|_| !granted).copied();
        let outcomes = if granted { self.carry_out(request).await } else { Vec::new() };
        let view = self.read_view().await;
        let selection_counts =
            if request.wants_counts { self.selection_counts_for(&request.leader).await } else { None };
        let held_experts =
            if request.wants_held_experts { self.track_reachability(self.engine.held_experts().await) } else { None };
        let known_map_version = self.known_map.borrow().as_ref().map(|known| known.version);
        AgentResponse { granted, holder, view, known_map_version, outcomes, selection_counts, held_experts }
    }

    /// The selections since the last counts that were returned to `leader`; `None` if the last ones
    /// were returned to another leader.
    async fn selection_counts_for(&self, leader: &LeaderId) -> Option<SelectionCounts> {
        let totals = self.track_reachability(self.engine.selection_totals().await)?;
        let current = ReportedTotals { leader: *leader, totals };
        let before = self.reported_totals.replace(Some(current.clone())).filter(|before| before.leader == *leader)?;
        Some(SelectionCounts::new(&current.totals.since(&before.totals)))
    }

    async fn carry_out(&self, request: &LeaderRequest) -> Vec<OrderOutcome> {
        let mut outcomes = Vec::with_capacity(request.orders.len());
        for order in &request.orders {
            // The process may have been suspended since the grant was checked, and the lease may have expired.
            let is_granted = self.grant.borrow().holder(self.clock.now_ms()) == Some(&request.leader);
            let order = self.expand_map(order, request).filter(|_| is_granted);
            outcomes.push(match order {
                Some(order) => self.engine.order(&order).await,
                None => OrderOutcome::Unknown,
            });
        }
        outcomes
    }

    /// Returns the order with its complete map. If the request carries the map as a delta, applies it to the
    /// known map; `None` if the delta does not fit that map.
    fn expand_map<'a>(&self, sent: &'a SentOrder, request: &LeaderRequest) -> Option<Cow<'a, SentOrder>> {
        let Order::Prepare { version, map } = &sent.order else { return Some(Cow::Borrowed(sent)) };
        let mut known = self.known_map.borrow_mut();
        let Some(delta) = &request.map_delta else {
            known.replace(VersionedMap { version: *version, experts: map.clone() });
            return Some(Cow::Borrowed(sent));
        };
        let base = known.as_ref().filter(|known| known.version == delta.base)?;
        let experts = delta.apply(&base.experts)?;
        known.replace(VersionedMap { version: *version, experts: experts.clone() });
        let order = Order::Prepare { version: *version, map: experts };
        Some(Cow::Owned(SentOrder { order, ..sent.clone() }))
    }

    /// Logs when the engine becomes unreachable or reachable again, and discards the error.
    fn track_reachability<T>(&self, result: Result<T, EngineError>) -> Option<T> {
        let was_reachable = self.is_reachable.replace(result.is_ok());
        match result {
            Ok(value) => {
                if !was_reachable {
                    log::info!("event=engine_reachable_again addr={}", self.engine_addr);
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
