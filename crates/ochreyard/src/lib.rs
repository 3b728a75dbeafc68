//! The decision logic of ochreyard as a library, for use in other programs.
//!
//! This package only re-exports [`ochreyard_core`]. The processes are built
//! from the packages that ARCHITECTURE.md names.
//!
//! # Examples
//!
//! ```
//! use ochreyard::routing::{Candidate, choose};
//!
//! let busy = Candidate { own_in_flight: 9, ..Candidate::default() };
//! let idle = Candidate::default();
//! // The idle candidate has the shorter predicted wait.
//! let picks: Vec<_> = (0..8).filter_map(|seed| choose(&[busy, idle], seed)).collect();
//! assert!(picks.contains(&1));
//! ```

pub use ochreyard_core::*;
