//! The operators' commands for requests that crash endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use miette::{IntoDiagnostic, Result, WrapErr};
use ochreyard_core::direct::{Fingerprint, QuarantinedRequest};
use ochreyard_direct::{HttpClient, QUARANTINE_PATH, RELEASE_PATH};

use crate::flags;

/// Longest wait for an entry.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;

/// `ochreyard quarantine list`.
pub fn list(args: &flags::List) -> Result<()> {
    let response = call(args.peer, Request::get(QUARANTINE_PATH), Bytes::new())?;
    if args.json {
        println!("{}", String::from_utf8_lossy(response.body()));
        return Ok(());
    }
    let listed: Vec<QuarantinedRequest> = serde_json::from_slice(response.body())
        .into_diagnostic()
        .wrap_err_with(|| format!("the answer of {} cannot be read; is it an entry's `peer_addr`?", args.peer))?;
    print!("{}", render(&listed));
    Ok(())
}

/// `ochreyard quarantine release`.
pub fn release(args: &flags::Release) -> Result<()> {
    let fingerprint: Fingerprint = args.fingerprint.parse().into_diagnostic().wrap_err_with(|| {
        format!("`{}` is no fingerprint; take one from `ochreyard quarantine list`", args.fingerprint)
    })?;
    let response = call(args.peer, Request::post(RELEASE_PATH), Bytes::from(fingerprint.to_string()))?;
    match response.status() {
        StatusCode::NO_CONTENT => println!("released: {fingerprint}"),
        StatusCode::NOT_FOUND => miette::bail!("{} refuses no request with fingerprint {fingerprint}", args.peer),
        status => miette::bail!("{} answered {status}; is it an entry's `peer_addr`?", args.peer),
    }
    Ok(())
}

fn render(listed: &[QuarantinedRequest]) -> String {
    if listed.is_empty() {
        return "no request is refused\n".to_owned();
    }
    let line = |one: &QuarantinedRequest| {
        let crashes = one.crashes.iter().map(|(id, age_ms)| format!("{id} ({} s ago)", age_ms / MS_PER_S));
        let crashes = crashes.collect::<Vec<_>>().join(", ");
        let crashes = if crashes.is_empty() { "known from the log".to_owned() } else { crashes };
        format!(
            "{}  {} s left  judged {} times  crashed: {crashes}\n",
            one.fingerprint,
            one.for_ms / MS_PER_S,
            one.times
        )
    };
    listed.iter().map(line).collect()
}

fn call(peer: SocketAddr, request: http::request::Builder, body: Bytes) -> Result<Response<Bytes>> {
    let request = request.header(http::header::HOST, peer.to_string()).body(Full::from(body)).into_diagnostic()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    let link = HttpClient::new(peer);
    let called = tokio::task::LocalSet::new().block_on(&runtime, link.call(request, TIMEOUT));
    called.map_err(|error| miette::miette!("{peer} gave no answer: {error}; name a running entry's `peer_addr`"))
}
