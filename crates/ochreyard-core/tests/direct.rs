//! What an entry decides that calls endpoints itself.

use std::net::SocketAddr;

use ochreyard_core::direct::{
    BoxList, BoxRecord, Catalog, EndpointChange, EndpointPool, EndpointRecord, EventSplitter, GroupNews, NoPick,
    Outcome, RankNews, Reading, RepeatBudget, RepeatLimits, Route, RouteKind, RouteTable, TellerRole, Urgency,
    WeightedService, Workspace,
};
use proptest::prelude::*;
use rstest::rstest;

fn route(prefix: &str, service: &str) -> Route {
    Route {
        name: prefix.to_owned(),
        host: "Maps.example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Repeatable,
        timeout_ms: 2_000,
        aim_ms: 300,
        gap_aim_ms: None,
        priority: 1,
        services: vec![WeightedService { service: service.to_owned(), weight: 1 }],
        max_attempts: 2,
        public: false,
    }
}

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn endpoint(port: u16) -> EndpointRecord {
    EndpointRecord {
        service: "tiles".to_owned(),
        addr: addr(port),
        data_centre: "a".to_owned(),
        slots: 2,
        is_leaving: false,
        cold_ms: 0,
    }
}

#[rstest]
#[case::longest_prefix("/a/b/c", Some("/a/b/"))]
#[case::shorter_prefix("/a/x", Some("/a/"))]
#[case::prefix_without_its_slash("/a", None)]
#[case::other_path("/b/a/", None)]
fn the_longest_prefix_of_the_host_wins(#[case] path: &str, #[case] wanted: Option<&str>) {
    let table = RouteTable::new(1).with_route(route("/a/", "x")).with_route(route("/a/b/", "y"));
    let found = table.route("maps.EXAMPLE:8080", path).map(|route| route.path_prefix.as_str());
    assert_eq!(found, wanted);
    assert!(table.route("other.example", path).is_none());
}

#[test]
fn a_split_route_gives_each_service_its_weight() {
    let mut split = route("/a/", "x");
    split.services =
        vec![WeightedService { service: "x".into(), weight: 9 }, WeightedService { service: "y".into(), weight: 1 }];
    let to_y = (0..1_000).filter(|draw| split.service_for(*draw) == Some("y")).count();
    assert_eq!(to_y, 100);
}

#[test]
fn keys_belong_to_workspaces_and_are_needed_once_there_are_any() {
    let table = RouteTable::new(1);
    assert!(!table.needs_key());
    let workspace = Workspace { name: "resort".into(), priority: None };
    let table = table.with_workspace(workspace, ["k1".to_owned()]);
    assert!(table.needs_key());
    assert_eq!(table.workspace_of("k1").map(|workspace| workspace.name.as_str()), Some("resort"));
    assert!(table.workspace_of("k2").is_none());
}

#[test]
fn of_two_records_the_newer_one_counts_whichever_comes_first() {
    let mut catalog = Catalog::new();
    let leaving = EndpointRecord { is_leaving: true, ..endpoint(1) };
    assert_eq!(catalog.take("e", 7, Some(leaving.clone()), 0), Some(EndpointChange::Known("e".into(), leaving)));
    assert_eq!(catalog.take("e", 5, Some(endpoint(1)), 0), None);
}

#[test]
fn a_record_that_goes_while_the_log_is_read_means_gone() {
    let mut catalog = Catalog::new();
    catalog.take("e", 1, Some(endpoint(1)), 0);
    assert_eq!(catalog.take("e", 2, None, 10), Some(EndpointChange::Gone("e".into())));
}

#[test]
fn a_record_that_lapsed_in_an_outage_means_gone_only_two_seconds_after_it() {
    let mut catalog = Catalog::new();
    catalog.take("stays", 1, Some(endpoint(1)), 0);
    catalog.take("dies", 2, Some(endpoint(2)), 0);
    catalog.on_log_away(1_000);
    catalog.on_log_read(6_000);
    assert_eq!(catalog.take("stays", 3, None, 6_000), None);
    assert_eq!(catalog.take("dies", 4, None, 6_000), None);
    assert!(catalog.take("stays", 5, Some(endpoint(1)), 6_900).is_some());
    assert!(catalog.overdue(7_900).is_empty());
    assert_eq!(catalog.overdue(8_100), [EndpointChange::Gone("dies".into())]);
}

#[test]
fn an_endpoint_that_a_whole_reading_no_longer_lists_is_gone() {
    let mut catalog = Catalog::new();
    catalog.take("e", 1, Some(endpoint(1)), 0);
    catalog.take("f", 2, Some(endpoint(2)), 0);
    assert_eq!(catalog.keep_only(&[("f".into(), 2)], 9, 10), [EndpointChange::Gone("e".into())]);
}

proptest! {
    #[test]
    fn events_come_out_whole_and_unchanged_however_bytes_arrive(cuts in proptest::collection::vec(1usize..9, 1..80)) {
        let text = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nversions: 1\nid: 3\ndata: d\n\nid: 4\ndata: half";
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        let mut rest = text.as_bytes();
        for cut in cuts.into_iter().chain(std::iter::repeat(9)) {
            let (piece, after) = rest.split_at(cut.min(rest.len()));
            out.extend_from_slice(&splitter.push(piece).bytes);
            rest = after;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(out, text.as_bytes()[..text.find("id: 4").unwrap()].to_vec());
        prop_assert_eq!(splitter.last_id(), Some("3"));
        prop_assert!(splitter.has_part());
    }

    #[test]
    fn boxes_that_each_see_a_part_never_repeat_more_than_the_whole_budget(
        arrivals in proptest::collection::vec((0usize..8, 0u64..40, any::<bool>()), 200..900)
    ) {
        let limits = RepeatLimits { ratio: 0.2, fixed: 90, window_ms: 10_000 };
        let mut boxes: Vec<RepeatBudget> = (0..8).map(|_| RepeatBudget::new(limits, 8)).collect();
        let (mut now_ms, mut requests, mut repeats) = (0, Vec::new(), Vec::new());
        for (at, pause_ms, wants_repeat) in arrivals {
            now_ms += pause_ms;
            boxes[at].on_request("s", now_ms);
            requests.push(now_ms);
            if wants_repeat && boxes[at].try_take("s", now_ms) {
                repeats.push(now_ms);
            }
            let recent = |all: &[u64]| all.iter().filter(|then| **then + 10_000 > now_ms).count() as f64;
            prop_assert!(recent(&repeats) <= 0.2 * recent(&requests) + 90.0);
        }
    }
}

fn pool(ports: impl IntoIterator<Item = u16>) -> EndpointPool {
    let mut pool = EndpointPool::new();
    ports.into_iter().for_each(|port| pool.apply(EndpointChange::Known(format!("e{port}"), endpoint(port))));
    pool
}

fn news(is_serving: bool, ports: &[u16], running: u64) -> GroupNews {
    let ranks = ports
        .iter()
        .map(|port| RankNews { endpoint: format!("e{port}"), running, waiting: 0, pace_permille: 1_000 })
        .collect();
    GroupNews {
        service: "tiles".into(),
        group: format!("g{}", ports[0]),
        teller: TellerRole::Leads,
        is_serving,
        step_ms: 0,
        ranks,
    }
}

#[test]
fn the_endpoint_with_least_of_our_own_requests_is_picked() {
    let mut pool = pool([1, 2]);
    pool.on_start("e1", Urgency::InAim);
    assert_eq!(pool.pick("tiles", &[], Urgency::InAim, 0, 0).unwrap().id, "e2");
    assert_eq!(pool.pick("tiles", &["e2".into()], Urgency::InAim, 0, 0).unwrap().id, "e1");
    assert_eq!(pool.pick("other", &[], Urgency::InAim, 0, 0), Err(NoPick::Nobody));
}

#[test]
fn an_endpoint_that_leaves_gets_nothing_more() {
    let mut pool = pool([1]);
    pool.apply(EndpointChange::Known("e1".into(), EndpointRecord { is_leaving: true, ..endpoint(1) }));
    assert_eq!(pool.pick("tiles", &[], Urgency::InAim, 0, 0), Err(NoPick::Nobody));
}

#[test]
fn an_address_that_passed_to_another_endpoint_keeps_no_history() {
    let mut pool = pool([1]);
    pool.on_start("e1", Urgency::InAim);
    pool.on_end("e1", Urgency::InAim, Outcome::Unreachable, 0);
    pool.apply(EndpointChange::Gone("e1".into()));
    pool.apply(EndpointChange::Known("new".into(), endpoint(1)));
    assert_eq!(pool.pick("tiles", &[], Urgency::InAim, 0, 1).unwrap().id, "new");
}

#[test]
fn one_that_cannot_be_reached_is_set_aside_but_used_where_no_other_is_left() {
    let mut pool = pool([1, 2]);
    pool.on_start("e1", Urgency::InAim);
    pool.on_end("e1", Urgency::InAim, Outcome::Unreachable, 0);
    assert!((0..20).all(|draw| pool.pick("tiles", &[], Urgency::InAim, draw, 100).unwrap().id == "e2"));
    assert_eq!(pool.pick("tiles", &["e2".into()], Urgency::InAim, 0, 100).unwrap().id, "e1");
}

#[test]
fn a_group_that_stands_is_passed_over_until_its_leader_falls_silent() {
    let mut pool = pool([1, 2]);
    pool.on_news(&news(false, &[1], 0), 0);
    pool.on_news(&news(true, &[2], 1), 0);
    assert!((0..20).all(|draw| pool.pick("tiles", &[], Urgency::InAim, draw, 100).unwrap().id == "e2"));
    assert!((0..20).any(|draw| pool.pick("tiles", &[], Urgency::InAim, draw, 5_000).unwrap().id == "e1"));
}

#[test]
fn a_rank_at_fault_takes_its_group_out_for_a_while() {
    let mut pool = pool([1, 2]);
    pool.on_news(&news(true, &[1], 0), 0);
    pool.on_news(&news(true, &[2], 1), 0);
    pool.on_group_fault("e1", 10);
    assert_eq!(pool.pick("tiles", &[], Urgency::InAim, 0, 100).unwrap().id, "e2");
    pool.on_news(&news(true, &[1], 0), 700);
    pool.on_news(&news(true, &[2], 1), 700);
    assert_eq!(pool.pick("tiles", &[], Urgency::InAim, 0, 800).unwrap().id, "e1");
}

#[test]
fn a_full_group_is_said_to_be_full() {
    let mut pool = pool([1]);
    pool.on_news(&news(true, &[1], 3), 0);
    assert_eq!(pool.pick("tiles", &[], Urgency::InAim, 0, 1), Err(NoPick::Full));
}

#[test]
fn a_slow_rank_gets_requests_only_where_no_other_is_left() {
    let mut pool = pool([1, 2]);
    let mut slow = news(true, &[1, 2], 0);
    slow.ranks[0].pace_permille = 4_000;
    pool.on_news(&slow, 0);
    pool.on_start("e2", Urgency::InAim);
    assert_eq!(pool.pick("tiles", &[], Urgency::InAim, 0, 1).unwrap().id, "e2");
    assert_eq!(pool.pick("tiles", &["e2".into()], Urgency::InAim, 0, 1).unwrap().id, "e1");
    assert_eq!(pool.pick("tiles", &[], Urgency::InAim, 0, 5_000).unwrap().id, "e1");
}

#[test]
fn an_endpoint_whose_leader_told_that_it_goes_on_is_not_silent() {
    let mut pool = pool([1, 2]);
    pool.on_news(&news(true, &[1], 3), 5_000);
    pool.on_news(&news(false, &[2], 3), 5_000);
    assert!(!pool.is_silent("e1", 1_000, 5_500), "its leader saw its step go on just now");
    assert!(pool.is_silent("e2", 1_000, 5_500), "its group stands");
    assert!(pool.is_silent("e1", 1_000, 6_500), "its leader has fallen silent");
}

#[test]
fn boxes_that_know_the_same_old_load_do_not_all_pick_the_same_endpoint() {
    let ports: Vec<u16> = (1..=16).collect();
    let mut pool = pool(ports.iter().copied());
    let mut told = news(true, &ports, 2);
    told.ranks[7].running = 0;
    told.ranks[8].running = 3;
    pool.on_news(&told, 0);
    let picks: Vec<String> =
        (0..400).map(|draw| pool.pick("tiles", &[], Urgency::InAim, draw, 10).unwrap().id).collect();
    let at = |id: &str| picks.iter().filter(|pick| *pick == id).count();
    assert!((40..160).contains(&at("e8")), "the least loaded is preferred, not flooded: {}", at("e8"));
    assert_eq!(at("e9"), 0, "the most loaded of a draw is never picked");
}

fn boxes(names: &[&str]) -> BoxList {
    let mut boxes = BoxList::default();
    for (at, name) in names.iter().enumerate() {
        boxes.take(name, BoxRecord { addr: addr(at as u16 + 1), cores_permille: 250, link_mbps: 100 });
    }
    boxes
}

#[test]
fn two_boxes_read_for_all_and_the_others_agree_on_them() {
    let names: Vec<String> = (0..9).map(|at| format!("box-{at}")).collect();
    let others = |own: &str| {
        let others: Vec<&str> = names.iter().map(String::as_str).filter(|name| *name != own).collect();
        boxes(&others)
    };
    let asked: Vec<Option<SocketAddr>> =
        names.iter().map(|own| Reading::new(2_000).box_to_ask(own, &others(own))).collect();
    assert_eq!(asked.iter().filter(|asked| asked.is_none()).count(), 2, "{asked:?}");
    let reader = names.iter().zip(&asked).find(|(_, asked)| asked.is_none()).map(|(name, _)| name).unwrap();
    assert!(Reading::new(2_000).box_to_ask("alone", &BoxList::default()).is_none(), "a box alone reads for itself");
    assert!(!reader.is_empty());
}

#[test]
fn a_box_reads_for_itself_once_what_it_was_told_is_old_and_asks_another_one() {
    let others = boxes(&["a", "b", "c", "d"]);
    // Of five boxes, the last ones of the order are told; one of these names is among them.
    let own = ["v", "w", "x", "y", "z"].into_iter().find(|own| Reading::new(2_000).box_to_ask(own, &others).is_some());
    let own = own.expect("one of five comes after two others");
    let mut reading = Reading::new(2_000);
    let first = reading.box_to_ask(own, &others);
    assert!(!reading.is_fresh(0), "nothing is known yet");
    assert!(reading.take_told(40, 1_000, 1_300));
    assert!(reading.is_fresh(2_100), "well within the time of 2,000 ms");
    assert!(!reading.is_fresh(2_200));
    assert_eq!(reading.box_to_ask(own, &others), first);
    assert!(!reading.take_told(50, 1_000, 2_300), "it knows only what is old");
    assert_ne!(reading.box_to_ask(own, &others), first);
    assert!(!reading.take_told(30, 2_300, 2_300), "it has not come as far as we have");
    assert_eq!(reading.next(), Some(40));
}

#[test]
fn another_box_is_told_of_an_entry_that_lapsed_only_once_that_is_settled() {
    let mut catalog = Catalog::new();
    catalog.take("e1", 1, Some(endpoint(1)), 0);
    catalog.take("e1", 5, Some(endpoint(1)), 0);
    assert_eq!(catalog.changed_since(2).count(), 0, "the later record says the same");
    catalog.on_log_away(100);
    catalog.on_log_read(200);
    catalog.take("e1", 7, None, 300);
    assert_eq!(catalog.changed_since(2).count(), 0);
    // Told as fresh with this change withheld, another box would go on sending work there
    // (rule DRAIN on hehuan-maps-grown scale-2).
    assert!(!catalog.is_settled(), "nobody may rely on what is told now");
    assert_eq!(catalog.overdue(2_400).len(), 1);
    let told: Vec<(&str, u64, bool)> =
        catalog.changed_since(7).map(|(id, at, record)| (id, at, record.is_some())).collect();
    assert_eq!(told, [("e1", 7, false)]);
    assert!(catalog.is_settled());
}

#[test]
fn of_two_groups_the_one_with_shorter_steps_gets_more() {
    let mut pool = pool([1, 2]);
    pool.on_news(&GroupNews { step_ms: 100, ..news(true, &[1], 0) }, 0);
    pool.on_news(&GroupNews { step_ms: 40, ..news(true, &[2], 1) }, 0);
    assert!((0..20).all(|draw| pool.pick("tiles", &[], Urgency::InAim, draw, 1).unwrap().id == "e2"));
}

#[test]
fn a_service_is_down_only_while_none_of_its_groups_goes_on() {
    let mut pool = pool([1, 2]);
    assert!(!pool.is_down("tiles", 0), "nobody told of a group yet");
    pool.on_news(&news(false, &[1], 0), 0);
    assert!(!pool.is_down("tiles", 1));
    pool.on_news(&news(false, &[2], 0), 1);
    assert!(pool.is_down("tiles", 2));
    assert!(!pool.is_down("other", 2), "a service without endpoints is not known to be down");
    pool.on_news(&news(true, &[2], 0), 3);
    assert!(!pool.is_down("tiles", 4));
}

#[test]
fn nothing_is_sent_to_a_service_whose_groups_all_stand() {
    let mut pool = pool([1, 2]);
    assert!(!pool.knows_group("tiles"));
    pool.on_news(&news(false, &[1, 2], 0), 0);
    assert!(pool.knows_group("tiles"));
    for urgency in [Urgency::InAim, Urgency::Late] {
        assert_eq!(pool.pick("tiles", &[], urgency, 0, 1), Err(NoPick::Stands));
    }
    assert!(pool.pick("tiles", &[], Urgency::InAim, 0, 2_000).is_ok(), "old news say nothing: somebody has to try");
    pool.on_news(&news(true, &[1, 2], 0), 2_001);
    assert!(pool.pick("tiles", &[], Urgency::InAim, 0, 2_002).is_ok());
}

#[test]
fn requests_that_are_late_leave_places_to_those_in_their_aim() {
    let mut pool = pool([1]);
    let slots = pool.slots("tiles");
    let most = (0..).find(|_| {
        let is_full = pool.pick("tiles", &[], Urgency::Late, 0, 1) == Err(NoPick::Full);
        if !is_full {
            pool.on_start("e1", Urgency::Late);
        }
        is_full
    });
    assert_eq!(most, Some(pool.late_in_flight("tiles")));
    assert!(pool.late_in_flight("tiles") >= slots / 2);
    assert!(pool.pick("tiles", &[], Urgency::InAim, 0, 1).is_ok());
    pool.on_end("e1", Urgency::Late, Outcome::Good, 2);
    assert!(pool.pick("tiles", &[], Urgency::Late, 0, 2).is_ok());
}

#[test]
fn a_group_is_unled_once_its_leader_is_silent_or_has_stood_down() {
    let mut pool = pool([1, 2]);
    assert!(pool.has_endpoint_without_group("tiles"));
    pool.on_news(&news(true, &[1, 2], 0), 0);
    assert!(!pool.has_endpoint_without_group("tiles"));
    assert!(!pool.has_unled_group("tiles", 899));
    assert!(pool.has_unled_group("tiles", 900), "well after a lease without a word");
    pool.on_news(&news(true, &[1, 2], 0), 1_000);
    pool.on_news(&GroupNews { teller: TellerRole::StoodDown, ..news(true, &[1], 0) }, 1_001);
    assert!(pool.is_unled("tiles", "g1", 1_001));
}

#[test]
fn an_observer_counts_only_where_nobody_leads() {
    let mut pool = pool([1]);
    let observed = GroupNews { teller: TellerRole::Observes, ..news(false, &[1], 0) };
    pool.on_news(&news(true, &[1], 0), 0);
    pool.on_news(&observed, 500);
    assert!(!pool.is_down("tiles", 500), "the leader sees more of the group");
    pool.on_news(&observed, 1_000);
    assert!(pool.is_down("tiles", 1_000));
    assert!(!pool.has_unled_group("tiles", 1_500), "one entry watches whether it can be led");
    assert!(pool.has_unled_group("tiles", 1_900));
}

#[test]
fn a_group_that_nobody_tells_of_is_served() {
    let pool = pool([1, 2]);
    assert!(!pool.is_down("tiles", 60_000));
    assert!(pool.pick("tiles", &[], Urgency::InAim, 1, 60_000).is_ok());
}
