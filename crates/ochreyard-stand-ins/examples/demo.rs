//! The main job in one run: entries, agents, a rank group, a plain service; 200
//! mixed requests; one agent killed on the way.
//!
//! Ends with exit code 0 only if no answer was wrong, none ran twice, none ran
//! after "not run", and the sums agree.

use std::collections::BTreeMap;
use std::process::ExitCode;

use ochreyard_stand_ins::cluster::{Cluster, EndpointAt, intent, wait_until};
use ochreyard_stand_ins::load::{self, Fate};

const REQUESTS: usize = 200;
const KILL_AT: usize = 80;
const RESTART_AT: usize = 140;
const AT_A_TIME: usize = 10;
const WORKSPACES: [&str; 3] = ["resort-a", "resort-b", "resort-c"];

#[tokio::main]
async fn main() -> ExitCode {
    let mut cluster = Cluster::new();
    let dc = "nantou-1";
    let platform = cluster.start_platform().await;
    let mut entries = Vec::new();
    for name in ["entry-1", "entry-2"] {
        entries.push(cluster.start_entry(name, dc, &platform, "log_poll_ms: 100\nheartbeat_ms: 200").await);
    }
    let group = cluster.start_rank_group("group", 4, 5).await;
    let mut plains = Vec::new();
    let mut endpoints = vec![("group-1", "trail-map", group)];
    for (endpoint, name) in [("lifts-1", "lifts-a"), ("lifts-2", "lifts-b")] {
        let url = cluster.start_plain(name).await;
        plains.push(url.clone());
        endpoints.push((endpoint, "lifts", url));
    }
    let mut placed = Vec::new();
    for (endpoint, service, url) in &endpoints {
        let agent_addr = cluster.addr();
        let at = EndpointAt {
            endpoint: (*endpoint).into(),
            service: (*service).into(),
            data_centre: dc.into(),
            agent_addr,
            slots: 16,
        };
        cluster.start_agent(&at, url, "").await;
        placed.push(at);
    }
    let version = cluster.apply(&entries[0].1, &intent(&[dc], &["trail-map"], &["lifts"], &WORKSPACES, &placed)).await;
    println!("demo: configuration version {version} confirmed");
    for (_, operators) in &entries {
        cluster.wait_alive(operators, &["group-1", "lifts-1", "lifts-2"], version).await;
    }
    wait_for_keys(&cluster, &entries[0].0).await;

    let mut fates: Vec<(usize, Fate)> = Vec::new();
    for start in (0..REQUESTS).step_by(AT_A_TIME) {
        if start == KILL_AT {
            println!("demo: killing the agent of lifts-2");
            cluster.kill("agent-lifts-2").await;
        }
        if start == RESTART_AT {
            println!("demo: starting it again, with nothing kept");
            cluster.restart("agent-lifts-2").await;
            cluster.wait_alive(&entries[0].1, &["lifts-2"], version).await;
        }
        let mut batch = tokio::task::JoinSet::new();
        for number in start..start + AT_A_TIME {
            let http = cluster.http().clone();
            let entry = entries[number % entries.len()].0.clone();
            batch.spawn(async move { (number, send(&http, &entry, number).await) });
        }
        fates.extend(batch.join_all().await);
    }
    conclude(&cluster, &plains, &fates).await
}

/// An agent that has just started takes no key that may be older than itself;
/// waits until fresh keys are taken at both homes.
async fn wait_for_keys(cluster: &Cluster, entry: &str) {
    const IN_A_ROW: u32 = 8;
    let mut taken = 0;
    wait_until("fresh keys are taken", async || {
        let key = uuid::Uuid::now_v7().to_string();
        let fate = load::save(cluster.http(), entry, WORKSPACES[0], "lifts", "warm-up", &key).await;
        taken = if fate == Fate::Whole { taken + 1 } else { 0 };
        taken >= IN_A_ROW
    })
    .await;
}

async fn send(http: &reqwest::Client, entry: &str, number: usize) -> Fate {
    let workspace = WORKSPACES[number % WORKSPACES.len()];
    match number % 4 {
        0 => load::prompt(http, entry, workspace, "trail-map", &format!("run {number}"), true).await,
        1 => load::prompt(http, entry, workspace, "trail-map", &format!("run {number}"), false).await,
        2 => load::fetch(http, entry, workspace, "lifts").await,
        _ => {
            let key = uuid::Uuid::now_v7().to_string();
            load::save(http, entry, workspace, "lifts", &notice(number), &key).await
        }
    }
}

fn notice(number: usize) -> String {
    format!("closure-{number}")
}

async fn conclude(cluster: &Cluster, plains: &[String], fates: &[(usize, Fate)]) -> ExitCode {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for url in plains {
        let counted = cluster.get_json(&format!("{url}/runs")).await;
        for (body, count) in counted.as_object().into_iter().flatten() {
            *runs.entry(body.clone()).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    let count = |fate: Fate| fates.iter().filter(|(_, f)| *f == fate).count();
    let ran = |number: usize| runs.get(&notice(number)).copied().unwrap_or(0);
    let lied = fates.iter().filter(|(number, fate)| *fate == Fate::NotRun && ran(*number) > 0).count();
    let doubled = runs.iter().filter(|(body, count)| body.starts_with("closure-") && **count > 1).count();
    let (whole, not_run, may_have_run) = (count(Fate::Whole), count(Fate::NotRun), count(Fate::MayHaveRun));
    let wrong = count(Fate::Wrong) + lied;
    let sums_agree = fates.len() == REQUESTS && whole + not_run + may_have_run + count(Fate::Wrong) == REQUESTS;
    println!(
        "demo: sent={REQUESTS} whole={whole} refused_not_run={not_run} may_have_run={may_have_run} wrong={wrong} doubled={doubled}"
    );
    if wrong == 0 && doubled == 0 && sums_agree { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
