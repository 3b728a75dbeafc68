//! Waiting requests of one priority, ordered fairly between workspaces.
//!
//! Start-time fair queuing: each workspace has a virtual start tag, in tokens of work. The workspace with the smallest
//! tag is next, and sending a request adds its work to the tag. A workspace that begins to wait starts at the tag of
//! the latest request that was sent, so it neither pays for the past nor saves up for the future. Of a workspace, the
//! request with the earliest deadline is next. So a workspace that sends many or large requests delays only its own.

use std::collections::HashMap;
use std::sync::Arc;

use super::Ticket;

/// The place of a request among those of its workspace, ordered by deadline and then by ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    pub deadline_ms: u64,
    pub ticket: Ticket,
    pub work_tokens: u64,
}

/// The waiting requests of one workspace.
#[derive(Debug, Clone, Default)]
struct Flow {
    /// Virtual start tag of the first request, in tokens.
    start_tokens: u64,
    /// The requests in the order in which they are sent.
    places: Vec<Place>,
}

impl Flow {
    /// Sort key of the request at `at`, whose virtual start tag is `start_tokens`: the smallest goes first.
    const fn order(place: &Place, start_tokens: u64) -> (u64, u64, Ticket) {
        (start_tokens, place.deadline_ms, place.ticket)
    }

    /// Returns the sort keys of all requests, in increasing order.
    fn orders(&self) -> impl Iterator<Item = (u64, u64, Ticket)> {
        self.places.iter().scan(self.start_tokens, |start_tokens, place| {
            let order = Self::order(place, *start_tokens);
            *start_tokens = start_tokens.saturating_add(place.work_tokens);
            Some(order)
        })
    }

    fn index_of(&self, place: &Place) -> usize {
        self.places.partition_point(|other| other < place)
    }
}

/// The waiting requests of one priority.
#[derive(Debug, Clone, Default)]
pub(super) struct FairQueue {
    flows: HashMap<Arc<str>, Flow>,
    /// Virtual start tag of the latest request that was sent, in tokens.
    virtual_tokens: u64,
    len: usize,
    /// The request that is next.
    next: Option<Ticket>,
}

impl FairQueue {
    /// Adds a request of a workspace.
    pub fn insert(&mut self, workspace: &Arc<str>, place: Place) {
        let flow = self.flows.entry(Arc::clone(workspace)).or_default();
        if flow.places.is_empty() {
            flow.start_tokens = flow.start_tokens.max(self.virtual_tokens);
        }
        flow.places.insert(flow.index_of(&place), place);
        self.len += 1;
        self.update_next();
    }

    /// Removes a request. If it was sent, its work counts for its workspace.
    pub fn remove(&mut self, workspace: &str, place: &Place, was_sent: bool) {
        let Some(flow) = self.flows.get_mut(workspace) else { return };
        let at = flow.index_of(place);
        if flow.places.get(at) != Some(place) {
            return;
        }
        flow.places.remove(at);
        self.len -= 1;
        if was_sent {
            self.virtual_tokens = self.virtual_tokens.max(flow.start_tokens);
            flow.start_tokens = flow.start_tokens.saturating_add(place.work_tokens);
        }
        let virtual_tokens = self.virtual_tokens;
        self.flows.retain(|_, flow| !flow.places.is_empty() || flow.start_tokens > virtual_tokens);
        self.update_next();
    }

    fn update_next(&mut self) {
        let first_of = |flow: &Flow| flow.places.first().map(|place| Flow::order(place, flow.start_tokens));
        self.next = self.flows.values().filter_map(first_of).min().map(|(_, _, ticket)| ticket);
    }

    /// Returns the request that is next.
    pub const fn next(&self) -> Option<Ticket> {
        self.next
    }

    /// Returns the number of waiting requests.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns how many requests go before one of `workspace` at `place`, whether it waits already or not.
    pub fn ahead(&self, workspace: &str, place: &Place) -> usize {
        let own = self.flows.get(workspace);
        let at = own.map_or(0, |flow| flow.index_of(place));
        let work_before_tokens: u64 =
            own.map_or(0, |flow| flow.places[..at].iter().map(|before| before.work_tokens).sum());
        let flow_start_tokens = own.map_or(self.virtual_tokens, |flow| match flow.places.is_empty() {
            true => flow.start_tokens.max(self.virtual_tokens),
            false => flow.start_tokens,
        });
        let order = Flow::order(place, flow_start_tokens.saturating_add(work_before_tokens));
        let others = self.flows.iter().filter(|(name, _)| &***name != workspace);
        at + others.map(|(_, flow)| flow.orders().take_while(|other| *other < order).count()).sum::<usize>()
    }
}
