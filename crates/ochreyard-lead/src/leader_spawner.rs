//! Starts the leaders of this entry: when it is the entry's turn, and when another leader hands over.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use ochreyard_core::group_map::{HandoverRefusal, LeadershipHandover, SuccessorState};
use ochreyard_direct::{Dialect, Entry, HandoverRole, HttpClient};
use ochreyard_rank::EngineFactory;

use crate::engine_location::EngineLocation;
use crate::leader::Leader;
use crate::members::Members;
use crate::settings::LeaderSettings;
use crate::standby::Standby;

/// Time for which a box that was too slow to lead comes after all other candidates, in milliseconds.
const SLOW_BOX_DEFERRAL_MS: u64 = 10_000;

/// The spawners of all services.
pub struct LeaderSpawners<D, F> {
    entry: Rc<Entry<D>>,
    engine_factory: F,
    settings: LeaderSettings,
    by_service: RefCell<BTreeMap<String, Rc<LeaderSpawner<D, F>>>>,
}

impl<D: Dialect, F: EngineFactory> LeaderSpawners<D, F> {
    /// Creates the spawners of an entry that leads no group yet.
    pub fn new(entry: Rc<Entry<D>>, engine_factory: F, settings: LeaderSettings) -> Rc<Self> {
        Rc::new(Self { entry, engine_factory, settings, by_service: RefCell::default() })
    }

    /// Returns the spawner of a service.
    pub fn of(&self, service: &str) -> Rc<LeaderSpawner<D, F>> {
        let new_spawner = || {
            Rc::new(LeaderSpawner {
                entry: Rc::clone(&self.entry),
                engine_factory: self.engine_factory.clone(),
                service: service.to_owned(),
                settings: self.settings,
                led_groups: RefCell::default(),
                slow_until_ms: Cell::default(),
                standby: RefCell::default(),
            })
        };
        Rc::clone(self.by_service.borrow_mut().entry(service.to_owned()).or_insert_with(new_spawner))
    }

    /// Makes the entry answer handovers of other entries.
    pub fn accept_handovers(self: &Rc<Self>) {
        // The entry outlives its tasks, so the handler must not keep the spawners, which keep the entry.
        let spawners = Rc::downgrade(self);
        let handler = move |role: HandoverRole, handover: LeadershipHandover| {
            let spawners = spawners.upgrade().ok_or(HandoverRefusal::NotReady)?;
            if !spawners.entry.grouped_services().contains(&handover.service) {
                return Err(HandoverRefusal::NotReady);
            }
            let spawner = spawners.of(&handover.service);
            match role {
                HandoverRole::Successor => spawner.on_handover(&handover),
                HandoverRole::Standby => spawner.on_standby_notice(handover),
            }
        };
        self.entry.handover_handler.replace(Some(Rc::new(handler)));
    }
}

/// Starts leaders for the groups of one service.
pub struct LeaderSpawner<D, F> {
    pub(crate) entry: Rc<Entry<D>>,
    engine_factory: F,
    service: String,
    settings: LeaderSettings,
    /// Names of the groups that this entry leads or is attempting to lead.
    led_groups: RefCell<BTreeSet<String>>,
    slow_until_ms: Cell<u64>,
    /// The group of the service for which this entry is the standby leader.
    pub(crate) standby: RefCell<Option<Standby>>,
}

impl<D: Dialect, F: EngineFactory> LeaderSpawner<D, F> {
    /// Name of the service.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Whether this entry leads the group or is attempting to lead it.
    pub fn leads(&self, group: &str) -> bool {
        self.led_groups.borrow().contains(group)
    }

    /// The number of groups of the service that this entry leads or is attempting to lead.
    pub fn led_count(&self) -> usize {
        self.led_groups.borrow().len()
    }

    /// Whether this entry was recently too slow to lead.
    pub fn is_slow(&self) -> bool {
        self.entry.clock.now_ms() < self.slow_until_ms.get()
    }

    /// Decides on a handover, and begins to lead if it is accepted.
    fn on_handover(self: &Rc<Self>, handover: &LeadershipHandover) -> Result<(), HandoverRefusal> {
        let members = self.members_of(handover);
        let decision = self.successor_state(handover, &members).decide(handover);
        log::info!(
            "event=handover_received group={} from={} members={} accepted={} refusal={:?}",
            handover.group,
            handover.from.life,
            members.len(),
            decision.is_ok(),
            decision.err()
        );
        if decision.is_ok() {
            self.spawn(members, Some(handover));
        }
        decision
    }

    /// What this entry knows when it is asked to lead the ranks `members` of a handover.
    pub(crate) fn successor_state(&self, handover: &LeadershipHandover, members: &Members) -> SuccessorState {
        let now_ms = self.entry.clock.now_ms();
        let leads_group = self.leads(&handover.group);
        SuccessorState {
            is_stopping: self.entry.is_stopping.get(),
            is_ready: members.len() * 2 > handover.size,
            is_slow: self.is_slow(),
            leads_group,
            leads_other: !leads_group && self.led_count() > 0,
            leader_report: self.entry.state.borrow().pool.leader_report(&self.service, &handover.group, now_ms),
        }
    }

    /// The ranks of a handover whose engines this entry knows as endpoints of the service. The leader discovers the
    /// others.
    pub(crate) fn members_of(&self, handover: &LeadershipHandover) -> Members {
        let state = self.entry.state.borrow();
        let data_centre = &self.entry.identity.data_centre;
        let known: BTreeMap<SocketAddr, EngineLocation> = state
            .pool
            .endpoints(&self.service)
            .map(|(_, record)| (record.addr, EngineLocation::new(record, data_centre)))
            .collect();
        let agent_port = self.entry.identity.record.addr.port();
        let mut members = Members::new(handover.group.clone(), handover.size);
        for (rank, addr) in &handover.members {
            if let Some(engine) = known.get(addr) {
                let agent = Rc::new(HttpClient::new(SocketAddr::new(addr.ip(), agent_port)));
                members.add_handed_over(*rank, *engine, agent);
            }
        }
        members
    }

    /// Starts a leader of the group with these ranks.
    pub fn spawn(self: &Rc<Self>, members: Members, handover: Option<&LeadershipHandover>) {
        let led_group = LedGroup::start(Rc::clone(self), &members.group);
        let (entry, factory) = (Rc::clone(&self.entry), self.engine_factory.clone());
        let leader = match handover {
            Some(handover) => Leader::by_handover(entry, factory, members, self.settings, handover),
            None => Leader::new(entry, factory, &self.service, members, self.settings),
        };
        tokio::task::spawn_local(async move {
            if leader.run().await {
                led_group.spawner.defer();
            }
        });
    }

    /// Lets all other candidates come first for a while, since this box is too slow to lead.
    fn defer(&self) {
        self.slow_until_ms.set(self.entry.clock.now_ms() + SLOW_BOX_DEFERRAL_MS);
    }
}

/// A group that this entry leads or is attempting to lead until this is dropped, also by a leader that panics.
struct LedGroup<D, F> {
    spawner: Rc<LeaderSpawner<D, F>>,
    group: String,
}

impl<D, F> LedGroup<D, F> {
    fn start(spawner: Rc<LeaderSpawner<D, F>>, group: &str) -> Self {
        spawner.led_groups.borrow_mut().insert(group.to_owned());
        Self { spawner, group: group.to_owned() }
    }
}

impl<D, F> Drop for LedGroup<D, F> {
    fn drop(&mut self) {
        self.spawner.led_groups.borrow_mut().remove(&self.group);
    }
}
