//! Which groups admit a request, each group asked once.

use std::cell::RefCell;

use super::{EndpointPool, Member, PickRequest};

/// Which groups admit a request. Each group is asked once for a pick: where no group of a service has room, all of its
/// ranks are looked at, and every waiting request does so 100 times a second.
pub struct GroupAdmissions<'a> {
    pool: &'a EndpointPool,
    request: &'a PickRequest<'a>,
    now_ms: u64,
    asked: RefCell<Vec<(&'a str, bool)>>,
}

impl<'a> GroupAdmissions<'a> {
    /// Creates the answers for a request, of which none is known yet.
    pub const fn new(pool: &'a EndpointPool, request: &'a PickRequest<'a>, now_ms: u64) -> Self {
        Self { pool, request, now_ms, asked: RefCell::new(Vec::new()) }
    }

    /// Returns whether the group of an endpoint, if it has one, admits the request.
    pub fn admits(&self, member: &'a Member) -> bool {
        let Some(name) = member.group.as_deref() else { return true };
        let mut asked = self.asked.borrow_mut();
        if let Some((_, is_admitted)) = asked.iter().find(|(other, _)| *other == name) {
            return *is_admitted;
        }
        let group = self.pool.group_of(member);
        let is_admitted = group.is_none_or(|group| group.admits(self.request, self.now_ms));
        asked.push((name, is_admitted));
        is_admitted
    }
}
