//! The accepted configuration: what it holds, how it changes, and how it is
//! folded from the platform's log.

mod change;
mod configuration;
mod delta;
mod fold;
mod plan;
mod record;
mod spec;

pub use change::{Change, ChangeFault, ObjectKey, Removal};
pub use configuration::{Applied, Configuration, Void};
pub use delta::{Delta, EffectiveRecord};
pub use fold::{ConfigFold, FoldEvent, FoldStatus, LogPage, LogRecord};
pub use plan::{Plan, PlanStep};
pub use record::{ConfigRecord, ConfirmedPlan, HomeAck};
pub use spec::{EndpointSpec, Holding, PlaceSpec, Role, ServiceKind, ServiceSpec, WorkspaceSpec};
