//! From a request's identifier to its cause, by the logs alone.

use std::path::PathBuf;

use ochreyard_operator::RequestTimeline;

/// A log in a file of its own.
fn log(name: &str, lines: &[u8]) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("ochreyard-story-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let path = dir.join(format!("{name}.log"));
    std::fs::write(&path, lines).unwrap();
    path
}

fn line(at_ms: u64, message: &str) -> String {
    format!("ts_ms={at_ms} level=info target=ochreyard_direct::x {message}\n")
}

/// The places of these texts in the story, which must rise.
fn assert_in_order(story: &RequestTimeline, texts: &[&str]) {
    let told = story.to_string();
    let places: Vec<usize> =
        texts.iter().map(|text| told.find(text).unwrap_or_else(|| panic!("{text}\n{told}"))).collect();
    assert!(places.is_sorted(), "{told}");
}

#[test]
fn a_refused_request_leads_to_the_endpoints_that_it_crashed_at_other_entries() {
    let first = log(
        "edge-1",
        (line(900, "event=endpoint_checked endpoint=i-7 addr=10.1.0.1:80 found=Alive took_ms=1")
            + &line(1_000, "event=request_lost fingerprint=f1 endpoint=i-1 found=Crashed ran_ms=Some(64)")
            + &line(1_001, "event=request_lost fingerprint=f2 endpoint=i-1 found=Crashed ran_ms=Some(900)"))
            .as_bytes(),
    );
    let second = log(
        "edge-2",
        (line(
            5_000,
            "event=request_quarantined fingerprint=f1 source=told times=1 for_ms=600000 crashed=\"i-1 4 s ago\"",
        ) + &line(9_000, "event=suspect_refused request=r9 fingerprint=f1 Quarantined { left_ms: 596000 }")
            + &line(9_001, "event=request_failed request=r9 route=a kind=quarantined why=Quarantined"))
            .as_bytes(),
    );
    let story = RequestTimeline::read("r9", &[second, first]).unwrap();
    assert_in_order(
        &story,
        &[
            "-8.000 s  edge-1  event=request_lost fingerprint=f1",
            "edge-2  event=request_quarantined",
            "+0.000 s  edge-2  event=suspect_refused",
            "kind=quarantined",
        ],
    );
    assert!(!story.to_string().contains("f2"), "another request that was there");
    assert!(!story.to_string().contains("i-7"), "an endpoint that never had it");
}

#[test]
fn a_refusal_for_want_of_room_leads_to_the_group_that_stood() {
    let entry = log(
        "edge-3",
        (line(1_000, "event=group_state group=g0 serving=false teller=Leads")
            + &line(2_000, "event=request_failed request=r1 kind=no_endpoint why=Stands sent=0")
            + &line(60_000, "event=group_state group=g0 serving=true teller=Leads"))
            .as_bytes(),
    );
    let story = RequestTimeline::read("r1", &[entry]).unwrap();
    assert_in_order(&story, &["serving=false", "why=Stands"]);
    assert!(!story.to_string().contains("serving=true"), "long after");
}

#[test]
fn a_refusal_under_limits_leads_to_the_endpoints_that_name_them() {
    let entry = log(
        "edge-of-limits",
        (line(1_000, "event=endpoint_limit endpoint=i-1 limit_per_s=1 age_ms=0 share=\"0 in 5000 ms\" rank=6 boxes=8")
            + &line(2_000, "event=request_failed request=r1 kind=overloaded why=Limited { left_ms: 5000 } sent=0"))
            .as_bytes(),
    );
    let story = RequestTimeline::read("r1", &[entry]).unwrap();
    assert_in_order(&story, &["limit_per_s=1", "why=Limited"]);
}

#[test]
fn a_refusal_names_what_held_the_request_back_and_leads_to_the_evacuation() {
    let entry = log(
        "edge-of-evacuation",
        (line(1_000, "event=data_centres_evacuated data_centres=\"east\" source=log")
            + &line(
                2_000,
                "event=request_failed request=r1 kind=no_endpoint why=NoEndpoint sent=0 evacuated=\"east\" cold=2 not_at_home=3",
            ))
        .as_bytes(),
    );
    let story = RequestTimeline::read("r1", &[entry]).unwrap();
    assert_in_order(&story, &["data_centres=\"east\"", "evacuated=\"east\" cold=2 not_at_home=3"]);
}

#[test]
fn a_broken_stream_leads_to_the_look_at_its_endpoint() {
    let entry = log(
        "edge-4",
        (line(1_000, "event=attempt_failed request=r1 endpoint=i-1 attempt=1 cause=\"connection lost: closed\"")
            + &line(1_003, "event=endpoint_checked endpoint=i-1 addr=10.1.0.1:80 found=Crashed took_ms=3")
            + &line(2_500, "event=stream_broken request=r1 endpoint=i-2 cause=\"ended within an event\""))
            .as_bytes(),
    );
    let story = RequestTimeline::read("r1", &[entry]).unwrap();
    assert_in_order(&story, &["attempt=1", "found=Crashed", "event=stream_broken"]);
}

#[test]
fn lines_that_cannot_be_read_are_counted_and_named() {
    let mut bytes = b"no line of ours\nts_ms=x event=y\n\xff\xfe\n".to_vec();
    bytes.extend(line(1_000, "event=request_failed request=r1 why=Full").into_bytes());
    bytes.extend(vec![b'a'; 1 << 20]);
    bytes.extend(b"\n  12.5 edge-5 ");
    bytes.extend(line(2_000, "event=request_waited request=r1 outcome=sent").into_bytes());
    bytes.extend(b"ts_ms=3000 level=info target=x event=request_failed request=r1 cut");
    let path = log("edge-5", &bytes);
    let story = RequestTimeline::read("r1", std::slice::from_ref(&path)).unwrap();
    assert_in_order(&story, &["why=Full", "outcome=sent", "request=r1 cut"]);
    let [unreadable] = story.unreadable() else { panic!("{:?}", story.unreadable()) };
    assert_eq!((&unreadable.log, unreadable.lines, unreadable.first), (&path, 4, 1));
}

#[test]
fn a_request_that_nobody_names_and_a_log_that_is_not_there_are_said() {
    let empty = log("edge-6", b"");
    let story = RequestTimeline::read("r1", &[empty]).unwrap();
    assert!(story.is_empty());
    assert_eq!(story.to_string(), "no line names request r1\n");
    assert!(RequestTimeline::read("r1", &[PathBuf::from("/nowhere/at-all.log")]).is_err());
}
