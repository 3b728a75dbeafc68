//! The decision logic of ochreyard, without input or output.
//!
//! Every type here is a plain value or a state machine that takes an event and the current time, and returns the
//! actions to take. Nothing in this package opens a socket, reads a clock, starts a thread or draws a random
//! number, so the same events lead to the same actions on every run.
//!
//! Times are milliseconds in `u64`, passed in by the caller of each function.
//!
//! # Examples
//!
//! An agent without a configuration refuses every offer:
//!
//! ```
//! use ochreyard_core::admission::{Admission, AdmissionAction, AdmissionSettings, Offer};
//! use ochreyard_core::ids::{AttemptId, Incarnation};
//!
//! let settings = AdmissionSettings::new("kiosk-1", "nantou-1").with_slots(2);
//! let mut admission = Admission::new(settings, Incarnation(7), 0);
//! let attempt = AttemptId::new(Incarnation(1), 1, 1);
//! let offer = Offer::new(attempt, Incarnation(7), "resort-a", "trail-map");
//! let actions = admission.offer(offer, 10);
//! assert!(matches!(actions[0], AdmissionAction::Refuse { .. }));
//! ```

pub mod admission;
pub mod burn;
pub mod config;
pub mod direct;
pub mod dispatch;
pub mod drain;
pub mod error_kind;
pub mod frame;
pub mod group_map;
pub mod hash;
pub mod home;
pub mod ids;
pub mod lease;
pub mod map_switch;
pub mod membership;
pub mod rebalance;
pub mod retry;
pub mod retry_after;
pub mod routing;
