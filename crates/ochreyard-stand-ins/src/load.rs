//! Requests of callers, and what became of each.

use std::time::Duration;

use reqwest::{Client, RequestBuilder};
use serde_json::Value;

use crate::cluster::workspace_token;
use crate::rank_group::whole_text;

/// What became of one request, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fate {
    /// The whole answer to this very request.
    Whole,
    /// A refusal that says "not run".
    NotRun,
    /// Anything that leaves open, or says, that it ran.
    MayHaveRun,
    /// An answer that looks whole and is not its own.
    Wrong,
}

/// Sends a prompt, streamed or whole, and checks the answer.
pub async fn prompt(http: &Client, entry: &str, workspace: &str, service: &str, text: &str, stream: bool) -> Fate {
    prompt_of(http, entry, workspace, service, text, stream, 8).await
}

/// Sends a prompt for `tokens` tokens and checks the answer.
pub async fn prompt_of(
    http: &Client,
    entry: &str,
    workspace: &str,
    service: &str,
    text: &str,
    stream: bool,
    tokens: u64,
) -> Fate {
    let body =
        serde_json::json!({ "model": service, "prompt": text, "stream": stream, "max_tokens": tokens }).to_string();
    let request = http.post(format!("{entry}/v1/completions")).bearer_auth(workspace_token(workspace));
    let request = request.header("content-type", "application/json").body(body.clone());
    let expected = whole_text(&body, tokens);
    let read = if stream { streamed_text } else { whole_answer_text };
    fate(request, |answer| read(answer).as_deref() == Some(&expected)).await
}

/// Saves `text` at a plain service under an idempotency key.
pub async fn save(http: &Client, entry: &str, workspace: &str, service: &str, text: &str, key: &str) -> Fate {
    let request = http.post(format!("{entry}/{service}/save")).bearer_auth(workspace_token(workspace));
    let request = request.header("idempotency-key", key).body(text.to_owned());
    fate(request, |answer| answer.ends_with(&format!("workspace={workspace} body={text}"))).await
}

/// Fetches from a plain service.
pub async fn fetch(http: &Client, entry: &str, workspace: &str, service: &str) -> Fate {
    let request = http.get(format!("{entry}/{service}/form")).bearer_auth(workspace_token(workspace));
    fate(request, |answer| answer.contains(&format!("workspace={workspace} "))).await
}

async fn fate(request: RequestBuilder, is_own: impl Fn(&str) -> bool) -> Fate {
    let Ok(response) = request.timeout(Duration::from_secs(90)).send().await else {
        return Fate::MayHaveRun;
    };
    let is_success = response.status().is_success();
    let says_not_run = response.headers().get("ochreyard-run").is_some_and(|value| value == "not-run");
    let body = response.text().await;
    match (is_success, body) {
        (true, Ok(answer)) if is_own(&answer) => Fate::Whole,
        (true, Ok(_)) => Fate::Wrong,
        (false, _) if says_not_run => Fate::NotRun,
        _ => Fate::MayHaveRun,
    }
}

fn whole_answer_text(answer: &str) -> Option<String> {
    let value: Value = serde_json::from_str(answer).ok()?;
    Some(value["choices"][0]["message"]["content"].as_str()?.to_owned())
}

/// The text of a stream that came to its proper end.
fn streamed_text(answer: &str) -> Option<String> {
    let events = answer.strip_suffix("data: [DONE]\n\n")?;
    let token = |event: &str| {
        let value: Value = serde_json::from_str(event.strip_prefix("data: ")?).ok()?;
        Some(value["choices"][0]["delta"]["content"].as_str()?.to_owned())
    };
    events.split_terminator("\n\n").map(token).collect()
}
