//! The main job in one run: entries, agents, a rank group, a plain service; 200
//! mixed requests; one agent killed on the way.
//!
//! Ends with exit code 0 only if no answer was wrong, none ran twice, none ran
//! after "not run", and the sums agree.

use std::process::ExitCode;

use ochreyard_stand_ins::load::{self, Fate};
use ochreyard_stand_ins::site::{MODEL, PLAIN, Site, SiteSpec, WORKSPACES, fresh_key};

const REQUESTS: usize = 200;
const KILL_AT: usize = 80;
const RESTART_AT: usize = 140;
const AT_A_TIME: usize = 10;
const VICTIM: &str = "agent-plain-2";

#[tokio::main]
async fn main() -> ExitCode {
    let dc = "nantou-1";
    let spec =
        SiteSpec { entries: vec![dc; 2], groups: vec![dc], plains: vec![dc; 2], slots: 16, ..SiteSpec::default() };
    let mut site = Site::start(&spec).await;
    println!("demo: configuration version {} confirmed", site.version);
    site.wait_for_keys().await;

    let mut fates: Vec<(usize, Fate)> = Vec::new();
    for start in (0..REQUESTS).step_by(AT_A_TIME) {
        if start == KILL_AT {
            println!("demo: killing {VICTIM}");
            site.cluster.kill(VICTIM).await;
        }
        if start == RESTART_AT {
            println!("demo: starting it again, with nothing kept");
            site.cluster.restart(VICTIM).await;
            site.wait_alive().await;
        }
        let mut batch = tokio::task::JoinSet::new();
        for number in start..start + AT_A_TIME {
            let http = site.cluster.http().clone();
            let entry = site.entries[number % site.entries.len()].callers.clone();
            batch.spawn(async move { (number, send(&http, &entry, number).await) });
        }
        fates.extend(batch.join_all().await);
    }
    conclude(&site, &fates).await
}

async fn send(http: &reqwest::Client, entry: &str, number: usize) -> Fate {
    let workspace = WORKSPACES[number % WORKSPACES.len()];
    match number % 4 {
        0 => load::prompt(http, entry, workspace, MODEL, &format!("run {number}"), true).await,
        1 => load::prompt(http, entry, workspace, MODEL, &format!("run {number}"), false).await,
        2 => load::fetch(http, entry, workspace, PLAIN).await,
        _ => load::save(http, entry, workspace, PLAIN, &notice(number), &fresh_key()).await,
    }
}

fn notice(number: usize) -> String {
    format!("closure-{number}")
}

async fn conclude(site: &Site, fates: &[(usize, Fate)]) -> ExitCode {
    let count = |fate: Fate| fates.iter().filter(|(_, f)| *f == fate).count();
    let (mut lied, mut doubled) = (0, 0);
    for (number, fate) in fates {
        let runs = site.runs(&notice(*number)).await;
        lied += usize::from(*fate == Fate::NotRun && runs > 0);
        doubled += usize::from(runs > 1);
    }
    let (whole, not_run, may_have_run) = (count(Fate::Whole), count(Fate::NotRun), count(Fate::MayHaveRun));
    let wrong = count(Fate::Wrong) + lied;
    let sums_agree = fates.len() == REQUESTS && whole + not_run + may_have_run + count(Fate::Wrong) == REQUESTS;
    println!(
        "demo: sent={REQUESTS} whole={whole} refused_not_run={not_run} may_have_run={may_have_run} wrong={wrong} doubled={doubled}"
    );
    if wrong == 0 && doubled == 0 && sums_agree { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
