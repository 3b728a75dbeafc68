//! Measures the real processes on loopback.
//!
//! `cargo build --release --workspace --bins --examples`, then
//! `target/release/examples/measure routing|path|memory|frames|config|fairness|overload`.
//! Each measurement prints one line of key=value pairs per case.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use ochreyard_core::hash;
use ochreyard_stand_ins::cluster::workspace_token;
use ochreyard_stand_ins::load::{self, RequestOutcome};
use ochreyard_stand_ins::rank_group::GroupConfig;
use ochreyard_stand_ins::site::{MODEL, PLAIN, Site, SiteSpec, WORKSPACES};
use reqwest::Client;
use serde_json::json;
use tokio::task::JoinSet;

const DC: &str = "nantou-1";

#[tokio::main]
async fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("routing") => routing().await,
        Some("path") => path().await,
        Some("memory") => memory().await,
        Some("frames") => frames().await,
        Some("config") => config().await,
        Some("fairness") => fairness().await,
        Some("overload") => overload().await,
        _ => eprintln!("usage: measure routing|path|memory|frames|config|fairness|overload"),
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120_000_000, 3).expect("the bounds of the histogram are valid")
}

fn ms(value_us: u64) -> f64 {
    value_us as f64 / 1000.0
}

fn elapsed_us(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX).max(1)
}

/// The result of one streamed prompt.
struct PromptTiming {
    /// Time to the first bytes of the answer, in microseconds; `None` if the answer was refused or broke off.
    first_us: Option<u64>,
    /// Whether the answer has a `retry-after` header.
    retry_after: bool,
}

async fn first_token(http: &Client, entry: &str, workspace: &str, body: String) -> PromptTiming {
    let started = Instant::now();
    let request = http.post(format!("{entry}/v1/completions")).bearer_auth(workspace_token(workspace)).body(body);
    let Ok(mut answer) = request.send().await else { return PromptTiming { first_us: None, retry_after: false } };
    let retry_after = answer.headers().contains_key("retry-after");
    if !answer.status().is_success() {
        return PromptTiming { first_us: None, retry_after };
    }
    let mut first_us = None;
    loop {
        match answer.chunk().await {
            Ok(Some(_)) => first_us = first_us.or(Some(elapsed_us(started))),
            Ok(None) => return PromptTiming { first_us, retry_after },
            Err(_) => return PromptTiming { first_us: None, retry_after },
        }
    }
}

/// Sends prompts at `rate` per second with pseudo-random exponential gaps, without waiting for earlier ones to end.
async fn open_loop_load(
    site: &Site,
    rate: f64,
    seconds: f64,
    make_prompt: impl Fn(u64) -> (String, String, String),
) -> Vec<PromptTiming> {
    let mut in_flight = JoinSet::new();
    let started = Instant::now();
    let mut send_at_s = 0.0;
    let mut number = 0;
    while send_at_s < seconds {
        let uniform = (hash::mix(number ^ 0xabcd) >> 11) as f64 / (1u64 << 53) as f64;
        send_at_s += -(1.0 - uniform).ln() / rate;
        tokio::time::sleep_until((started + Duration::from_secs_f64(send_at_s)).into()).await;
        let http = site.cluster.http().clone();
        let (entry, workspace, body) = make_prompt(number);
        in_flight.spawn(async move { first_token(&http, &entry, &workspace, body).await });
        number += 1;
    }
    in_flight.join_all().await
}

/// Returns the body of a prompt of one of `conversations` conversations; prompts of one conversation share a long prefix.
fn conversation(number: u64, conversations: u64, tokens: u64) -> String {
    let conversation = hash::mix(number) % conversations;
    let prefix = format!("conversation {conversation} ").repeat(20);
    json!({ "model": MODEL, "prompt": format!("{prefix} question {number}"), "stream": true, "max_tokens": tokens })
        .to_string()
}

async fn routing() {
    const GROUPS: usize = 16;
    const BATCH: usize = 4;
    const TOKENS: u64 = 24;
    const PREFILL: u64 = 12;
    const CONVERSATIONS: u64 = 160;
    let group_config =
        GroupConfig { ranks: 4, step_ms: 5, max_batch: BATCH, prefill_steps: PREFILL, cached_prompts: 16 };
    // Steps of 5 ms take about 6.2 ms with the timer. The capacity is computed without the prefix cache.
    let service_time_s = (TOKENS + PREFILL) as f64 * 0.0062;
    let rate = 0.8 * GROUPS as f64 * BATCH as f64 / service_time_s;
    for (case, heartbeat_ms) in [("usual", 250), ("slow_rank", 250), ("reports_2s_old", 2_000)] {
        for policy in ["round_robin", "least_reported", "predicted"] {
            // A second argument selects cases and policies by a part of `case/policy`.
            let filter = std::env::args().nth(2).unwrap_or_default();
            if !format!("{case}/{policy}").contains(&filter) {
                continue;
            }
            let spec = SiteSpec {
                entries: vec![DC, DC],
                groups: vec![DC; GROUPS],
                group_config,
                slots: BATCH as u32,
                extra_entry_settings: format!("routing: {policy}"),
                extra_agent_settings: "queue_limit_per_workspace: 500".into(),
                heartbeat_ms,
                ..SiteSpec::default()
            };
            let site = Site::start(&spec).await;
            if case == "slow_rank" {
                let fault = json!({ "stalled_rank": 1, "stall_ms": 5 });
                site.cluster.set_fault(site.url("group-1"), fault).await;
            }
            let pick = |number: u64| {
                let entry = site.entries[number as usize % 2].callers_url.clone();
                (entry, WORKSPACES[number as usize % 3].to_owned(), conversation(number, CONVERSATIONS, TOKENS))
            };
            open_loop_load(&site, rate / 2.0, 2.0, pick).await;
            let samples = open_loop_load(&site, rate, 8.0, pick).await;
            let mut times = histogram();
            samples.iter().filter_map(|timing| timing.first_us).for_each(|us| times.saturating_record(us));
            let (mut hits, mut started) = (0, 0);
            for (endpoint, url) in &site.endpoints {
                if endpoint.service == MODEL {
                    let state = site.cluster.get_json(&format!("{url}/control/state")).await;
                    hits += state["cache_hits"].as_u64().unwrap_or(0);
                    started += state["started"].as_u64().unwrap_or(0);
                }
            }
            println!(
                "measure=routing case={case} policy={policy} rate={rate:.0} sent={} whole={} first_p50_ms={:.1} first_p95_ms={:.1} first_p99_ms={:.1} cache_hit_share={:.3}",
                samples.len(),
                times.len(),
                ms(times.value_at_quantile(0.50)),
                ms(times.value_at_quantile(0.95)),
                ms(times.value_at_quantile(0.99)),
                hits as f64 / f64::max(started as f64, 1.0)
            );
        }
    }
}

/// Sends requests to one URL from `callers` callers, each of which waits for an answer before its next request. Returns
/// the latencies and the rate of successful requests per second.
async fn closed_loop_load(
    http: &Client,
    url: &str,
    token: &str,
    callers: usize,
    seconds: f64,
) -> (Histogram<u64>, f64) {
    let mut in_flight = JoinSet::new();
    let started = Instant::now();
    for _ in 0..callers {
        let (http, url, token) = (http.clone(), url.to_owned(), token.to_owned());
        in_flight.spawn(async move {
            let mut times = histogram();
            while started.elapsed().as_secs_f64() < seconds {
                let sent = Instant::now();
                let answer = http.get(&url).bearer_auth(&token).send().await;
                if let Ok(answer) = answer
                    && answer.status().is_success()
                    && answer.bytes().await.is_ok()
                {
                    times.saturating_record(elapsed_us(sent));
                }
            }
            times
        });
    }
    let mut all_times = histogram();
    for times in in_flight.join_all().await {
        let _ = all_times.add(times);
    }
    let rate = all_times.len() as f64 / started.elapsed().as_secs_f64();
    (all_times, rate)
}

async fn path() {
    let spec = SiteSpec { entries: vec![DC], plains: vec![DC], slots: 4096, ..SiteSpec::default() };
    let site = Site::start(&spec).await;
    let token = workspace_token(WORKSPACES[0]);
    let direct = format!("{}/form", site.url("plain-1"));
    let through = format!("{}/{PLAIN}/form", site.entries[0].callers_url);
    for callers in [1, 32] {
        for (name, url) in [("direct", &direct), ("through", &through)] {
            closed_loop_load(site.cluster.http(), url, &token, callers, 1.0).await;
            let before = (site.cluster.usage("entry-1").1, site.cluster.usage("agent-plain-1").1);
            let (times, rate) = closed_loop_load(site.cluster.http(), url, &token, callers, 5.0).await;
            let after = (site.cluster.usage("entry-1").1, site.cluster.usage("agent-plain-1").1);
            let cpu_us = |ticks: u64| ticks as f64 * 10_000.0 / times.len().max(1) as f64;
            println!(
                "measure=path case={name} callers={callers} requests={} rate={rate:.0} p50_ms={:.3} p99_ms={:.3} entry_cpu_us={:.0} agent_cpu_us={:.0}",
                times.len(),
                ms(times.value_at_quantile(0.5)),
                ms(times.value_at_quantile(0.99)),
                cpu_us(after.0 - before.0),
                cpu_us(after.1 - before.1)
            );
        }
    }
}

async fn memory() {
    let spec = SiteSpec { entries: vec![DC], groups: vec![DC], plains: vec![DC], slots: 2048, ..SiteSpec::default() };
    let site = Site::start(&spec).await;
    let print = |case: &str| {
        println!(
            "measure=memory case={case} entry_kib={} agent_kib={}",
            site.cluster.usage("entry-1").0,
            site.cluster.usage("agent-group-1").0
        );
    };
    let idle = (site.cluster.usage("entry-1").1, site.cluster.usage("agent-group-1").1);
    tokio::time::sleep(Duration::from_secs(10)).await;
    let later = (site.cluster.usage("entry-1").1, site.cluster.usage("agent-group-1").1);
    println!(
        "measure=idle_cpu seconds=10 heartbeat_ms=100 agents=2 entry_ticks_10ms={} agent_ticks_10ms={}",
        later.0 - idle.0,
        later.1 - idle.1
    );
    print("idle");
    let mut streams = JoinSet::new();
    for number in 0..1_000 {
        let (http, entry) = (site.cluster.http().clone(), site.entries[0].callers_url.clone());
        streams.spawn(async move {
            load::prompt_with_max_tokens(&http, &entry, WORKSPACES[number % 3], MODEL, &format!("s{number}"), true, 800)
                .await
        });
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    print("streams_1000");
    let outcomes = streams.join_all().await;
    println!(
        "measure=memory streams_whole={}",
        outcomes.iter().filter(|outcome| **outcome == RequestOutcome::Complete).count()
    );
    // Measures the memory for configured state: 1000 workspaces, each with 10 services.
    let services: String = (0..10).map(|n| format!("  - {{service: svc-{n}, kind: plain}}\n")).collect();
    let names: Vec<String> = (0..10).map(|n| format!("svc-{n}")).collect();
    let mut intent = format!("services:\n{services}workspaces:\n");
    for number in 0..1_000 {
        let hash = hash::sha256_hex(&format!("many-{number}"));
        intent += &format!(
            "  - {{workspace: many-{number}, token_sha256: {hash}, services: [{}], run_in: [{DC}], keep_in: [{DC}]}}\n",
            names.join(", ")
        );
    }
    let version = site.cluster.apply_intent(&site.entries[0].operators_url, &intent).await;
    site.cluster.wait_until_alive(&site.entries[0].operators_url, &["group-1", "plain-1"], version).await;
    print("workspaces_1000_services_10");
}

/// Measures the processor time per streamed token.
async fn frames() {
    const STREAMS: u64 = 200;
    const TOKENS: u64 = 1_000;
    let spec = SiteSpec { entries: vec![DC], groups: vec![DC], slots: 2048, ..SiteSpec::default() };
    let site = Site::start(&spec).await;
    let before = (site.cluster.usage("entry-1").1, site.cluster.usage("agent-group-1").1);
    let mut streams = JoinSet::new();
    for number in 0..STREAMS {
        let (http, entry) = (site.cluster.http().clone(), site.entries[0].callers_url.clone());
        let text = format!("s{number}");
        streams.spawn(async move {
            load::prompt_with_max_tokens(&http, &entry, WORKSPACES[0], MODEL, &text, true, TOKENS).await
        });
    }
    let complete = streams.join_all().await.iter().filter(|outcome| **outcome == RequestOutcome::Complete).count();
    let after = (site.cluster.usage("entry-1").1, site.cluster.usage("agent-group-1").1);
    let us_per_token = |ticks: u64| ticks as f64 * 10_000.0 / (STREAMS * TOKENS) as f64;
    println!(
        "measure=frames streams={STREAMS} tokens={TOKENS} whole={complete} entry_cpu_us_per_token={:.1} agent_cpu_us_per_token={:.1}",
        us_per_token(after.0 - before.0),
        us_per_token(after.1 - before.1)
    );
}

async fn config() {
    const CHANGES: u64 = 20;
    let spec = SiteSpec {
        entries: vec![DC; 4],
        groups: vec![DC; 8],
        plains: vec![DC; 2],
        slots: 8,
        heartbeat_ms: 1_000,
        log_poll_ms: Some(500),
        ..SiteSpec::default()
    };
    let mut site = Site::start(&spec).await;
    let mut times = histogram();
    let sent_before = config_sent_bytes(&site).await;
    for change in 0..CHANGES {
        let intent = format!("services: [{{service: {PLAIN}, kind: plain, first_byte_ms: {}}}]", 700 + change);
        let started = Instant::now();
        site.version = site.cluster.apply_intent(&site.entries[0].operators_url, &intent).await;
        site.wait_until_alive().await;
        times.saturating_record(elapsed_us(started));
    }
    let sent = config_sent_bytes(&site).await - sent_before;
    println!(
        "measure=config entries=4 agents=10 log_poll_ms=500 heartbeat_ms=1000 changes={CHANGES} bytes_per_change_and_agent={:.0} in_force_p50_ms={:.0} in_force_max_ms={:.0}",
        sent as f64 / CHANGES as f64 / 10.0,
        ms(times.value_at_quantile(0.5)),
        ms(times.max())
    );
}

/// Returns the bytes of configuration that all entries have sent to agents.
async fn config_sent_bytes(site: &Site) -> u64 {
    let mut sum = 0;
    for entry in &site.entries {
        let answer = site.cluster.http().get(format!("{}/metrics", entry.callers_url)).send().await.expect("metrics");
        let text = answer.text().await.expect("metrics are text");
        let value = text.lines().find_map(|line| line.strip_prefix("ochreyard_entry_config_sent_bytes_total "));
        sum += value.and_then(|value| value.parse::<u64>().ok()).unwrap_or(0);
    }
    sum
}

/// Measures goodput and latency of a workspace within its share, alone and beside one that floods the group.
async fn fairness() {
    let spec = SiteSpec {
        entries: vec![DC, DC],
        groups: vec![DC],
        group_config: GroupConfig { max_batch: 8, ..GroupConfig::default() },
        slots: 8,
        ..SiteSpec::default()
    };
    for flood in [false, true] {
        let site = Site::start(&spec).await;
        // 8 slots and 16 tokens of 6 ms give about 80 requests per second. The third of each workspace is 27.
        let polite_rate = 20.0;
        let (polite, flooding) = (WORKSPACES[0], WORKSPACES[1]);
        let body =
            |number: u64| json!({ "model": MODEL, "prompt": number, "stream": true, "max_tokens": 16 }).to_string();
        let flood_load = async {
            if flood {
                let pick = |n: u64| (site.entries[1].callers_url.clone(), flooding.to_owned(), body(n));
                open_loop_load(&site, 270.0, 12.0, pick).await.len()
            } else {
                0
            }
        };
        let polite_load = async {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let pick = |n: u64| (site.entries[0].callers_url.clone(), polite.to_owned(), body(n));
            open_loop_load(&site, polite_rate, 10.0, pick).await
        };
        let (flood_sent, samples) = futures::future::join(flood_load, polite_load).await;
        let mut times = histogram();
        samples.iter().filter_map(|timing| timing.first_us).for_each(|us| times.saturating_record(us));
        println!(
            "measure=fairness flood={flood} flood_sent={flood_sent} polite_sent={} polite_whole={} polite_first_p50_ms={:.1} polite_first_p95_ms={:.1}",
            samples.len(),
            times.len(),
            ms(times.value_at_quantile(0.5)),
            ms(times.value_at_quantile(0.95))
        );
    }
}

/// Measures goodput at half the capacity, then at three times the capacity, then at half of it again.
async fn overload() {
    let spec = SiteSpec {
        entries: vec![DC, DC],
        groups: vec![DC, DC],
        group_config: GroupConfig { max_batch: 8, ..GroupConfig::default() },
        slots: 8,
        ..SiteSpec::default()
    };
    let site = Site::start(&spec).await;
    let body = |n: u64| json!({ "model": MODEL, "prompt": n, "stream": true, "max_tokens": 16 }).to_string();
    let next_request = Arc::new(AtomicU64::new(0));
    let pick = |n: u64| {
        let index = next_request.fetch_add(1, Ordering::Relaxed) as usize;
        (site.entries[index % 2].callers_url.clone(), WORKSPACES[index % 3].to_owned(), body(n))
    };
    let engine_starts = async || {
        let mut started = 0;
        for number in 1..=2 {
            let state = site.cluster.get_json(&format!("{}/control/state", site.url(&format!("group-{number}")))).await;
            started += state["started"].as_u64().unwrap_or(0);
        }
        started
    };
    // 16 slots and 16 tokens of 6.1 ms give about 164 requests per second.
    for (phase, rate, seconds) in [("before", 80.0, 5.0), ("overload_3x", 490.0, 30.0), ("after", 80.0, 5.0)] {
        let before = engine_starts().await;
        let phase_started = Instant::now();
        let samples = open_loop_load(&site, rate, seconds, pick).await;
        let mut times = histogram();
        samples.iter().filter_map(|timing| timing.first_us).for_each(|us| times.saturating_record(us));
        let refused = samples.iter().filter(|timing| timing.first_us.is_none()).count();
        let refused_with_retry_after =
            samples.iter().filter(|timing| timing.first_us.is_none() && timing.retry_after).count();
        println!(
            "measure=overload phase={phase} sent={} whole={} goodput={:.0} refused={refused} refused_with_retry_after={refused_with_retry_after} engine_starts={} first_p50_ms={:.1} first_p99_ms={:.1}",
            samples.len(),
            times.len(),
            times.len() as f64 / phase_started.elapsed().as_secs_f64(),
            engine_starts().await - before,
            ms(times.value_at_quantile(0.5)),
            ms(times.value_at_quantile(0.99))
        );
    }
}
