//! Health of agents by their heartbeats, incarnations and connections.

use ochreyard_core::ids::{EndpointId, Incarnation};
use ochreyard_core::membership::{AgentReport, Health, HeartbeatTimeouts, Membership};
use rstest::rstest;

fn report(incarnation: u64, number: u64) -> AgentReport {
    AgentReport { incarnation: Incarnation(incarnation), number, ..AgentReport::default() }
}

fn endpoint() -> EndpointId {
    "e".into()
}

fn reported_at(now_ms: u64) -> Membership {
    let mut membership =
        Membership::new(HeartbeatTimeouts { suspect_after_ms: 100, down_after_ms: 300, interval_ms: 40 });
    membership.on_report(&endpoint(), report(1, 1), now_ms);
    membership
}

#[rstest]
#[case::fresh(99, Health::Alive)]
#[case::late(100, Health::Suspect)]
#[case::silent(300, Health::Down)]
fn an_agent_without_reports_becomes_suspect_and_then_down(#[case] after_ms: u64, #[case] health: Health) {
    assert_eq!(reported_at(0).health(&endpoint(), after_ms), health);
}

#[test]
fn a_suspect_agent_is_alive_again_after_its_next_report() {
    let mut membership = reported_at(0);
    assert_eq!(membership.health(&endpoint(), 200), Health::Suspect);
    assert!(membership.on_report(&endpoint(), report(1, 2), 200));
    assert_eq!(membership.health(&endpoint(), 200), Health::Alive);
}

/// An entry that did not run judged all agents by the silence of that time: it refused requests and reset all links.
#[rstest]
#[case::heartbeats_on_time(&[40, 80, 120, 160, 200, 240, 280, 300], Health::Down)]
#[case::one_heartbeat_missed(&[40, 120, 160, 200, 240, 280, 300], Health::Down)]
#[case::not_run_since_the_report(&[10_000], Health::Alive)]
#[case::silent_before_and_after(&[40, 80, 120, 10_120, 10_130], Health::Suspect)]
#[case::silent_for_long_after(&[40, 10_040, 10_080, 10_120, 10_160, 10_200, 10_240, 10_280, 10_320], Health::Down)]
fn time_in_which_the_entry_did_not_run_is_no_silence_of_agents(#[case] ran_ms: &[u64], #[case] health: Health) {
    let mut membership = reported_at(0);
    membership.on_running(0);
    ran_ms.iter().for_each(|now_ms| membership.on_running(*now_ms));
    assert_eq!(membership.health(&endpoint(), ran_ms[ran_ms.len() - 1]), health);
}

#[test]
fn a_report_after_a_pause_counts_from_its_arrival() {
    let mut membership = reported_at(0);
    membership.on_running(0);
    membership.on_report(&endpoint(), report(1, 2), 10_000);
    membership.on_running(10_000);
    assert_eq!(membership.health(&endpoint(), 10_100), Health::Suspect);
}

#[rstest]
#[case::duplicate(1, 1)]
#[case::of_an_earlier_incarnation(0, 99)]
fn an_outdated_report_changes_nothing(#[case] incarnation: u64, #[case] number: u64) {
    let mut membership = reported_at(0);
    assert!(!membership.on_report(&endpoint(), report(incarnation, number), 250));
    assert_eq!(membership.health(&endpoint(), 250), Health::Suspect);
}

#[test]
fn an_agent_with_a_lost_connection_is_down_until_its_next_report() {
    let mut membership = reported_at(0);
    membership.on_connection_lost(&endpoint());
    assert_eq!(membership.health(&endpoint(), 1), Health::Down);
    membership.on_report(&endpoint(), report(1, 2), 2);
    assert_eq!(membership.health(&endpoint(), 2), Health::Alive);
}

#[test]
fn an_agent_accepts_no_work_once_any_source_says_that_it_is_leaving() {
    let mut by_refusal = reported_at(0);
    by_refusal.on_leaving(&endpoint());
    let mut by_list = reported_at(0);
    by_list.on_listed_leaving(&[endpoint()]);
    let mut by_report = reported_at(0);
    by_report.on_report(&endpoint(), AgentReport { leaving: true, ..report(1, 2) }, 1);
    for membership in [by_refusal, by_list, by_report] {
        assert!(!membership.accepts_work(&endpoint(), 1));
    }
    assert!(reported_at(0).accepts_work(&endpoint(), 1));
}

#[test]
fn a_new_incarnation_resets_the_time_it_was_first_seen() {
    let mut membership = reported_at(0);
    membership.on_report(&endpoint(), report(2, 1), 50);
    assert_eq!(membership.member(&endpoint()).unwrap().first_seen_ms, 50);
}
