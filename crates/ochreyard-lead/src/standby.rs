//! Stands by for a leader of another entry: takes over once it is silent and its grants have expired.

use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use ochreyard_core::group_map::{HandoverRefusal, LeadershipHandover, StandbyWatch};
use ochreyard_direct::Dialect;
use ochreyard_rank::EngineFactory;

use crate::leader_spawner::LeaderSpawner;
use crate::members::Members;
use crate::rank_discovery::query_status;

/// Pause between checks whether the leader is silent: an eighth of the time within which a standby leader begins.
const CHECK_PAUSE: Duration = Duration::from_millis(50);

/// The group for which an entry is the standby leader.
pub struct Standby {
    /// The last notice of the leader.
    notice: LeadershipHandover,
    watch: StandbyWatch,
}

impl<D: Dialect, F: EngineFactory> LeaderSpawner<D, F> {
    /// Decides on the notice of a leader, and stands by if it is accepted: for one group of the service at a time.
    pub(crate) fn on_standby_notice(self: &Rc<Self>, notice: LeadershipHandover) -> Result<(), HandoverRefusal> {
        self.drop_outdated_standby();
        let members = self.members_of(&notice);
        self.successor_state(&notice, &members).decide(&notice)?;
        let now_ms = self.entry.clock.now_ms();
        let mut standby = self.standby.borrow_mut();
        if let Some(standby) = standby.as_mut() {
            if !standby.watch.on_notice(notice.from, now_ms) {
                return Err(HandoverRefusal::LeadsOther);
            }
            standby.notice = notice;
            return Ok(());
        }
        log::info!("event=standing_by group={} leader={}", notice.group, notice.from.life);
        let watch = StandbyWatch::new(notice.from, now_ms);
        *standby = Some(Standby { notice, watch });
        drop(standby);
        let spawner = Rc::clone(self);
        tokio::task::spawn_local(async move { spawner.stand_by().await });
        Ok(())
    }

    /// Ends the standby if its leader has ended or sends no notices any more.
    fn drop_outdated_standby(&self) {
        let now_ms = self.entry.clock.now_ms();
        let is_outdated = |standby: &mut Standby| {
            let state = self.entry.state.borrow();
            let report = state.pool.last_leader_report(self.service(), &standby.notice.group, now_ms);
            !standby.watch.is_current(report, now_ms) || self.entry.is_stopping.get()
        };
        drop(self.standby.borrow_mut().take_if(is_outdated));
    }

    /// Watches the leader until the standby ends, or this entry leads.
    async fn stand_by(self: Rc<Self>) {
        loop {
            tokio::time::sleep(CHECK_PAUSE).await;
            self.drop_outdated_standby();
            if self.standby.borrow().is_none() {
                return;
            }
            let Some(notice) = self.overdue_notice() else { continue };
            let members = self.members_of(&notice);
            let free = count_free(&members).await;
            // While the agents were queried, a leader may have reported, and this entry may have begun to stop or lead.
            self.drop_outdated_standby();
            let is_needed = self.standby.borrow().is_some() && !self.leads(&notice.group);
            if is_needed && StandbyWatch::takes_over(free, notice.size) {
                self.standby.take();
                log::info!("event=standby_takes_over group={} free={free}", notice.group);
                self.spawn(members, Some(&notice));
                return;
            }
        }
    }

    /// The last notice, with the present age of the leader's last report, if the agents are to be queried now.
    fn overdue_notice(&self) -> Option<LeadershipHandover> {
        let now_ms = self.entry.clock.now_ms();
        let mut standby = self.standby.borrow_mut();
        let standby = standby.as_mut()?;
        let state = self.entry.state.borrow();
        let report = state.pool.last_leader_report(self.service(), &standby.notice.group, now_ms);
        let report_age_ms = report.map_or(0, |report| report.age_ms);
        let is_due = standby.watch.is_query_due(report, now_ms);
        is_due.then(|| LeadershipHandover { report_age_ms, ..standby.notice.clone() })
    }
}

/// Counts the agents that say that no leader holds their grant, up to a majority: some agents may not answer.
async fn count_free(members: &Members) -> usize {
    let mut statuses: FuturesUnordered<_> = members.iter().map(|(_, member)| query_status(&member.agent)).collect();
    let mut free = 0;
    while let Some(status) = statuses.next().await {
        free += usize::from(status.is_some_and(|status| status.view.is_some() && status.holder.is_none()));
        if StandbyWatch::takes_over(free, members.size) {
            break;
        }
    }
    free
}
