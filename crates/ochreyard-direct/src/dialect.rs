//! Names and formats that the platform defines: header names, and the documents in its log.

use bytes::Bytes;
use http::{HeaderMap, HeaderName};
use ochreyard_core::direct::{EndpointRecord, ReportedLoad, RequestSize, RouteTable};

/// Names of the headers that this process reads or sets.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifies one attempt of the caller; passed on and echoed unchanged.
    pub attempt_id: HeaderName,
    /// Milliseconds that the sender will wait.
    pub deadline_ms: HeaderName,
    /// The caller's API key; never sent to endpoints.
    pub api_key: HeaderName,
    /// The workspace; set by this process only.
    pub workspace: HeaderName,
    /// The endpoint that a request is for; any other one refuses it.
    pub target: HeaderName,
    /// Identifier of the last event that the caller received.
    pub last_event_id: HeaderName,
    /// Present if the endpoint did not run the request.
    pub not_run: HeaderName,
    /// The endpoint at fault, if it is not the one that answers.
    pub endpoint_at_fault: HeaderName,
    /// Proves that an answer is the endpoint's own.
    pub proof: HeaderName,
    /// The endpoint's load.
    pub load: HeaderName,
    /// Present if the endpoint is leaving.
    pub leaving: HeaderName,
    /// Requests per second that the endpoint accepts from all boxes together.
    pub limit: HeaderName,
    /// The priority of the request; set by this process where a service has several priorities.
    pub priority: HeaderName,
    /// The size of the request, as the caller states it.
    pub size: HeaderName,
    /// Other caller headers that must reach the endpoint unchanged.
    pub end_to_end: Vec<HeaderName>,
}

/// A problem with a document from the platform's log.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{document} cannot be read: {problem}")]
pub struct DocumentError {
    /// The document.
    pub document: &'static str,
    /// What is wrong with it.
    pub problem: String,
}

/// Subject of a record in the operators' topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperatorKey<'a> {
    /// The configuration.
    Config,
    /// The evacuation of a data centre: in force while the key has a value.
    Evacuation {
        /// The data centre.
        data_centre: &'a str,
    },
    /// A subject that this version does not know.
    Unknown,
}

/// Header names and document formats of a platform.
pub trait Dialect: 'static {
    /// Returns the header names.
    fn headers(&self) -> &HeaderNames;

    /// Returns the subject of the record with this key in the operators' topic.
    fn operator_key<'a>(&self, key: &'a str) -> OperatorKey<'a>;

    /// Parses a configuration.
    ///
    /// # Errors
    ///
    /// When it does not have the expected form.
    fn read_config(&self, document: &Bytes) -> Result<RouteTable, DocumentError>;

    /// Parses the record of an endpoint.
    ///
    /// # Errors
    ///
    /// When it does not have the expected form.
    fn read_endpoint(&self, document: &Bytes) -> Result<EndpointRecord, DocumentError>;

    /// Parses the load that an endpoint reported.
    fn read_load(&self, value: &str) -> Option<ReportedLoad>;

    /// Parses the size that a caller states for its request; `None` if it is malformed.
    fn read_size(&self, value: &str) -> Option<RequestSize>;

    /// Returns the identifiers of the parts of a request's prompt, in their order.
    fn prompt_parts<'a>(&self, headers: &'a HeaderMap) -> Vec<&'a str>;
}
