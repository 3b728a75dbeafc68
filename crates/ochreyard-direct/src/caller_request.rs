//! A caller's request, as it is forwarded to endpoints.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, request};
use http_body_util::Full;
use ochreyard_core::direct::{Fingerprint, Priority};

use crate::dialect::{Dialect, HeaderNames};

/// A caller's request, read completely and ready to be sent to any endpoint.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Method of the request.
    pub method: Method,
    /// Path and query, unchanged.
    pub path: Uri,
    /// Headers that are forwarded to the endpoint.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: Bytes,
    /// Identifier of the caller's attempt.
    pub attempt_id: Option<HeaderValue>,
}

/// Headers that apply to one connection only.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-authenticate",
];

/// Removes the headers that apply to one connection only: those listed, and those that `Connection` names, except the
/// ones in `kept`, which belong to the request.
pub fn strip_hop_by_hop(headers: &mut HeaderMap, kept: &[&HeaderName]) {
    let values = headers.get_all(http::header::CONNECTION).iter();
    let named: Vec<HeaderName> = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !kept.contains(&name))
        .collect();
    named.iter().for_each(|name| while headers.remove(name).is_some() {});
    HOP_BY_HOP.iter().for_each(|name| while headers.remove(*name).is_some() {});
}

impl CallerRequest {
    /// Builds the request for endpoints from a caller's request.
    pub fn new<D: Dialect>(dialect: &D, head: request::Parts, body: Bytes) -> Self {
        let names = dialect.headers();
        let mut headers = head.headers;
        let mut kept: Vec<&HeaderName> = names.end_to_end.iter().collect();
        kept.extend([&names.attempt_id, &names.last_event_id, &http::header::HOST]);
        strip_hop_by_hop(&mut headers, &kept);
        for name in [&names.api_key, &names.workspace, &names.target, &names.deadline_ms, &names.not_run] {
            while headers.remove(name).is_some() {}
        }
        headers.remove(http::header::CONTENT_LENGTH);
        headers.remove(http::header::EXPECT);
        if !body.is_empty() || head.method == Method::POST || head.method == Method::PUT {
            headers.insert(http::header::CONTENT_LENGTH, HeaderValue::from(body.len()));
        }
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let path = path.parse().unwrap_or_else(|_| Uri::from_static("/"));
        let attempt_id = headers.get(&names.attempt_id).cloned();
        Self { method: head.method, path, headers, body, attempt_id }
    }

    /// Sets the priority that endpoints are told, in place of any that the caller has stated.
    pub fn set_priority(&mut self, names: &HeaderNames, priority: Priority) {
        self.headers.insert(names.priority.clone(), HeaderValue::from(u16::from(priority.number())));
    }

    /// Returns the fingerprint by which a repetition of this request is recognized, whichever attempt it is: workspace,
    /// host, method, path and body.
    #[must_use]
    pub fn fingerprint(&self, names: &HeaderNames) -> Fingerprint {
        let header = |name: &HeaderName| self.headers.get(name).map_or(&[][..], HeaderValue::as_bytes);
        let path = self.path.path_and_query().map_or("/", |path| path.as_str());
        let (workspace, host) = (header(&names.workspace), header(&http::header::HOST));
        Fingerprint::of(&[workspace, host, self.method.as_str().as_bytes(), path.as_bytes(), &self.body])
    }

    /// Builds the request to the endpoint `target`.
    pub fn to_endpoint(&self, names: &HeaderNames, target: &str, timeout_ms: u64) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.clone();
        *request.headers_mut() = self.headers.clone();
        if let Ok(target) = HeaderValue::from_str(target) {
            request.headers_mut().insert(names.target.clone(), target);
        }
        request.headers_mut().insert(names.deadline_ms.clone(), HeaderValue::from(timeout_ms));
        request
    }
}
