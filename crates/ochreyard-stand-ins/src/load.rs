//! Sends requests as a caller and classifies their outcomes.

use std::time::Duration;

use reqwest::{Client, RequestBuilder};
use serde_json::Value;

use crate::cluster::workspace_token;
use crate::rank_group::complete_text;

/// The outcome of one request, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// The complete answer to this request.
    Complete,
    /// A refusal with `ochreyard-run: not-run`.
    NotRun,
    /// Any other failure: the request ran, or may have run.
    MayHaveRun,
    /// A successful answer that is not the complete answer to this request.
    Wrong,
}

/// Sends a prompt for 8 tokens, streamed if `stream`, and checks the answer.
pub async fn prompt(
    http: &Client,
    entry_url: &str,
    workspace: &str,
    service: &str,
    text: &str,
    stream: bool,
) -> RequestOutcome {
    prompt_with_max_tokens(http, entry_url, workspace, service, text, stream, 8).await
}

/// Sends a prompt for `tokens` tokens, streamed if `stream`, and checks the answer.
pub async fn prompt_with_max_tokens(
    http: &Client,
    entry_url: &str,
    workspace: &str,
    service: &str,
    text: &str,
    stream: bool,
    tokens: u64,
) -> RequestOutcome {
    let body =
        serde_json::json!({ "model": service, "prompt": text, "stream": stream, "max_tokens": tokens }).to_string();
    let request = http.post(format!("{entry_url}/v1/completions")).bearer_auth(workspace_token(workspace));
    let request = request.header("content-type", "application/json").body(body.clone());
    let expected = complete_text(&body, tokens);
    let answer_text = if stream { streamed_text } else { complete_answer_text };
    send_and_classify(request, |answer| answer_text(answer).as_deref() == Some(&expected)).await
}

/// Sends `text` to a plain service with an idempotency key and checks the answer.
pub async fn save(
    http: &Client,
    entry_url: &str,
    workspace: &str,
    service: &str,
    text: &str,
    key: &str,
) -> RequestOutcome {
    let request = http.post(format!("{entry_url}/{service}/save")).bearer_auth(workspace_token(workspace));
    let request = request.header("idempotency-key", key).body(text.to_owned());
    send_and_classify(request, |answer| answer.ends_with(&format!("workspace={workspace} body={text}"))).await
}

/// Sends a GET request to a plain service and checks the answer.
pub async fn fetch(http: &Client, entry_url: &str, workspace: &str, service: &str) -> RequestOutcome {
    let request = http.get(format!("{entry_url}/{service}/form")).bearer_auth(workspace_token(workspace));
    send_and_classify(request, |answer| answer.contains(&format!("workspace={workspace} "))).await
}

async fn send_and_classify(request: RequestBuilder, is_expected: impl Fn(&str) -> bool) -> RequestOutcome {
    let Ok(response) = request.timeout(Duration::from_secs(90)).send().await else {
        return RequestOutcome::MayHaveRun;
    };
    let is_success = response.status().is_success();
    let says_not_run = response.headers().get("ochreyard-run").is_some_and(|value| value == "not-run");
    let body = response.text().await;
    match (is_success, body) {
        (true, Ok(answer)) if is_expected(&answer) => RequestOutcome::Complete,
        (true, Ok(_)) => RequestOutcome::Wrong,
        (false, _) if says_not_run => RequestOutcome::NotRun,
        _ => RequestOutcome::MayHaveRun,
    }
}

fn complete_answer_text(answer: &str) -> Option<String> {
    let value: Value = serde_json::from_str(answer).ok()?;
    Some(value["choices"][0]["message"]["content"].as_str()?.to_owned())
}

/// Returns the text of a stream, or `None` if the stream did not end with its end marker.
fn streamed_text(answer: &str) -> Option<String> {
    let events = answer.strip_suffix("data: [DONE]\n\n")?;
    let token = |event: &str| {
        let value: Value = serde_json::from_str(event.strip_prefix("data: ")?).ok()?;
        Some(value["choices"][0]["delta"]["content"].as_str()?.to_owned())
    };
    events.split_terminator("\n\n").map(token).collect()
}
