//! Planned stops cut off nothing, and a leaving endpoint gets no new work.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use ochreyard_stand_ins::cluster::wait_until;
use ochreyard_stand_ins::load::{self, Fate};
use ochreyard_stand_ins::site::{MODEL, PLAIN, Site, SiteSpec, WORKSPACES};
use rstest::rstest;
use serde_json::json;
use tokio::task::JoinSet;

const DC: &str = "windhoek-1";
const CALLERS: usize = 12;
/// Tokens of a long stream: some 60 steps of 5 ms.
const LONG: u64 = 60;

fn spec() -> SiteSpec {
    SiteSpec {
        entries: vec![DC, DC],
        groups: vec![DC, DC],
        plains: vec![DC, DC],
        slots: 64,
        entry_extra: "drain_grace_ms: 300".into(),
        ..SiteSpec::default()
    }
}

/// Callers that send one long stream after the other until told to stop, and
/// that come back at once through the other entry when an entry refuses.
struct Load {
    go_on: Arc<AtomicBool>,
    whole: Arc<AtomicU64>,
    callers: JoinSet<Vec<Fate>>,
}

impl Load {
    fn start(site: &Site) -> Self {
        let (go_on, whole) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicU64::new(0)));
        let mut callers = JoinSet::new();
        for caller in 0..CALLERS {
            let (go_on, whole) = (Arc::clone(&go_on), Arc::clone(&whole));
            let http = site.cluster.http().clone();
            let entries: Vec<String> = site.entries.iter().map(|entry| entry.callers.clone()).collect();
            callers.spawn(async move {
                let mut cut = Vec::new();
                let mut number = 0;
                while go_on.load(Ordering::Relaxed) {
                    number += 1;
                    let entry = &entries[(caller + number) % entries.len()];
                    let text = format!("caller {caller} number {number}");
                    match load::prompt_of(&http, entry, WORKSPACES[caller % 3], MODEL, &text, true, LONG).await {
                        Fate::Whole => drop(whole.fetch_add(1, Ordering::Relaxed)),
                        Fate::NotRun => {}
                        fate => cut.push(fate),
                    }
                }
                cut
            });
        }
        Self { go_on, whole, callers }
    }

    /// Waits until `more` further streams have come back whole.
    async fn wait_for_more(&self, more: u64) {
        let goal = self.whole.load(Ordering::Relaxed) + more;
        wait_until("streams come back", async || self.whole.load(Ordering::Relaxed) >= goal).await;
    }

    async fn end(self) -> Vec<Fate> {
        self.go_on.store(false, Ordering::Relaxed);
        self.callers.join_all().await.concat()
    }
}

#[rstest]
#[case::an_agent(&["agent-group-1"])]
#[case::both(&["agent-group-1", "entry-1"])]
#[tokio::test]
async fn a_planned_stop_under_load_cuts_off_no_request(#[case] victims: &[&str]) {
    let mut site = Site::start(&spec()).await;
    let load = Load::start(&site);
    load.wait_for_more(20).await;
    for victim in victims {
        site.cluster.terminate(victim).await;
    }
    for victim in victims {
        assert!(site.cluster.wait_ended(victim).await, "{victim} ends well");
    }
    if victims.contains(&"entry-1") {
        // Its callers are told by the closed port; what was under way has ended.
        let cut = load.end().await;
        let refused_by_port = cut.len();
        assert!(cut.iter().all(|fate| *fate == Fate::MayHaveRun), "{cut:?}");
        let broken = site.cluster.get_json(&format!("{}/control/state", site.url("group-2"))).await;
        assert_eq!(broken["cancelled"], 0, "{refused_by_port} refused by the closed port");
        return;
    }
    load.wait_for_more(20).await;
    assert_eq!(load.end().await, []);
}

#[tokio::test]
async fn an_entry_that_stops_finishes_long_streams_and_refuses_new_work_as_not_run() {
    let mut site = Site::start(&spec()).await;
    let (http, entry) = (site.cluster.http().clone(), site.entries[0].callers.clone());
    let long = {
        let (http, entry) = (http.clone(), entry.clone());
        tokio::spawn(async move { load::prompt_of(&http, &entry, WORKSPACES[0], MODEL, "long", true, 600).await })
    };
    let state = format!("{}/control/state", site.url("group-1"));
    let other = format!("{}/control/state", site.url("group-2"));
    wait_until("the stream runs", async || {
        let (one, two) = (site.cluster.get_json(&state).await, site.cluster.get_json(&other).await);
        one["running"].as_u64().unwrap() + two["running"].as_u64().unwrap() == 1
    })
    .await;
    site.cluster.terminate("entry-1").await;
    wait_until("readiness fails", async || {
        http.get(format!("{entry}/readyz")).send().await.is_ok_and(|answer| answer.status() == 503)
    })
    .await;
    wait_until("new work is refused", async || load::fetch(&http, &entry, WORKSPACES[0], PLAIN).await == Fate::NotRun)
        .await;
    assert_eq!(long.await.unwrap(), Fate::Whole);
    assert!(site.cluster.wait_ended("entry-1").await);
}

#[tokio::test]
async fn a_leaving_endpoint_gets_no_new_work_and_callers_notice_nothing() {
    let mut site = Site::start(&spec()).await;
    site.cluster.fault(site.url("plain-1"), json!({ "slow_ms": 400 })).await;
    let (http, entry) = (site.cluster.http().clone(), site.entries[0].callers.clone());
    let mut under_way = JoinSet::new();
    for _ in 0..8 {
        let (http, entry) = (http.clone(), entry.clone());
        under_way.spawn(async move { load::fetch(&http, &entry, WORKSPACES[0], PLAIN).await });
    }
    site.cluster.terminate("agent-plain-1").await;
    for _ in 0..20 {
        assert_eq!(load::fetch(&http, &entry, WORKSPACES[1], PLAIN).await, Fate::Whole);
    }
    assert_eq!(under_way.join_all().await, vec![Fate::Whole; 8]);
    assert!(site.cluster.wait_ended("agent-plain-1").await);
}

#[tokio::test]
async fn the_platforms_list_keeps_new_work_away_from_a_leaving_box() {
    let site = Site::start(&spec()).await;
    let list = json!([{ "box": "b1", "data_centre": DC, "endpoint": "plain-1", "state": "leaving" }]);
    site.cluster.http().put(format!("{}/boxes", site.platform)).json(&list).send().await.unwrap();
    for entry in 0..2 {
        wait_until("the entry knows", async || {
            let status = site.status(entry).await.unwrap();
            status.endpoints.iter().any(|row| row.endpoint == "plain-1" && row.health == "leaving")
        })
        .await;
    }
    let runs = format!("{}/runs", site.url("plain-1"));
    let before = site.cluster.get_json(&runs).await;
    for number in 0..20 {
        let fate = load::fetch(site.cluster.http(), &site.entries[number % 2].callers, WORKSPACES[0], PLAIN).await;
        assert_eq!(fate, Fate::Whole);
    }
    assert_eq!(site.cluster.get_json(&runs).await, before);
}
