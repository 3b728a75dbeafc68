//! Leads a group while most of its agents grant it.

mod decision;
mod entry_news;
mod finding;
mod hold_rank;
mod observation;
mod proposal;
mod round;

use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use ochreyard_core::direct::ReporterRole;
use ochreyard_core::group_map::{
    ArmingTimes, Demand, LeaderId, Leadership, MapController, MapControllerSettings, MeanSkew, Round, SentOrder,
    ShiftResponseTimes,
};
use ochreyard_direct::{Dialect, Entry};
use ochreyard_rank::{EngineFactory, LeaderRequest};

use self::finding::Finding;
use crate::members::Members;
use crate::pace_note::PaceNote;
use crate::questions::ask_agent;
use crate::sent_maps::SentMaps;
use crate::settings::LeaderSettings;
use crate::step_progress::StepProgress;
use crate::teller::Teller;

/// Pause between looks at a group that cannot be led from here, because too few of its
/// agents are reached.
const OBSERVE_PAUSE: Duration = Duration::from_millis(300);
/// Looks at such a group before another entry may try.
const OBSERVED_ROUNDS: u32 = 10;

/// Leads one group, for one time.
pub struct Leader<D, S> {
    entry: Rc<Entry<D>>,
    engines: S,
    service: String,
    settings: LeaderSettings,
    /// Another one each time: then no number of a map is used twice.
    me: LeaderId,
    leadership: Leadership,
    controller: MapController,
    members: Members,
    finding: Finding,
    sent_maps: SentMaps,
    teller: Teller<D>,
    progress: StepProgress,
    mean_skew: MeanSkew,
    pace_note: PaceNote,
    is_serving: bool,
    demand: Option<Demand>,
    counts_asked_ms: u64,
    /// Whether the demand has shifted since the change under way was planned.
    is_outdated: bool,
    shift_times: ShiftResponseTimes,
    arming_times: ArmingTimes,
    pending: Vec<(usize, SentOrder)>,
    last_round: Round,
    busy_noted_ms: u64,
    /// How long the last search for a map took.
    search_ms: u64,
}

impl<D: Dialect, S: EngineFactory> Leader<D, S> {
    /// A leader that has asked nobody yet.
    pub fn new(entry: Rc<Entry<D>>, engines: S, service: &str, members: Members, settings: LeaderSettings) -> Self {
        let me = LeaderId { life: entry.next_random() };
        // Any rank will do; leaders that follow each other take different ones.
        let hold_rank = usize::try_from(me.life % members.size.max(1) as u64).unwrap_or(0);
        Self {
            teller: Teller::new(Rc::clone(&entry)),
            entry,
            engines,
            service: service.to_owned(),
            settings,
            me,
            leadership: Leadership::new(settings.lease_ms),
            controller: MapController::new(MapControllerSettings::default(), hold_rank, me.life),
            members,
            finding: Finding::default(),
            sent_maps: SentMaps::default(),
            progress: StepProgress::default(),
            mean_skew: MeanSkew::default(),
            pace_note: PaceNote::default(),
            is_serving: true,
            demand: None,
            counts_asked_ms: 0,
            is_outdated: false,
            shift_times: ShiftResponseTimes::default(),
            arming_times: ArmingTimes::default(),
            pending: Vec::new(),
            last_round: Round::default(),
            busy_noted_ms: 0,
            search_ms: 0,
        }
    }

    /// Leads until most agents no longer grant it. Where too few are reached, tells the
    /// entries that are what they show, and waits for more. Says whether this box has
    /// turned out too slow to lead.
    pub async fn run(mut self) -> bool {
        let mut reached = self.members.len();
        for _ in 0..OBSERVED_ROUNDS {
            if reached * 2 > self.members.size {
                self.lead().await;
                self.stand_down().await;
                return self.is_too_slow();
            }
            let Some(seen) = self.observe().await else { break };
            reached = seen;
            tokio::time::sleep(OBSERVE_PAUSE).await;
        }
        false
    }

    /// Whether the last search took longer than the agents wait for a word of their leader:
    /// boxes turn slow for seconds, and another one searches while this one would be missed.
    const fn is_too_slow(&self) -> bool {
        self.search_ms > self.settings.lease_ms
    }

    fn now_ms(&self) -> u64 {
        self.entry.clock.now_ms()
    }

    /// Leads until most agents no longer grant it, or this entry stops.
    async fn lead(&mut self) {
        let (group, size) = (self.members.group.clone(), self.members.size);
        log::info!("event=leading_asked group={group}");
        let mut is_leading = false;
        while !self.entry.is_stopping.get() {
            // A process may have stood still: what it knew of the group is void once its
            // grants have run out, even if it is granted again.
            if is_leading && !self.leadership.has_majority(size, self.now_ms(), 0) {
                log::info!("event=leading_lapsed group={group}");
                return;
            }
            let asked_ms = self.now_ms();
            let holder = self.round().await;
            if !self.leadership.has_majority(size, self.now_ms(), 0) {
                log::info!("event=leading_ended group={group} holder={holder:?}");
                return;
            }
            if !is_leading {
                is_leading = true;
                log::info!("event=leading group={group} hold_rank={}", self.controller.hold_rank());
            }
            self.act_on_round().await;
            if self.is_too_slow() {
                log::info!("event=leading_too_slow group={group} search_ms={}", self.search_ms);
                return;
            }
            tokio::time::sleep(self.pause(asked_ms)).await;
        }
        log::info!("event=leading_stopped group={group}");
    }

    /// Goes on with a change, and tells of the group, as the last round showed it.
    async fn act_on_round(&mut self) {
        self.find_missing();
        if self.controller.is_copying() {
            self.look_at_hold_rank().await;
        }
        self.decide().await;
        if self.controller.is_placing_hold() {
            self.place_hold().await;
        }
        self.note_pace();
        self.tell_entries(ReporterRole::Leads);
    }

    /// Tells now and then how fast the group's steps are.
    fn note_pace(&mut self) {
        let now_ms = self.now_ms();
        let mut note = std::mem::take(&mut self.pace_note);
        note.note(&self.members.group, &self.last_round.views, now_ms, || self.present_skew());
        self.pace_note = note;
    }

    /// Gives back what was granted, and tells entries: another one should not wait until
    /// grants run out.
    async fn stand_down(&mut self) {
        self.leadership.clear();
        self.pending.clear();
        let ask = LeaderRequest { releases_grant: true, ..self.plain_ask() };
        let told = self.members.iter().map(|(_, member)| ask_agent(Rc::clone(&member.link), ask.clone(), 1));
        join_all(told).await;
        self.tell(ReporterRole::StoodDown);
    }
}
