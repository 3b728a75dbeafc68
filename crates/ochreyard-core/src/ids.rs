//! Identifiers, each with its own type.

use std::borrow::Borrow;
use std::fmt;

use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// An error for a name that breaks the rules of [`check_name`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{name}` is not a name: use 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-' and '.'")]
pub struct InvalidName {
    /// The rejected text, cut off after the maximum length plus one character.
    pub name: String,
}

/// Checks that a name has the permitted length and characters.
///
/// # Errors
///
/// Returns [`InvalidName`] if the name is empty, too long, or has other characters than a-z, 0-9, `-` and `.`.
pub fn check_name(name: &str) -> Result<(), InvalidName> {
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.';
    let has_valid_length = !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    if has_valid_length && name.bytes().all(is_allowed) {
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
    /// A box: one machine that runs a process of the system.
    BoxId
);
name_type!(
    /// A data centre, in which requests run and data is stored.
    DataCentreId
);
name_type!(
    /// A workspace: a customer, for which permissions and fair shares apply.
    WorkspaceId
);
name_type!(
    /// A service that callers request.
    ServiceId
);
name_type!(
    /// An endpoint: a group of ranks behind one address, or a plain service.
    EndpointId
);
name_type!(
    /// A plan that an operator may confirm.
    PlanId
);

/// The incarnation of a process. It is higher after a restart.
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
    /// The incarnation of the entry process that made the attempt.
    pub entry: Incarnation,
    /// Sequence number of the request within that incarnation.
    pub request: u64,
    /// Number of the attempt within the request, from 1.
    pub attempt: u32,
}

impl AttemptId {
    /// Creates an identifier from its three parts.
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
