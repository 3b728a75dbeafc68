//! A caller's request, read and checked.

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

/// Header with the caller's key for a request that must not run twice.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header that says whether a request may run more than once.
pub const REPEATABLE: &str = "ochreyard-repeatable";
/// Header with the time that the caller gives, in milliseconds.
pub const DEADLINE_MS: &str = "ochreyard-deadline-ms";

/// Tokens of an answer when the caller names no number.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// Bytes of text that make one token, roughly.
const BYTES_PER_TOKEN: u64 = 4;
/// Bytes at the start of a prompt that decide which cache it belongs to.
const PREFIX_BYTES: usize = 256;

/// One request, ready to be routed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// SHA-256 of the bearer token.
    pub token_sha256: String,
    /// The service that is meant.
    pub service: ServiceId,
    /// Whether it came by a path of the model services.
    pub is_model: bool,
    /// HTTP method.
    pub method: String,
    /// Path and query for the endpoint.
    pub path: String,
    /// Value of `Content-Type`; empty for none.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
    /// The caller's key.
    pub key: Option<String>,
    /// Hash of method, path and body.
    pub fingerprint: u64,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Time that the caller gives, in milliseconds.
    pub deadline_ms: u64,
    /// Predicted work, in tokens or calls.
    pub cost: u64,
    /// Hash of the start of the prompt; 0 for none.
    pub prefix_hash: u64,
}

/// What stands behind the callers' side.
pub trait CallHandler: Send + Sync + 'static {
    /// Answers one request.
    fn call(&self, call: CallerRequest) -> impl Future<Output = CallerReply> + Send;

    /// Whether the balancer should send requests here.
    fn is_ready(&self) -> bool;

    /// All metrics, in the Prometheus text form.
    fn metrics(&self) -> String;
}

#[derive(Deserialize)]
struct ModelBody {
    model: Option<String>,
    max_tokens: Option<u64>,
}

/// Reads a request within `limits`.
pub(crate) async fn read(request: Request<Body>, limits: &CallerLimits) -> Result<CallerRequest, Refusal> {
    let (parts, body) = request.into_parts();
    check_head(&parts.uri.to_string(), &parts.headers, limits)?;
    let token_sha256 = hash::sha256_hex(bearer(&parts.headers)?);
    let key = key(&parts.headers, limits)?;
    let deadline_ms = deadline_ms(&parts.headers, limits)?;
    let says_repeatable = says_repeatable(&parts.headers)?;
    let content_type = text(&parts.headers, header::CONTENT_TYPE.as_str())?.unwrap_or_default().to_owned();
    let body = read_body(&parts.headers, body, limits).await?;
    let path_and_query = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let is_model = matches!(parts.uri.path(), "/v1/chat/completions" | "/v1/completions");
    let target = if is_model { model_target(path_and_query, &body)? } else { plain_target(path_and_query)? };
    let repeatable = says_repeatable.unwrap_or(is_model || parts.method == Method::GET || parts.method == Method::HEAD);
    if key.is_some() && says_repeatable == Some(true) {
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
    let of_headers: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    let bytes = uri.len() + of_headers;
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
    let announced = text(headers, header::CONTENT_LENGTH.as_str())?.and_then(|length| length.parse::<usize>().ok());
    if announced.is_some_and(|length| length > limits.max_body_bytes) {
        return Err(too_large());
    }
    axum::body::to_bytes(body, limits.max_body_bytes).await.map_err(|error| {
        let broke_off = announced.is_some();
        if broke_off { bad_request(format!("the body broke off: {error}")) } else { too_large() }
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    value.to_str().map(Some).map_err(|_| bad_request(format!("header `{name}` is not plain text")))
}

fn bearer(headers: &HeaderMap) -> Result<&str, Refusal> {
    text(headers, header::AUTHORIZATION.as_str())?
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| Refusal::new(ErrorKind::Unauthenticated))
}

fn key(headers: &HeaderMap, limits: &CallerLimits) -> Result<Option<String>, Refusal> {
    let Some(key) = text(headers, IDEMPOTENCY_KEY)? else { return Ok(None) };
    if key.is_empty() || key.len() > limits.max_key_bytes {
        let detail = format!("header `{IDEMPOTENCY_KEY}` must have 1 to {} bytes", limits.max_key_bytes);
        return Err(bad_request(detail));
    }
    Ok(Some(key.to_owned()))
}

fn deadline_ms(headers: &HeaderMap, limits: &CallerLimits) -> Result<u64, Refusal> {
    let Some(value) = text(headers, DEADLINE_MS)? else { return Ok(limits.default_deadline_ms) };
    let within = |ms: &u64| (1..=limits.max_deadline_ms).contains(ms);
    value.parse().ok().filter(within).ok_or_else(|| {
        let max = limits.max_deadline_ms;
        bad_request(format!("header `{DEADLINE_MS}` must be a number of milliseconds from 1 to {max}"))
    })
}

fn says_repeatable(headers: &HeaderMap) -> Result<Option<bool>, Refusal> {
    match text(headers, REPEATABLE)? {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(bad_request(format!("header `{REPEATABLE}` must be `true` or `false`"))),
    }
}
