//! How each operation of the model is executed.

use std::sync::Arc;

use ochreyard_core::admission::{Offer, Outcome, RevokeAnswer};
use ochreyard_core::config::{Change, ConfigRecord, HomeAck};
use ochreyard_core::home::{KeyHome, key_hash};
use ochreyard_core::ids::AttemptId;

use super::CLOCK_MARGIN_MS;
use super::message::Message;
use super::op::Op;
use super::specs::{dated_key, endpoint_name, endpoint_spec, workspace};
use super::world::World;

impl World {
    /// Executes one operation.
    pub fn apply(&mut self, op: &Op) {
        self.step += 1;
        match *op {
            Op::PutEndpoint { endpoint, addr } => {
                self.confirm(Change { endpoints: vec![endpoint_spec(endpoint, addr)], ..Change::default() });
            }
            Op::RemoveEndpoint(endpoint) => self.remove_endpoint(endpoint),
            Op::RunIn(run_in_bits) => {
                self.confirm(Change { workspaces: vec![workspace(run_in_bits)], ..Change::default() });
            }
            Op::ReadLog(entry) => self.read_log(entry),
            Op::Heartbeat { entry, agent } => self.heartbeat(entry, agent),
            Op::HeartbeatAllExcept { entry, except } => {
                (0..self.agents.len()).filter(|agent| *agent != except).for_each(|agent| self.heartbeat(entry, agent));
            }
            Op::SendRequest { entry, key } => self.send_request(entry, key),
            Op::Deliver(at) if !self.messages.is_empty() => {
                let message = self.messages.swap_remove(at % self.messages.len());
                self.deliver(&message);
            }
            Op::Duplicate(at) if !self.messages.is_empty() => {
                let message = self.messages[at % self.messages.len()].clone();
                self.deliver(&message);
            }
            Op::Finish { agent, outcome } => self.finish(agent, outcome),
            Op::Revoke(at) if !self.messages.is_empty() => self.revoke(at),
            Op::RestartAgent(agent) => self.restart_agent(agent),
            Op::RestartEntry(entry) => self.entries[entry] = self.new_entry(),
            Op::NewKey(key, skew_ms) => self.create_key(key, skew_ms),
            Op::AdvanceTime(ms) => self.advance_time(ms),
            Op::Deliver(_) | Op::Duplicate(_) | Op::Revoke(_) => {}
        }
    }

    fn remove_endpoint(&mut self, endpoint: usize) {
        let mut change = Change::default();
        change.remove.endpoints.insert(endpoint_name(endpoint).into());
        self.confirm(change);
    }

    fn read_log(&mut self, entry: usize) {
        let page = self.page(self.entries[entry].fold.cursor());
        let step = self.step;
        let entry = &mut self.entries[entry];
        entry.fold.fold_page(&page);
        entry.tail = Some((step, entry.fold.version()));
    }

    /// The entry has lost track of an attempt whose offer is still in transit.
    fn revoke(&mut self, at: usize) {
        let message = self.messages[at % self.messages.len()].clone();
        let (answer, actions) =
            self.agents[message.agent].admission.revoke(message.offer.attempt, message.offer.agent_incarnation);
        if answer == RevokeAnswer::NotStarted {
            self.record_not_run(message.offer.attempt);
        }
        self.apply_actions(message.agent, actions);
    }

    /// Creates a key with the time of a caller's clock, which may be slow or fast by up to a quarter of the clock
    /// margin.
    fn create_key(&mut self, key: usize, skew_ms: u64) {
        let created_ms = self.now_ms + skew_ms / 2 - CLOCK_MARGIN_MS / 4;
        self.keys[key] = dated_key(created_ms, self.step);
    }

    fn advance_time(&mut self, ms: u64) {
        self.now_ms += ms;
        for agent in 0..self.agents.len() {
            let now_ms = self.agents[agent].local_time_ms(self.now_ms);
            let actions = self.agents[agent].admission.tick(now_ms);
            self.apply_actions(agent, actions);
        }
    }

    fn heartbeat(&mut self, entry: usize, agent: usize) {
        let step = self.step;
        let now_ms = self.agents[agent].local_time_ms(self.now_ms);
        let incarnation = self.agents[agent].admission.incarnation();
        let entry = &mut self.entries[entry];
        let known = entry.reported_incarnations.get(&agent).copied().filter(|(known, _)| *known == incarnation);
        let admission = &mut self.agents[agent].admission;
        if let (Some((_, first_reported)), Some((read_at, version))) = (known, entry.tail)
            && read_at > first_reported
        {
            admission.verify_tail(version, now_ms);
        }
        entry.reported_incarnations.insert(agent, known.unwrap_or((incarnation, step)));
        let mut actions = Vec::new();
        if let Some(state) = entry.fold.state() {
            actions = admission.configure(Arc::clone(state), now_ms);
        }
        let version = admission.config_version();
        let (endpoint, agent_addr) = (endpoint_name(self.agents[agent].endpoint).into(), self.agents[agent].addr);
        let needs_ack = entry.fold.state().is_some_and(|state| state.needs_ack(&endpoint, agent_addr, version));
        if needs_ack {
            self.log.push(ConfigRecord::HomeAcks { acks: vec![HomeAck { endpoint, agent_addr, version }] });
        }
        self.apply_actions(agent, actions);
    }

    fn send_request(&mut self, entry: usize, key: usize) {
        let key = self.keys[key].clone();
        let entry = &mut self.entries[entry];
        let Some(state) = entry.fold.state() else { return };
        let view = state.home_view(&"w".into(), &"s".into());
        let KeyHome::At(home) = view.home_of(key_hash("w", "s", &key)) else { return };
        let addr = state.endpoint(&home).unwrap().agent_addr;
        let Some(agent) = self.agents.iter().position(|agent| agent.addr == addr) else { return };
        let Some((agent_incarnation, _)) = entry.reported_incarnations.get(&agent) else { return };
        entry.requests += 1;
        let attempt = AttemptId::new(entry.incarnation, entry.requests, 1);
        let offer = Offer::new(attempt, *agent_incarnation, "w", "s").with_key(key.clone(), 7);
        self.key_of.insert(attempt, key.clone());
        self.messages.push(Message { agent, offer, key });
    }

    fn deliver(&mut self, message: &Message) {
        let agent = &mut self.agents[message.agent];
        let now_ms = agent.local_time_ms(self.now_ms);
        let actions = agent.admission.offer(message.offer.clone(), now_ms);
        debug_assert_eq!(self.key_of[&message.offer.attempt], message.key);
        self.apply_actions(message.agent, actions);
    }

    fn finish(&mut self, agent: usize, outcome: usize) {
        let Some(attempt) = self.agents[agent].running.pop() else { return };
        let outcome = match outcome {
            0 => Outcome::may_have_run(1),
            _ => Outcome::ran(1),
        };
        let now_ms = self.agents[agent].local_time_ms(self.now_ms);
        let actions = self.agents[agent].admission.finish(attempt, outcome, now_ms);
        self.apply_actions(agent, actions);
    }
}
