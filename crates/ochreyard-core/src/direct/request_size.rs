//! The size of a request, as its caller states it.

use super::route_table::EngineSpec;

/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// The size of a request, as its caller states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestSize {
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of tokens that are generated.
    pub max_generated_tokens: u64,
}

impl RequestSize {
    /// Returns the predicted work in generated tokens. A prompt token counts as the share of a generated one that
    /// `engine` takes for it, and as much as a generated one where that is not known.
    #[must_use]
    pub fn work_tokens(self, engine: Option<&EngineSpec>) -> u64 {
        let known = engine.filter(|engine| engine.read_per_s > 0.0 && engine.step_ms > 0.0);
        let prompt_share = known.map_or(1.0, |engine| MS_PER_S / engine.read_per_s / engine.step_ms);
        let prompt_work_tokens = self.prompt_tokens as f64 * prompt_share.min(1.0);
        self.max_generated_tokens.saturating_add(prompt_work_tokens as u64)
    }
}
