//! Decisions of an entry that calls endpoints itself, without an agent between.
//!
//! The endpoint itself says when it has not run a request, and checks its own
//! identity, so the attempt needs no home elsewhere: its whole story is in the
//! entry that took it from the caller.

mod box_list;
mod box_record;
mod catalog;
mod duty;
mod endpoint_life;
mod endpoint_pool;
mod endpoint_record;
mod endpoint_signals;
mod evacuation;
mod event_splitter;
mod fingerprint;
mod group_news;
mod homes;
mod position;
mod quarantine;
mod questions;
mod reading;
mod repeat_budget;
mod retry_pauses;
mod roster_loads;
mod route_table;
mod shared_limit;
mod waiting;

pub use box_list::BoxList;
pub use box_record::BoxRecord;
pub use catalog::{Catalog, EndpointChange};
pub use duty::{Duty, Own, tells_all, tells_data_centre};
pub use endpoint_life::EndpointLife;
pub use endpoint_pool::{
    AttemptOutcome, AvailabilityNotice, EndpointPool, LeaderlessGroups, LimitUsage, Pick, PickError, ReportedLoad,
    UnavailableCounts,
};
pub use endpoint_record::EndpointRecord;
pub use endpoint_signals::{EndpointSignals, parse_backoff_ms};
pub use evacuation::{EvacuationNews, Evacuations};
pub use event_splitter::{EventSplitter, WholeEvents};
pub use fingerprint::{Fingerprint, ParseFingerprintError};
pub use group_news::{GroupNews, RankNews, TellerRole};
pub use homes::Homes;
pub use position::{NoPosition, Position};
pub use quarantine::{
    ClearedRequest, CrashReport, LostRequest, Quarantine, QuarantineDecision, QuarantineEntry, QuarantineUpdate,
    QuarantinedRequest, RunningTrial,
};
pub use questions::{Asked, Questions};
pub use reading::Reading;
pub use repeat_budget::{RepeatBudget, RepeatLimits};
pub use retry_pauses::RetryPauses;
pub use roster_loads::RosterLoads;
pub use route_table::{
    CallerLimits, ColdFigures, EngineFigures, Route, RouteKind, RouteTable, ServiceSpec, WeightedService, Workspace,
};
pub use shared_limit::{
    EndpointLimit, LimitUpdate, Quota, QuotaShare, ReportedLimit, RequestRate, ShareRank, SharedLimit, SharingBoxes,
    parse_limit,
};
pub use waiting::{
    Arrival, Choice, Endings, Met, Patience, Seeker, ServiceQueue, ServiceTime, Stands, Ticket, Urgency, WaitFacts,
    WaitingLine,
};
