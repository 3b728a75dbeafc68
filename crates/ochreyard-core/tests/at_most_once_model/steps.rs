//! How each thing that can happen is carried out.

use std::sync::Arc;

use ochreyard_core::admission::{Offer, Outcome, RevokeAnswer};
use ochreyard_core::config::{Change, ConfigRecord, HomeAck};
use ochreyard_core::home::{KeyHome, key_hash};
use ochreyard_core::ids::AttemptId;

use super::MARGIN_MS;
use super::message::Message;
use super::op::Op;
use super::specs::{dated_key, endpoint_name, endpoint_spec, workspace};
use super::world::World;

impl World {
    /// Lets one thing happen.
    pub fn apply(&mut self, op: &Op) {
        self.step += 1;
        match *op {
            Op::PutEndpoint { endpoint, addr } => {
                self.confirm(Change { endpoints: vec![endpoint_spec(endpoint, addr)], ..Change::default() });
            }
            Op::RemoveEndpoint(endpoint) => self.remove_endpoint(endpoint),
            Op::RunIn(places) => {
                self.confirm(Change { workspaces: vec![workspace(places)], ..Change::default() });
            }
            Op::EntryReads(entry) => self.read(entry),
            Op::Beat { entry, agent } => self.beat(entry, agent),
            Op::BeatMost { entry, but } => {
                (0..self.agents.len()).filter(|agent| *agent != but).for_each(|agent| self.beat(entry, agent));
            }
            Op::Call { entry, key } => self.call(entry, key),
            Op::Deliver(at) if !self.messages.is_empty() => {
                let message = self.messages.swap_remove(at % self.messages.len());
                self.deliver(&message);
            }
            Op::Repeat(at) if !self.messages.is_empty() => {
                let message = self.messages[at % self.messages.len()].clone();
                self.deliver(&message);
            }
            Op::Finish { agent, outcome } => self.finish(agent, outcome),
            Op::Revoke(at) if !self.messages.is_empty() => self.revoke(at),
            Op::RestartAgent(agent) => self.restart_agent(agent),
            Op::RestartEntry(entry) => self.entries[entry] = self.new_entry(),
            Op::NewKey(key, skew_ms) => self.date_key(key, skew_ms),
            Op::Pass(ms) => self.pass(ms),
            Op::Deliver(_) | Op::Repeat(_) | Op::Revoke(_) => {}
        }
    }

    fn remove_endpoint(&mut self, endpoint: usize) {
        let mut change = Change::default();
        change.remove.endpoints.insert(endpoint_name(endpoint).into());
        self.confirm(change);
    }

    fn read(&mut self, entry: usize) {
        let page = self.page(self.entries[entry].fold.cursor());
        let step = self.step;
        let entry = &mut self.entries[entry];
        entry.fold.fold_page(&page);
        entry.tail = Some((step, entry.fold.version()));
    }

    /// The entry lost sight of an attempt that is still on its way.
    fn revoke(&mut self, at: usize) {
        let message = self.messages[at % self.messages.len()].clone();
        let (answer, actions) =
            self.agents[message.agent].admission.revoke(message.offer.attempt, message.offer.agent_incarnation);
        if answer == RevokeAnswer::NotStarted {
            self.note_not_run(message.offer.attempt);
        }
        self.carry_out(message.agent, actions);
    }

    /// Callers' clocks may lag or lead by half the margin.
    fn date_key(&mut self, key: usize, skew_ms: u64) {
        let made_ms = self.now_ms + skew_ms / 2 - MARGIN_MS / 4;
        self.keys[key] = dated_key(made_ms, self.step);
    }

    fn pass(&mut self, ms: u64) {
        self.now_ms += ms;
        for agent in 0..self.agents.len() {
            let now_ms = self.agents[agent].own_ms(self.now_ms);
            let actions = self.agents[agent].admission.tick(now_ms);
            self.carry_out(agent, actions);
        }
    }

    fn beat(&mut self, entry: usize, agent: usize) {
        let step = self.step;
        let now_ms = self.agents[agent].own_ms(self.now_ms);
        let incarnation = self.agents[agent].admission.incarnation();
        let entry = &mut self.entries[entry];
        let known = entry.heard.get(&agent).copied().filter(|(life, _)| *life == incarnation);
        let admission = &mut self.agents[agent].admission;
        if let (Some((_, met)), Some((read, version))) = (known, entry.tail)
            && read > met
        {
            admission.verify_tail(version, now_ms);
        }
        entry.heard.insert(agent, known.unwrap_or((incarnation, step)));
        let mut actions = Vec::new();
        if let Some(state) = entry.fold.state() {
            actions = admission.configure(Arc::clone(state), now_ms);
        }
        let version = admission.config_version();
        let (endpoint, agent_addr) = (endpoint_name(self.agents[agent].endpoint).into(), self.agents[agent].addr);
        let needed = entry.fold.state().is_some_and(|state| state.needs_ack(&endpoint, agent_addr, version));
        if needed {
            self.log.push(ConfigRecord::HomeAcks { acks: vec![HomeAck { endpoint, agent_addr, version }] });
        }
        self.carry_out(agent, actions);
    }

    fn call(&mut self, entry: usize, key: usize) {
        let key = self.keys[key].clone();
        let entry = &mut self.entries[entry];
        let Some(state) = entry.fold.state() else { return };
        let view = state.home_view(&"w".into(), &"s".into());
        let KeyHome::At(home) = view.home_of(key_hash("w", "s", &key)) else { return };
        let addr = state.endpoint(&home).unwrap().agent_addr;
        let Some(agent) = self.agents.iter().position(|agent| agent.addr == addr) else { return };
        let Some((to, _)) = entry.heard.get(&agent) else { return };
        entry.requests += 1;
        let attempt = AttemptId::new(entry.incarnation, entry.requests, 1);
        let offer = Offer::new(attempt, *to, "w", "s").with_key(key.clone(), 7);
        self.key_of.insert(attempt, key.clone());
        self.messages.push(Message { agent, offer, key });
    }

    fn deliver(&mut self, message: &Message) {
        let agent = &mut self.agents[message.agent];
        let now_ms = agent.own_ms(self.now_ms);
        let actions = agent.admission.offer(message.offer.clone(), now_ms);
        debug_assert_eq!(self.key_of[&message.offer.attempt], message.key);
        self.carry_out(message.agent, actions);
    }

    fn finish(&mut self, agent: usize, outcome: usize) {
        let Some(attempt) = self.agents[agent].running.pop() else { return };
        let outcome = match outcome {
            0 => Outcome::may_have_run(1),
            _ => Outcome::ran(1),
        };
        let now_ms = self.agents[agent].own_ms(self.now_ms);
        let actions = self.agents[agent].admission.finish(attempt, outcome, now_ms);
        self.carry_out(agent, actions);
    }
}
