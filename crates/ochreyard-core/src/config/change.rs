//! A change of the configuration: what an intent comes down to.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::spec::{DataCentreSpec, EndpointSpec, ServiceSpec, WorkspaceSpec};
use crate::ids::{DataCentreId, EndpointId, ServiceId, WorkspaceId};

/// Names one object of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", from = "String")]
pub struct ObjectKey(String);

impl ObjectKey {
    /// The key of a service.
    #[must_use]
    pub fn service(id: &ServiceId) -> Self {
        Self(format!("service/{id}"))
    }

    /// The key of a workspace.
    #[must_use]
    pub fn workspace(id: &WorkspaceId) -> Self {
        Self(format!("workspace/{id}"))
    }

    /// The key of a place.
    #[must_use]
    pub fn data_centre(id: &DataCentreId) -> Self {
        Self(format!("place/{id}"))
    }

    /// The key of an endpoint.
    #[must_use]
    pub fn endpoint(id: &EndpointId) -> Self {
        Self(format!("endpoint/{id}"))
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<String> for ObjectKey {
    fn from(text: String) -> Self {
        Self(text)
    }
}

impl From<ObjectKey> for String {
    fn from(key: ObjectKey) -> Self {
        key.0
    }
}

/// Objects that are taken out.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Removal {
    /// Services to take out.
    pub services: BTreeSet<ServiceId>,
    /// Workspaces to take out.
    pub workspaces: BTreeSet<WorkspaceId>,
    /// Places to take out.
    #[serde(rename = "places")]
    pub data_centres: BTreeSet<DataCentreId>,
    /// Endpoints to take out.
    pub endpoints: BTreeSet<EndpointId>,
}

/// What an operator wants: objects to put in or replace, and objects to take out.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Change {
    /// Services to put in or replace.
    pub services: Vec<ServiceSpec>,
    /// Workspaces to put in or replace.
    pub workspaces: Vec<WorkspaceSpec>,
    /// Places to put in or replace.
    #[serde(rename = "places")]
    pub data_centres: Vec<DataCentreSpec>,
    /// Endpoints to put in or replace.
    pub endpoints: Vec<EndpointSpec>,
    /// Objects to take out.
    pub remove: Removal,
    /// Endpoints whose machines the operator states to be dead for good: keys
    /// that they kept may move without their agreement.
    pub stated_dead: BTreeSet<EndpointId>,
}

impl Change {
    /// The objects that this writes.
    #[must_use]
    pub fn writes(&self) -> BTreeSet<ObjectKey> {
        let put = (self.services.iter().map(|s| ObjectKey::service(&s.service)))
            .chain(self.workspaces.iter().map(|w| ObjectKey::workspace(&w.workspace)))
            .chain(self.data_centres.iter().map(|p| ObjectKey::data_centre(&p.data_centre)))
            .chain(self.endpoints.iter().map(|e| ObjectKey::endpoint(&e.endpoint)));
        let removed = (self.remove.services.iter().map(ObjectKey::service))
            .chain(self.remove.workspaces.iter().map(ObjectKey::workspace))
            .chain(self.remove.data_centres.iter().map(ObjectKey::data_centre))
            .chain(self.remove.endpoints.iter().map(ObjectKey::endpoint));
        let dead = self.stated_dead.iter().map(ObjectKey::endpoint);
        put.chain(removed).chain(dead).collect()
    }

    /// The objects that this relies on without writing them.
    #[must_use]
    pub fn reads(&self) -> BTreeSet<ObjectKey> {
        let of_endpoints = self
            .endpoints
            .iter()
            .flat_map(|e| [ObjectKey::service(&e.service), ObjectKey::data_centre(&e.data_centre)]);
        let of_workspaces = self.workspaces.iter().flat_map(|w| {
            let places = w.run_in.iter().chain(&w.keep_in).map(ObjectKey::data_centre);
            w.services.iter().map(ObjectKey::service).chain(places)
        });
        of_endpoints.chain(of_workspaces).collect()
    }

    /// Whether nothing would change.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.writes().is_empty()
    }
}

/// One fault of an intent, with the field and what to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{field}: {problem}; {fix}")]
pub struct ChangeError {
    /// Which field of which object.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
    /// What to write instead.
    pub fix: String,
}

impl ChangeError {
    /// A fault in `field`.
    #[must_use]
    pub fn new(field: impl Into<String>, problem: impl Into<String>, fix: impl Into<String>) -> Self {
        Self { field: field.into(), problem: problem.into(), fix: fix.into() }
    }
}
