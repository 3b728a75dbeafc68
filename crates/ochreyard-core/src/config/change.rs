//! A change of the configuration, which an operator's intent is resolved to.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::spec::{DataCentreSpec, EndpointSpec, ServiceSpec, WorkspaceSpec};
use crate::ids::{DataCentreId, EndpointId, ServiceId, WorkspaceId};

/// The key of one object of the configuration, such as `service/trail-map`.
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

    /// The key of a data centre.
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

/// Objects that a change removes.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Removal {
    /// Services to remove.
    pub services: BTreeSet<ServiceId>,
    /// Workspaces to remove.
    pub workspaces: BTreeSet<WorkspaceId>,
    /// Data centres to remove.
    #[serde(rename = "places")]
    pub data_centres: BTreeSet<DataCentreId>,
    /// Endpoints to remove.
    pub endpoints: BTreeSet<EndpointId>,
}

/// Objects that an operator wants to add, replace or remove.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Change {
    /// Services to add or replace.
    pub services: Vec<ServiceSpec>,
    /// Workspaces to add or replace.
    pub workspaces: Vec<WorkspaceSpec>,
    /// Data centres to add or replace.
    #[serde(rename = "places")]
    pub data_centres: Vec<DataCentreSpec>,
    /// Endpoints to add or replace.
    pub endpoints: Vec<EndpointSpec>,
    /// Objects to remove.
    pub remove: Removal,
    /// Endpoints that the operator declares permanently dead. Keys whose home they are may move without their
    /// acknowledgement.
    pub stated_dead: BTreeSet<EndpointId>,
}

impl Change {
    /// The objects that this change writes.
    #[must_use]
    pub fn writes(&self) -> BTreeSet<ObjectKey> {
        let added = (self.services.iter().map(|s| ObjectKey::service(&s.service)))
            .chain(self.workspaces.iter().map(|w| ObjectKey::workspace(&w.workspace)))
            .chain(self.data_centres.iter().map(|d| ObjectKey::data_centre(&d.data_centre)))
            .chain(self.endpoints.iter().map(|e| ObjectKey::endpoint(&e.endpoint)));
        let removed = (self.remove.services.iter().map(ObjectKey::service))
            .chain(self.remove.workspaces.iter().map(ObjectKey::workspace))
            .chain(self.remove.data_centres.iter().map(ObjectKey::data_centre))
            .chain(self.remove.endpoints.iter().map(ObjectKey::endpoint));
        let dead = self.stated_dead.iter().map(ObjectKey::endpoint);
        added.chain(removed).chain(dead).collect()
    }

    /// The objects that this change refers to without writing them.
    #[must_use]
    pub fn reads(&self) -> BTreeSet<ObjectKey> {
        let of_endpoints = self
            .endpoints
            .iter()
            .flat_map(|e| [ObjectKey::service(&e.service), ObjectKey::data_centre(&e.data_centre)]);
        let of_workspaces = self.workspaces.iter().flat_map(|w| {
            let data_centres = w.run_in.iter().chain(&w.keep_in).map(ObjectKey::data_centre);
            w.services.iter().map(ObjectKey::service).chain(data_centres)
        });
        of_endpoints.chain(of_workspaces).collect()
    }

    /// Returns whether this change writes no object.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.writes().is_empty()
    }
}

/// An error in an intent: the field, the problem and the fix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{field}: {problem}; {fix}")]
pub struct ChangeError {
    /// The object and its field, such as `services/trail-map/first_byte_ms`.
    pub field: String,
    /// The problem with the field.
    pub problem: String,
    /// What to write instead.
    pub fix: String,
}

impl ChangeError {
    /// Creates an error in `field`.
    #[must_use]
    pub fn new(field: impl Into<String>, problem: impl Into<String>, fix: impl Into<String>) -> Self {
        Self { field: field.into(), problem: problem.into(), fix: fix.into() }
    }
}
