//! What the surroundings call things: header names, and the form of what the
//! platform's log holds.

use bytes::Bytes;
use http::HeaderName;
use ochreyard_core::direct::{EndpointRecord, ReportedLoad, RouteTable};

/// Names of the headers that this process reads or sets.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifies one attempt of the caller; passed on and echoed unchanged.
    pub attempt_id: HeaderName,
    /// Milliseconds that the sender will wait.
    pub deadline_ms: HeaderName,
    /// The caller's key; never shown to endpoints.
    pub api_key: HeaderName,
    /// The workspace, set by us only.
    pub workspace: HeaderName,
    /// The endpoint that is meant; any other one refuses.
    pub target: HeaderName,
    /// The last event that the caller has.
    pub last_event_id: HeaderName,
    /// Says that the endpoint did not run the request.
    pub not_run: HeaderName,
    /// Names the endpoint at fault where it is not the one that answers.
    pub endpoint_at_fault: HeaderName,
    /// Proves that an answer is the endpoint's own.
    pub proof: HeaderName,
    /// The endpoint's load.
    pub load: HeaderName,
    /// Says that the endpoint leaves.
    pub leaving: HeaderName,
    /// How many requests a second the endpoint takes from all boxes together.
    pub limit: HeaderName,
    /// Other headers of callers that must reach the endpoint unchanged.
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

/// What a record of the topic of the operators is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperatorKey<'a> {
    /// The configuration.
    Config,
    /// The evacuation of a data centre: in force while the key has a value.
    Evacuation {
        /// The data centre.
        data_centre: &'a str,
    },
    /// Nothing that is known here.
    Unknown,
}

/// One dialect of the surroundings.
pub trait Dialect: 'static {
    /// Names of headers.
    fn headers(&self) -> &HeaderNames;

    /// What the record under a key of the operators' topic is about.
    fn operator_key<'a>(&self, key: &'a str) -> OperatorKey<'a>;

    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// When it does not have the expected form.
    fn read_config(&self, document: &Bytes) -> Result<RouteTable, DocumentError>;

    /// Reads the record of an endpoint.
    ///
    /// # Errors
    ///
    /// When it does not have the expected form.
    fn read_endpoint(&self, document: &Bytes) -> Result<EndpointRecord, DocumentError>;

    /// Reads the load that an endpoint told.
    fn read_load(&self, value: &str) -> Option<ReportedLoad>;
}
