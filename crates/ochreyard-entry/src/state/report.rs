//! The status and the burn report for operators.

use ochreyard_core::burn::{BurnMeter, burn_rate};
use ochreyard_core::config::{EndpointSpec, FoldStatus};
use ochreyard_core::error_kind::ErrorKind;
use ochreyard_core::ids::{ServiceId, WorkspaceId};
use ochreyard_core::membership::Health;
use ochreyard_operator::{BurnRow, EndpointRow, Status};

use super::EntryState;

impl EntryState {
    /// Records the outcome of a request in the burn meter of its service and workspace.
    pub fn record_outcome(
        &mut self,
        service: ServiceId,
        workspace: WorkspaceId,
        failure: Option<ErrorKind>,
        late: bool,
        now_ms: u64,
    ) {
        self.burn_meters.entry((service, workspace)).or_default().record(failure, late, now_ms);
    }

    /// Returns the state of the system as this entry sees it.
    #[must_use]
    pub fn status(&self, now_ms: u64) -> Status {
        let log = match self.fold.status() {
            FoldStatus::Empty => "empty",
            FoldStatus::Following => "following",
            FoldStatus::Gap { .. } => "gap",
        };
        let config = self.fold.state();
        let endpoints =
            config.map(|c| c.endpoints().map(|spec| self.endpoint_row(spec, now_ms)).collect()).unwrap_or_default();
        Status {
            entry: self.identity.entry.to_string(),
            config_version: self.fold.version(),
            log: log.into(),
            log_read_age_ms: self.last_tail_read.map(|tail| now_ms.saturating_sub(tail.started_ms)),
            endpoints,
        }
    }

    fn endpoint_row(&self, spec: &EndpointSpec, now_ms: u64) -> EndpointRow {
        let member = self.membership.member(&spec.endpoint);
        let report = member.map(|m| m.report.clone()).unwrap_or_default();
        let health = match self.membership.health(&spec.endpoint, now_ms) {
            Health::Alive if !self.membership.accepts_work(&spec.endpoint, now_ms) => "leaving",
            Health::Alive => "alive",
            Health::Suspect => "suspect",
            Health::Down => "down",
        };
        EndpointRow {
            endpoint: spec.endpoint.to_string(),
            service: spec.service.to_string(),
            data_centre: spec.data_centre.to_string(),
            health: health.into(),
            config_version: report.config_version,
            running: report.running,
            waiting: report.waiting,
        }
    }

    /// Returns the burn rates that this entry has measured, by service and workspace.
    pub fn burn_rows(&mut self, now_ms: u64) -> Vec<BurnRow> {
        let config = self.fold.state().cloned().unwrap_or_default();
        let objective = |service: &ServiceId| config.service(service).map_or(0, |spec| spec.objective_permille);
        let burn_row = |((service, workspace), meter): (&(ServiceId, WorkspaceId), &mut BurnMeter)| {
            let objective_permille = objective(service);
            let (short, long) = (meter.short_window(now_ms), meter.long_window(now_ms));
            BurnRow {
                service: service.to_string(),
                workspace: workspace.to_string(),
                objective_permille,
                requests: u64::from(long.requests),
                met: u64::from(long.requests - long.missed),
                burn_short: burn_rate(short, objective_permille),
                burn_long: burn_rate(long, objective_permille),
                spent_by: meter.spent_by(),
            }
        };
        self.burn_meters.iter_mut().map(burn_row).collect()
    }
}
