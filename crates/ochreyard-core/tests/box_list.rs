//! The list of other boxes: their addresses, and which of them are silent.

use std::net::SocketAddr;

use ochreyard_core::direct::{BoxList, BoxRecord};

/// Number of unanswered polls after which a box counts as silent.
const UNANSWERED_POLLS: usize = 3;

fn addr(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 9_000))
}

fn record(last: u8) -> BoxRecord {
    BoxRecord { addr: addr(last), data_centre: "a".to_owned(), cores_permille: 240, link_mbps: 40 }
}

fn responsive_names(boxes: &BoxList, now_ms: u64) -> Vec<&str> {
    boxes.responsive(now_ms).map(|(name, _)| name).collect()
}

fn leave_unanswered(boxes: &mut BoxList, at: SocketAddr) {
    (0..UNANSWERED_POLLS).for_each(|_| boxes.on_poll_unanswered(at, 0));
}

#[test]
fn a_box_that_leaves_polls_unanswered_is_silent_until_it_is_heard() {
    let mut boxes = BoxList::default();
    boxes.insert("x", record(1));
    boxes.insert("y", record(2));
    leave_unanswered(&mut boxes, addr(1));
    assert_eq!(responsive_names(&boxes, 0), ["y"]);
    boxes.on_heard(addr(1), 1);
    assert_eq!(responsive_names(&boxes, 1), ["x", "y"]);
}

#[test]
fn a_box_that_changed_its_address_is_known_by_the_new_one_only() {
    let mut boxes = BoxList::default();
    boxes.insert("x", record(1));
    boxes.insert("x", record(2));
    leave_unanswered(&mut boxes, addr(1));
    assert_eq!(responsive_names(&boxes, 0), ["x"]);
    leave_unanswered(&mut boxes, addr(2));
    assert!(responsive_names(&boxes, 0).is_empty());
}

/// The platform may assign the address of a box that is gone to another one.
#[test]
fn an_address_belongs_to_the_box_that_last_had_it() {
    let mut boxes = BoxList::default();
    boxes.insert("x", record(1));
    boxes.insert("y", record(1));
    boxes.insert("x", record(2));
    leave_unanswered(&mut boxes, addr(1));
    assert_eq!(responsive_names(&boxes, 0), ["x"]);
}
