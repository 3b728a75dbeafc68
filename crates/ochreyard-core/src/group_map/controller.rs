//! One change of a group's map at a time, driven by fresh views of all ranks.
//!
//! The steps are: prepare everywhere; hold a step ahead at one rank; arm the new
//! map for that step everywhere; once every rank has confirmed, release the hold.
//! If not all confirm, everything is undone before the hold is released.
//!
//! Orders may be carried out seconds late. A rank arms only the map that it
//! prepared last, so a late arm is void once a newer map has been prepared: before
//! an undone hold is released, every rank whose arm may still be under way is made
//! to prepare the present map under a new number. Numbers of maps are never used
//! by two leaders, so that no late order can mix two maps under one number.
//!
//! A release fits any hold of its step, so no step is held twice: a new hold waits
//! until the steps of all earlier ones have begun.
//!
//! A hold that a former leader left is first backed by one of our own at another
//! rank: the former leader's late release cannot open the group while its arms
//! are undone.

mod advance;
mod orders;
mod phase;
mod round;
mod settings;

pub use self::phase::ChangePhase;
pub use self::round::Round;
pub use self::settings::MapControllerSettings;
use super::order::{Order, OrderOutcome, RankView, SentOrder};
use super::placement::GroupPlacement;

/// Numbers of maps end in a mark of their leader below this bound; together with
/// the count of changes they stay exact in JSON.
const VERSION_MARKS: u64 = 1 << 20;

/// Most doublings of the distance by which numbers are raised after refusals.
const MAX_DOUBLINGS: u32 = 10;

/// The orders of one leader for one group.
#[derive(Debug, Clone)]
pub struct MapController {
    settings: MapControllerSettings,
    phase: ChangePhase,
    since_ms: u64,
    next_sent_ms: u64,
    pause_until_ms: u64,
    timeout_ms: u64,
    target: Option<GroupPlacement>,
    current_map: Option<(u64, GroupPlacement)>,
    epoch: Option<u64>,
    hold_rank: usize,
    version_mark: u64,
    highest_version: u64,
    refused_in_turn: u32,
    /// The step of our own confirmed hold.
    held_step: u64,
    /// No hold is placed before this step has begun: a late release of an earlier
    /// hold, of this leader or another, would fit a new hold of the same step.
    clear_from: Option<u64>,
    /// By rank: the map that may still be armed by an order under way.
    unfenced: Vec<Option<u64>>,
    switched: u64,
    undone: u64,
}

impl MapController {
    /// A controller that knows nothing of the group yet. Its holds are placed at
    /// `hold_rank`. `life` marks its numbers of maps.
    #[must_use]
    pub const fn new(settings: MapControllerSettings, hold_rank: usize, life: u64) -> Self {
        Self {
            settings,
            hold_rank,
            version_mark: life % VERSION_MARKS,
            phase: ChangePhase::Idle,
            since_ms: 0,
            next_sent_ms: 0,
            pause_until_ms: 0,
            timeout_ms: 0,
            target: None,
            current_map: None,
            epoch: None,
            highest_version: 0,
            refused_in_turn: 0,
            held_step: 0,
            clear_from: None,
            unfenced: Vec::new(),
            switched: 0,
            undone: 0,
        }
    }

    /// Begins to lead, or to lead again: everything is forgotten but the numbers of
    /// maps, since orders of an earlier time may still be carried out.
    #[must_use]
    pub const fn restarted(&self, hold_rank: usize) -> Self {
        let mut restarted = Self::new(self.settings, hold_rank, self.version_mark);
        restarted.highest_version = self.highest_version;
        restarted
    }

    /// Where it stands.
    #[must_use]
    pub const fn phase(&self) -> &ChangePhase {
        &self.phase
    }

    /// Whether a change or a clean-up is under way, so that ranks should be asked often.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.phase != ChangePhase::Idle
    }

    /// Whether experts are being copied, which takes long and needs no haste.
    #[must_use]
    pub const fn is_copying(&self) -> bool {
        matches!(self.phase, ChangePhase::Preparing { .. })
    }

    /// The rank at which holds are placed.
    #[must_use]
    pub const fn hold_rank(&self) -> usize {
        self.hold_rank
    }

    /// Whether a hold is to be placed and confirmed next.
    #[must_use]
    pub const fn is_placing_hold(&self) -> bool {
        matches!(self.phase, ChangePhase::Holding { .. })
    }

    /// Whether ranks must be reached even where their agents are down.
    #[must_use]
    pub const fn must_reach_all(&self) -> bool {
        matches!(self.phase, ChangePhase::Backing { .. } | ChangePhase::Undoing | ChangePhase::Releasing)
    }

    /// Changes that came into use, and changes that were undone.
    #[must_use]
    pub const fn change_counts(&self) -> (u64, u64) {
        (self.switched, self.undone)
    }

    /// The placement that is known to be in use, and its number.
    #[must_use]
    pub const fn current_map(&self) -> Option<&(u64, GroupPlacement)> {
        self.current_map.as_ref()
    }

    /// Sets the placement that the ranks told of map `version`.
    pub fn set_current_map(&mut self, version: u64, placement: GroupPlacement) {
        self.current_map = Some((version, placement));
    }

    /// Whether a change has been released, and the step that begins with it is about to come.
    #[must_use]
    pub fn is_about_to_switch(&self, views: &[Option<RankView>]) -> bool {
        let is_due = |view: &RankView| view.armed.is_some() && view.running > 0;
        self.phase == ChangePhase::Idle && views.iter().flatten().any(is_due)
    }

    /// Whether the map of this number is known: it is in use, or armed and released.
    #[must_use]
    pub fn knows_map_of(&self, view: &RankView) -> bool {
        let Some((version, _)) = self.current_map.as_ref() else { return false };
        *version == view.map || view.armed.is_some_and(|armed| armed.version == *version)
    }

    /// Whether a new map may be proposed, given these views.
    #[must_use]
    pub fn accepts_proposal(&self, views: &[Option<RankView>], now_ms: u64) -> bool {
        let Some(views) = all_of_one_epoch(views) else { return false };
        let map = views[0].map;
        self.phase == ChangePhase::Idle
            && self.clear_from.is_some_and(|step| newest_step(&views) >= step)
            && now_ms >= self.pause_until_ms
            && self.current_map.as_ref().is_some_and(|(version, _)| *version == map)
            && views.iter().all(|view| view.is_open && !view.is_busy && view.map == map)
            && views.iter().all(|view| view.armed.is_none() && view.held.is_none())
    }

    /// Whether a change that has only copied so far may give way to another one. Its map
    /// is armed nowhere, and the next one gets a higher number.
    #[must_use]
    pub fn is_preemptible(&self, views: &[Option<RankView>]) -> bool {
        let is_untouched = |view: &&RankView| view.armed.is_none() && view.held.is_none() && view.is_open;
        self.is_copying() && all_of_one_epoch(views).is_some_and(|views| views.iter().all(is_untouched))
    }

    /// Starts a change; `max_copies_per_rank` is the most that one rank copies.
    pub fn propose(&mut self, placement: GroupPlacement, max_copies_per_rank: usize, now_ms: u64) {
        let version = self.next_version();
        self.target = Some(placement);
        let copying_ms = (max_copies_per_rank as f64 * self.settings.timeout_per_copy_ms) as u64;
        self.timeout_ms = copying_ms + self.settings.prepare_slack_ms;
        self.enter(ChangePhase::Preparing { version }, now_ms);
    }

    /// A number above all that are known, and never used by another leader.
    const fn next_version(&mut self) -> u64 {
        self.highest_version = (self.highest_version / VERSION_MARKS + 1) * VERSION_MARKS + self.version_mark;
        self.highest_version
    }

    fn enter(&mut self, phase: ChangePhase, now_ms: u64) {
        self.phase = phase;
        self.since_ms = now_ms;
        self.next_sent_ms = now_ms;
    }

    /// Takes a round, and says what to send to which rank. Orders may be given
    /// only while the lease holds.
    pub fn on_round(&mut self, round: &Round, now_ms: u64) -> Vec<(usize, SentOrder)> {
        self.note_outcomes(&round.outcomes);
        self.note_versions(&round.views);
        self.climb_if_refused(&round.outcomes, now_ms);
        let Some(views) = all_of_one_epoch(&round.views) else {
            self.on_incomplete(&round.views, now_ms);
            return Vec::new();
        };
        if self.epoch.replace(views[0].epoch) != Some(views[0].epoch) {
            self.on_new_epoch(&views, now_ms);
        }
        // Earlier leaders placed their holds at most so far ahead of steps that had begun.
        self.clear_from.get_or_insert(newest_step(&views) + self.settings.steps_ahead);
        if !views.iter().all(|view| view.is_open) {
            return Vec::new();
        }
        self.note_fences(&views);
        self.advance(&views, now_ms);
        self.orders(&views, now_ms)
    }

    /// The group formed anew: map 0, nothing prepared, armed or held.
    fn on_new_epoch(&mut self, views: &[&RankView], now_ms: u64) {
        self.unfenced = vec![None; views.len()];
        self.target = None;
        self.clear_from = None;
        self.enter(ChangePhase::Idle, now_ms);
        if self.current_map.as_ref().is_some_and(|(version, _)| *version != views[0].map) {
            self.current_map = None;
        }
    }

    fn on_incomplete(&mut self, views: &[Option<RankView>], now_ms: u64) {
        let waited_ms = self.waited_ms(now_ms);
        let is_broken = views.iter().flatten().any(|view| !view.is_open);
        match self.phase {
            ChangePhase::Preparing { .. } if waited_ms > self.timeout_ms || is_broken => self.give_up(now_ms),
            ChangePhase::Holding { .. } if waited_ms > self.settings.hold_timeout_ms => self.undo(now_ms),
            ChangePhase::Arming { .. } if waited_ms > self.settings.arm_timeout_ms => self.undo(now_ms),
            _ => {}
        }
    }

    fn note_versions(&mut self, views: &[Option<RankView>]) {
        for view in views.iter().flatten() {
            let told = [Some(view.map), view.prepared, view.armed.map(|armed| armed.version)];
            let highest = told.into_iter().flatten().max().unwrap_or(0);
            self.highest_version = self.highest_version.max(highest);
        }
    }

    fn note_outcomes(&mut self, outcomes: &[(usize, SentOrder, OrderOutcome)]) {
        for (rank, sent, outcome) in outcomes {
            // One that was taken may not show in the next view yet, so it stays open.
            let Order::Arm { version, .. } = sent.order else { continue };
            if *outcome == OrderOutcome::Refused && self.unfenced.get(*rank) == Some(&Some(version)) {
                self.unfenced[*rank] = None;
            }
        }
    }

    /// A rank refuses numbers up to the highest that it ever had, which it does not
    /// tell and a new leader does not know: the number is raised in growing steps.
    fn climb_if_refused(&mut self, outcomes: &[(usize, SentOrder, OrderOutcome)], now_ms: u64) {
        let ChangePhase::Preparing { version } = self.phase else { return };
        let is_refusal = |(_, sent, outcome): &(usize, SentOrder, OrderOutcome)| {
            let is_ours = matches!(sent.order, Order::Prepare { version: sent, .. } if sent == version);
            is_ours && *outcome == OrderOutcome::Refused
        };
        if !outcomes.iter().any(is_refusal) {
            return;
        }
        self.highest_version += VERSION_MARKS << self.refused_in_turn.min(MAX_DOUBLINGS);
        self.refused_in_turn += 1;
        self.phase = ChangePhase::Preparing { version: self.next_version() };
        self.next_sent_ms = now_ms;
    }

    /// A rank that has prepared a newer map since makes a late arm void.
    fn note_fences(&mut self, views: &[&RankView]) {
        for (unfenced, view) in self.unfenced.iter_mut().zip(views) {
            if unfenced.is_some_and(|version| view.prepared.is_some_and(|prepared| prepared > version)) {
                *unfenced = None;
            }
        }
    }

    /// Drops a change of which no rank was held or armed.
    fn give_up(&mut self, now_ms: u64) {
        self.drop_change(now_ms);
        self.enter(ChangePhase::Idle, now_ms);
    }

    /// Drops a change that ranks may be held or armed for.
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

/// The views, if there is one of each rank and all are of one epoch.
fn all_of_one_epoch(views: &[Option<RankView>]) -> Option<Vec<&RankView>> {
    let views: Vec<&RankView> = views.iter().map(Option::as_ref).collect::<Option<_>>()?;
    let first = views.first()?;
    let is_whole = first.size == views.len();
    (is_whole && views.iter().all(|view| view.epoch == first.epoch)).then_some(views)
}

fn newest_step(views: &[&RankView]) -> u64 {
    views.iter().map(|view| view.step).max().unwrap_or(0)
}
