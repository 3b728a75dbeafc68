//! Replication of the quarantine between entries.

use super::crash::{CrashTime, PresentPart};
use super::quarantine_period::{MAX_PERIOD_MS, QuarantinePeriod};
use super::update::{ClearedRequest, CrashReport, LostPart, LostRequest, QuarantineEntry, QuarantineUpdate};
use super::{PromptPart, Quarantine, QuarantinedRequest};

impl Quarantine {
    /// Returns the version of the quarantine, which grows with each change. Another entry sends it back to receive only
    /// later changes.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns what changed after `version`.
    #[must_use]
    pub fn update_since(&self, version: u64, now_ms: u64) -> QuarantineUpdate {
        let age_ms = |at_ms: u64| now_ms.saturating_sub(at_ms);
        let lost_part = |present: &PresentPart| {
            let known = self.good_runs.whole(present.part.fingerprint());
            LostPart {
                id: present.part.id().to_owned(),
                good_runs: present.good_runs.max(known.map_or(0, |runs| runs.count)),
                good_age_ms: present.good_ms.max(known.map(|runs| runs.last_began_ms())).map(age_ms),
                is_tried: present.is_tried,
            }
        };
        let crashes = self.crashes.all().iter().filter(|crash| crash.version > version).map(|crash| CrashReport {
            endpoint: crash.endpoint.clone(),
            service: crash.service.clone(),
            age_ms: age_ms(crash.at_ms),
            lost: crash
                .present
                .iter()
                .map(|(fingerprint, request)| LostRequest {
                    fingerprint: *fingerprint,
                    ran_ms: request.ran_ms,
                    parts: request.parts.iter().map(lost_part).collect(),
                })
                .collect(),
        });
        let cleared = self.cleared.iter().filter(|(_, cleared)| cleared.version > version);
        let periods = self.periods.iter().filter(|(_, period)| period.version > version);
        QuarantineUpdate {
            crashes: crashes.collect(),
            cleared: cleared
                .map(|(fingerprint, cleared)| ClearedRequest {
                    fingerprint: *fingerprint,
                    age_ms: age_ms(cleared.at_ms),
                })
                .collect(),
            entries: periods.map(|(fingerprint, period)| self.quarantine_entry(*fingerprint, period, now_ms)).collect(),
            ..QuarantineUpdate::default()
        }
    }

    /// Applies the update of another entry. Returns the requests that are quarantined as a result.
    pub fn apply_update(&mut self, update: &QuarantineUpdate, now_ms: u64) -> Vec<QuarantinedRequest> {
        self.apply_delayed_update(update, 0, now_ms)
    }

    /// Applies the update of another entry that may have arrived up to `delay_ms` ago: ages do not include the time for
    /// which this process was suspended. Returns the requests that are quarantined as a result.
    pub fn apply_delayed_update(
        &mut self,
        update: &QuarantineUpdate,
        delay_ms: u64,
        now_ms: u64,
    ) -> Vec<QuarantinedRequest> {
        // Good runs must not seem to be later than crashes that came after them.
        let arrived_ms = now_ms.saturating_sub(delay_ms);
        for crash in &update.crashes {
            let at_ms = arrived_ms.saturating_sub(crash.age_ms);
            self.record_crash(&crash.endpoint, &crash.service, &crash.lost, CrashTime { at_ms, arrived_ms, delay_ms });
        }
        for entry in &update.entries {
            self.apply_entry(entry, now_ms);
        }
        for cleared in &update.cleared {
            self.clear(cleared.fingerprint, arrived_ms.saturating_sub(cleared.age_ms));
        }
        for run in &update.good_runs {
            self.apply_good_run(run, arrived_ms.saturating_sub(run.age_ms));
        }
        for trial in &update.trials {
            self.apply_trial(trial, now_ms);
        }
        self.evaluate(now_ms)
    }

    /// Applies another entry's quarantine entry, unless the request was cleared later or has been quarantined as many
    /// times here. If two entries quarantine a request independently, their times differ by milliseconds only, which is
    /// not worth an update.
    fn apply_entry(&mut self, reported: &QuarantineEntry, now_ms: u64) {
        let until_ms = now_ms + reported.left_ms.min(MAX_PERIOD_MS);
        let started_ms = now_ms.saturating_sub(reported.age_ms);
        let counts_ms = self.last_crash_ms(reported.fingerprint).map_or(started_ms, |at_ms| at_ms.min(started_ms));
        let is_cleared = self.cleared.get(&reported.fingerprint).is_some_and(|cleared| cleared.at_ms >= counts_ms);
        let is_known = self.periods.get(&reported.fingerprint).is_some_and(|known| known.times >= reported.times);
        if is_cleared || is_known || reported.times == 0 {
            return;
        }
        // A process that has just started takes a part in wide use for a new one. A trial here shows that it is healthy.
        let until_ms = if self.is_contested(reported) { now_ms } else { until_ms };
        self.version += 1;
        let period = QuarantinePeriod { started_ms, until_ms, times: reported.times, version: self.version };
        self.periods.insert(reported.fingerprint, period);
        if let Some(id) = &reported.part {
            self.part_ids.insert(PromptPart::new(id).fingerprint(), id.clone());
        }
    }

    /// Returns whether good runs with a part are known here that speak against another entry's quarantine of it.
    fn is_contested(&self, reported: &QuarantineEntry) -> bool {
        let is_due_here = self.part_scores.get(&reported.fingerprint).is_some_and(|score| score.is_quarantined());
        reported.part.is_some() && !is_due_here && self.good_runs.whole(reported.fingerprint).is_some()
    }
}
