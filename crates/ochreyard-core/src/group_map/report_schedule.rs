//! When a leader reports its group to the boxes.

/// Interval between reports while nothing changes, in milliseconds: boxes receive a few reports within the time for
/// which they consider one valid.
const REPORT_INTERVAL_MS: u64 = 300;
/// The same while the group is near its stream limit or the limit has changed, in milliseconds: boxes know of the
/// requests of other boxes from the reports alone.
const NEAR_LIMIT_INTERVAL_MS: u64 = 100;
/// Share of the limit from which a group is near it.
const NEAR_LIMIT_SHARE: f64 = 0.9;
/// Change of the limit that is reported early, as a share of the reported one.
const LIMIT_CHANGE_SHARE: f64 = 0.1;

/// What a report would say that decides how soon it is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportFacts {
    /// Whether the group makes progress.
    pub is_serving: bool,
    /// Running requests of the group.
    pub running: u64,
    /// Number of requests that the group may run; `None`: no limit.
    pub stream_limit: Option<u64>,
}

/// The last report of a leader, and when the next one is due.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReportSchedule {
    last: Option<(u64, ReportFacts)>,
}

impl ReportSchedule {
    /// Returns whether a report is due: immediately when the group stalls or resumes, otherwise at intervals.
    #[must_use]
    pub fn is_due(&self, facts: ReportFacts, now_ms: u64) -> bool {
        let Some((reported_ms, last)) = self.last else { return true };
        let is_near_limit = is_nearly_used(facts) || has_limit_changed(last.stream_limit, facts.stream_limit);
        let interval_ms = if is_near_limit { NEAR_LIMIT_INTERVAL_MS } else { REPORT_INTERVAL_MS };
        last.is_serving != facts.is_serving || now_ms >= reported_ms + interval_ms
    }

    /// Returns the time since the last report, in milliseconds; `None` before the first one.
    #[must_use]
    pub fn report_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.last.map(|(reported_ms, _)| now_ms.saturating_sub(reported_ms))
    }

    /// Records a report. Returns whether it differs from the last one in whether the group makes progress.
    pub fn on_report(&mut self, facts: ReportFacts, now_ms: u64) -> bool {
        let last = self.last.replace((now_ms, facts));
        last.is_none_or(|(_, last)| last.is_serving != facts.is_serving)
    }
}

fn is_nearly_used(facts: ReportFacts) -> bool {
    facts.stream_limit.is_some_and(|limit| facts.running as f64 > limit as f64 * NEAR_LIMIT_SHARE)
}

fn has_limit_changed(reported: Option<u64>, limit: Option<u64>) -> bool {
    match (reported, limit) {
        (Some(reported), Some(limit)) => limit.abs_diff(reported) as f64 >= reported as f64 * LIMIT_CHANGE_SHARE,
        (reported, limit) => reported != limit,
    }
}
