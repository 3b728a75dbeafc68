//! The error kinds, and the table that maps each kind to an answer.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What is known about whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunStatus {
    /// It did not run and will not run.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// It ran.
    Ran,
}

impl RunStatus {
    /// The value of the `Ochreyard-Run` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for RunStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Whether the entry may retry a request by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Retry {
    /// The request may be retried at another endpoint.
    Elsewhere,
    /// The request may be retried only if it is repeatable and no part of the answer has reached the caller.
    IfRepeatable,
    /// The request must not be retried.
    Never,
}

/// How one kind of error is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerRule {
    /// HTTP status.
    pub status: u16,
    /// What the answer claims about whether the request ran.
    pub run: RunStatus,
    /// Whether the entry may retry the request by itself.
    pub retry: Retry,
    /// Default `Retry-After`, in milliseconds, if the refusal names none; 0 for no header.
    pub retry_after_ms: u64,
    /// What happened and what the caller can do.
    pub advice: &'static str,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident = $name:literal, $status:literal, $run:ident, $retry:ident, $after:literal, $advice:literal;)*) => {
        /// Every way in which a request, an order or an intent can fail.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind { $($(#[$doc])* $kind,)* }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &[Self] = &[$(Self::$kind,)*];

            /// The name in answers, logs and metrics.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$kind => $name,)* }
            }

            /// The kind that has this name.
            #[must_use]
            pub fn from_name(name: &str) -> Option<Self> {
                match name { $($name => Some(Self::$kind),)* _ => None }
            }

            /// How this kind is answered.
            #[must_use]
            pub const fn rule(self) -> AnswerRule {
                match self {
                    $(Self::$kind => AnswerRule {
                        status: $status, run: RunStatus::$run, retry: Retry::$retry,
                        retry_after_ms: $after, advice: $advice,
                    },)*
                }
            }
        }
    };
}

error_kinds! {
    /// The request cannot be read.
    BadRequest = "bad_request", 400, NotRun, Never, 0, "the request cannot be read; mend the named field";
    /// The head is larger than the limit.
    HeadTooLarge = "head_too_large", 431, NotRun, Never, 0, "the head is over the limit; send fewer or shorter headers";
    /// The body is larger than the limit.
    BodyTooLarge = "body_too_large", 413, NotRun, Never, 0, "the body is over the limit; send a smaller one";
    /// The caller did not send its request in time.
    CallerSlow = "caller_slow", 408, NotRun, Never, 0, "the request did not arrive whole in time; send it again";
    /// No bearer token, or one that no workspace has.
    Unauthenticated = "unauthenticated", 401, NotRun, Never, 0, "send a bearer token that belongs to a workspace";
    /// The workspace may not use the service.
    NotPermitted = "not_permitted", 403, NotRun, Never, 0, "the workspace may not use this here; ask its operator";
    /// No service has this name.
    UnknownService = "unknown_service", 404, NotRun, Never, 0, "no service has this name; check `model` or the path";
    /// No permitted endpoint can be reached now.
    NoEndpoint = "no_endpoint", 503, NotRun, Never, 1000, "no endpoint in the permitted data centres can take it now; come back later";
    /// The endpoint has no free capacity.
    Overloaded = "overloaded", 503, NotRun, Elsewhere, 1000, "the endpoint is full; come back later";
    /// The workspace has reached its limit of queued requests at the endpoint.
    WorkspaceOverLimit = "workspace_over_limit", 429, NotRun, Elsewhere, 1000, "the workspace has too much waiting; come back later";
    /// The endpoint or the box is leaving.
    Leaving = "leaving", 503, NotRun, Elsewhere, 1000, "the endpoint is leaving; come back at once through another";
    /// The agent's configuration does not permit this yet, or the offer was addressed to another incarnation of the
    /// agent.
    Stale = "stale", 503, NotRun, Elsewhere, 500, "the configuration is being brought up to date; come back shortly";
    /// The attempt was revoked before it started.
    Revoked = "revoked", 503, NotRun, Elsewhere, 500, "the attempt was withdrawn before it started; come back shortly";
    /// The endpoint is not the home of the key, or the home is moving.
    KeyHomeMoving = "key_home_moving", 503, NotRun, Never, 1000, "the home of this idempotency key is moving; send it again with the same key";
    /// The key's home cannot be reached.
    KeyHomeUnreachable = "key_home_unreachable", 503, MayHaveRun, Never, 2000, "the home of this idempotency key cannot be reached; send it again with the same key";
    /// An earlier run of the key cannot be ruled out.
    KeyUnproven = "key_unproven", 409, MayHaveRun, Never, 0, "a run before a restart cannot be ruled out; check before sending it under a new key";
    /// The key store is full.
    KeyStoreFull = "key_store_full", 503, NotRun, Never, 5000, "no room to remember another key; come back later";
    /// The key is running now.
    KeyInFlight = "key_in_flight", 409, MayHaveRun, Never, 1000, "the same key is running now; come back for its answer";
    /// The key has run, and its answer was not stored.
    AlreadyRan = "already_ran", 409, Ran, Never, 0, "the request with this key has run; its answer was not kept";
    /// The key was used for another request before.
    KeyReused = "key_reused", 422, NotRun, Never, 0, "this key was used for another request; use a new key";
    /// The endpoint answered with a failure or broke off its answer.
    EndpointFailed = "endpoint_failed", 502, MayHaveRun, IfRepeatable, 500, "the endpoint failed while it had the request";
    /// The connection to the endpoint could not be established, so it never received the request.
    EndpointDown = "endpoint_down", 503, NotRun, Elsewhere, 1000, "the endpoint cannot be reached; come back later";
    /// The connection to the agent was lost after the request had been sent.
    ConnectionLost = "connection_lost", 502, MayHaveRun, IfRepeatable, 500, "the connection was lost after the request was handed over";
    /// Frames of the answer are missing, duplicated or damaged.
    AnswerBroken = "answer_broken", 502, MayHaveRun, IfRepeatable, 500, "the answer did not arrive whole";
    /// The deadline passed before the request started.
    DeadlineBeforeStart = "deadline_before_start", 504, NotRun, Never, 1000, "the deadline would pass before it could run; come back later";
    /// The deadline passed while the request ran.
    DeadlineExceeded = "deadline_exceeded", 504, MayHaveRun, Never, 1000, "the deadline passed while it ran";
    /// The caller disconnected.
    CallerGone = "caller_gone", 499, MayHaveRun, Never, 0, "the caller went away";
    /// The retry budget is exhausted.
    RetryBudgetSpent = "retry_budget_spent", 503, NotRun, Never, 2000, "too many requests fail at present; come back later";
    /// Endpoints crashed while they ran this request, or another copy of it is running as a trial.
    Quarantined = "quarantined", 503, NotRun, Never, 600_000, "endpoints crashed while they ran this request, or others with a part of its prompt; change it, or come back after the stated time";
    /// The platform's log service cannot be reached.
    PlatformUnavailable = "platform_unavailable", 503, MayHaveRun, Never, 2000, "the platform's log cannot be reached; ask for the status, then try again";
    /// The intent or a record cannot be parsed.
    BadIntent = "bad_intent", 400, NotRun, Never, 0, "the intent has faults; mend the named fields";
    /// An object that the plan writes or refers to has changed since the plan was made.
    PlanOvertaken = "plan_overtaken", 409, NotRun, Never, 0, "make a new plan from the present configuration";
    /// No plan has this identifier.
    PlanUnknown = "plan_unknown", 404, NotRun, Never, 0, "no plan has this identifier, or it has expired; make a new one";
    /// A bug in ochreyard.
    Internal = "internal", 500, MayHaveRun, Never, 0, "a fault in ochreyard; please report it";
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A refusal of a request: its kind, what it claims about the run, and when to retry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The kind of error.
    pub kind: ErrorKind,
    /// What is claimed about whether the request ran. Weaker than the claim of the rule if that is not proven.
    pub run: RunStatus,
    /// How long the caller should wait before a retry, in milliseconds; 0 for no advice.
    pub retry_after_ms: u64,
    /// The part of the request or state that the refusal is about; may be empty.
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal with the defaults of the table.
    #[must_use]
    pub fn new(kind: ErrorKind) -> Self {
        let rule = kind.rule();
        Self { kind, run: rule.run, retry_after_ms: rule.retry_after_ms, detail: String::new() }
    }

    /// Sets how long the caller should wait before a retry.
    #[must_use]
    pub const fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = retry_after_ms;
        self
    }

    /// Sets the part of the request or state that the refusal is about.
    #[must_use]
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Sets the claim about whether the request ran.
    #[must_use]
    pub const fn with_run(mut self, run: RunStatus) -> Self {
        self.run = run;
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.kind.rule().advice)?;
        if self.detail.is_empty() {
            return Ok(());
        }
        write!(f, " ({})", self.detail)
    }
}

impl std::error::Error for Refusal {}

impl From<ErrorKind> for Refusal {
    fn from(kind: ErrorKind) -> Self {
        Self::new(kind)
    }
}
