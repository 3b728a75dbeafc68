//! Sends 200 mixed requests through entries and agents to a rank group and plain services, and kills one agent meanwhile.
//!
//! Exits with code 0 only if no answer was wrong, no request ran twice or after it was reported as not run, and the sums
//! agree.

use std::process::ExitCode;

use ochreyard_stand_ins::load::{self, RequestOutcome};
use ochreyard_stand_ins::site::{MODEL, PLAIN, Site, SiteSpec, WORKSPACES, fresh_key};

const REQUESTS: usize = 200;
const KILL_AT_REQUEST: usize = 80;
const RESTART_AT_REQUEST: usize = 140;
const BATCH_SIZE: usize = 10;
const KILLED_AGENT: &str = "agent-plain-2";

#[tokio::main]
async fn main() -> ExitCode {
    let data_centre = "nantou-1";
    let spec = SiteSpec {
        entries: vec![data_centre; 2],
        groups: vec![data_centre],
        plains: vec![data_centre; 2],
        slots: 16,
        ..SiteSpec::default()
    };
    let mut site = Site::start(&spec).await;
    println!("demo: configuration version {} confirmed", site.version);
    site.wait_until_keys_accepted().await;

    let mut outcomes: Vec<(usize, RequestOutcome)> = Vec::new();
    for batch_start in (0..REQUESTS).step_by(BATCH_SIZE) {
        if batch_start == KILL_AT_REQUEST {
            println!("demo: killing {KILLED_AGENT}");
            site.cluster.kill(KILLED_AGENT).await;
        }
        if batch_start == RESTART_AT_REQUEST {
            println!("demo: starting it again, with nothing kept");
            site.cluster.restart(KILLED_AGENT).await;
            site.wait_until_alive().await;
        }
        let mut batch = tokio::task::JoinSet::new();
        for number in batch_start..batch_start + BATCH_SIZE {
            let http = site.cluster.http().clone();
            let entry = site.entries[number % site.entries.len()].callers_url.clone();
            batch.spawn(async move { (number, send(&http, &entry, number).await) });
        }
        outcomes.extend(batch.join_all().await);
    }
    print_summary(&site, &outcomes).await
}

async fn send(http: &reqwest::Client, entry: &str, number: usize) -> RequestOutcome {
    let workspace = WORKSPACES[number % WORKSPACES.len()];
    match number % 4 {
        0 => load::prompt(http, entry, workspace, MODEL, &format!("run {number}"), true).await,
        1 => load::prompt(http, entry, workspace, MODEL, &format!("run {number}"), false).await,
        2 => load::fetch(http, entry, workspace, PLAIN).await,
        _ => load::save(http, entry, workspace, PLAIN, &closure_notice(number), &fresh_key()).await,
    }
}

fn closure_notice(number: usize) -> String {
    format!("closure-{number}")
}

async fn print_summary(site: &Site, outcomes: &[(usize, RequestOutcome)]) -> ExitCode {
    let count = |outcome: RequestOutcome| outcomes.iter().filter(|(_, other)| *other == outcome).count();
    let (mut ran_after_not_run, mut ran_twice) = (0, 0);
    for (number, outcome) in outcomes {
        let runs = site.run_count(&closure_notice(*number)).await;
        ran_after_not_run += usize::from(*outcome == RequestOutcome::NotRun && runs > 0);
        ran_twice += usize::from(runs > 1);
    }
    let (complete, not_run, may_have_run) =
        (count(RequestOutcome::Complete), count(RequestOutcome::NotRun), count(RequestOutcome::MayHaveRun));
    let wrong = count(RequestOutcome::Wrong) + ran_after_not_run;
    let sums_agree =
        outcomes.len() == REQUESTS && complete + not_run + may_have_run + count(RequestOutcome::Wrong) == REQUESTS;
    println!(
        "demo: sent={REQUESTS} whole={complete} refused_not_run={not_run} may_have_run={may_have_run} wrong={wrong} doubled={ran_twice}"
    );
    if wrong == 0 && ran_twice == 0 && sums_agree { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
