//! The actor that owns the entry's state.
//!
//! Each of its messages reports one event, or asks for a part of the state.

use std::net::SocketAddr;
use std::sync::Arc;

use kameo::Actor;
use kameo::message::{Context, Message};
use ochreyard_core::config::{ConfigRecord, Configuration, ConfirmedPlan, FoldEvent, LogPage, VoidReason};
use ochreyard_core::dispatch::{Dispatch, RetryDecision};
use ochreyard_core::error_kind::{ErrorKind, Refusal};
use ochreyard_core::ids::{EndpointId, PlanId, ServiceId, WorkspaceId};
use ochreyard_core::membership::AgentReport;
use ochreyard_operator::{BurnRow, Status};
use ochreyard_process::Clock;

use crate::state::{AdmittedRequest, ConfigUpdate, DueHeartbeat, EntryState, PickRequest, Target};

/// The actor that owns the state of the entry and picks endpoints for requests.
#[derive(Actor)]
pub struct Balancer {
    state: EntryState,
    clock: Clock,
}

impl Balancer {
    /// Creates an actor that owns `state`.
    #[must_use]
    pub const fn new(state: EntryState, clock: Clock) -> Self {
        Self { state, clock }
    }
}

/// Declares a message type with its fields, its reply type and its handler.
macro_rules! message {
    ($(#[$doc:meta])* $name:ident { $($(#[$fdoc:meta])* $field:ident: $type:ty),* } -> $reply:ty, |$actor:ident, $msg:ident| $body:expr) => {
        $(#[$doc])*
        pub struct $name { $($(#[$fdoc])* pub $field: $type),* }

        impl Message<$name> for Balancer {
            type Reply = $reply;

            async fn handle(&mut self, $msg: $name, _: &mut Context<Self, Self::Reply>) -> $reply {
                let $actor = self;
                $body
            }
        }
    };
}

message!(
    /// Applies a page of the log, and returns the resulting events.
    ApplyPage {
        /// The page that was read.
        page: LogPage,
        /// When the page was requested.
        started_ms: u64
    } -> Vec<FoldEvent>,
    |actor, msg| actor.state.apply_page(&msg.page, msg.started_ms, actor.clock.now_ms())
);
message!(
    /// Returns the log offset to read from next.
    GetCursor {} -> u64,
    |actor, _msg| actor.state.fold().cursor()
);
message!(
    /// Applies the report of an agent. Returns the configuration update that the agent needs, if any.
    ApplyReport {
        /// The endpoint.
        endpoint: EndpointId,
        /// The address of the agent, if the configuration no longer names it.
        former_addr: Option<SocketAddr>,
        /// The report of its agent.
        report: AgentReport
    } -> Option<ConfigUpdate>,
    |actor, msg| match msg.former_addr {
        Some(addr) => actor.state.apply_former_report((msg.endpoint, addr), msg.report.config_version),
        None => actor.state.apply_report(&msg.endpoint, msg.report, actor.clock.now_ms()),
    }
);
message!(
    /// Records that the link to an agent was lost.
    LinkLost {
        /// The endpoint.
        endpoint: EndpointId
    } -> (),
    |actor, msg| actor.state.on_link_lost(&msg.endpoint)
);
message!(
    /// Applies the platform's list of boxes.
    ApplyBoxList {
        /// Endpoints whose boxes are leaving.
        leaving: Vec<EndpointId>
    } -> (),
    |actor, msg| actor.state.apply_box_list(&msg.leaving)
);
message!(
    /// Returns the heartbeats to send in this round.
    DueHeartbeats {} -> Vec<DueHeartbeat>,
    |actor, _msg| actor.state.due_heartbeats(actor.clock.now_ms())
);
message!(
    /// Returns the records that this entry should append to the log now.
    DueRecords {} -> Vec<ConfigRecord>,
    |actor, _msg| {
        let now_ms = actor.clock.now_ms();
        actor.state.due_home_acks().into_iter().chain(actor.state.due_snapshot(now_ms)).collect()
    }
);
message!(
    /// Authenticates and authorizes a caller's request.
    Admit {
        /// SHA-256 of the bearer token, in hexadecimal.
        token_sha256: String,
        /// The requested service.
        service: ServiceId,
        /// Whether the request came in on a path of the model API.
        is_model: bool
    } -> Result<AdmittedRequest, Refusal>,
    |actor, msg| actor.state.admit(&msg.token_sha256, &msg.service, msg.is_model)
);
message!(
    /// Picks an endpoint for a request.
    Pick {
        /// The request, and which endpoints it has tried.
        request: PickRequest
    } -> Result<Target, Refusal>,
    |actor, msg| actor.state.pick(&msg.request, actor.clock.now_ms())
);
message!(
    /// Records a failed attempt, and decides whether the request is retried.
    HandleFailure {
        /// The dispatch state of the request.
        dispatch: Dispatch,
        /// The endpoint at which the attempt failed.
        endpoint: EndpointId,
        /// Why the attempt failed.
        refusal: Refusal
    } -> Result<(Dispatch, RetryDecision), Refusal>,
    |actor, msg| {
        let HandleFailure { mut dispatch, endpoint, refusal } = msg;
        actor.state.on_refusal(&endpoint, &refusal);
        let next = dispatch.on_failure(refusal, actor.state.retry_budget(), actor.clock.now_ms());
        Ok((dispatch, next))
    }
);
message!(
    /// Records the outcome of a request for the burn rates.
    RecordOutcome {
        /// The service.
        service: ServiceId,
        /// The workspace.
        workspace: WorkspaceId,
        /// The error kind, if the request failed.
        failure: Option<ErrorKind>,
        /// Whether a complete answer missed its latency target.
        late: bool
    } -> (),
    |actor, msg| actor.state.record_outcome(msg.service, msg.workspace, msg.failure, msg.late, actor.clock.now_ms())
);
message!(
    /// Returns the configuration in force.
    GetConfig {} -> Option<Arc<Configuration>>,
    |actor, _msg| actor.state.fold().state().cloned()
);
message!(
    /// Returns a plan that has not been confirmed yet.
    GetProposal {
        /// The plan.
        plan_id: PlanId
    } -> Option<ConfirmedPlan>,
    |actor, msg| actor.state.fold().proposal(&msg.plan_id).cloned()
);
message!(
    /// Returns the outcome of a confirmed plan: its version, or why it is void.
    GetOutcome {
        /// The plan.
        plan_id: PlanId
    } -> Option<Result<u64, VoidReason>>,
    |actor, msg| actor.state.fold().outcome(&msg.plan_id).cloned()
);
message!(
    /// Returns the status that operators see.
    GetStatus {} -> Option<Status>,
    |actor, _msg| Some(actor.state.status(actor.clock.now_ms()))
);
message!(
    /// Returns the burn rates by service and workspace.
    GetBurn {} -> Vec<BurnRow>,
    |actor, _msg| actor.state.burn_rows(actor.clock.now_ms())
);
message!(
    /// Adopts the configuration of another entry if it is newer. Returns whether it was adopted.
    AdoptConfig {
        /// The configuration.
        config: Arc<Configuration>
    } -> bool,
    |actor, msg| actor.state.adopt(msg.config)
);
message!(
    /// Returns whether other entries should be asked for their configuration.
    NeedsPeerConfig {} -> bool,
    |actor, _msg| actor.state.needs_peer_config()
);
message!(
    /// Returns a seed record for the log, if the log has lost the state.
    GetSeed {} -> Option<ConfigRecord>,
    |actor, _msg| actor.state.seed()
);
