//! The configuration of the model and the settings of its agents.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use ochreyard_core::admission::{Admission, AdmissionSettings};
use ochreyard_core::config::{
    Change, DataCentreSpec, EndpointSpec, Role, ServiceKind, ServiceSpec, ServingPermission, WorkspaceSpec,
};
use ochreyard_core::ids::Incarnation;

use super::RETENTION_MS;

/// The first change, which adds all objects, with endpoints 0 and 1 at their first address.
pub fn first_change() -> Change {
    Change {
        services: vec![service()],
        data_centres: vec![data_centre_spec("dc-a"), data_centre_spec("dc-b")],
        workspaces: vec![workspace(3)],
        endpoints: vec![endpoint_spec(0, 0), endpoint_spec(1, 0)],
        ..Change::default()
    }
}

fn service() -> ServiceSpec {
    ServiceSpec { service: "s".into(), kind: ServiceKind::Plain, first_byte_ms: 100, objective_permille: 900 }
}

fn data_centre_spec(name: &str) -> DataCentreSpec {
    DataCentreSpec {
        data_centre: name.into(),
        may_hold: vec![ServingPermission {
            service: "s".into(),
            model_versions: BTreeSet::new(),
            roles: BTreeSet::new(),
        }],
    }
}

pub fn endpoint_name(endpoint: usize) -> String {
    format!("e{endpoint}")
}

pub fn agent_addr(endpoint: usize, addr: usize) -> SocketAddr {
    format!("10.0.{endpoint}.{addr}:1").parse().unwrap()
}

/// Endpoint 2 is alone in its data centre, so that a change of `run_in` moves homes too.
fn data_centre(endpoint: usize) -> &'static str {
    if endpoint == 2 { "dc-b" } else { "dc-a" }
}

pub fn dated_key(created_ms: u64, salt: u64) -> String {
    let hex = format!("{created_ms:012x}");
    format!("{}-{}-7000-8000-{salt:012x}", &hex[..8], &hex[8..])
}

pub fn workspace(run_in_bits: usize) -> WorkspaceSpec {
    let names = ["dc-a", "dc-b"];
    let run_in: BTreeSet<_> = (0..2).filter(|bit| run_in_bits & (1 << bit) != 0).map(|bit| names[bit].into()).collect();
    WorkspaceSpec {
        workspace: "w".into(),
        token_sha256: "0".repeat(64),
        services: BTreeSet::from(["s".into()]),
        run_in: run_in.clone(),
        keep_in: run_in,
    }
}

pub fn endpoint_spec(endpoint: usize, addr: usize) -> EndpointSpec {
    EndpointSpec {
        endpoint: endpoint_name(endpoint).into(),
        service: "s".into(),
        data_centre: data_centre(endpoint).into(),
        agent_addr: agent_addr(endpoint, addr),
        model_version: String::new(),
        role: Role::Mixed,
        slots: 2,
    }
}

pub fn admission(endpoint: usize, addr: SocketAddr, incarnation: u64, now_ms: u64) -> Admission {
    let settings = AdmissionSettings::new(endpoint_name(endpoint), data_centre(endpoint))
        .with_agent_addr(addr)
        .with_keys(RETENTION_MS, 1000);
    Admission::new(settings, Incarnation(incarnation), now_ms)
}
