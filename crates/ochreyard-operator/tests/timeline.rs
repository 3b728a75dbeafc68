//! Explains the outcome of a request from its identifier and the logs alone.

use std::path::PathBuf;

use ochreyard_operator::RequestTimeline;

/// Writes a log file named after `name`.
fn log(name: &str, lines: &[u8]) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("ochreyard-timeline-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let path = dir.join(format!("{name}.log"));
    std::fs::write(&path, lines).unwrap();
    path
}

fn line(at_ms: u64, message: &str) -> String {
    format!("ts_ms={at_ms} level=info target=ochreyard_direct::x {message}\n")
}

/// Asserts that the timeline contains these texts in this order.
fn assert_in_order(timeline: &RequestTimeline, texts: &[&str]) {
    let output = timeline.to_string();
    let positions: Vec<usize> =
        texts.iter().map(|text| output.find(text).unwrap_or_else(|| panic!("{text}\n{output}"))).collect();
    assert!(positions.is_sorted(), "{output}");
}

#[test]
fn the_timeline_of_a_quarantined_request_shows_the_endpoints_that_it_crashed_at_other_entries() {
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
    let timeline = RequestTimeline::read("r9", &[second, first]).unwrap();
    assert_in_order(
        &timeline,
        &[
            "-8.000 s  edge-1  event=request_lost fingerprint=f1",
            "edge-2  event=request_quarantined",
            "+0.000 s  edge-2  event=suspect_refused",
            "kind=quarantined",
        ],
    );
    assert!(!timeline.to_string().contains("f2"), "a line about another request at the same endpoint");
    assert!(!timeline.to_string().contains("i-7"), "a line about an endpoint that never received the request");
}

#[test]
fn the_timeline_of_a_request_without_an_endpoint_shows_the_stalled_group() {
    let entry = log(
        "edge-3",
        (line(1_000, "event=group_state group=g0 serving=false teller=Leads")
            + &line(2_000, "event=request_failed request=r1 kind=no_endpoint why=Stalled sent=0")
            + &line(60_000, "event=group_state group=g0 serving=true teller=Leads"))
            .as_bytes(),
    );
    let timeline = RequestTimeline::read("r1", &[entry]).unwrap();
    assert_in_order(&timeline, &["serving=false", "why=Stalled"]);
    assert!(!timeline.to_string().contains("serving=true"), "a line that was written long after the request");
}

/// Guards against a wait that a timeline leaves out because its line does not name the request.
#[test]
fn the_timeline_of_a_request_that_waited_shows_its_priority_and_how_many_went_first() {
    let waited = "event=request_waited request=r1 service=tiles workspace=w priority=2 ahead=7 outcome=given_up \
                  waited_ms=900 left_ms=1200";
    let failed = "event=request_failed request=r1 route=a service=tiles workspace=w priority=2 ahead=9 \
                  kind=overloaded why=Full sent=0";
    let of_other = waited.replace("request=r1", "request=r2");
    let entry = log("edge-of-waits", (line(1_000, &of_other) + &line(2_000, waited) + &line(2_001, failed)).as_bytes());
    let timeline = RequestTimeline::read("r1", &[entry]).unwrap();
    assert_in_order(&timeline, &["priority=2 ahead=7 outcome=given_up", "priority=2 ahead=9 kind=overloaded"]);
    assert!(!timeline.to_string().contains("r2"), "a line about another request");
}

#[test]
fn the_timeline_of_a_rate_limited_request_shows_the_endpoints_that_report_the_limits() {
    let entry = log(
        "edge-of-limits",
        (line(1_000, "event=endpoint_limit endpoint=i-1 limit_per_s=1 age_ms=0 share=\"0 in 5000 ms\" rank=6 boxes=8")
            + &line(2_000, "event=request_failed request=r1 kind=overloaded why=Limited { left_ms: 5000 } sent=0"))
            .as_bytes(),
    );
    let timeline = RequestTimeline::read("r1", &[entry]).unwrap();
    assert_in_order(&timeline, &["limit_per_s=1", "why=Limited"]);
}

#[test]
fn the_timeline_of_a_failed_request_shows_the_excluded_endpoints_and_the_evacuation() {
    let entry = log(
        "edge-of-evacuation",
        (line(1_000, "event=data_centres_evacuated data_centres=\"east\" source=log")
            + &line(
                2_000,
                "event=request_failed request=r1 kind=no_endpoint why=NoEndpoint sent=0 evacuated=\"east\" cold=2 not_at_home=3",
            ))
        .as_bytes(),
    );
    let timeline = RequestTimeline::read("r1", &[entry]).unwrap();
    assert_in_order(&timeline, &["data_centres=\"east\"", "evacuated=\"east\" cold=2 not_at_home=3"]);
}

#[test]
fn the_timeline_of_a_broken_stream_shows_the_check_of_its_endpoint() {
    let entry = log(
        "edge-4",
        (line(1_000, "event=attempt_failed request=r1 endpoint=i-1 attempt=1 cause=\"connection lost: closed\"")
            + &line(1_003, "event=endpoint_checked endpoint=i-1 addr=10.1.0.1:80 found=Crashed took_ms=3")
            + &line(2_500, "event=stream_broken request=r1 endpoint=i-2 cause=\"ended within an event\""))
            .as_bytes(),
    );
    let timeline = RequestTimeline::read("r1", &[entry]).unwrap();
    assert_in_order(&timeline, &["attempt=1", "found=Crashed", "event=stream_broken"]);
}

#[test]
fn unreadable_lines_are_counted_and_the_first_one_is_numbered() {
    let mut bytes = b"no line of ours\nts_ms=x event=y\n\xff\xfe\n".to_vec();
    bytes.extend(line(1_000, "event=request_failed request=r1 why=Full").into_bytes());
    bytes.extend(vec![b'a'; 1 << 20]);
    bytes.extend(b"\n  12.5 edge-5 ");
    bytes.extend(line(2_000, "event=request_waited request=r1 outcome=sent").into_bytes());
    bytes.extend(b"ts_ms=3000 level=info target=x event=request_failed request=r1 cut");
    let path = log("edge-5", &bytes);
    let timeline = RequestTimeline::read("r1", std::slice::from_ref(&path)).unwrap();
    assert_in_order(&timeline, &["why=Full", "outcome=sent", "request=r1 cut"]);
    let [unreadable] = timeline.unreadable() else { panic!("{:?}", timeline.unreadable()) };
    assert_eq!((&unreadable.log, unreadable.count, unreadable.first_line), (&path, 4, 1));
}

#[test]
fn a_request_in_no_line_and_a_missing_log_are_reported() {
    let empty = log("edge-6", b"");
    let timeline = RequestTimeline::read("r1", &[empty]).unwrap();
    assert!(timeline.is_empty());
    assert_eq!(timeline.to_string(), "no line names request r1\n");
    assert!(RequestTimeline::read("r1", &[PathBuf::from("/nowhere/at-all.log")]).is_err());
}
