//! The list of other boxes: who is reached where, and who answers no questions.

use std::net::SocketAddr;

use ochreyard_core::direct::{BoxList, BoxRecord};

/// Questions without an answer after which a box counts as silent.
const UNANSWERED: usize = 3;

fn addr(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 9_000))
}

fn record(last: u8) -> BoxRecord {
    BoxRecord { addr: addr(last), data_centre: "a".to_owned(), cores_permille: 240, link_mbps: 40 }
}

fn present(boxes: &BoxList, now_ms: u64) -> Vec<&str> {
    boxes.responsive(now_ms).map(|(name, _)| name).collect()
}

fn leave_unanswered(boxes: &mut BoxList, at: SocketAddr) {
    (0..UNANSWERED).for_each(|_| boxes.on_poll_unanswered(at, 0));
}

#[test]
fn a_box_that_leaves_questions_unanswered_is_silent_until_it_is_heard() {
    let mut boxes = BoxList::default();
    boxes.insert("x", record(1));
    boxes.insert("y", record(2));
    leave_unanswered(&mut boxes, addr(1));
    assert_eq!(present(&boxes, 0), ["y"]);
    boxes.on_heard(addr(1), 1);
    assert_eq!(present(&boxes, 1), ["x", "y"]);
}

#[test]
fn a_box_that_has_moved_is_known_at_its_new_address_only() {
    let mut boxes = BoxList::default();
    boxes.insert("x", record(1));
    boxes.insert("x", record(2));
    leave_unanswered(&mut boxes, addr(1));
    assert_eq!(present(&boxes, 0), ["x"]);
    leave_unanswered(&mut boxes, addr(2));
    assert!(present(&boxes, 0).is_empty());
}

/// The platform gives the address of a box that is gone to another one.
#[test]
fn an_address_belongs_to_the_box_that_was_last_known_there() {
    let mut boxes = BoxList::default();
    boxes.insert("x", record(1));
    boxes.insert("y", record(1));
    boxes.insert("x", record(2));
    leave_unanswered(&mut boxes, addr(1));
    assert_eq!(present(&boxes, 0), ["x"]);
}
