//! Names and numbers that identify things, each with a type of its own.

use std::borrow::Borrow;
use std::fmt;

use serde::{Deserialize, Serialize};

/// Longest name that is accepted, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// A name that does not keep to the rules.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{name}` is not a name: use 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-' and '.'")]
pub struct InvalidName {
    /// The text that was given.
    pub name: String,
}

/// Checks the rules that all names share.
///
/// # Errors
///
/// [`InvalidName`] when the text is empty, too long, or has other characters.
pub fn check_name(name: &str) -> Result<(), InvalidName> {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.';
    let fits = !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    if fits && name.bytes().all(allowed) {
        return Ok(());
    }
    Err(InvalidName { name: name.chars().take(MAX_NAME_BYTES + 1).collect() })
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl<T: Into<String>> From<T> for $name {
            fn from(name: T) -> Self {
                Self(name.into())
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// One machine that runs a process of the system.
    BoxId
);
name_type!(
    /// A data centre: the place where work runs and data rests.
    DataCentreId
);
name_type!(
    /// A customer: the unit of permission and of fair share.
    WorkspaceId
);
name_type!(
    /// A service that callers name in a request.
    ServiceId
);
name_type!(
    /// A back end: a group of ranks behind one address, or a plain service.
    EndpointId
);
name_type!(
    /// A plan that an operator may confirm.
    PlanId
);

/// One life of a process: a restart has a higher number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// One attempt to run one request on one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct AttemptId {
    /// The life of the entry process that made the attempt.
    pub entry: Incarnation,
    /// Running number of the request within that life.
    pub request: u64,
    /// Running number of the attempt within the request, from 1.
    pub attempt: u32,
}

impl AttemptId {
    /// Builds an identifier from its three parts.
    #[must_use]
    pub const fn new(entry: Incarnation, request: u64, attempt: u32) -> Self {
        Self { entry, request, attempt }
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}-{}", self.entry, self.request, self.attempt)
    }
}
