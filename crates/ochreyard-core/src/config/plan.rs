//! The plan that is made from an operator's intent.

use serde::{Deserialize, Serialize};

use super::change::{Change, ObjectKey};
use super::configuration::Configuration;
use super::record::ConfirmedPlan;
use super::spec::{EndpointSpec, WorkspaceSpec};
use crate::ids::{DataCentreId, EndpointId, PlanId};

/// One step of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanStep {
    /// The key of the object that changes.
    pub object: ObjectKey,
    /// What happens to the object, such as `add` or `replace`.
    pub action: String,
    /// The endpoints that the step affects.
    pub endpoints: Vec<EndpointId>,
}

/// The effects of a change, shown to the operator before it is confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The record that a confirmation would write to the log.
    pub record: ConfirmedPlan,
    /// The steps, in the order in which they take effect.
    pub steps: Vec<PlanStep>,
    /// The costs of the change, such as models to load and idempotency keys that move.
    pub costs: Vec<String>,
    /// The risks of the change.
    pub risks: Vec<String>,
}

impl Plan {
    /// Plans the effects of `change` on `base`.
    #[must_use]
    pub fn new(plan_id: PlanId, base: &Configuration, change: Change) -> Self {
        let steps = steps(base, &change);
        let costs = costs(base, &change);
        let risks = risks(base, &change);
        let record = ConfirmedPlan { plan_id, base_version: base.version(), change };
        Self { record, steps, costs, risks }
    }
}

fn steps(base: &Configuration, change: &Change) -> Vec<PlanStep> {
    let action_of = |exists: bool| if exists { "replace" } else { "add" };
    let step = |object, action: &str, endpoints| PlanStep { object, action: action.into(), endpoints };
    let mut steps = Vec::new();
    for spec in &change.data_centres {
        let affected = base.endpoints_in(&spec.data_centre);
        steps.push(step(
            ObjectKey::data_centre(&spec.data_centre),
            action_of(base.data_centre(&spec.data_centre).is_some()),
            affected,
        ));
    }
    for service in &change.services {
        let affected = base.endpoints_of(&service.service).map(|e| e.endpoint.clone()).collect();
        steps.push(step(
            ObjectKey::service(&service.service),
            action_of(base.service(&service.service).is_some()),
            affected,
        ));
    }
    for spec in &change.endpoints {
        let exists = base.endpoint(&spec.endpoint).is_some();
        steps.push(step(ObjectKey::endpoint(&spec.endpoint), action_of(exists), vec![spec.endpoint.clone()]));
    }
    for spec in &change.workspaces {
        let exists = base.workspace(&spec.workspace).is_some();
        steps.push(step(ObjectKey::workspace(&spec.workspace), action_of(exists), endpoints_for(base, spec)));
    }
    for id in &change.remove.workspaces {
        let affected = base.workspace(id).map(|spec| endpoints_for(base, spec)).unwrap_or_default();
        steps.push(step(ObjectKey::workspace(id), "remove", affected));
    }
    for id in &change.remove.endpoints {
        steps.push(step(ObjectKey::endpoint(id), "drain and remove", vec![id.clone()]));
    }
    for id in &change.remove.services {
        let affected = base.endpoints_of(id).map(|e| e.endpoint.clone()).collect();
        steps.push(step(ObjectKey::service(id), "remove", affected));
    }
    for id in &change.remove.data_centres {
        steps.push(step(ObjectKey::data_centre(id), "remove", base.endpoints_in(id)));
    }
    for id in &change.stated_dead {
        steps.push(step(ObjectKey::endpoint(id), "treat as dead", vec![id.clone()]));
    }
    steps
}

fn endpoints_for(base: &Configuration, spec: &WorkspaceSpec) -> Vec<EndpointId> {
    let permitted = |e: &&EndpointSpec| spec.run_in.contains(&e.data_centre) && spec.services.contains(&e.service);
    base.endpoints().filter(permitted).map(|e| e.endpoint.clone()).collect()
}

fn costs(base: &Configuration, change: &Change) -> Vec<String> {
    let mut costs = Vec::new();
    let loads_model = |spec: &&EndpointSpec| {
        let loaded = base.endpoint(&spec.endpoint).map(|old| &old.model_version);
        !spec.model_version.is_empty() && loaded != Some(&spec.model_version)
    };
    let count = change.endpoints.iter().filter(loads_model).count();
    if count > 0 {
        costs.push(format!("{count} endpoints must hold a model version that they do not hold today"));
    }
    if moves_homes(base, change) {
        costs.push("idempotency keys change their home: such keys are refused until the old homes agree".into());
    }
    costs
}

fn moves_homes(base: &Configuration, change: &Change) -> bool {
    let joins = |spec: &EndpointSpec| {
        let old = base.endpoint(&spec.endpoint);
        old.is_none_or(|o| {
            (&o.service, o.agent_addr, &o.data_centre) != (&spec.service, spec.agent_addr, &spec.data_centre)
        })
    };
    let moves = |spec: &WorkspaceSpec| base.workspace(&spec.workspace).is_some_and(|old| old.run_in != spec.run_in);
    !change.remove.endpoints.is_empty() || change.endpoints.iter().any(joins) || change.workspaces.iter().any(moves)
}

fn risks(base: &Configuration, change: &Change) -> Vec<String> {
    let mut risks = Vec::new();
    for id in &change.stated_dead {
        risks.push(format!(
            "`{id}` is taken for dead: if its machine still runs and is reached, a request that is not repeatable could run twice"
        ));
    }
    for spec in &change.workspaces {
        let Some(old) = base.workspace(&spec.workspace) else { continue };
        let lost: Vec<&DataCentreId> = old.run_in.difference(&spec.run_in).collect();
        if !lost.is_empty() {
            let names: Vec<&str> = lost.iter().map(|dc| dc.as_str()).collect();
            risks.push(format!("`{}` may no longer run in {}: less capacity", spec.workspace, names.join(", ")));
        }
    }
    for id in &change.remove.endpoints {
        let Some(old) = base.endpoint(id) else { continue };
        let left = base.endpoints_of(&old.service).filter(|e| !change.remove.endpoints.contains(&e.endpoint)).count();
        if left == 0 {
            risks.push(format!("`{}` has no endpoint left", old.service));
        }
    }
    risks
}
