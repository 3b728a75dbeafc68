//! Reads and validates callers' requests.

use std::future::Future;

use axum::body::Body;
use axum::http::{HeaderMap, Method, Request, header};
use bytes::Bytes;
use ochreyard_core::error_kind::{ErrorKind, Refusal};
use ochreyard_core::hash;
use ochreyard_core::ids::ServiceId;
use serde::Deserialize;

use crate::answer::CallerReply;
use crate::limits::CallerLimits;

/// Header with the idempotency key of a request that must not run twice.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header that says whether a request may run more than once.
pub const REPEATABLE: &str = "ochreyard-repeatable";
/// Header with the request's deadline, in milliseconds from its arrival.
pub const DEADLINE_MS: &str = "ochreyard-deadline-ms";

/// Assumed tokens of an answer if the request sets no `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// Approximate bytes of text for each token.
const BYTES_PER_TOKEN: u64 = 4;
/// Length of the prompt prefix by which requests with a shared cache are recognized, in bytes.
const PREFIX_BYTES: usize = 256;

/// A caller's request that is validated and ready to be routed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// SHA-256 of the bearer token, in hexadecimal.
    pub token_sha256: String,
    /// The requested service.
    pub service: ServiceId,
    /// Whether the request came in on a path of the model API.
    pub is_model: bool,
    /// HTTP method.
    pub method: String,
    /// Path and query to send to the endpoint.
    pub path: String,
    /// Value of `Content-Type`, or empty if there is none.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
    /// The idempotency key, if the caller gave one.
    pub key: Option<String>,
    /// Hash of method, path and body.
    pub fingerprint: u64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Deadline in milliseconds from the arrival of the request.
    pub deadline_ms: u64,
    /// Predicted cost, in tokens or calls.
    pub cost: u64,
    /// Hash of the prefix of the prompt, or 0 if there is no prompt.
    pub prefix_hash: u64,
}

/// Handles the requests that the callers' routes accept.
pub trait CallHandler: Send + Sync + 'static {
    /// Answers one request.
    fn call(&self, call: CallerRequest) -> impl Future<Output = CallerReply> + Send;

    /// Returns whether the load balancer in front should send requests to this entry.
    fn is_ready(&self) -> bool;

    /// Returns all metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}

#[derive(Deserialize)]
struct ModelBody {
    model: Option<String>,
    max_tokens: Option<u64>,
}

/// Reads and validates a request within `limits`.
pub(crate) async fn read(request: Request<Body>, limits: &CallerLimits) -> Result<CallerRequest, Refusal> {
    let (parts, body) = request.into_parts();
    check_head(&parts.uri.to_string(), &parts.headers, limits)?;
    let token_sha256 = hash::sha256_hex(bearer(&parts.headers)?);
    let key = idempotency_key(&parts.headers, limits)?;
    let deadline_ms = deadline_ms(&parts.headers, limits)?;
    let requested_repeatable = requested_repeatable(&parts.headers)?;
    let content_type = header_text(&parts.headers, header::CONTENT_TYPE.as_str())?.unwrap_or_default().to_owned();
    let body = read_body(&parts.headers, body, limits).await?;
    let path_and_query = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let is_model = matches!(parts.uri.path(), "/v1/chat/completions" | "/v1/completions");
    let target = if is_model { model_target(path_and_query, &body)? } else { plain_target(path_and_query)? };
    let repeatable =
        requested_repeatable.unwrap_or(is_model || parts.method == Method::GET || parts.method == Method::HEAD);
    if key.is_some() && requested_repeatable == Some(true) {
        let detail = "`Idempotency-Key` and `Ochreyard-Repeatable: true` contradict each other; send one of them";
        return Err(bad_request(detail));
    }
    let fingerprint = [parts.method.as_str().as_bytes(), path_and_query.as_bytes(), &body]
        .iter()
        .fold(hash::fnv1a(&[]), |state, part| hash::fnv1a_from(state, part));
    Ok(CallerRequest {
        token_sha256,
        service: target.service,
        is_model,
        method: parts.method.to_string(),
        path: target.path,
        content_type,
        body,
        repeatable: repeatable && key.is_none(),
        key,
        fingerprint,
        deadline_ms,
        cost: target.cost,
        prefix_hash: target.prefix_hash,
    })
}

struct Target {
    service: ServiceId,
    path: String,
    cost: u64,
    prefix_hash: u64,
}

fn model_target(path: &str, body: &Bytes) -> Result<Target, Refusal> {
    let parsed: ModelBody = serde_json::from_slice(body)
        .map_err(|error| bad_request(format!("the body is not the expected JSON: {error}")))?;
    let model = parsed.model.ok_or_else(|| bad_request("field `model` is missing; name a service"))?;
    let cost = body.len() as u64 / BYTES_PER_TOKEN + parsed.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let prefix = &body[..body.len().min(PREFIX_BYTES)];
    Ok(Target { service: model.into(), path: path.to_owned(), cost, prefix_hash: hash::fnv1a(prefix) })
}

fn plain_target(path: &str) -> Result<Target, Refusal> {
    let rest = path.trim_start_matches('/');
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    if service.is_empty() {
        return Err(Refusal::new(ErrorKind::UnknownService).with_detail("the path names no service"));
    }
    let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
    Ok(Target { service: service.into(), path, cost: 1, prefix_hash: 0 })
}

fn bad_request(detail: impl Into<String>) -> Refusal {
    Refusal::new(ErrorKind::BadRequest).with_detail(detail)
}

fn check_head(uri: &str, headers: &HeaderMap, limits: &CallerLimits) -> Result<(), Refusal> {
    let header_bytes: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    let bytes = uri.len() + header_bytes;
    if bytes <= limits.max_head_bytes {
        return Ok(());
    }
    let detail = format!("{bytes} bytes, at most {} are taken", limits.max_head_bytes);
    Err(Refusal::new(ErrorKind::HeadTooLarge).with_detail(detail))
}

async fn read_body(headers: &HeaderMap, body: Body, limits: &CallerLimits) -> Result<Bytes, Refusal> {
    let too_large = || {
        let detail = format!("at most {} bytes are taken", limits.max_body_bytes);
        Refusal::new(ErrorKind::BodyTooLarge).with_detail(detail)
    };
    let announced_bytes =
        header_text(headers, header::CONTENT_LENGTH.as_str())?.and_then(|length| length.parse::<usize>().ok());
    if announced_bytes.is_some_and(|length| length > limits.max_body_bytes) {
        return Err(too_large());
    }
    axum::body::to_bytes(body, limits.max_body_bytes).await.map_err(|error| {
        let was_cut_off = announced_bytes.is_some();
        if was_cut_off { bad_request(format!("the body broke off: {error}")) } else { too_large() }
    })
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    value.to_str().map(Some).map_err(|_| bad_request(format!("header `{name}` is not plain text")))
}

fn bearer(headers: &HeaderMap) -> Result<&str, Refusal> {
    header_text(headers, header::AUTHORIZATION.as_str())?
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| Refusal::new(ErrorKind::Unauthenticated))
}

fn idempotency_key(headers: &HeaderMap, limits: &CallerLimits) -> Result<Option<String>, Refusal> {
    let Some(key) = header_text(headers, IDEMPOTENCY_KEY)? else { return Ok(None) };
    if key.is_empty() || key.len() > limits.max_key_bytes {
        let detail = format!("header `{IDEMPOTENCY_KEY}` must have 1 to {} bytes", limits.max_key_bytes);
        return Err(bad_request(detail));
    }
    Ok(Some(key.to_owned()))
}

fn deadline_ms(headers: &HeaderMap, limits: &CallerLimits) -> Result<u64, Refusal> {
    let Some(value) = header_text(headers, DEADLINE_MS)? else { return Ok(limits.default_deadline_ms) };
    let is_allowed = |ms: &u64| (1..=limits.max_deadline_ms).contains(ms);
    value.parse().ok().filter(is_allowed).ok_or_else(|| {
        let max = limits.max_deadline_ms;
        bad_request(format!("header `{DEADLINE_MS}` must be a number of milliseconds from 1 to {max}"))
    })
}

fn requested_repeatable(headers: &HeaderMap) -> Result<Option<bool>, Refusal> {
    match header_text(headers, REPEATABLE)? {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(bad_request(format!("header `{REPEATABLE}` must be `true` or `false`"))),
    }
}
