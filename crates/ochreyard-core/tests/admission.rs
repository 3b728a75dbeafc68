//! Admission control: permissions, leaving endpoints, capacity, fair sharing and idempotency keys.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ochreyard_core::admission::{
    Admission, AdmissionAction, AdmissionSettings, AttemptLog, AttemptState, Offer, Outcome, RevokeAnswer, StoredAnswer,
};
use ochreyard_core::config::{
    Change, Configuration, ConfirmedPlan, DataCentreSpec, EndpointSpec, Role, ServiceKind, ServiceSpec,
    ServingPermission, WorkspaceSpec,
};
use ochreyard_core::error_kind::{ErrorKind, RunStatus};
use ochreyard_core::ids::{AttemptId, Incarnation};
use proptest::prelude::*;
use rstest::rstest;

const INCARNATION: Incarnation = Incarnation(50);
const START_MS: u64 = 1_000_000;
const RETENTION_MS: u64 = 10_000;

struct Fixture {
    admission: Admission,
    now_ms: u64,
    last_request: u64,
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
    let data_centre = |name: &str| DataCentreSpec {
        data_centre: name.into(),
        may_hold: vec![ServingPermission {
            service: "s".into(),
            model_versions: BTreeSet::new(),
            roles: BTreeSet::new(),
        }],
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
        data_centres: vec![data_centre("dc"), data_centre("far")],
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
        Self::with_config(configuration(workspaces.into(), slots))
    }

    fn with_config(config: Configuration) -> Self {
        let settings = AdmissionSettings::new("e", "dc")
            .with_agent_addr("10.0.0.1:1".parse().unwrap())
            .with_queue_limits(100, 20)
            .with_keys(RETENTION_MS, 3);
        let mut admission = Admission::new(settings, INCARNATION, START_MS);
        let version = config.version();
        admission.configure(Arc::new(config), START_MS);
        admission.verify_tail(version, START_MS);
        Self { admission, now_ms: START_MS + 2 * RETENTION_MS, last_request: 0 }
    }

    fn attempt(&mut self) -> AttemptId {
        self.last_request += 1;
        AttemptId::new(Incarnation(1), self.last_request, 1)
    }

    fn offer(&mut self, workspace: &str) -> (AttemptId, Vec<AdmissionAction>) {
        let attempt = self.attempt();
        (attempt, self.admission.offer(Offer::new(attempt, INCARNATION, workspace, "s"), self.now_ms))
    }

    fn offer_with_key(&mut self, key: &str, fingerprint: u64) -> (AttemptId, Vec<AdmissionAction>) {
        let attempt = self.attempt();
        let offer = Offer::new(attempt, INCARNATION, "a", "s").with_key(key, fingerprint);
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
fn requests_run_only_in_permitted_data_centres(#[case] name: &str, #[case] run_in: &[&str], #[case] kind: ErrorKind) {
    let mut f = Fixture::with_config(configuration(vec![workspace("a", run_in, run_in)], 2));
    let (_, actions) = f.offer(name);
    assert_eq!(refusal(&actions), (kind, RunStatus::NotRun));
}

/// The entry's configuration may be older than the agent's; the agent's own configuration decides.
#[test]
fn an_outdated_entry_cannot_run_requests_where_permission_was_withdrawn() {
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
fn a_request_whose_data_may_not_be_stored_here_is_not_queued() {
    let mut f = Fixture::with_config(configuration(vec![workspace("a", &["dc"], &["far"])], 1));
    assert!(is_start(&f.offer("a").1));
    assert_eq!(refusal(&f.offer("a").1), (ErrorKind::Overloaded, RunStatus::NotRun));
}

#[test]
fn an_answer_that_may_not_be_stored_here_is_dropped() {
    let mut f = Fixture::with_config(configuration(vec![workspace("a", &["dc"], &[])], 1));
    let (attempt, _) = f.offer_with_key("k", 1);
    let answer = Arc::new(StoredAnswer { status: 200, content_type: String::new(), body: b"secret".to_vec() });
    f.admission.finish(attempt, Outcome::ran(1).with_answer(answer), f.now_ms);
    assert_eq!(refusal(&f.offer_with_key("k", 1).1), (ErrorKind::AlreadyRan, RunStatus::Ran));
}

#[test]
fn a_leaving_endpoint_refuses_queued_and_new_requests() {
    let mut f = Fixture::new(1);
    let (running, _) = f.offer("a");
    let (waiting, _) = f.offer("b");
    let actions = f.admission.leave();
    assert!(matches!(&actions[..], [AdmissionAction::Refuse { attempt, .. }] if *attempt == waiting));
    assert_eq!(refusal(&f.offer("a").1), (ErrorKind::Leaving, RunStatus::NotRun));
    assert_eq!(f.admission.running(), 1);
    assert!(f.admission.finish(running, Outcome::ran(1), f.now_ms).is_empty());
    assert_eq!(f.admission.running(), 0);
}

#[test]
fn a_leaving_home_still_replays_stored_answers() {
    let mut f = Fixture::new(1);
    let (attempt, _) = f.offer_with_key("k", 1);
    let answer = Arc::new(StoredAnswer { status: 200, content_type: String::new(), body: b"done".to_vec() });
    f.admission.finish(attempt, Outcome::ran(1).with_answer(Arc::clone(&answer)), f.now_ms);
    f.admission.leave();
    // Replaying a stored answer is not new work.
    let (_, actions) = f.offer_with_key("k", 1);
    assert!(matches!(&actions[..], [AdmissionAction::Replay { answer: stored, .. }] if *stored == answer));
}

#[test]
fn a_revoked_attempt_never_starts() {
    let mut f = Fixture::new(1);
    let attempt = f.attempt();
    assert_eq!(f.admission.revoke(attempt, INCARNATION).0, RevokeAnswer::NotStarted);
    let actions = f.admission.offer(Offer::new(attempt, INCARNATION, "a", "s"), f.now_ms);
    assert_eq!(actions, [AdmissionAction::Duplicate(attempt)]);
    let (started, _) = f.offer("a");
    assert_eq!(f.admission.revoke(started, INCARNATION).0, RevokeAnswer::Started);
    assert_eq!(f.admission.revoke(started, Incarnation(49)).0, RevokeAnswer::Unknown);
}

#[test]
fn an_offer_to_an_earlier_incarnation_is_refused_as_may_have_run() {
    let mut f = Fixture::new(1);
    let attempt = f.attempt();
    let actions = f.admission.offer(Offer::new(attempt, Incarnation(49), "a", "s"), f.now_ms);
    assert_eq!(refusal(&actions), (ErrorKind::Stale, RunStatus::MayHaveRun));
}

#[test]
fn a_queued_request_past_its_deadline_is_refused_at_the_next_tick() {
    let mut f = Fixture::new(1);
    f.offer("a");
    let attempt = f.attempt();
    f.admission.offer(Offer::new(attempt, INCARNATION, "b", "s").with_remaining_ms(500), f.now_ms);
    assert!(f.admission.tick(f.now_ms + 499).is_empty());
    let actions = f.admission.tick(f.now_ms + 500);
    assert_eq!(refusal(&actions), (ErrorKind::DeadlineBeforeStart, RunStatus::NotRun));
}

#[test]
fn a_workspace_over_its_queue_limit_is_refused_and_others_are_not() {
    let mut f = Fixture::new(1);
    f.offer("a");
    (0..20).for_each(|_| drop(f.offer("a")));
    assert_eq!(refusal(&f.offer("a").1).0, ErrorKind::WorkspaceOverLimit);
    assert!(f.offer("b").1.is_empty());
}

#[rstest]
#[case::same_request(1, ErrorKind::KeyInFlight)]
#[case::another_request(2, ErrorKind::KeyReused)]
fn a_running_key_does_not_run_again(#[case] fingerprint: u64, #[case] kind: ErrorKind) {
    let mut f = Fixture::new(2);
    assert!(is_start(&f.offer_with_key("k", 1).1));
    assert_eq!(refusal(&f.offer_with_key("k", fingerprint).1).0, kind);
}

#[test]
fn an_uncertain_outcome_is_stored_as_uncertain() {
    let mut f = Fixture::new(2);
    let (attempt, _) = f.offer_with_key("k", 1);
    f.admission.finish(attempt, Outcome::may_have_run(1), f.now_ms);
    assert_eq!(refusal(&f.offer_with_key("k", 1).1), (ErrorKind::KeyUnproven, RunStatus::MayHaveRun));
}

#[test]
fn a_key_whose_endpoint_was_never_reached_may_run_later() {
    let mut f = Fixture::new(2);
    let (attempt, _) = f.offer_with_key("k", 1);
    f.admission.finish(attempt, Outcome::not_run(), f.now_ms);
    assert!(is_start(&f.offer_with_key("k", 1).1));
}

#[test]
fn a_full_key_store_refuses_new_keys_and_keeps_outcomes_for_the_retention_time() {
    let mut f = Fixture::new(9);
    for key in ["k1", "k2", "k3"] {
        let (attempt, _) = f.offer_with_key(key, 1);
        f.admission.finish(attempt, Outcome::ran(1), f.now_ms);
    }
    assert_eq!(refusal(&f.offer_with_key("k4", 1).1), (ErrorKind::KeyStoreFull, RunStatus::NotRun));
    assert_eq!(refusal(&f.offer_with_key("k1", 1).1).0, ErrorKind::AlreadyRan);
    f.now_ms += RETENTION_MS;
    f.admission.tick(f.now_ms);
    assert!(is_start(&f.offer_with_key("k4", 1).1));
}

#[rstest]
#[case::undated_too_early(None, RETENTION_MS - 1, false)]
#[case::undated_after_the_retention_time(None, RETENTION_MS, true)]
#[case::dated_before_the_start(Some(0), 5_000, false)]
#[case::dated_within_the_margin(Some(2_000), 5_000, false)]
#[case::dated_after_the_margin(Some(2_001), 5_000, true)]
#[case::dated_and_expired(Some(2_001), 2_001 + RETENTION_MS, false)]
fn after_a_restart_a_key_runs_only_if_an_earlier_run_is_ruled_out(
    #[case] created_after_ms: Option<u64>,
    #[case] offered_after_ms: u64,
    #[case] runs: bool,
) {
    let mut f = Fixture::new(2);
    f.now_ms = START_MS + offered_after_ms;
    let key = created_after_ms.map_or("undated".to_owned(), |after| {
        let hex = format!("{:012x}", START_MS + after);
        format!("{}-{}-7000-8000-000000000001", &hex[..8], &hex[8..])
    });
    let (_, actions) = f.offer_with_key(&key, 1);
    assert_eq!(is_start(&actions), runs, "{actions:?}");
    if !runs {
        assert_eq!(refusal(&actions), (ErrorKind::KeyUnproven, RunStatus::MayHaveRun));
    }
}

#[test]
fn the_attempt_log_is_bounded_and_forgotten_attempts_cannot_start() {
    let mut log = AttemptLog::default();
    for request in 1..=10_000 {
        log.set(AttemptId::new(Incarnation(1), request, 1), AttemptState::Closed);
    }
    let old = AttemptId::new(Incarnation(1), 1, 1);
    assert!(!log.is_new(old));
    assert_eq!(log.revoke(old), RevokeAnswer::Unknown);
}

/// Total cost of the finished requests of three workspaces that always have queued requests, after `finished`
/// requests in all.
fn finished_costs(costs: &[u64], slots: u32, finished: usize) -> [u64; 3] {
    let mut f = Fixture::new(slots);
    let names = ["a", "b", "c"];
    let mut running: Vec<(AttemptId, usize)> = Vec::new();
    let mut workspace_of: BTreeMap<AttemptId, usize> = BTreeMap::new();
    let mut finished_cost = [0u64; 3];
    let mut queued = [0usize; 3];
    for _ in 0..finished {
        for lane in 0..3 {
            while queued[lane] < 10 {
                let attempt = f.attempt();
                workspace_of.insert(attempt, lane);
                queued[lane] += 1;
                let offer = Offer::new(attempt, INCARNATION, names[lane], "s").with_cost(costs[lane]);
                for action in f.admission.offer(offer, f.now_ms) {
                    if let AdmissionAction::Start(attempt) = action {
                        queued[workspace_of[&attempt]] -= 1;
                        running.push((attempt, workspace_of[&attempt]));
                    }
                }
            }
        }
        let (attempt, lane) = running.remove(0);
        finished_cost[lane] += costs[lane];
        for action in f.admission.finish(attempt, Outcome::ran(costs[lane]), f.now_ms) {
            if let AdmissionAction::Start(attempt) = action {
                queued[workspace_of[&attempt]] -= 1;
                running.push((attempt, workspace_of[&attempt]));
            }
        }
    }
    finished_cost
}

/// Maximum deviation of a share from the mean, in requests of the highest cost. The largest deviation in 9,000 cases
/// was 3.2.
const MAX_DEVIATION_REQUESTS: f64 = 3.5;

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() })]

    /// The total costs of backlogged workspaces differ by no more than a few requests, whatever each request costs.
    /// The bound is not a share of the total cost: the first workspace takes all free slots at the start, and one
    /// request may be a large part of a short test (costs 80, 1 and 154 on 5 slots deviate by 5.03 % after 6,000
    /// requests).
    #[test]
    fn workspaces_share_a_full_endpoint_equally_by_cost(
        costs in prop::collection::vec(1..200u64, 3),
        slots in 1..8u32,
    ) {
        let max_cost = costs.iter().copied().max().unwrap_or(0) as f64;
        let (early, late) = (finished_costs(&costs, slots, 1_000), finished_costs(&costs, slots, 12_000));
        let measured_costs: Vec<u64> = late.iter().zip(early).map(|(late, early)| late - early).collect();
        let mean = measured_costs.iter().sum::<u64>() as f64 / 3.0;
        for cost in &measured_costs {
            prop_assert!((*cost as f64 - mean).abs() <= MAX_DEVIATION_REQUESTS * max_cost, "{measured_costs:?}");
        }
    }
}
