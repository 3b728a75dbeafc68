//! The stream limit of the group.

use ochreyard_core::direct::EngineSpec;
use ochreyard_core::group_map::{GroupObservation, ReportFacts, StepModel};
use ochreyard_direct::Dialect;
use ochreyard_rank::EngineFactory;

use super::Leader;

impl<D: Dialect, F: EngineFactory> Leader<D, F> {
    /// Updates the stream limit after a round.
    pub(super) fn update_stream_limit(&mut self, now_ms: u64) {
        let model = self.entry.engine_spec(&self.service).as_ref().map(step_model);
        let skew = self.known_skew();
        let demand_skew = skew.and_then(|_| self.skew_at_usual_pace());
        let group = GroupObservation { views: &self.last_round.views, skew, demand_skew };
        self.stream_limit.observe(model.as_ref(), self.target_gap_ms(), &group, now_ms);
    }

    /// What the next report would say that decides how soon it is due.
    pub(super) fn report_facts(&self) -> ReportFacts {
        let known = || self.last_round.views.iter().flatten();
        let running = known().map(|view| view.running).sum();
        let stream_limit = self.stream_limit.requests_of(known().count());
        ReportFacts { is_serving: self.is_serving, running, stream_limit }
    }
}

fn step_model(spec: &EngineSpec) -> StepModel {
    StepModel {
        passes: spec.stride as f64,
        base_ms: spec.step_ms,
        per_request_ms: spec.per_request_ms,
        expert_share: spec.expert_share,
        slots: spec.slots,
    }
}
