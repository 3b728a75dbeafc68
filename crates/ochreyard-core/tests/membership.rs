//! Heartbeats, lives, suspicion that a slow process can refute.

use ochreyard_core::ids::{EndpointId, Incarnation};
use ochreyard_core::membership::{AgentReport, Health, HeartbeatTimeouts, Membership};
use rstest::rstest;

fn report(life: u64, number: u64) -> AgentReport {
    AgentReport { incarnation: Incarnation(life), number, ..AgentReport::default() }
}

fn endpoint() -> EndpointId {
    "e".into()
}

fn heard_at(now_ms: u64) -> Membership {
    let mut membership = Membership::new(HeartbeatTimeouts { suspect_after_ms: 100, down_after_ms: 300 });
    membership.on_report(&endpoint(), report(1, 1), now_ms);
    membership
}

#[rstest]
#[case::fresh(99, Health::Alive)]
#[case::late(100, Health::Suspect)]
#[case::silent(300, Health::Down)]
fn silence_leads_to_suspicion_and_then_to_down(#[case] after_ms: u64, #[case] health: Health) {
    assert_eq!(heard_at(0).health(&endpoint(), after_ms), health);
}

#[test]
fn a_slow_process_refutes_suspicion_by_its_next_report() {
    let mut membership = heard_at(0);
    assert_eq!(membership.health(&endpoint(), 200), Health::Suspect);
    assert!(membership.on_report(&endpoint(), report(1, 2), 200));
    assert_eq!(membership.health(&endpoint(), 200), Health::Alive);
}

#[rstest]
#[case::repeated(1, 1)]
#[case::of_an_earlier_life(0, 99)]
fn a_late_report_changes_nothing(#[case] life: u64, #[case] number: u64) {
    let mut membership = heard_at(0);
    assert!(!membership.on_report(&endpoint(), report(life, number), 250));
    assert_eq!(membership.health(&endpoint(), 250), Health::Suspect);
}

#[test]
fn a_broken_link_counts_until_the_next_report() {
    let mut membership = heard_at(0);
    membership.on_connection_lost(&endpoint());
    assert_eq!(membership.health(&endpoint(), 1), Health::Down);
    membership.on_report(&endpoint(), report(1, 2), 2);
    assert_eq!(membership.health(&endpoint(), 2), Health::Alive);
}

#[test]
fn the_earliest_word_on_leaving_wins() {
    let mut by_refusal = heard_at(0);
    by_refusal.on_leaving(&endpoint());
    let mut by_list = heard_at(0);
    by_list.on_listed_leaving(&[endpoint()]);
    let mut by_report = heard_at(0);
    by_report.on_report(&endpoint(), AgentReport { leaving: true, ..report(1, 2) }, 1);
    for membership in [by_refusal, by_list, by_report] {
        assert!(!membership.accepts_work(&endpoint(), 1));
    }
    assert!(heard_at(0).accepts_work(&endpoint(), 1));
}

#[test]
fn a_new_life_is_met_anew() {
    let mut membership = heard_at(0);
    membership.on_report(&endpoint(), report(2, 1), 50);
    assert_eq!(membership.member(&endpoint()).unwrap().first_seen_ms, 50);
}
