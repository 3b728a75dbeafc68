//! Hands the leadership over to another entry, and begins to lead by a handover.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ochreyard_core::group_map::{
    ArmingTimes, Demand, FirstGrants, HandoverAnswer, HandoverAttempts, LeadershipHandover, successor_candidates,
};
use ochreyard_direct::{Dialect, Entry, HANDOVER_PATH, HttpClient};
use ochreyard_rank::EngineFactory;

use super::{Leader, Predecessor};
use crate::members::Members;
use crate::settings::LeaderSettings;

impl<D: Dialect, F: EngineFactory> Leader<D, F> {
    /// Creates a leader to which another one has handed over.
    pub fn by_handover(
        entry: Rc<Entry<D>>,
        engine_factory: F,
        members: Members,
        settings: LeaderSettings,
        handover: &LeadershipHandover,
    ) -> Self {
        let mut leader = Self::new(entry, engine_factory, &handover.service, members, settings);
        let now_ms = leader.now_ms();
        leader.predecessor = Some(Predecessor {
            first_grants: FirstGrants::new(handover.from, settings.lease_ms, now_ms),
            reported_ms: now_ms.saturating_sub(handover.report_age_ms),
            round_ms: handover.round_ms,
        });
        leader.arming_times = ArmingTimes::handed_over(handover.arming_ms);
        leader.controller.raise_highest_version(handover.highest_version);
        if let Some(spec) = leader.entry.engine_spec(&handover.service) {
            if let Some((version, placement)) = handover.current_map(spec.sets, spec.experts) {
                leader.controller.set_current_map(version, placement);
            }
            let decay_ms = settings.demand_decay_ms as f64;
            let selections = handover.selections(spec.sets * spec.experts);
            leader.demand = selections.map(|selections| Demand::handed_over(selections, decay_ms, now_ms));
        }
        leader
    }

    /// Asks other entries to succeed this one. Returns whether one has accepted.
    pub(super) async fn hand_over(&self) -> bool {
        let started_ms = self.now_ms();
        let candidates = successor_candidates(&self.service, &self.entry.state.borrow().boxes, started_ms);
        let mut attempts = HandoverAttempts::new(candidates, started_ms);
        let group = &self.members.group;
        while let Some(candidate) = attempts.next_candidate(self.now_ms()) {
            let handover = self.handover();
            match ask_to_succeed(candidate, HANDOVER_PATH, &handover).await {
                Some(answer) if answer.accepted => {
                    let took_ms = self.now_ms() - started_ms;
                    log::info!("event=leadership_handed_over group={group} to={candidate} took_ms={took_ms}");
                    return true;
                }
                Some(answer) => {
                    log::info!("event=handover_refused group={group} by={candidate} reason={:?}", answer.refusal);
                }
                None => {
                    log::info!("event=handover_unanswered group={group} by={candidate}");
                    attempts.on_silent();
                }
            }
        }
        log::info!("event=handover_failed group={group} took_ms={}", self.now_ms() - started_ms);
        false
    }

    pub(super) fn handover(&self) -> LeadershipHandover {
        let map = self.controller.current_map();
        LeadershipHandover {
            service: self.service.clone(),
            group: self.members.group.clone(),
            size: self.members.size,
            from: self.id,
            report_age_ms: self.reporter.report_age_ms(),
            members: self.members.iter().map(|(rank, member)| (rank, member.engine.addr)).collect(),
            demand: self.demand.as_ref().map(Demand::rounded),
            map_version: map.map(|(version, _)| *version),
            map: map.map(|(_, placement)| placement.sets().to_vec()).unwrap_or_default(),
            arming_ms: self.arming_times.mean_ms().round() as u64,
            highest_version: self.controller.highest_version(),
            round_ms: self.round_times.mean_ms(),
        }
    }

    /// Whether a leader that began by a handover asks the agents again for its first grants; if so, releases those that
    /// it has, and pauses.
    pub(super) async fn retry_first_grants(&mut self) -> bool {
        let Some(predecessor) = self.predecessor.as_ref().filter(|_| !self.is_leading) else { return false };
        let (draw, now_ms) = (self.entry.next_random(), self.now_ms());
        let pause_ms = predecessor.first_grants.retry_pause_ms(&self.other_holders, self.members.size, draw, now_ms);
        let Some(pause_ms) = pause_ms else { return false };
        self.release_grants().await;
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        true
    }
}

/// Sends a handover to one box; `None` if no readable answer arrives in time. Boxes of older versions answer that they
/// do not know the path.
pub(super) async fn ask_to_succeed(
    candidate: SocketAddr,
    path: &str,
    handover: &LeadershipHandover,
) -> Option<HandoverAnswer> {
    // The kept connection to the box may be waiting for the answer to another message.
    let client = HttpClient::new(candidate);
    let timeout = Duration::from_millis(HandoverAttempts::ANSWER_TIMEOUT_MS);
    match client.post(path, handover, timeout).await {
        Ok(response) => serde_json::from_slice(response.body()).ok(),
        Err(error) => {
            log::debug!("event=handover_send_failed addr={candidate} error=\"{error}\"");
            None
        }
    }
}
