//! The operations of an entry that operators call.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kameo::actor::ActorRef;
use ochreyard_core::config::{ConfigRecord, ConfirmedPlan, Plan, VoidReason};
use ochreyard_core::error_kind::{ErrorKind, Refusal};
use ochreyard_core::ids::{Incarnation, PlanId};
use ochreyard_operator::api::{Control, ControlError};
use ochreyard_operator::{BurnRow, Status, intent};
use ochreyard_platform::{HttpPlatform, LogStream, PlatformError};
use ochreyard_process::Clock;

use crate::balancer::{Balancer, GetBurn, GetConfig, GetOutcome, GetProposal, GetStatus};
use crate::upkeep::read_to_end;

/// Attempts to find the outcome of a plan in the log after an append of its confirmation whose answer was lost.
const READ_BACK_ATTEMPTS: u32 = 5;
/// Pause between these attempts.
const READ_BACK_PAUSE: Duration = Duration::from_millis(200);

/// Carries out the calls of operators.
pub struct EntryControl {
    /// The actor that owns the state.
    pub balancer: ActorRef<Balancer>,
    /// The configuration stream of the log.
    pub log: HttpPlatform,
    /// The clock of the process.
    pub clock: Clock,
    /// The incarnation of this entry, which is part of the identifiers of its plans.
    pub incarnation: Incarnation,
    /// The number of plans made so far, which gives each plan its number.
    pub plan_count: AtomicU64,
}

fn unavailable(error: &PlatformError) -> ControlError {
    Refusal::new(error.kind()).with_detail(error.to_string()).into()
}

fn overtaken(reason: &VoidReason) -> ControlError {
    Refusal::new(ErrorKind::PlanOvertaken).with_detail(reason.to_string()).into()
}

impl EntryControl {
    async fn refresh(&self) -> Result<(), ControlError> {
        read_to_end(&self.log, &self.balancer, &self.clock).await.map_err(|error| unavailable(&error))
    }

    async fn append(&self, record: &ConfigRecord) -> Result<u64, PlatformError> {
        let text = serde_json::to_string(record).map_err(|error| PlatformError::Unavailable(error.to_string()))?;
        self.log.append(&text).await
    }

    /// Returns the outcome of the plan, if the log that was read so far contains it.
    async fn outcome(&self, plan_id: &PlanId) -> Option<Result<u64, ControlError>> {
        let outcome = self.balancer.ask(GetOutcome { plan_id: plan_id.clone() }).await.ok().flatten()?;
        Some(outcome.map_err(|reason| overtaken(&reason)))
    }

    async fn proposal(&self, plan_id: &PlanId) -> Result<ConfirmedPlan, ControlError> {
        let found = self.balancer.ask(GetProposal { plan_id: plan_id.clone() }).await.ok().flatten();
        found.ok_or_else(|| Refusal::new(ErrorKind::PlanUnknown).with_detail(plan_id.to_string()).into())
    }

    /// Refuses a plan that would be void, before its confirmation is appended.
    async fn check_not_void(&self, plan: &ConfirmedPlan) -> Result<(), ControlError> {
        let config = self.balancer.ask(GetConfig {}).await.ok().flatten();
        let mut candidate = config.map(|config| (*config).clone()).unwrap_or_default();
        let next_offset = candidate.folded_to();
        candidate.apply(next_offset, plan).map(drop).map_err(|reason| overtaken(&reason))
    }

    /// Reads the log until it contains the plan's outcome, or until the attempts are used up.
    async fn read_back(&self, plan_id: &PlanId, appended: &Result<u64, PlatformError>) -> Result<u64, ControlError> {
        for _ in 0..READ_BACK_ATTEMPTS {
            let refreshed = self.refresh().await;
            if let Some(outcome) = self.outcome(plan_id).await {
                return outcome;
            }
            if refreshed.is_ok() && appended.is_ok() {
                break;
            }
            tokio::time::sleep(READ_BACK_PAUSE).await;
        }
        let detail = "the plan may still come into force: confirm it again, which does no harm";
        Err(Refusal::new(ErrorKind::PlatformUnavailable).with_detail(detail).into())
    }
}

impl Control for EntryControl {
    async fn plan(&self, yaml: String) -> Result<Plan, ControlError> {
        self.refresh().await?;
        let config = self.balancer.ask(GetConfig {}).await.ok().flatten().unwrap_or_default();
        let change = intent::parse(&yaml, &config)
            .map_err(|faults| ControlError { refusal: Refusal::new(ErrorKind::BadIntent), faults })?;
        let number = self.plan_count.fetch_add(1, Ordering::Relaxed);
        let plan = Plan::new(PlanId::from(format!("p-{}-{number}", self.incarnation)), &config, change);
        let proposed = ConfigRecord::Proposed(plan.record.clone());
        self.append(&proposed).await.map_err(|error| unavailable(&error))?;
        log::info!("event=plan_made plan_id={}", plan.record.plan_id);
        Ok(plan)
    }

    async fn confirm(&self, plan_id: PlanId) -> Result<u64, ControlError> {
        // An earlier confirmation whose answer was lost may have taken effect, so read the log before appending again.
        self.refresh().await?;
        if let Some(outcome) = self.outcome(&plan_id).await {
            return outcome;
        }
        let plan = self.proposal(&plan_id).await?;
        self.check_not_void(&plan).await?;
        let appended = self.append(&ConfigRecord::Confirmed(plan)).await;
        self.read_back(&plan_id, &appended).await
    }

    async fn status(&self) -> Status {
        self.balancer.ask(GetStatus {}).await.ok().flatten().unwrap_or_default()
    }

    async fn burn(&self) -> Vec<BurnRow> {
        self.balancer.ask(GetBurn {}).await.unwrap_or_default()
    }
}
