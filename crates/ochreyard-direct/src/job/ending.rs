//! How a request ends that no endpoint answered, and the log lines for its failures.

use http::{Response, StatusCode};
use ochreyard_core::direct::{Pick, PromptPart};
use ochreyard_core::error_kind::{ErrorKind, Refusal};

use super::Job;
use crate::answer_body::AnswerBody;
use crate::dialect::Dialect;
use crate::forward::LEAVING_RETRY_AFTER_MS;
use crate::give_up_reason::GiveUpReason;
use crate::{meters, refusal};

/// Divisors of a request's remaining time that give the least and the longest `retry-after` when there was no room:
/// late enough that the congestion has likely passed, with most of the time still left then, and spread so that callers
/// do not return all at once.
const RETRY_AFTER_DIVISORS: (f64, f64) = (5.0, 3.0);
/// The same while all groups of the service are down: a group takes seconds to form anew, so the delay is nearly the
/// longest that callers wait for.
const RETRY_AFTER_DIVISORS_DOWN: (f64, f64) = (3.4, 3.0);

/// Divisor of a backoff, or of the wait for a turn, that gives the range of the random delay added for callers that are
/// sent back.
const PAUSE_JITTER_DIVISOR: u64 = 4;
/// Least range of that random delay, in milliseconds: a slow start doubles its requests a few times within it.
const MIN_JITTER_MS: u64 = 250;

impl<D: Dialect> Job<D> {
    pub(super) fn id(&self) -> &str {
        self.request.attempt_id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    pub(super) fn workspace_name(&self) -> Option<&str> {
        self.workspace.as_ref().map(|workspace| workspace.name.as_str())
    }

    pub(super) fn log_failed_attempt(&self, pick: &Pick, cause: &str) {
        meters::on_failed_attempt(&self.service);
        log::info!(
            "event=attempt_failed request={} service={} endpoint={} attempt={} left_ms={} runtime_late_ms={} \
             cause=\"{cause}\"",
            self.id(),
            self.service,
            pick.id,
            self.sent,
            self.time_left_ms(),
            self.entry.recent_lag.late_ms(self.entry.clock.now_ms())
        );
    }

    /// Builds the final answer to a request that is not tried again.
    pub fn give_up(&self, why: GiveUpReason) -> Response<AnswerBody> {
        let kind = match why {
            GiveUpReason::TimeUp if self.sent > 0 => ErrorKind::DeadlineExceeded,
            _ if self.may_have_run => ErrorKind::EndpointFailed,
            GiveUpReason::Full | GiveUpReason::Limited { .. } | GiveUpReason::Paused { .. } => ErrorKind::Overloaded,
            GiveUpReason::Budget => ErrorKind::RetryBudgetSpent,
            GiveUpReason::Leaving => ErrorKind::Leaving,
            GiveUpReason::Quarantined { .. } => ErrorKind::Quarantined,
            GiveUpReason::NoEndpoint | GiveUpReason::Stalled | GiveUpReason::Failed | GiveUpReason::TimeUp => {
                ErrorKind::NoEndpoint
            }
        };
        log::info!(
            "event=request_failed request={} route={} service={} workspace={} priority={} ahead={} kind={kind} \
             why={why:?} sent={} config_version={} elapsed_ms={} {} facts=\"{:?}\"",
            self.id(),
            self.route.name,
            self.service,
            self.workspace_name().unwrap_or("-"),
            self.priority,
            self.ahead,
            self.sent,
            self.config_version,
            self.elapsed_ms(),
            self.unavailable_endpoints(),
            self.last_wait_facts
        );
        if let GiveUpReason::Quarantined { part, left_ms } = why {
            let fingerprint = part.unwrap_or_else(|| self.fingerprint());
            let part_id = self.prompt_parts().iter().find(|one| Some(one.fingerprint()) == part).map(PromptPart::id);
            log::info!(
                "event=suspect_refused request={} fingerprint={fingerprint} part={part_id:?} left_ms={left_ms}",
                self.id()
            );
        }
        if self.is_on_trial && !self.may_have_run {
            self.entry.state.borrow_mut().quarantine.cancel_trial(self.fingerprint());
        }
        meters::on_answer(&self.service, kind.as_str(), self.elapsed_ms());
        let refusal = Refusal::new(kind);
        let has_retry_after = refusal.kind.rule().status == StatusCode::SERVICE_UNAVAILABLE;
        refusal::response(&if has_retry_after {
            refusal.with_retry_after_ms(self.retry_after_ms(why))
        } else {
            refusal
        })
    }

    /// Describes for the log what may hold a request back besides load: endpoints that are cold, outside the allowed
    /// regions, or in an evacuated data centre.
    fn unavailable_endpoints(&self) -> String {
        let now_ms = self.entry.clock.now_ms();
        let state = self.entry.state.borrow();
        let evacuated: Vec<&str> = state.pool.evacuated_data_centres().collect();
        let cold = state.pool.cold_endpoints(&self.service, now_ms);
        let away = state.pool.endpoints_outside_regions(&self.service, &self.permitted_regions);
        format!("evacuated=\"{}\" cold={cold} not_at_home={away}", evacuated.join(","))
    }

    /// Returns when the caller should send the request again, in milliseconds.
    fn retry_after_ms(&self, why: GiveUpReason) -> u64 {
        match why {
            GiveUpReason::Leaving => return LEAVING_RETRY_AFTER_MS,
            GiveUpReason::Quarantined { left_ms, .. } => return left_ms,
            GiveUpReason::Paused { left_ms } => return self.with_jitter(left_ms),
            // By then other boxes may have a share of the limits for the request, so it need not wait for a turn at
            // this box that comes too late for it.
            GiveUpReason::Limited { left_ms }
                if left_ms as f64 * RETRY_AFTER_DIVISORS.1 < self.time_left_ms() as f64 =>
            {
                return self.with_jitter(left_ms);
            }
            _ => {}
        }
        let is_down = self.entry.state.borrow().pool.is_down(&self.service, self.entry.clock.now_ms());
        let (least, most) = if is_down { RETRY_AFTER_DIVISORS_DOWN } else { RETRY_AFTER_DIVISORS };
        let left_ms = self.time_left_ms() as f64;
        let (least_ms, most_ms) = ((left_ms / least) as u64, (left_ms / most) as u64);
        least_ms + self.entry.next_random() % (most_ms - least_ms).max(1)
    }

    /// Adds a random delay to `left_ms`, so that callers do not return all at once.
    fn with_jitter(&self, left_ms: u64) -> u64 {
        left_ms + self.entry.next_random() % (left_ms / PAUSE_JITTER_DIVISOR).max(MIN_JITTER_MS)
    }

    /// Records that a stream was broken off without a replacement, after the caller got `event_count` events.
    pub fn record_broken_stream(&self, pick: &Pick, event_count: usize, cause: &str) {
        meters::on_answer(&self.service, "broken_off", self.elapsed_ms());
        log::info!(
            "event=stream_broken request={} route={} service={} endpoint={} sent={} elapsed_ms={} cause=\"{cause}\" {}",
            self.id(),
            self.route.name,
            self.service,
            pick.id,
            self.sent,
            self.elapsed_ms(),
            self.stream_progress(event_count)
        );
    }

    /// Logs that a stream ends because its caller has closed the connection, or because this process exits.
    pub fn log_abandoned_stream(&self, pick: &Pick, event_count: usize) {
        log::info!(
            "event=stream_abandoned request={} service={} endpoint={} elapsed_ms={} stopping={} {}",
            self.id(),
            self.service,
            pick.id,
            self.elapsed_ms(),
            self.entry.is_stopping.get(),
            self.stream_progress(event_count)
        );
    }

    /// Describes for the log how far a stream has come, and whether a delay of this process may have ended it.
    fn stream_progress(&self, event_count: usize) -> String {
        let now_ms = self.entry.clock.now_ms();
        format!(
            "events={event_count} silent_ms={} overdue_ms={} runtime_late_ms={}",
            now_ms.saturating_sub(self.silent_since_ms),
            now_ms.saturating_sub(self.deadline_ms),
            self.entry.recent_lag.late_ms(now_ms)
        )
    }
}
