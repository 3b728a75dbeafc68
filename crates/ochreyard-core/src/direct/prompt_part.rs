//! Parts of prompts.

use super::fingerprint::Fingerprint;

/// A part of a prompt that several requests may share, such as a system prompt or a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    id: String,
    fingerprint: Fingerprint,
}

impl PromptPart {
    /// Creates the part with this identifier, in which case is not significant.
    #[must_use]
    pub fn new(id: &str) -> Self {
        let id = id.to_ascii_lowercase();
        let fingerprint = Fingerprint::of(&[b"prompt part", id.as_bytes()]);
        Self { id, fingerprint }
    }

    /// Returns the identifier, in lower case.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the fingerprint of the part, which differs from those of requests.
    #[must_use]
    pub const fn fingerprint(&self) -> Fingerprint {
        self.fingerprint
    }
}
