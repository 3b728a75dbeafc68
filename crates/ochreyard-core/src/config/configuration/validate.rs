//! Validation of a configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::Configuration;
use crate::config::change::{Change, ChangeError};
use crate::config::spec::{EndpointSpec, ServiceKind};
use crate::ids::{EndpointId, WorkspaceId, check_name};

impl Configuration {
    /// Checks every object and the references between objects.
    ///
    /// # Errors
    ///
    /// Returns all errors, each with the field and the fix.
    pub fn validate(&self) -> Result<(), Vec<ChangeError>> {
        let mut errors = Vec::new();
        self.check_services(&mut errors);
        self.check_data_centres(&mut errors);
        self.check_workspaces(&mut errors);
        self.check_endpoints(&mut errors);
        if errors.is_empty() { Ok(()) } else { Err(errors) }
    }

    /// Checks the configuration that `change` would lead to, without applying it.
    ///
    /// # Errors
    ///
    /// Returns all errors, each with the field and the fix.
    pub fn check_change(&self, change: &Change) -> Result<(), Vec<ChangeError>> {
        let mut next = self.clone();
        next.write_objects(change);
        let was_home = |id: &EndpointId| self.home_sets.values().flatten().any(|set| set.members.contains_key(id));
        let unknown = change.stated_dead.iter().filter(|id| !self.endpoints.contains_key(*id) && !was_home(id));
        let mut errors: Vec<ChangeError> = unknown
            .map(|id| {
                ChangeError::new(
                    format!("stated_dead/{id}"),
                    "no such endpoint",
                    "name an endpoint that is, or lately was, in the configuration",
                )
            })
            .collect();
        if let Err(more) = next.validate() {
            errors.extend(more);
        }
        if errors.is_empty() { Ok(()) } else { Err(errors) }
    }

    fn check_services(&self, errors: &mut Vec<ChangeError>) {
        for spec in self.services.values() {
            let path = format!("services/{}", spec.service);
            check_id(&path, spec.service.as_str(), errors);
            if !(1..1000).contains(&spec.objective_permille) {
                errors.push(ChangeError::new(format!("{path}/objective_permille"), "out of range", "write 1 to 999"));
            }
            if spec.first_byte_ms == 0 {
                errors.push(ChangeError::new(format!("{path}/first_byte_ms"), "must not be 0", "write a time in ms"));
            }
        }
    }

    fn check_data_centres(&self, errors: &mut Vec<ChangeError>) {
        for spec in self.data_centres.values() {
            let path = format!("places/{}", spec.data_centre);
            check_id(&path, spec.data_centre.as_str(), errors);
            let unknown = spec.may_hold.iter().filter(|h| !self.services.contains_key(&h.service));
            errors.extend(unknown.map(|h| unknown_name(&path, "may_hold/service", h.service.as_str(), "services")));
        }
    }

    fn check_workspaces(&self, errors: &mut Vec<ChangeError>) {
        let mut tokens: BTreeMap<&str, &WorkspaceId> = BTreeMap::new();
        for spec in self.workspaces.values() {
            let path = format!("workspaces/{}", spec.workspace);
            check_id(&path, spec.workspace.as_str(), errors);
            let is_hash = spec.token_sha256.len() == 64 && spec.token_sha256.bytes().all(is_lower_hex);
            if !is_hash {
                let fix = "write the SHA-256 of the token in 64 lower-case hexadecimal digits";
                errors.push(ChangeError::new(format!("{path}/token_sha256"), "is not a hash", fix));
            }
            if let Some(other) = tokens.insert(&spec.token_sha256, &spec.workspace) {
                let problem = format!("is the token of `{other}` too");
                errors.push(ChangeError::new(
                    format!("{path}/token_sha256"),
                    problem,
                    "give each workspace its own token",
                ));
            }
            if spec.run_in.is_empty() {
                errors.push(ChangeError::new(format!("{path}/run_in"), "is empty", "name at least one data centre"));
            }
            let data_centres =
                spec.run_in.iter().map(|dc| ("run_in", dc)).chain(spec.keep_in.iter().map(|dc| ("keep_in", dc)));
            let unknown_data_centres = data_centres.filter(|(_, dc)| !self.data_centres.contains_key(*dc));
            errors.extend(unknown_data_centres.map(|(field, dc)| unknown_name(&path, field, dc.as_str(), "places")));
            let unknown_services = spec.services.iter().filter(|s| !self.services.contains_key(*s));
            errors.extend(unknown_services.map(|s| unknown_name(&path, "services", s.as_str(), "services")));
        }
    }

    fn check_endpoints(&self, errors: &mut Vec<ChangeError>) {
        let mut addrs: BTreeMap<SocketAddr, &EndpointId> = BTreeMap::new();
        for spec in self.endpoints.values() {
            let path = format!("endpoints/{}", spec.endpoint);
            check_id(&path, spec.endpoint.as_str(), errors);
            if spec.slots == 0 {
                errors.push(ChangeError::new(format!("{path}/slots"), "must not be 0", "write 1 or more"));
            }
            if let Some(other) = addrs.insert(spec.agent_addr, &spec.endpoint) {
                let problem = format!("is the agent of `{other}` too");
                errors.push(ChangeError::new(
                    format!("{path}/agent_addr"),
                    problem,
                    "give each endpoint its own agent",
                ));
            }
            match self.services.get(&spec.service) {
                None => errors.push(unknown_name(&path, "service", spec.service.as_str(), "services")),
                Some(service) => self.check_endpoint_location(&path, spec, service.kind, errors),
            }
        }
    }

    fn check_endpoint_location(
        &self,
        path: &str,
        spec: &EndpointSpec,
        kind: ServiceKind,
        errors: &mut Vec<ChangeError>,
    ) {
        let Some(data_centre) = self.data_centres.get(&spec.data_centre) else {
            errors.push(unknown_name(path, "data_centre", spec.data_centre.as_str(), "places"));
            return;
        };
        if !data_centre.permits(spec, kind) {
            let problem = format!(
                "`{}` may not hold {} version `{}` as {}",
                spec.data_centre, spec.service, spec.model_version, spec.role
            );
            errors.push(ChangeError::new(
                format!("{path}/data_centre"),
                problem,
                "add it to the place's may_hold, or move it",
            ));
        }
    }
}

const fn is_lower_hex(byte: u8) -> bool {
    matches!(byte, b'0'..=b'9' | b'a'..=b'f')
}

fn check_id(path: &str, name: &str, errors: &mut Vec<ChangeError>) {
    if let Err(error) = check_name(name) {
        errors.push(ChangeError::new(path, error.to_string(), "choose another name"));
    }
}

fn unknown_name(path: &str, field: &str, name: &str, list: &str) -> ChangeError {
    ChangeError::new(
        format!("{path}/{field}"),
        format!("`{name}` is unknown"),
        format!("add it to `{list}` or mend the name"),
    )
}
