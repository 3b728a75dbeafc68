//! Priorities of requests: which ones a configuration gives to a service, and in which order waiting requests are sent.

use std::collections::HashMap;

use ochreyard_core::direct::{
    Arrival, EngineSpec, PendingRequest, PermittedRegions, Priority, PriorityLevel, RequestSize, Route, RouteKind,
    RouteTable, Ticket, Urgency, UsualWork, WaitQueue, WeightedService, Workspace,
};
use proptest::prelude::*;
use rstest::rstest;

fn route(prefix: &str, priority: u64, services: &[(&str, u64)], public: bool) -> Route {
    let weighted =
        |(service, weight): &(&str, u64)| WeightedService { service: (*service).to_owned(), weight: *weight };
    Route {
        name: prefix.to_owned(),
        host: "maps.example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Repeatable,
        timeout_ms: 2_000,
        target_latency_ms: 300,
        target_gap_ms: None,
        patience_ms: None,
        priority,
        services: services.iter().map(weighted).collect(),
        max_attempts: 2,
        public,
        permitted_regions: PermittedRegions::ANY,
    }
}

fn workspace(name: &str, priority: Option<u64>) -> Workspace {
    Workspace { name: name.to_owned(), priority, permitted_regions: PermittedRegions::ANY }
}

/// A table of routes to the service `tiles` with these priorities, and of workspaces with these.
fn table(routes: &[u64], workspaces: &[Option<u64>], public: bool) -> RouteTable {
    let with_route = |table: RouteTable, (at, priority): (usize, &u64)| {
        table.with_route(route(&format!("/{at}/"), *priority, &[("tiles", 1)], public))
    };
    let table = routes.iter().enumerate().fold(RouteTable::new(1), with_route);
    workspaces.iter().enumerate().fold(table, |table, (at, priority)| {
        table.with_workspace(workspace(&format!("w{at}"), *priority), [format!("k{at}")])
    })
}

fn numbers(table: &RouteTable, service: &str) -> Vec<u8> {
    table.priorities(service).iter().map(Priority::number).collect()
}

/// Guards against levels that no request can have, which would add a header and change the admission of services with
/// one priority, and against missing levels.
#[rstest]
#[case::one_route(&[3], &[], false, &[3])]
#[case::routes_in_any_order(&[2, 0, 1, 2], &[], false, &[0, 1, 2])]
#[case::above_nine(&[9, 12, u64::MAX], &[], false, &[9])]
#[case::workspace_overrides_the_route(&[2], &[Some(0)], false, &[0])]
#[case::one_workspace_of_two_overrides_the_route(&[2], &[Some(0), None], false, &[0, 2])]
#[case::workspace_with_the_priority_of_the_route(&[2], &[Some(2), None], false, &[2])]
#[case::workspace_less_urgent_than_all_routes(&[0, 1], &[Some(14), None], false, &[0, 1, 9])]
#[case::public_routes_serve_requests_without_a_workspace(&[2, 4], &[Some(0)], true, &[0, 2, 4])]
fn the_priorities_of_a_service_are_those_that_its_requests_can_have(
    #[case] routes: &[u64],
    #[case] workspaces: &[Option<u64>],
    #[case] public: bool,
    #[case] expected: &[u8],
) {
    assert_eq!(numbers(&table(routes, workspaces, public), "tiles"), expected);
}

#[test]
fn each_service_has_the_priorities_of_its_own_routes() {
    let table = RouteTable::new(1).with_route(route("/a/", 0, &[("tiles", 1), ("maps", 9)], false)).with_route(route(
        "/b/",
        5,
        &[("maps", 1), ("tiles", 0)],
        false,
    ));
    assert_eq!(numbers(&table, "tiles"), [0], "a route of weight 0 sends nothing");
    assert_eq!(numbers(&table, "maps"), [0, 5]);
    assert!(numbers(&table, "none").is_empty());
}

#[test]
fn the_priority_of_a_workspace_overrides_that_of_the_route() {
    let route = route("/a/", 4, &[("tiles", 1)], false);
    assert_eq!(RouteTable::priority(&route, None).number(), 4);
    assert_eq!(RouteTable::priority(&route, Some(&workspace("w", None))).number(), 4);
    assert_eq!(RouteTable::priority(&route, Some(&workspace("w", Some(1)))).number(), 1);
    assert_eq!(RouteTable::priority(&route, Some(&workspace("w", Some(300)))).number(), 9, "larger values count as 9");
}

#[rstest]
#[case::most_urgent(0, 0)]
#[case::middle(4, 1)]
#[case::least_urgent(9, 2)]
#[case::between(2, 1)]
#[case::below_all(7, 2)]
fn the_level_is_the_position_among_the_priorities(#[case] priority: u64, #[case] index: usize) {
    let priorities = table(&[9, 0, 4], &[], false).priorities("tiles");
    assert_eq!(priorities.level(Priority::new(priority)), PriorityLevel { index, count: 3 });
}

#[test]
fn a_service_without_configured_priorities_has_a_single_level() {
    assert_eq!(RouteTable::new(1).priorities("tiles").level(Priority::new(3)), PriorityLevel::SINGLE);
}

/// Guards against levels of a configuration that is no longer in force.
#[test]
fn a_changed_configuration_has_its_own_priorities() {
    let before = table(&[0, 1], &[None], false);
    assert_eq!(numbers(&before, "tiles"), [0, 1]);
    let after = before.clone().with_route(route("/c/", 6, &[("tiles", 1)], false));
    assert_eq!(numbers(&after, "tiles"), [0, 1, 6]);
    let after = after.with_workspace(workspace("late", Some(8)), ["late".to_owned()]);
    assert_eq!(numbers(&after, "tiles"), [0, 1, 6, 8]);
    // The same route with another priority replaces the earlier one.
    let after = after.with_route(route("/0/", 5, &[("tiles", 1)], false));
    assert_eq!(numbers(&after, "tiles"), [1, 5, 6, 8]);
    assert_eq!(numbers(&before, "tiles"), [0, 1]);
}

/// A request that waits since the time 0.
fn request(
    workspace: &str,
    priority: u64,
    on_time_until_ms: u64,
    deadline_ms: u64,
    work_tokens: u64,
) -> PendingRequest<'_> {
    PendingRequest {
        service: "tiles",
        permitted_regions: &PermittedRegions::ANY,
        tried: &[],
        workspace: Some(workspace),
        work_tokens,
        may_have_run: false,
        priority: Priority::new(priority),
        level: PriorityLevel::SINGLE,
        arrival: Arrival { on_time_until_ms, is_caller_retry: false },
        deadline_ms,
        silent_since_ms: 0,
        target_latency_ms: 400,
        patience_ms: None,
        ticket: None,
    }
}

/// Sends all requests that wait in `queue` and returns their numbers in `tickets` in the order of sending.
fn send_all(queue: &mut WaitQueue, tickets: &[Ticket], now_ms: u64) -> Vec<usize> {
    std::iter::from_fn(|| {
        let next: Vec<usize> = (0..tickets.len()).filter(|at| queue.is_next(tickets[*at], now_ms)).collect();
        let [at] = next[..] else { return None };
        queue.on_sent(tickets[at]);
        Some(at)
    })
    .take(tickets.len())
    .collect()
}

/// Guards against a late urgent request that delays requests that can still be on time, and against an urgent request
/// that waits behind a less urgent one.
#[test]
fn requests_on_time_go_first_and_then_the_most_urgent() {
    let mut queue = WaitQueue::default();
    let waiting =
        [(2, 900, 3_000), (0, 100, 2_000), (0, 900, 9_000), (1, 900, 1_000), (2, 100, 1_500), (1, 100, 9_000)];
    let tickets =
        waiting.map(|(priority, until_ms, deadline_ms)| queue.join(&request("w", priority, until_ms, deadline_ms, 1)));
    assert_eq!(send_all(&mut queue, &tickets, 500), [2, 3, 0, 1, 5, 4]);
    assert!(queue.is_empty());
}

/// Guards against a new request that passes waiting ones of the same or a more urgent priority.
#[rstest]
#[case::more_urgent(Urgency::OnTime, 0, true)]
#[case::as_urgent(Urgency::OnTime, 1, false)]
#[case::less_urgent(Urgency::OnTime, 2, false)]
#[case::late(Urgency::Late, 0, false)]
fn a_new_request_overtakes_less_urgent_ones(#[case] urgency: Urgency, #[case] priority: u64, #[case] may: bool) {
    let mut queue = WaitQueue::default();
    queue.join(&request("w", 1, 900, 9_000, 1));
    assert_eq!(queue.may_overtake(urgency, Priority::new(priority), 500), may);
    let is_more_urgent = priority < 1;
    let may_once_it_is_late = urgency == Urgency::OnTime || is_more_urgent;
    assert_eq!(queue.may_overtake(urgency, Priority::new(priority), 900), may_once_it_is_late);
}

/// One workspace has 28 of 100 waiting requests, all of which came first. Guards against an order by arrival or by
/// deadline, in which all other workspaces wait for that one.
#[rstest]
#[case::on_time(100)]
#[case::late(10_000)]
fn a_workspace_with_28_of_100_requests_does_not_delay_the_others(#[case] now_ms: u64) {
    let mut queue = WaitQueue::default();
    let names: Vec<String> = (0..24).map(|at| format!("w{at}")).collect();
    let of_large = (0..28).map(|at| (0, at));
    let of_others = (0..72).map(|at| (1 + at % 23, 28 + at));
    let arrivals: Vec<(usize, u64)> = of_large.chain(of_others.map(|(name, at)| (name as usize, at))).collect();
    let tickets: Vec<Ticket> =
        arrivals.iter().map(|(name, at)| queue.join(&request(&names[*name], 1, 1_000, 8_000 + at, 100))).collect();
    let order = send_all(&mut queue, &tickets, now_ms);
    assert_eq!(order.len(), 100);
    let last_of_others = order.iter().rposition(|at| *at >= 28).expect("others wait, too");
    let before = order[..last_of_others].iter().filter(|at| **at < 28).count();
    // Each of the others has three or four requests.
    assert!(before <= 4, "{before} requests of the large workspace were sent before the last one of the others");
}

/// All requests of a workspace are 20 times as large as those of another one. Guards against a share by number of
/// requests, and against starvation of either size.
#[test]
fn workspaces_share_by_work_and_no_size_starves() {
    let mut queue = WaitQueue::default();
    let small: Vec<Ticket> = (0..200).map(|at| queue.join(&request("small", 1, 0, 8_000 + at, 50))).collect();
    let large: Vec<Ticket> = (0..10).map(|at| queue.join(&request("large", 1, 0, 8_000 + at, 1_000))).collect();
    let tickets: Vec<Ticket> = small.into_iter().chain(large).collect();
    let order = send_all(&mut queue, &tickets, 1);
    for turns in order.chunks(42).take(4) {
        let of_large = turns.iter().filter(|at| **at >= 200).count();
        assert_eq!(of_large, 2, "of 42 requests in turn, two large ones have as much work as 40 small ones: {order:?}");
    }
}

/// Requests keep coming, at twice the rate of sending. Guards against starvation of a workspace with few requests,
/// whether its requests are large or small.
#[rstest]
#[case::large(1_000)]
#[case::as_large_as_the_others(100)]
#[case::small(5)]
fn a_workspace_with_few_requests_does_not_starve(#[case] work_tokens: u64) {
    let mut queue = WaitQueue::default();
    let mut tickets = Vec::new();
    let rare = queue.join(&request("rare", 1, 0, 999_999, work_tokens));
    let mut turn = 0;
    while !queue.is_next(rare, turn) {
        tickets.extend((0..2).map(|at| queue.join(&request(["a", "b"][at], 1, 0, 1_000 + turn, 100))));
        let next = tickets.iter().copied().find(|ticket| queue.is_next(*ticket, turn)).expect("requests wait");
        queue.on_sent(next);
        turn += 1;
    }
    assert!(turn <= 2, "the request waited for {turn} others");
}

/// Guards against a workspace that pays for requests that were given up, and against one that gains from them.
#[test]
fn only_requests_that_are_sent_count_for_their_workspace() {
    let mut queue = WaitQueue::default();
    let given_up: Vec<Ticket> = (0..20).map(|at| queue.join(&request("a", 1, 0, 1_000 + at, 100))).collect();
    let of_b = queue.join(&request("b", 1, 0, 5_000, 100));
    let of_a = queue.join(&request("a", 1, 0, 4_000, 100));
    given_up.into_iter().for_each(|ticket| queue.leave(ticket));
    assert_eq!(send_all(&mut queue, &[of_b, of_a], 1), [1, 0]);
}

/// Guards against a workspace that saves up turns while it sends nothing.
#[test]
fn a_workspace_that_begins_to_wait_gets_no_turns_for_the_past() {
    let mut queue = WaitQueue::default();
    let of_a: Vec<Ticket> = (0..20).map(|at| queue.join(&request("a", 1, 0, 1_000 + at, 100))).collect();
    of_a[..10].iter().for_each(|ticket| queue.on_sent(*ticket));
    let of_b: Vec<Ticket> = (0..5).map(|at| queue.join(&request("b", 1, 0, 2_000 + at, 100))).collect();
    let tickets: Vec<Ticket> = of_a[10..15].iter().copied().chain(of_b).collect();
    let order = send_all(&mut queue, &tickets, 1);
    let of_b_first_half = order[..6].iter().filter(|at| **at >= 5).count();
    assert!((2..=4).contains(&of_b_first_half), "{order:?}");
}

/// Sizes that are missing count as the usual work of the route; wrong ones are bounded. Guards against a size of 0,
/// which would let a workspace pass all others, and against one that is far too large, which would starve its workspace.
#[test]
fn the_work_of_a_request_follows_from_its_size_within_bounds() {
    let mut usual = UsualWork::default();
    let unknown_tokens = usual.on_arrival("brief", None);
    assert!(unknown_tokens > 0);
    for _ in 0..2_000 {
        assert!(usual.on_arrival("brief", Some(1_000)) > 0);
    }
    let usual_tokens = usual.on_arrival("brief", None);
    assert!((900..=1_000).contains(&usual_tokens), "{usual_tokens}");
    assert_eq!(usual.on_arrival("brief", Some(3_000)), 3_000);
    let (least, most) = (usual.on_arrival("brief", Some(0)), usual.on_arrival("brief", Some(u64::MAX)));
    assert!((50..=63).contains(&least) && (14_000..=17_000).contains(&most), "{least} {most}");
    assert_eq!(usual.on_arrival("notice", None), unknown_tokens, "each route has its own usual work");
}

/// Guards against sums that overflow, and against prompts that count as much as generated tokens, which take many times
/// as long.
#[test]
fn prompt_tokens_count_as_the_share_of_a_generated_token_that_they_take() {
    let size = RequestSize { prompt_tokens: 4_000, max_generated_tokens: 100 };
    assert_eq!(size.work_tokens(None), 4_100);
    let engine = EngineSpec { read_per_s: 20_000.0, step_ms: 5.0, ..EngineSpec::default() };
    assert_eq!(size.work_tokens(Some(&engine)), 140);
    assert_eq!(size.work_tokens(Some(&EngineSpec::default())), 4_100, "the engine's rates are not known");
    let huge = RequestSize { prompt_tokens: u64::MAX, max_generated_tokens: u64::MAX };
    assert_eq!(huge.work_tokens(None), u64::MAX);
}

/// What a request of the properties below consists of: workspace, priority, time until which it is on time, deadline,
/// work.
type Sample = (usize, u64, u64, u64, u64);

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

fn samples(workspaces: usize, priorities: u64) -> impl Strategy<Value = Vec<Sample>> {
    proptest::collection::vec((0..workspaces, 0..priorities, 0..1_000u64, 2_000..2_050u64, 0..300u64), 1..60)
}

fn join_all(queue: &mut WaitQueue, samples: &[Sample]) -> Vec<Ticket> {
    let join = |&(name, priority, until_ms, deadline_ms, work_tokens): &Sample| {
        queue.join(&request(NAMES[name], priority, until_ms, deadline_ms, work_tokens))
    };
    samples.iter().map(join).collect()
}

proptest! {
    /// With one workspace and one priority, the order is the same as before priorities: requests on time first, then
    /// by deadline, then by arrival.
    #[test]
    fn equal_priorities_of_one_workspace_behave_as_before(samples in samples(1, 1), now_ms in 0..1_000u64) {
        let mut queue = WaitQueue::default();
        let tickets = join_all(&mut queue, &samples);
        let mut expected: Vec<usize> = (0..samples.len()).collect();
        expected.sort_by_key(|at| (samples[*at].2 <= now_ms, samples[*at].3, *at));
        prop_assert_eq!(send_all(&mut queue, &tickets, now_ms), expected);
    }

    /// Whatever waits, no request is sent after one of the same urgency and a less urgent priority, exactly one request
    /// is next, and each request is told correctly how many go before it.
    #[test]
    fn no_request_is_overtaken_by_a_less_urgent_one(samples in samples(4, 3), now_ms in 0..1_000u64) {
        let mut queue = WaitQueue::default();
        let tickets = join_all(&mut queue, &samples);
        let ahead: Vec<usize> = samples.iter().zip(&tickets).map(|(&(name, priority, until_ms, deadline_ms, work), ticket)| {
            let waiting = request(NAMES[name], priority, until_ms, deadline_ms, work);
            queue.ahead(&PendingRequest { ticket: Some(*ticket), ..waiting }, now_ms)
        }).collect();
        let order = send_all(&mut queue, &tickets, now_ms);
        prop_assert_eq!(order.len(), samples.len());
        let class = |at: &usize| (samples[*at].2 <= now_ms, samples[*at].1);
        prop_assert!(order.iter().map(class).is_sorted(), "{:?}", order);
        prop_assert_eq!(order.iter().map(|at| ahead[*at]).collect::<Vec<_>>(), (0..order.len()).collect::<Vec<_>>());
        prop_assert!(queue.is_empty());
    }

    /// Requests join, are sent and leave in any order while time passes. Guards against a next request that is out of
    /// date: it always has the most urgent priority of those that can be on time, or else of all, and the earliest
    /// deadline of its workspace.
    #[test]
    fn the_next_request_is_known_whatever_happened_before(
        steps in proptest::collection::vec((0..4u8, any::<usize>(), 0..40u64), 1..120),
        samples in samples(4, 3),
    ) {
        let mut queue = WaitQueue::default();
        let mut waiting: Vec<(Ticket, Sample)> = Vec::new();
        let mut now_ms = 0;
        for (turn, (step, pick, passed_ms)) in steps.into_iter().enumerate() {
            now_ms += passed_ms;
            if step < 2 {
                let sample = samples[turn % samples.len()];
                let sample = (sample.0, sample.1, now_ms + sample.2 / 4, sample.3, sample.4);
                waiting.push((join_all(&mut queue, &[sample])[0], sample));
            } else if step == 2 && !waiting.is_empty() {
                queue.leave(waiting.swap_remove(pick % waiting.len()).0);
            }
            let class = |sample: &Sample| (sample.2 <= now_ms, sample.1);
            let next: Vec<usize> = (0..waiting.len()).filter(|at| queue.is_next(waiting[*at].0, now_ms)).collect();
            prop_assert_eq!(next.len(), waiting.len().min(1));
            prop_assert_eq!(queue.len(), waiting.len());
            let by_priority = |number| waiting.iter().filter(|(_, sample)| sample.1 == number).count();
            prop_assert!((0..3).all(|number| queue.waiting_at(Priority::new(number)) == by_priority(number)));
            let Some(at) = next.first().copied() else { continue };
            let (ticket, sample) = waiting[at];
            prop_assert!(waiting.iter().all(|(_, other)| class(&sample) <= class(other)));
            let rivals = waiting.iter().filter(|(_, other)| other.0 == sample.0 && class(other) == class(&sample));
            prop_assert_eq!(rivals.map(|(_, other)| other.3).min(), Some(sample.3));
            if step == 3 {
                queue.on_sent(ticket);
                waiting.swap_remove(at);
            }
        }
    }

    /// While two workspaces of a priority both wait, neither gets more than one request of work more than the other.
    #[test]
    fn workspaces_that_wait_get_equal_work(samples in samples(4, 1)) {
        let mut queue = WaitQueue::default();
        let tickets = join_all(&mut queue, &samples);
        let order = send_all(&mut queue, &tickets, 1_000);
        let mut sent_tokens: HashMap<usize, u64> = HashMap::new();
        for (turn, at) in order.iter().enumerate() {
            let waits = |name: &usize| order[turn..].iter().any(|later| samples[*later].0 == *name);
            for other in (0..NAMES.len()).filter(waits) {
                let lead_tokens = sent_tokens.get(&samples[*at].0).copied().unwrap_or(0);
                let other_tokens = sent_tokens.get(&other).copied().unwrap_or(0);
                prop_assert!(lead_tokens <= other_tokens + 300, "{:?}", order);
            }
            *sent_tokens.entry(samples[*at].0).or_default() += samples[*at].4.max(1);
        }
    }
}
