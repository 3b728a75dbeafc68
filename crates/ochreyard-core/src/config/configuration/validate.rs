//! Checks that the parts of a configuration hold together.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::Configuration;
use crate::config::change::{Change, ChangeError};
use crate::config::spec::{EndpointSpec, ServiceKind};
use crate::ids::{EndpointId, WorkspaceId, check_name};

impl Configuration {
    /// Checks that all parts hold together.
    ///
    /// # Errors
    ///
    /// All faults, each with field and fix.
    pub fn validate(&self) -> Result<(), Vec<ChangeError>> {
        let mut faults = Vec::new();
        self.check_services(&mut faults);
        self.check_places(&mut faults);
        self.check_workspaces(&mut faults);
        self.check_endpoints(&mut faults);
        if faults.is_empty() { Ok(()) } else { Err(faults) }
    }

    /// Checks what `change` would lead to, without applying it.
    ///
    /// # Errors
    ///
    /// All faults, each with field and fix.
    pub fn check_change(&self, change: &Change) -> Result<(), Vec<ChangeError>> {
        let mut next = self.clone();
        next.put_and_remove(change);
        let was_home = |id: &EndpointId| self.home_sets.values().flatten().any(|set| set.members.contains_key(id));
        let unknown = change.stated_dead.iter().filter(|id| !self.endpoints.contains_key(*id) && !was_home(id));
        let mut faults: Vec<ChangeError> = unknown
            .map(|id| {
                ChangeError::new(
                    format!("stated_dead/{id}"),
                    "no such endpoint",
                    "name an endpoint that is, or lately was, in the configuration",
                )
            })
            .collect();
        if let Err(more) = next.validate() {
            faults.extend(more);
        }
        if faults.is_empty() { Ok(()) } else { Err(faults) }
    }

    fn check_services(&self, faults: &mut Vec<ChangeError>) {
        for spec in self.services.values() {
            let at = format!("services/{}", spec.service);
            check_id(&at, spec.service.as_str(), faults);
            if !(1..1000).contains(&spec.objective_permille) {
                faults.push(ChangeError::new(format!("{at}/objective_permille"), "out of range", "write 1 to 999"));
            }
            if spec.first_byte_ms == 0 {
                faults.push(ChangeError::new(format!("{at}/first_byte_ms"), "must not be 0", "write a time in ms"));
            }
        }
    }

    fn check_places(&self, faults: &mut Vec<ChangeError>) {
        for spec in self.data_centres.values() {
            let at = format!("places/{}", spec.data_centre);
            check_id(&at, spec.data_centre.as_str(), faults);
            let unknown = spec.may_hold.iter().filter(|h| !self.services.contains_key(&h.service));
            faults.extend(unknown.map(|h| unknown_name(&at, "may_hold/service", h.service.as_str(), "services")));
        }
    }

    fn check_workspaces(&self, faults: &mut Vec<ChangeError>) {
        let mut tokens: BTreeMap<&str, &WorkspaceId> = BTreeMap::new();
        for spec in self.workspaces.values() {
            let at = format!("workspaces/{}", spec.workspace);
            check_id(&at, spec.workspace.as_str(), faults);
            let is_hash = spec.token_sha256.len() == 64 && spec.token_sha256.bytes().all(is_lower_hex);
            if !is_hash {
                let fix = "write the SHA-256 of the token in 64 lower-case hexadecimal digits";
                faults.push(ChangeError::new(format!("{at}/token_sha256"), "is not a hash", fix));
            }
            if let Some(other) = tokens.insert(&spec.token_sha256, &spec.workspace) {
                let problem = format!("is the token of `{other}` too");
                faults.push(ChangeError::new(
                    format!("{at}/token_sha256"),
                    problem,
                    "give each workspace its own token",
                ));
            }
            if spec.run_in.is_empty() {
                faults.push(ChangeError::new(format!("{at}/run_in"), "is empty", "name at least one data centre"));
            }
            let places =
                spec.run_in.iter().map(|dc| ("run_in", dc)).chain(spec.keep_in.iter().map(|dc| ("keep_in", dc)));
            let unknown_places = places.filter(|(_, dc)| !self.data_centres.contains_key(*dc));
            faults.extend(unknown_places.map(|(field, dc)| unknown_name(&at, field, dc.as_str(), "places")));
            let unknown_services = spec.services.iter().filter(|s| !self.services.contains_key(*s));
            faults.extend(unknown_services.map(|s| unknown_name(&at, "services", s.as_str(), "services")));
        }
    }

    fn check_endpoints(&self, faults: &mut Vec<ChangeError>) {
        let mut addrs: BTreeMap<SocketAddr, &EndpointId> = BTreeMap::new();
        for spec in self.endpoints.values() {
            let at = format!("endpoints/{}", spec.endpoint);
            check_id(&at, spec.endpoint.as_str(), faults);
            if spec.slots == 0 {
                faults.push(ChangeError::new(format!("{at}/slots"), "must not be 0", "write 1 or more"));
            }
            if let Some(other) = addrs.insert(spec.agent_addr, &spec.endpoint) {
                let problem = format!("is the agent of `{other}` too");
                faults.push(ChangeError::new(format!("{at}/agent_addr"), problem, "give each endpoint its own agent"));
            }
            match self.services.get(&spec.service) {
                None => faults.push(unknown_name(&at, "service", spec.service.as_str(), "services")),
                Some(service) => self.check_place_of(&at, spec, service.kind, faults),
            }
        }
    }

    fn check_place_of(&self, at: &str, spec: &EndpointSpec, kind: ServiceKind, faults: &mut Vec<ChangeError>) {
        let Some(place) = self.data_centres.get(&spec.data_centre) else {
            faults.push(unknown_name(at, "data_centre", spec.data_centre.as_str(), "places"));
            return;
        };
        if !place.permits(spec, kind) {
            let problem = format!(
                "`{}` may not hold {} version `{}` as {}",
                spec.data_centre, spec.service, spec.model_version, spec.role
            );
            faults.push(ChangeError::new(
                format!("{at}/data_centre"),
                problem,
                "add it to the place's may_hold, or move it",
            ));
        }
    }
}

const fn is_lower_hex(byte: u8) -> bool {
    matches!(byte, b'0'..=b'9' | b'a'..=b'f')
}

fn check_id(at: &str, name: &str, faults: &mut Vec<ChangeError>) {
    if let Err(error) = check_name(name) {
        faults.push(ChangeError::new(at, error.to_string(), "choose another name"));
    }
}

fn unknown_name(at: &str, field: &str, name: &str, list: &str) -> ChangeError {
    ChangeError::new(
        format!("{at}/{field}"),
        format!("`{name}` is unknown"),
        format!("add it to `{list}` or mend the name"),
    )
}
