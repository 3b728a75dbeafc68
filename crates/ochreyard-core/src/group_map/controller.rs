//! Changes a group's map, one change at a time, driven by recent views of all ranks.
//!
//! A change prepares the new map at every rank, holds a future step at one rank, arms the
//! new map for that step at every rank, and releases the hold once every rank has confirmed.
//! If a rank does not confirm, the change is undone at every rank before the hold is released.
//!
//! Orders may be carried out seconds late. A rank arms only the map that it prepared last,
//! so preparing a newer map voids a late arm order. Before the hold of an undone change is
//! released, every rank that may still receive an arm order therefore prepares the current
//! map under a new version. Two leaders never use the same map version, so that a late order
//! cannot make ranks use two maps under one version.
//!
//! A release matches any hold of its step, so no step is held twice: a new hold is placed
//! only after the steps of all earlier holds have begun.
//!
//! Where a former leader left a hold, the controller first places a hold of its own at another
//! rank, so that a late release by the former leader cannot let the group continue while the
//! former leader's arm orders are being undone.

mod advance;
mod orders;
mod phase;
mod round;
mod settings;

pub use self::phase::ChangePhase;
pub use self::round::Round;
pub use self::settings::MapControllerSettings;
use super::leader_id::LeaderId;
use super::order::{Order, OrderOutcome, RankView, SentOrder};
use super::placement::GroupPlacement;

/// A map version is a change count times this bound, plus a tag of the leader that is below
/// the bound. Versions stay small enough to be exact in JSON.
const VERSION_TAGS: u64 = LeaderId::TAGS;

/// Most doublings of the increment by which the version is raised after refusals.
const MAX_DOUBLINGS: u32 = 10;

/// Decides on the orders that one leader sends to the ranks of one group.
#[derive(Debug, Clone)]
pub struct MapController {
    settings: MapControllerSettings,
    phase: ChangePhase,
    phase_since_ms: u64,
    next_send_ms: u64,
    pause_until_ms: u64,
    prepare_timeout_ms: u64,
    target: Option<GroupPlacement>,
    current_map: Option<(u64, GroupPlacement)>,
    epoch: Option<u64>,
    hold_rank: usize,
    version_tag: u64,
    highest_version: u64,
    consecutive_refusals: u32,
    /// The step of this controller's confirmed hold.
    held_step: u64,
    /// No hold is placed before this step has begun: a late release of an earlier
    /// hold, by this leader or another, would match a new hold of the same step.
    hold_allowed_from_step: Option<u64>,
    /// By rank: the version that an arm order in flight may still arm.
    unfenced: Vec<Option<u64>>,
    switched: u64,
    undone: u64,
}

impl MapController {
    /// Creates a controller without any state of the group. It places its holds at
    /// `hold_rank` and tags its map versions with the leader's `incarnation`.
    #[must_use]
    pub const fn new(settings: MapControllerSettings, hold_rank: usize, incarnation: u64) -> Self {
        Self {
            settings,
            hold_rank,
            version_tag: incarnation % VERSION_TAGS,
            phase: ChangePhase::Idle,
            phase_since_ms: 0,
            next_send_ms: 0,
            pause_until_ms: 0,
            prepare_timeout_ms: 0,
            target: None,
            current_map: None,
            epoch: None,
            highest_version: 0,
            consecutive_refusals: 0,
            held_step: 0,
            hold_allowed_from_step: None,
            unfenced: Vec::new(),
            switched: 0,
            undone: 0,
        }
    }

    /// Returns the controller as it is when it starts to lead, or leads again: all state is
    /// reset except for the highest map version and the tag, since earlier orders may still be carried out.
    #[must_use]
    pub const fn restarted(&self, hold_rank: usize) -> Self {
        let mut restarted = Self::new(self.settings, hold_rank, self.version_tag);
        restarted.highest_version = self.highest_version;
        restarted
    }

    /// The current phase of the change.
    #[must_use]
    pub const fn phase(&self) -> &ChangePhase {
        &self.phase
    }

    /// Whether a change or a clean-up is in progress, so that ranks should be polled often.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.phase != ChangePhase::Idle
    }

    /// Whether experts are being copied, which takes long and does not need frequent polling.
    #[must_use]
    pub const fn is_copying(&self) -> bool {
        matches!(self.phase, ChangePhase::Preparing { .. })
    }

    /// The rank at which the controller places its holds.
    #[must_use]
    pub const fn hold_rank(&self) -> usize {
        self.hold_rank
    }

    /// Whether the controller is waiting for the confirmation of a hold.
    #[must_use]
    pub const fn is_placing_hold(&self) -> bool {
        matches!(self.phase, ChangePhase::Holding { .. })
    }

    /// Whether ranks must be reached even where their agents are down.
    #[must_use]
    pub const fn must_reach_all(&self) -> bool {
        matches!(self.phase, ChangePhase::Backing { .. } | ChangePhase::Undoing | ChangePhase::Releasing)
    }

    /// The number of changes that took effect, and the number that were undone.
    #[must_use]
    pub const fn change_counts(&self) -> (u64, u64) {
        (self.switched, self.undone)
    }

    /// The placement that is known to be in use, and its version.
    #[must_use]
    pub const fn current_map(&self) -> Option<&(u64, GroupPlacement)> {
        self.current_map.as_ref()
    }

    /// Sets the placement that the ranks reported for map `version`.
    pub fn set_current_map(&mut self, version: u64, placement: GroupPlacement) {
        self.current_map = Some((version, placement));
    }

    /// The highest map version that ranks reported or this controller used.
    #[must_use]
    pub const fn highest_version(&self) -> u64 {
        self.highest_version
    }

    /// Raises the highest known version to one that a former leader knew, so that ranks refuse no version of this one.
    pub fn raise_highest_version(&mut self, version: u64) {
        self.highest_version = self.highest_version.max(version);
    }

    /// Whether a change has been released and its first step is imminent.
    #[must_use]
    pub fn is_about_to_switch(&self, views: &[Option<RankView>]) -> bool {
        let is_due = |view: &RankView| view.armed.is_some() && view.running > 0;
        self.phase == ChangePhase::Idle && views.iter().flatten().any(is_due)
    }

    /// Whether the current map is the one that the rank uses or has armed.
    #[must_use]
    pub fn knows_map_of(&self, view: &RankView) -> bool {
        let Some((version, _)) = self.current_map.as_ref() else { return false };
        *version == view.map || view.armed.is_some_and(|armed| armed.version == *version)
    }

    /// Whether a new map may be proposed, according to these views.
    #[must_use]
    pub fn accepts_proposal(&self, views: &[Option<RankView>], now_ms: u64) -> bool {
        let Some(views) = complete_views(views) else { return false };
        let map = views[0].map;
        self.phase == ChangePhase::Idle
            && self.hold_allowed_from_step.is_some_and(|step| newest_step(&views) >= step)
            && now_ms >= self.pause_until_ms
            && self.current_map.as_ref().is_some_and(|(version, _)| *version == map)
            && views.iter().all(|view| view.is_open && !view.is_busy && view.map == map)
            && views.iter().all(|view| view.armed.is_none() && view.held.is_none())
    }

    /// Whether the change in progress may be replaced by another: it has only copied so far,
    /// its map is armed at no rank, and the next map gets a higher version.
    #[must_use]
    pub fn is_preemptible(&self, views: &[Option<RankView>]) -> bool {
        let is_unaffected = |view: &&RankView| view.armed.is_none() && view.held.is_none() && view.is_open;
        self.is_copying() && complete_views(views).is_some_and(|views| views.iter().all(is_unaffected))
    }

    /// Starts a change to `placement`; `max_copies_per_rank` is the largest number of experts that one rank copies.
    pub fn propose(&mut self, placement: GroupPlacement, max_copies_per_rank: usize, now_ms: u64) {
        let version = self.next_version();
        self.target = Some(placement);
        let copying_ms = (max_copies_per_rank as f64 * self.settings.timeout_per_copy_ms) as u64;
        self.prepare_timeout_ms = copying_ms + self.settings.prepare_slack_ms;
        self.enter(ChangePhase::Preparing { version }, now_ms);
    }

    /// Returns a version above all known ones that no other leader uses.
    const fn next_version(&mut self) -> u64 {
        self.highest_version = (self.highest_version / VERSION_TAGS + 1) * VERSION_TAGS + self.version_tag;
        self.highest_version
    }

    fn enter(&mut self, phase: ChangePhase, now_ms: u64) {
        self.phase = phase;
        self.phase_since_ms = now_ms;
        self.next_send_ms = now_ms;
    }

    /// Processes a polling round and returns the orders to send, with the rank of each.
    /// The caller may send them only while it holds the lease.
    pub fn on_round(&mut self, round: &Round, now_ms: u64) -> Vec<(usize, SentOrder)> {
        self.record_outcomes(&round.outcomes);
        self.record_versions(&round.views);
        self.raise_version_if_refused(&round.outcomes, now_ms);
        let Some(views) = complete_views(&round.views) else {
            self.on_incomplete_round(&round.views, now_ms);
            return Vec::new();
        };
        if self.epoch.replace(views[0].epoch) != Some(views[0].epoch) {
            self.on_new_epoch(&views, now_ms);
        }
        // Earlier leaders placed their holds at most this far ahead of steps that had begun.
        self.hold_allowed_from_step.get_or_insert(newest_step(&views) + self.settings.steps_ahead);
        if !views.iter().all(|view| view.is_open) {
            return Vec::new();
        }
        self.record_fences(&views);
        self.advance(&views, now_ms);
        self.orders(&views, now_ms)
    }

    /// Resets the state after the group formed anew: it uses map 0, and nothing is prepared, armed or held.
    fn on_new_epoch(&mut self, views: &[&RankView], now_ms: u64) {
        self.unfenced = vec![None; views.len()];
        self.target = None;
        self.hold_allowed_from_step = None;
        self.enter(ChangePhase::Idle, now_ms);
        if self.current_map.as_ref().is_some_and(|(version, _)| *version != views[0].map) {
            self.current_map = None;
        }
    }

    fn on_incomplete_round(&mut self, views: &[Option<RankView>], now_ms: u64) {
        let waited_ms = self.waited_ms(now_ms);
        let is_closed = views.iter().flatten().any(|view| !view.is_open);
        match self.phase {
            ChangePhase::Preparing { .. } if waited_ms > self.prepare_timeout_ms || is_closed => self.give_up(now_ms),
            ChangePhase::Holding { .. } if waited_ms > self.settings.hold_timeout_ms => self.undo(now_ms),
            ChangePhase::Arming { .. } if waited_ms > self.settings.arm_timeout_ms => self.undo(now_ms),
            _ => {}
        }
    }

    fn record_versions(&mut self, views: &[Option<RankView>]) {
        for view in views.iter().flatten() {
            let reported = [Some(view.map), view.prepared, view.armed.map(|armed| armed.version)];
            let highest = reported.into_iter().flatten().max().unwrap_or(0);
            self.highest_version = self.highest_version.max(highest);
        }
    }

    fn record_outcomes(&mut self, outcomes: &[(usize, SentOrder, OrderOutcome)]) {
        for (rank, sent, outcome) in outcomes {
            // An accepted arm order may not show in the next view yet, so its version stays unfenced.
            let Order::Arm { version, .. } = sent.order else { continue };
            if *outcome == OrderOutcome::Refused && self.unfenced.get(*rank) == Some(&Some(version)) {
                self.unfenced[*rank] = None;
            }
        }
    }

    /// Raises the version after a refusal. A rank refuses versions up to the highest it has ever
    /// had, which it does not report and a new leader does not know, so the increments grow.
    fn raise_version_if_refused(&mut self, outcomes: &[(usize, SentOrder, OrderOutcome)], now_ms: u64) {
        let ChangePhase::Preparing { version } = self.phase else { return };
        let is_refusal = |(_, sent, outcome): &(usize, SentOrder, OrderOutcome)| {
            let is_current_prepare = matches!(sent.order, Order::Prepare { version: sent, .. } if sent == version);
            is_current_prepare && *outcome == OrderOutcome::Refused
        };
        if !outcomes.iter().any(is_refusal) {
            return;
        }
        self.highest_version += VERSION_TAGS << self.consecutive_refusals.min(MAX_DOUBLINGS);
        self.consecutive_refusals += 1;
        self.phase = ChangePhase::Preparing { version: self.next_version() };
        self.next_send_ms = now_ms;
    }

    /// Marks ranks as fenced that have prepared a newer map since, which voids a late arm order.
    fn record_fences(&mut self, views: &[&RankView]) {
        for (unfenced, view) in self.unfenced.iter_mut().zip(views) {
            if unfenced.is_some_and(|version| view.prepared.is_some_and(|prepared| prepared > version)) {
                *unfenced = None;
            }
        }
    }

    /// Drops a change for which no rank is held or armed.
    fn give_up(&mut self, now_ms: u64) {
        self.drop_change(now_ms);
        self.enter(ChangePhase::Idle, now_ms);
    }

    /// Drops a change for which ranks may be held or armed.
    fn undo(&mut self, now_ms: u64) {
        self.drop_change(now_ms);
        self.enter(ChangePhase::Undoing, now_ms);
    }

    fn drop_change(&mut self, now_ms: u64) {
        self.undone += 1;
        self.target = None;
        self.pause_until_ms = now_ms + self.settings.failure_pause_ms;
    }
}

/// Returns the views if there is one of each rank and all belong to one epoch.
fn complete_views(views: &[Option<RankView>]) -> Option<Vec<&RankView>> {
    let views: Vec<&RankView> = views.iter().map(Option::as_ref).collect::<Option<_>>()?;
    let first = views.first()?;
    let is_complete = first.size == views.len();
    (is_complete && views.iter().all(|view| view.epoch == first.epoch)).then_some(views)
}

fn newest_step(views: &[&RankView]) -> u64 {
    views.iter().map(|view| view.step).max().unwrap_or(0)
}
