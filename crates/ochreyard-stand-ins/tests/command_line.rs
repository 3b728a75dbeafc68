//! Tests the operators' command line against running entries.

use std::process::Output;

use ochreyard_stand_ins::built_program::built_program;
use ochreyard_stand_ins::load::{self, RequestOutcome};
use ochreyard_stand_ins::site::{PLAIN, Site, SiteSpec, WORKSPACES};
use tokio::process::Command;

const DC: &str = "windhoek-1";

async fn ochreyard(site: &Site, args: &[&str]) -> Output {
    let token = site.cluster.dir().join("operator-token");
    let mut command = Command::new(built_program("ochreyard"));
    command.args(args).arg("--token-file").arg(token);
    command.output().await.unwrap()
}

fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

#[tokio::test]
async fn an_operator_plans_confirms_and_reads_status_and_report() {
    let spec = SiteSpec { entries: vec![DC, DC], plains: vec![DC], slots: 8, ..SiteSpec::default() };
    let mut site = Site::start(&spec).await;
    let entry = site.entries[0].operators_url.clone();
    let intent = site.cluster.dir().join("intent.yaml");
    std::fs::write(&intent, "services: [{service: lifts, kind: plain, first_byte_ms: 700}]").unwrap();
    let intent = intent.to_str().unwrap().to_owned();

    let plan = ochreyard(&site, &["plan", &intent, "--entry", &entry]).await;
    assert!(plan.status.success(), "{}", output_text(&plan));
    let plan_text = output_text(&plan);
    assert!(plan_text.contains("replace service/lifts on plain-1"), "{plan_text}");
    let id = plan_text.lines().find_map(|line| line.strip_prefix("plan ")).unwrap().to_owned();

    // Any entry can confirm a plan; the plan itself changes nothing.
    let other_entry = site.entries[1].operators_url.clone();
    let confirmed = ochreyard(&site, &["confirm", &id, "--entry", &other_entry]).await;
    assert!(output_text(&confirmed).starts_with("confirmed: version "), "{}", output_text(&confirmed));
    let unknown = ochreyard(&site, &["confirm", "p-none", "--entry", &other_entry]).await;
    assert_eq!(unknown.status.code(), Some(1));
    assert!(output_text(&unknown).contains("plan_unknown"));

    for number in 0..10 {
        let outcome =
            load::fetch(site.cluster.http(), &site.entries[number % 2].callers_url, WORKSPACES[0], PLAIN).await;
        assert_eq!(outcome, RequestOutcome::Complete);
    }
    let status = ochreyard(&site, &["status", "--entry", &entry]).await;
    assert!(output_text(&status).contains("plain-1"), "{}", output_text(&status));

    // The report adds up the figures of both entries.
    let report = ochreyard(&site, &["report", "burn", "--entry", &entry, "--entry", &other_entry, "--json"]).await;
    let value: serde_json::Value = serde_json::from_slice(&report.stdout).unwrap();
    assert_eq!(value["rows"][0]["requests"], 10);
    assert_eq!(value["rows"][0]["met"], 10);

    // The report names the entries that it could not reach.
    site.cluster.kill("entry-2").await;
    let partial = ochreyard(&site, &["report", "burn", "--entry", &entry, "--entry", &other_entry]).await;
    let report_text = output_text(&partial);
    assert!(
        report_text.contains("BUDGET SPENT") && report_text.contains(&format!("not reached: {other_entry}")),
        "{report_text}"
    );
}

#[tokio::test]
async fn a_bad_intent_is_refused_with_the_names_of_its_bad_fields() {
    let spec = SiteSpec { entries: vec![DC], plains: vec![DC], slots: 8, ..SiteSpec::default() };
    let site = Site::start(&spec).await;
    let intent = site.cluster.dir().join("bad.yaml");
    std::fs::write(&intent, "endpoints: [{endpoint: e, service: no, data_centre: mars, agent_addr: '10.0.0.1:1'}]")
        .unwrap();
    let entry = site.entries[0].operators_url.clone();
    let output = ochreyard(&site, &["plan", intent.to_str().unwrap(), "--entry", &entry]).await;
    assert_eq!(output.status.code(), Some(1));
    assert!(output_text(&output).contains("endpoints/e/service"), "{}", output_text(&output));
}
