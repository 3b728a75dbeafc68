//! The `quarantine` commands, which manage requests that crash endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use miette::{IntoDiagnostic, Result, WrapErr};
use ochreyard_core::direct::{Fingerprint, QuarantinedRequest};
use ochreyard_direct::{HttpClient, QUARANTINE_PATH, RELEASE_PATH};

use crate::flags;

/// How long an entry may take to answer.
const TIMEOUT: Duration = Duration::from_secs(5);
const MS_PER_S: u64 = 1_000;

/// Runs `ochreyard quarantine list`.
pub fn list(args: &flags::List) -> Result<()> {
    let response = call(args.peer, Request::get(QUARANTINE_PATH), Bytes::new())?;
    if args.json {
        println!("{}", String::from_utf8_lossy(response.body()));
        return Ok(());
    }
    let listed: Vec<QuarantinedRequest> = serde_json::from_slice(response.body())
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot parse the answer of {}; is it an entry's `peer_addr`?", args.peer))?;
    print!("{}", render(&listed));
    Ok(())
}

/// Runs `ochreyard quarantine release`.
pub fn release(args: &flags::Release) -> Result<()> {
    let fingerprint: Fingerprint = args.fingerprint.parse().into_diagnostic().wrap_err_with(|| {
        format!("`{}` is no fingerprint; take one from `ochreyard quarantine list`", args.fingerprint)
    })?;
    let response = call(args.peer, Request::post(RELEASE_PATH), Bytes::from(fingerprint.to_string()))?;
    match response.status() {
        StatusCode::NO_CONTENT => println!("released: {fingerprint}"),
        StatusCode::NOT_FOUND => miette::bail!("{} has no quarantined request {fingerprint}", args.peer),
        status => miette::bail!("{} answered {status}; is it an entry's `peer_addr`?", args.peer),
    }
    Ok(())
}

fn render(listed: &[QuarantinedRequest]) -> String {
    if listed.is_empty() {
        return "no request is refused\n".to_owned();
    }
    let line = |request: &QuarantinedRequest| {
        let crashes = request.crashes.iter().map(|(id, age_ms)| format!("{id} ({} s ago)", age_ms / MS_PER_S));
        let crashes = crashes.collect::<Vec<_>>().join(", ");
        let crashes = if crashes.is_empty() { "known from the log".to_owned() } else { crashes };
        let part = request.part.as_ref().map_or_else(String::new, |part| format!("prompt part {part}  "));
        format!(
            "{}  {part}{} s left  judged {} times  crashed: {crashes}\n",
            request.fingerprint,
            request.for_ms / MS_PER_S,
            request.times
        )
    };
    listed.iter().map(line).collect()
}

fn call(peer: SocketAddr, request: http::request::Builder, body: Bytes) -> Result<Response<Bytes>> {
    let request = request.header(http::header::HOST, peer.to_string()).body(Full::from(body)).into_diagnostic()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    let client = HttpClient::new(peer);
    let result = tokio::task::LocalSet::new().block_on(&runtime, client.call(request, TIMEOUT));
    result.map_err(|error| miette::miette!("{peer} did not answer: {error}; give the `peer_addr` of a running entry"))
}
