//! Decisions of an entry that calls endpoints directly, without an agent in between.
//!
//! The endpoint states itself when it has not run a request, and checks its own
//! identity, so no other process keeps state of an attempt: all of it is in the
//! entry that accepted the request from the caller.

mod body_memory;
mod box_list;
mod box_record;
mod catalog;
mod endpoint_incarnation;
mod endpoint_pool;
mod endpoint_record;
mod endpoint_signals;
mod evacuation;
mod event_splitter;
mod fingerprint;
mod group_update;
mod held_retries;
mod late_reads;
mod log_progress;
mod log_retry_backoff;
mod paced_retries;
mod peer_watch;
mod permitted_regions;
mod poll_schedule;
mod position;
mod priority;
mod priority_level;
mod priority_set;
mod prompt_part;
mod quarantine;
mod read_role;
mod request_size;
mod retry_budget_limits;
mod retry_count;
mod retry_usage;
mod roster_loads;
mod route_table;
mod shared_limit;
mod shared_retry_budget;
mod tcp_sample;
mod urgency;
mod waiting;

pub use body_memory::{BodyMemory, BodyOwner};
pub use box_list::BoxList;
pub use box_record::BoxRecord;
pub use catalog::{Catalog, EndpointChange};
pub use endpoint_incarnation::EndpointIncarnation;
pub use endpoint_pool::{
    Admission, AdmissionShare, AttemptOutcome, AvailabilityNotice, EndpointPool, GroupRunning, LeaderReport,
    LeaderlessGroups, LimitUsage, Pick, PickError, PickRequest, ReportedLoad, UnavailableCounts,
};
pub use endpoint_record::EndpointRecord;
pub use endpoint_signals::{EndpointSignals, parse_backoff_ms};
pub use evacuation::{EvacuationUpdate, Evacuations};
pub use event_splitter::{CompleteEvents, EventSplitter};
pub use fingerprint::{Fingerprint, ParseFingerprintError};
pub use group_update::{GroupUpdate, RankUpdate, ReporterRole};
pub use held_retries::{AbandonedAttempt, TakenRetry};
pub use late_reads::LateReads;
pub use log_progress::LogProgress;
pub use log_retry_backoff::LogRetryBackoff;
pub use peer_watch::{Observing, PeerWatch, Verifying};
pub use permitted_regions::PermittedRegions;
pub use poll_schedule::{PollSchedule, PollTargets};
pub use position::{ParsePositionError, Position};
pub use priority::Priority;
pub use priority_level::PriorityLevel;
pub use priority_set::PrioritySet;
pub use prompt_part::PromptPart;
pub use quarantine::{
    ClearedRequest, CrashReport, GoodRun, LostPart, LostRequest, PartDecision, PartFinding, Quarantine,
    QuarantineDecision, QuarantineEntry, QuarantineUpdate, QuarantinedRequest, RunningTrial, TrialClaim, is_long_run,
    is_past_start,
};
pub use read_role::{LocalBox, ReadRole, broadcasts_to_data_centre, broadcasts_to_fleet};
pub use request_size::RequestSize;
pub use retry_budget_limits::RetryBudgetLimits;
pub use retry_usage::RetryUsage;
pub use roster_loads::RosterLoads;
pub use route_table::{
    CallerLimits, ColdLimits, EngineSpec, Route, RouteKind, RouteTable, ServiceSpec, WeightedService, Workspace,
};
pub use shared_limit::{
    EndpointLimit, LimitUpdate, Quota, QuotaShare, ReportedLimit, RequestRate, ShareRank, SharedLimit, SharingBoxes,
    parse_limit,
};
pub use shared_retry_budget::SharedRetryBudget;
pub use tcp_sample::TcpSample;
pub use urgency::Urgency;
pub use waiting::{
    Arrival, ArrivalRate, DispatchDecision, LateSlots, LongestRuns, Patience, PendingRequest, ServiceQueue,
    ServiceTime, SlotDemand, StallHandling, StallHistory, StallOutcomes, Ticket, UsualWork, WaitFacts, WaitQueue,
};
