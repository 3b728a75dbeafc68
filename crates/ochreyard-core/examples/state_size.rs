//! Prints the size of the configuration for a fleet of the size expected in two years.
//!
//! `cargo run --release -p ochreyard-core --example state_size`

use std::time::Instant;

use ochreyard_core::config::{
    Change, Configuration, ConfirmedPlan, DataCentreSpec, EndpointSpec, Role, ServiceKind, ServiceSpec,
    ServingPermission, WorkspaceSpec,
};
use ochreyard_core::hash::sha256_hex;
use ochreyard_core::home::{KeyHome, key_hash};

const WORKSPACES: usize = 360;
const MODELS: usize = 24;
const GROUPS: usize = 172;
const DATA_CENTRES: usize = 8;

fn service(number: usize) -> ServiceSpec {
    let kind = ServiceKind::Model;
    ServiceSpec { service: format!("model-{number}").into(), kind, first_byte_ms: 620, objective_permille: 950 }
}

fn data_centre(number: usize) -> DataCentreSpec {
    let permission = |model| ServingPermission {
        service: format!("model-{model}").into(),
        model_versions: ["v1".to_owned()].into(),
        roles: [Role::Mixed].into(),
    };
    DataCentreSpec { data_centre: format!("dc-{number}").into(), may_hold: (0..MODELS).map(permission).collect() }
}

fn workspace(number: usize) -> WorkspaceSpec {
    WorkspaceSpec {
        workspace: format!("workspace-{number}").into(),
        token_sha256: sha256_hex(&number.to_string()),
        services: (0..MODELS).map(|model| format!("model-{model}").into()).collect(),
        run_in: (0..4).map(|dc| format!("dc-{}", (number + dc) % DATA_CENTRES).into()).collect(),
        keep_in: (0..2).map(|dc| format!("dc-{}", (number + dc) % DATA_CENTRES).into()).collect(),
    }
}

fn endpoint(number: usize) -> EndpointSpec {
    EndpointSpec {
        endpoint: format!("group-{number}").into(),
        service: format!("model-{}", number % MODELS).into(),
        data_centre: format!("dc-{}", number % DATA_CENTRES).into(),
        agent_addr: format!("10.0.{}.{}:7001", number / 200, number % 200).parse().expect("an address"),
        model_version: "v1".into(),
        role: Role::Mixed,
        slots: 64,
    }
}

fn main() {
    let change = Change {
        services: (0..MODELS).map(service).collect(),
        data_centres: (0..DATA_CENTRES).map(data_centre).collect(),
        workspaces: (0..WORKSPACES).map(workspace).collect(),
        endpoints: (0..GROUPS).map(endpoint).collect(),
        ..Change::default()
    };
    let mut config = Configuration::default();
    config.apply(0, &ConfirmedPlan { plan_id: "p".into(), base_version: 0, change }).expect("the change is valid");
    let state_bytes = serde_json::to_vec(&config).expect("a configuration serializes to JSON").len();

    let one = Change { workspaces: vec![workspace(7)], ..Change::default() };
    let plan = ConfirmedPlan { plan_id: "q".into(), base_version: 1, change: one };
    let record_bytes = serde_json::to_vec(&plan).expect("a plan serializes to JSON").len();
    let rounds = 50;
    let started = Instant::now();
    for _ in 0..rounds {
        config.clone().apply(2, &plan).expect("the change is valid");
    }
    let apply_us = started.elapsed().as_micros() / rounds;

    let view = config.home_view(&"workspace-1".into(), &"model-1".into());
    let started = Instant::now();
    let keys = 10_000;
    let at_home = (0..keys)
        .filter(|key| matches!(view.home_of(key_hash("workspace-1", "model-1", &key.to_string())), KeyHome::At(_)))
        .count();
    let home_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(keys);
    println!(
        "measure=state_size state_bytes={state_bytes} record_bytes={record_bytes} apply_us={apply_us} home_us={home_us:.2} keys_with_home={at_home}"
    );
}
