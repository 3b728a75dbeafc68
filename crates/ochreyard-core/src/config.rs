//! The accepted configuration: its contents, the plans that change it, and the fold that derives it from the
//! platform's log.

mod change;
mod configuration;
mod delta;
mod fold;
mod plan;
mod record;
mod spec;

pub use change::{Change, ChangeError, ObjectKey, Removal};
pub use configuration::{ApplyOutcome, Configuration, VoidReason};
pub use delta::{Delta, EffectiveRecord};
pub use fold::{ConfigFold, FoldEvent, FoldStatus, LogPage, LogRecord};
pub use plan::{Plan, PlanStep};
pub use record::{ConfigRecord, ConfirmedPlan, HomeAck};
pub use spec::{DataCentreSpec, EndpointSpec, Role, ServiceKind, ServiceSpec, ServingPermission, WorkspaceSpec};
