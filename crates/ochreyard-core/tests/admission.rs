//! Admission, case by case: permission, leaving, room, fair share, keys.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ochreyard_core::admission::{
    Admission, AdmissionAction, AdmissionSettings, AttemptLog, AttemptState, Offer, Outcome, RevokeAnswer, StoredAnswer,
};
use ochreyard_core::config::{
    Change, Configuration, ConfirmedPlan, DataCentreSpec, EndpointSpec, Holding, Role, ServiceKind, ServiceSpec,
    WorkspaceSpec,
};
use ochreyard_core::error_kind::{ErrorKind, RunStatus};
use ochreyard_core::ids::{AttemptId, Incarnation};
use proptest::prelude::*;
use rstest::rstest;

const LIFE: Incarnation = Incarnation(50);
const START_MS: u64 = 1_000_000;
const WINDOW_MS: u64 = 10_000;

struct Fixture {
    admission: Admission,
    now_ms: u64,
    next: u64,
}

fn workspace(name: &str, run_in: &[&str], keep_in: &[&str]) -> WorkspaceSpec {
    let hash = ochreyard_core::hash::sha256_hex(name);
    WorkspaceSpec {
        workspace: name.into(),
        token_sha256: hash,
        services: BTreeSet::from(["s".into()]),
        run_in: run_in.iter().map(|dc| (*dc).into()).collect(),
        keep_in: keep_in.iter().map(|dc| (*dc).into()).collect(),
    }
}

fn configuration(workspaces: Vec<WorkspaceSpec>, slots: u32) -> Configuration {
    let place = |name: &str| DataCentreSpec {
        data_centre: name.into(),
        may_hold: vec![Holding { service: "s".into(), model_versions: BTreeSet::new(), roles: BTreeSet::new() }],
    };
    let service =
        ServiceSpec { service: "s".into(), kind: ServiceKind::Plain, first_byte_ms: 100, objective_permille: 900 };
    let endpoint = EndpointSpec {
        endpoint: "e".into(),
        service: "s".into(),
        data_centre: "dc".into(),
        agent_addr: "10.0.0.1:1".parse().unwrap(),
        model_version: String::new(),
        role: Role::Mixed,
        slots,
    };
    let change = Change {
        services: vec![service],
        data_centres: vec![place("dc"), place("far")],
        workspaces,
        endpoints: vec![endpoint],
        ..Change::default()
    };
    let mut config = Configuration::default();
    config.apply(0, &ConfirmedPlan { plan_id: "p".into(), base_version: 0, change }).unwrap();
    config
}

impl Fixture {
    fn new(slots: u32) -> Self {
        let workspaces = ["a", "b", "c"].map(|name| workspace(name, &["dc"], &["dc"]));
        Self::with(configuration(workspaces.into(), slots))
    }

    fn with(config: Configuration) -> Self {
        let settings = AdmissionSettings::new("e", "dc")
            .with_agent_addr("10.0.0.1:1".parse().unwrap())
            .with_queue_limits(100, 20)
            .with_keys(WINDOW_MS, 3);
        let mut admission = Admission::new(settings, LIFE, START_MS);
        let version = config.version();
        admission.configure(Arc::new(config), START_MS);
        admission.verify_tail(version, START_MS);
        Self { admission, now_ms: START_MS + 2 * WINDOW_MS, next: 0 }
    }

    fn attempt(&mut self) -> AttemptId {
        self.next += 1;
        AttemptId::new(Incarnation(1), self.next, 1)
    }

    fn offer(&mut self, workspace: &str) -> (AttemptId, Vec<AdmissionAction>) {
        let attempt = self.attempt();
        (attempt, self.admission.offer(Offer::new(attempt, LIFE, workspace, "s"), self.now_ms))
    }

    fn keyed(&mut self, key: &str, fingerprint: u64) -> (AttemptId, Vec<AdmissionAction>) {
        let attempt = self.attempt();
        let offer = Offer::new(attempt, LIFE, "a", "s").with_key(key, fingerprint);
        (attempt, self.admission.offer(offer, self.now_ms))
    }
}

fn refusal(actions: &[AdmissionAction]) -> (ErrorKind, RunStatus) {
    match actions {
        [AdmissionAction::Refuse { refusal, .. }] => (refusal.kind, refusal.run),
        other => panic!("no single refusal: {other:?}"),
    }
}

fn is_start(actions: &[AdmissionAction]) -> bool {
    matches!(actions, [AdmissionAction::Start(_)])
}

#[rstest]
#[case::not_here("a", &["far"], ErrorKind::NotPermitted)]
#[case::unknown("z", &["dc"], ErrorKind::NotPermitted)]
fn work_runs_only_in_its_places(#[case] name: &str, #[case] run_in: &[&str], #[case] kind: ErrorKind) {
    let mut f = Fixture::with(configuration(vec![workspace("a", run_in, run_in)], 2));
    let (_, actions) = f.offer(name);
    assert_eq!(refusal(&actions), (kind, RunStatus::NotRun));
}

/// The entry's configuration may be older than the agent's: the agent's own counts.
#[test]
fn a_stale_entry_cannot_place_work_where_it_is_no_longer_permitted() {
    let mut f = Fixture::new(1);
    let (first, _) = f.offer("a");
    let (waiting, _) = f.offer("a");
    let mut config = (**f.admission.config().unwrap()).clone();
    let change = Change { workspaces: vec![workspace("a", &["far"], &["far"])], ..Change::default() };
    let base_version = config.version();
    config.apply(5, &ConfirmedPlan { plan_id: "q".into(), base_version, change }).unwrap();
    let actions = f.admission.configure(Arc::new(config), f.now_ms);
    assert!(matches!(&actions[..], [AdmissionAction::Refuse { attempt, .. }] if *attempt == waiting));
    f.admission.finish(first, Outcome::ran(1), f.now_ms);
    let (_, actions) = f.offer("a");
    assert_eq!(refusal(&actions).0, ErrorKind::NotPermitted);
}

#[test]
fn data_that_may_not_rest_here_does_not_wait_here() {
    let mut f = Fixture::with(configuration(vec![workspace("a", &["dc"], &["far"])], 1));
    assert!(is_start(&f.offer("a").1));
    assert_eq!(refusal(&f.offer("a").1), (ErrorKind::Overloaded, RunStatus::NotRun));
}

#[test]
fn an_answer_that_may_not_rest_here_is_not_kept() {
    let mut f = Fixture::with(configuration(vec![workspace("a", &["dc"], &[])], 1));
    let (attempt, _) = f.keyed("k", 1);
    let answer = Arc::new(StoredAnswer { status: 200, content_type: String::new(), body: b"secret".to_vec() });
    f.admission.finish(attempt, Outcome::ran(1).with_answer(answer), f.now_ms);
    assert_eq!(refusal(&f.keyed("k", 1).1), (ErrorKind::AlreadyRan, RunStatus::Ran));
}

#[test]
fn a_leaving_endpoint_gives_waiting_work_back_and_takes_no_more() {
    let mut f = Fixture::new(1);
    let (running, _) = f.offer("a");
    let (waiting, _) = f.offer("b");
    let actions = f.admission.leave();
    assert!(matches!(&actions[..], [AdmissionAction::Refuse { attempt, .. }] if *attempt == waiting));
    assert_eq!(refusal(&f.offer("a").1), (ErrorKind::Leaving, RunStatus::NotRun));
    assert_eq!(f.admission.running(), 1);
    assert!(f.admission.finish(running, Outcome::ran(1), f.now_ms).is_empty());
    // A kept answer is still given: that is no new work.
    assert_eq!(f.admission.running(), 0);
}

#[test]
fn a_leaving_home_still_gives_kept_answers() {
    let mut f = Fixture::new(1);
    let (attempt, _) = f.keyed("k", 1);
    let answer = Arc::new(StoredAnswer { status: 200, content_type: String::new(), body: b"done".to_vec() });
    f.admission.finish(attempt, Outcome::ran(1).with_answer(Arc::clone(&answer)), f.now_ms);
    f.admission.leave();
    let (_, actions) = f.keyed("k", 1);
    assert!(matches!(&actions[..], [AdmissionAction::Replay { answer: kept, .. }] if *kept == answer));
}

#[test]
fn a_revoked_attempt_never_starts() {
    let mut f = Fixture::new(1);
    let attempt = f.attempt();
    assert_eq!(f.admission.revoke(attempt, LIFE).0, RevokeAnswer::NotStarted);
    let actions = f.admission.offer(Offer::new(attempt, LIFE, "a", "s"), f.now_ms);
    assert_eq!(actions, [AdmissionAction::Duplicate(attempt)]);
    let (started, _) = f.offer("a");
    assert_eq!(f.admission.revoke(started, LIFE).0, RevokeAnswer::Started);
    assert_eq!(f.admission.revoke(started, Incarnation(49)).0, RevokeAnswer::Unknown);
}

#[test]
fn an_offer_to_an_earlier_life_claims_nothing() {
    let mut f = Fixture::new(1);
    let attempt = f.attempt();
    let actions = f.admission.offer(Offer::new(attempt, Incarnation(49), "a", "s"), f.now_ms);
    assert_eq!(refusal(&actions), (ErrorKind::Stale, RunStatus::MayHaveRun));
}

#[test]
fn waiting_past_the_deadline_gets_a_final_answer_at_the_next_tick() {
    let mut f = Fixture::new(1);
    f.offer("a");
    let attempt = f.attempt();
    f.admission.offer(Offer::new(attempt, LIFE, "b", "s").with_remaining_ms(500), f.now_ms);
    assert!(f.admission.tick(f.now_ms + 499).is_empty());
    let actions = f.admission.tick(f.now_ms + 500);
    assert_eq!(refusal(&actions), (ErrorKind::DeadlineBeforeStart, RunStatus::NotRun));
}

#[test]
fn a_workspace_over_its_bound_is_refused_and_others_are_not() {
    let mut f = Fixture::new(1);
    f.offer("a");
    (0..20).for_each(|_| drop(f.offer("a")));
    assert_eq!(refusal(&f.offer("a").1).0, ErrorKind::WorkspaceOverLimit);
    assert!(f.offer("b").1.is_empty());
}

#[rstest]
#[case::same_request(1, ErrorKind::KeyInFlight)]
#[case::another_request(2, ErrorKind::KeyReused)]
fn a_key_that_runs_does_not_run_again(#[case] fingerprint: u64, #[case] kind: ErrorKind) {
    let mut f = Fixture::new(2);
    assert!(is_start(&f.keyed("k", 1).1));
    assert_eq!(refusal(&f.keyed("k", fingerprint).1).0, kind);
}

#[test]
fn an_unclear_outcome_is_remembered_as_unclear() {
    let mut f = Fixture::new(2);
    let (attempt, _) = f.keyed("k", 1);
    f.admission.finish(attempt, Outcome::may_have_run(1), f.now_ms);
    assert_eq!(refusal(&f.keyed("k", 1).1), (ErrorKind::KeyUnproven, RunStatus::MayHaveRun));
}

#[test]
fn a_key_whose_endpoint_was_never_reached_may_run_later() {
    let mut f = Fixture::new(2);
    let (attempt, _) = f.keyed("k", 1);
    f.admission.finish(attempt, Outcome::not_run(), f.now_ms);
    assert!(is_start(&f.keyed("k", 1).1));
}

#[test]
fn a_full_store_refuses_and_forgets_nothing_inside_the_window() {
    let mut f = Fixture::new(9);
    for key in ["k1", "k2", "k3"] {
        let (attempt, _) = f.keyed(key, 1);
        f.admission.finish(attempt, Outcome::ran(1), f.now_ms);
    }
    assert_eq!(refusal(&f.keyed("k4", 1).1), (ErrorKind::KeyStoreFull, RunStatus::NotRun));
    assert_eq!(refusal(&f.keyed("k1", 1).1).0, ErrorKind::AlreadyRan);
    f.now_ms += WINDOW_MS;
    f.admission.tick(f.now_ms);
    assert!(is_start(&f.keyed("k4", 1).1));
}

#[rstest]
#[case::undated_too_early(None, WINDOW_MS - 1, false)]
#[case::undated_after_the_window(None, WINDOW_MS, true)]
#[case::dated_before_the_start(Some(0), 5_000, false)]
#[case::dated_within_the_margin(Some(2_000), 5_000, false)]
#[case::dated_after_the_margin(Some(2_001), 5_000, true)]
#[case::dated_and_forgotten(Some(2_001), 2_001 + WINDOW_MS, false)]
fn after_a_restart_a_key_runs_only_if_an_earlier_run_is_ruled_out(
    #[case] made_after_ms: Option<u64>,
    #[case] asked_after_ms: u64,
    #[case] runs: bool,
) {
    let mut f = Fixture::new(2);
    f.now_ms = START_MS + asked_after_ms;
    let key = made_after_ms.map_or("undated".to_owned(), |after| {
        let hex = format!("{:012x}", START_MS + after);
        format!("{}-{}-7000-8000-000000000001", &hex[..8], &hex[8..])
    });
    let (_, actions) = f.keyed(&key, 1);
    assert_eq!(is_start(&actions), runs, "{actions:?}");
    if !runs {
        assert_eq!(refusal(&actions), (ErrorKind::KeyUnproven, RunStatus::MayHaveRun));
    }
}

#[test]
fn the_attempt_log_is_bounded_and_what_it_forgot_cannot_start() {
    let mut log = AttemptLog::default();
    for request in 1..=10_000 {
        log.set(AttemptId::new(Incarnation(1), request, 1), AttemptState::Closed);
    }
    let old = AttemptId::new(Incarnation(1), 1, 1);
    assert!(!log.is_new(old));
    assert_eq!(log.revoke(old), RevokeAnswer::Unknown);
}

/// Work done by three workspaces that always have requests waiting, after so many ends.
fn work_done(costs: &[u64], slots: u32, ends: usize) -> [u64; 3] {
    let mut f = Fixture::new(slots);
    let names = ["a", "b", "c"];
    let mut running: Vec<(AttemptId, usize)> = Vec::new();
    let mut whose: BTreeMap<AttemptId, usize> = BTreeMap::new();
    let mut done = [0u64; 3];
    let mut queued = [0usize; 3];
    for _ in 0..ends {
        for lane in 0..3 {
            while queued[lane] < 10 {
                let attempt = f.attempt();
                whose.insert(attempt, lane);
                queued[lane] += 1;
                let offer = Offer::new(attempt, LIFE, names[lane], "s").with_cost(costs[lane]);
                for action in f.admission.offer(offer, f.now_ms) {
                    if let AdmissionAction::Start(attempt) = action {
                        queued[whose[&attempt]] -= 1;
                        running.push((attempt, whose[&attempt]));
                    }
                }
            }
        }
        let (attempt, lane) = running.remove(0);
        done[lane] += costs[lane];
        for action in f.admission.finish(attempt, Outcome::ran(costs[lane]), f.now_ms) {
            if let AdmissionAction::Start(attempt) = action {
                queued[whose[&attempt]] -= 1;
                running.push((attempt, whose[&attempt]));
            }
        }
    }
    done
}

/// Whole requests of the dearest kind by which equal shares may differ: 3.2 was the
/// most in 9,000 cases.
const UNEQUAL_REQUESTS: f64 = 3.5;

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]

    /// Work done of backlogged workspaces is equal but for a few whole requests,
    /// whatever each request costs. A share of the work is no bound for it: the first
    /// one to come takes all free places, and one request may be a large part of a
    /// short run (costs 80, 1, 154 on 5 places: 5.03 in 100 off after 6,000 ends).
    #[test]
    fn shares_of_a_full_endpoint_are_equal_by_work(costs in prop::collection::vec(1..200u64, 3), slots in 1..8u32) {
        let dearest = costs.iter().copied().max().unwrap_or(0) as f64;
        let (early, late) = (work_done(&costs, slots, 1_000), work_done(&costs, slots, 12_000));
        let done: Vec<u64> = late.iter().zip(early).map(|(late, early)| late - early).collect();
        let mean = done.iter().sum::<u64>() as f64 / 3.0;
        for lane in &done {
            prop_assert!((*lane as f64 - mean).abs() <= UNEQUAL_REQUESTS * dearest, "{done:?}");
        }
    }
}
