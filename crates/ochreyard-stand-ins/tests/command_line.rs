//! The operators' command line against running entries.

use std::process::Output;

use ochreyard_stand_ins::load::{self, Fate};
use ochreyard_stand_ins::site::{PLAIN, Site, SiteSpec, WORKSPACES};
use tokio::process::Command;

const DC: &str = "windhoek-1";

async fn ochreyard(site: &Site, args: &[&str]) -> Output {
    let token = site.cluster.dir().join("operator-token");
    let mut command = Command::new(site.cluster.program("ochreyard"));
    command.args(args).arg("--token-file").arg(token);
    command.output().await.unwrap()
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

#[tokio::test]
async fn an_operator_plans_confirms_looks_and_reports() {
    let spec = SiteSpec { entries: vec![DC, DC], plains: vec![DC], slots: 8, ..SiteSpec::default() };
    let mut site = Site::start(&spec).await;
    let entry = site.entries[0].operators.clone();
    let intent = site.cluster.dir().join("intent.yaml");
    std::fs::write(&intent, "services: [{service: lifts, kind: plain, first_byte_ms: 700}]").unwrap();
    let intent = intent.to_str().unwrap().to_owned();

    let plan = ochreyard(&site, &["plan", &intent, "--entry", &entry]).await;
    assert!(plan.status.success(), "{}", text(&plan));
    let shown = text(&plan);
    assert!(shown.contains("replace service/lifts on plain-1"), "{shown}");
    let id = shown.lines().find_map(|line| line.strip_prefix("plan ")).unwrap().to_owned();

    // Any entry can confirm; nothing has changed before.
    let other = site.entries[1].operators.clone();
    let confirmed = ochreyard(&site, &["confirm", &id, "--entry", &other]).await;
    assert!(text(&confirmed).starts_with("confirmed: version "), "{}", text(&confirmed));
    let unknown = ochreyard(&site, &["confirm", "p-none", "--entry", &other]).await;
    assert_eq!(unknown.status.code(), Some(1));
    assert!(text(&unknown).contains("plan_unknown"));

    for number in 0..10 {
        let fate = load::fetch(site.cluster.http(), &site.entries[number % 2].callers, WORKSPACES[0], PLAIN).await;
        assert_eq!(fate, Fate::Whole);
    }
    let status = ochreyard(&site, &["status", "--entry", &entry]).await;
    assert!(text(&status).contains("plain-1"), "{}", text(&status));

    // The report joins both entries.
    let report = ochreyard(&site, &["report", "burn", "--entry", &entry, "--entry", &other, "--json"]).await;
    let value: serde_json::Value = serde_json::from_slice(&report.stdout).unwrap();
    assert_eq!(value["rows"][0]["requests"], 10);
    assert_eq!(value["rows"][0]["met"], 10);

    // And names those that it could not reach.
    site.cluster.kill("entry-2").await;
    let partial = ochreyard(&site, &["report", "burn", "--entry", &entry, "--entry", &other]).await;
    let shown = text(&partial);
    assert!(shown.contains("BUDGET SPENT") && shown.contains(&format!("not reached: {other}")), "{shown}");
}

#[tokio::test]
async fn a_bad_intent_is_answered_with_its_fields() {
    let spec = SiteSpec { entries: vec![DC], plains: vec![DC], slots: 8, ..SiteSpec::default() };
    let site = Site::start(&spec).await;
    let intent = site.cluster.dir().join("bad.yaml");
    std::fs::write(&intent, "endpoints: [{endpoint: e, service: no, data_centre: mars, agent_addr: '10.0.0.1:1'}]")
        .unwrap();
    let entry = site.entries[0].operators.clone();
    let output = ochreyard(&site, &["plan", intent.to_str().unwrap(), "--entry", &entry]).await;
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output).contains("endpoints/e/service"), "{}", text(&output));
}
