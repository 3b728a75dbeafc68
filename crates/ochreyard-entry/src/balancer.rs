//! The actor that owns the entry's state.

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

use crate::state::{Admitted, DueBeat, EntryState, Lacking, Target, Wanted};

/// Owns the state of the entry; each message is one event.
#[derive(Actor)]
pub struct Balancer {
    state: EntryState,
    clock: Clock,
}

impl Balancer {
    /// An actor for `state`.
    #[must_use]
    pub const fn new(state: EntryState, clock: Clock) -> Self {
        Self { state, clock }
    }
}

/// Declares a message, its fields and its handler.
macro_rules! message {
    ($(#[$doc:meta])* $name:ident { $($(#[$fdoc:meta])* $field:ident: $type:ty),* } -> $reply:ty, |$me:ident, $msg:ident| $body:expr) => {
        $(#[$doc])*
        pub struct $name { $($(#[$fdoc])* pub $field: $type),* }

        impl Message<$name> for Balancer {
            type Reply = $reply;

            async fn handle(&mut self, $msg: $name, _: &mut Context<Self, Self::Reply>) -> $reply {
                let $me = self;
                $body
            }
        }
    };
}

message!(
    /// A page of the log has been read.
    ReadPage {
        /// The page.
        page: LogPage,
        /// When it was asked for.
        started_ms: u64
    } -> Vec<FoldEvent>,
    |me, msg| me.state.read_page(&msg.page, msg.started_ms, me.clock.now_ms())
);
message!(
    /// Asks for the offset to read from next.
    Cursor {} -> u64,
    |me, _msg| me.state.fold().cursor()
);
message!(
    /// An agent has reported. What the agent lacks of the configuration comes back.
    TakeReport {
        /// The endpoint.
        endpoint: EndpointId,
        /// The address of its agent, if the configuration no longer names it.
        former_addr: Option<SocketAddr>,
        /// What its agent said.
        report: AgentReport
    } -> Option<Lacking>,
    |me, msg| match msg.former_addr {
        Some(addr) => me.state.take_former_report((msg.endpoint, addr), msg.report.config_version),
        None => me.state.take_report(&msg.endpoint, msg.report, me.clock.now_ms()),
    }
);
message!(
    /// The link to an agent broke.
    LinkBroke {
        /// The endpoint.
        endpoint: EndpointId
    } -> (),
    |me, msg| me.state.link_broke(&msg.endpoint)
);
message!(
    /// The platform's list of boxes.
    TakeBoxList {
        /// Endpoints whose boxes leave.
        leaving: Vec<EndpointId>
    } -> (),
    |me, msg| me.state.take_box_list(&msg.leaving)
);
message!(
    /// Asks which heartbeats are due.
    DueBeats {} -> Vec<DueBeat>,
    |me, _msg| me.state.due_beats(me.clock.now_ms())
);
message!(
    /// Asks which records this entry should write now.
    DueRecords {} -> Vec<ConfigRecord>,
    |me, _msg| {
        let now_ms = me.clock.now_ms();
        me.state.due_acks().into_iter().chain(me.state.due_snapshot(now_ms)).collect()
    }
);
message!(
    /// A caller's request has arrived.
    Admit {
        /// SHA-256 of its bearer token.
        token_sha256: String,
        /// The service that is meant.
        service: ServiceId,
        /// Whether it came by a path of the model services.
        is_model: bool
    } -> Result<Admitted, Refusal>,
    |me, msg| me.state.admit(&msg.token_sha256, &msg.service, msg.is_model)
);
message!(
    /// A request needs an endpoint.
    Pick {
        /// What is needed.
        wanted: Wanted
    } -> Result<Target, Refusal>,
    |me, msg| me.state.pick(&msg.wanted, me.clock.now_ms())
);
message!(
    /// An attempt has failed.
    Judge {
        /// The request.
        dispatch: Dispatch,
        /// The endpoint that was tried.
        endpoint: EndpointId,
        /// How it failed.
        refusal: Refusal
    } -> Result<(Dispatch, RetryDecision), Refusal>,
    |me, msg| {
        let Judge { mut dispatch, endpoint, refusal } = msg;
        me.state.learn_from(&endpoint, &refusal);
        let next = dispatch.on_failure(refusal, me.state.budget(), me.clock.now_ms());
        Ok((dispatch, next))
    }
);
message!(
    /// A request has come to its end.
    Count {
        /// The service.
        service: ServiceId,
        /// The workspace.
        workspace: WorkspaceId,
        /// Its error kind, if it failed.
        failure: Option<ErrorKind>,
        /// Whether a whole answer missed its time.
        late: bool
    } -> (),
    |me, msg| me.state.count(msg.service, msg.workspace, msg.failure, msg.late, me.clock.now_ms())
);
message!(
    /// Asks for the configuration in force.
    GetConfig {} -> Option<Arc<Configuration>>,
    |me, _msg| me.state.fold().state().cloned()
);
message!(
    /// Asks for a plan that waits to be confirmed.
    GetProposal {
        /// The plan.
        plan_id: PlanId
    } -> Option<ConfirmedPlan>,
    |me, msg| me.state.fold().proposal(&msg.plan_id).cloned()
);
message!(
    /// Asks what became of a confirmed plan.
    GetOutcome {
        /// The plan.
        plan_id: PlanId
    } -> Option<Result<u64, VoidReason>>,
    |me, msg| me.state.fold().outcome(&msg.plan_id).cloned()
);
message!(
    /// Asks for the status.
    GetStatus {} -> Option<Status>,
    |me, _msg| Some(me.state.status(me.clock.now_ms()))
);
message!(
    /// Asks for the report on burn.
    GetBurn {} -> Vec<BurnRow>,
    |me, _msg| me.state.burn_rows(me.clock.now_ms())
);
message!(
    /// A peer's configuration.
    Adopt {
        /// The configuration.
        config: Arc<Configuration>
    } -> bool,
    |me, msg| me.state.adopt(msg.config)
);
message!(
    /// Asks whether peers should be asked for their configuration.
    NeedsPeers {} -> bool,
    |me, _msg| me.state.needs_peers()
);
message!(
    /// Asks for a seed of the log, if it has lost everything.
    GetSeed {} -> Option<ConfigRecord>,
    |me, _msg| me.state.seed()
);
