//! How long a service stands, and how much longer it is expected to.

/// What a stand is expected to last beyond its present age, as a share of that age. It says
/// how long one that never ends makes callers wait: those that give 8 s and are served within
/// 2 s wait in its first 24 s, each as long as callers usually do, and are told at once from
/// then on. With 0.5 callers in the last seconds of a stand of 6 s, back with half of their
/// time left, were refused for good.
const REST_SHARE: f64 = 0.25;

/// The stands of one service, as seen from here.
#[derive(Debug, Clone, Copy, Default)]
pub struct Stands {
    since_ms: Option<u64>,
}

impl Stands {
    /// Notes whether the service stands now.
    pub fn note(&mut self, stands: bool, now_ms: u64) {
        self.since_ms = stands.then(|| self.since_ms.unwrap_or(now_ms));
    }

    /// How much longer it is expected to stand, in milliseconds; 0 where it goes on.
    #[must_use]
    pub fn rest_ms(&self, now_ms: u64) -> u64 {
        let age_ms = self.since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms));
        (age_ms as f64 * REST_SHARE) as u64
    }
}
