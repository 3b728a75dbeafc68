//! How long a step of a group takes by the parameters of its engines.

/// Parameters of the engines of a group that determine how long a step takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StepModel {
    /// Token passes in a step.
    pub passes: f64,
    /// Time of a pass for one token, in milliseconds.
    pub base_ms: f64,
    /// Additional time of a pass per running request, in milliseconds.
    pub per_request_ms: f64,
    /// Share of that time that experts take.
    pub expert_share: f64,
    /// Requests that a rank runs concurrently.
    pub slots: u64,
}

/// What a group runs in a step, apart from the number of requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StepLoad {
    /// Load of the most loaded rank relative to the mean, by expert demand and the pace of the ranks.
    pub skew: f64,
    /// Running requests of the rank that runs most, relative to the mean.
    pub busiest: f64,
    /// Time that the work of the slowest rank that gets requests takes, relative to the usual time.
    pub pace: f64,
}

impl StepModel {
    /// Returns how long a step takes with `mean_running` requests per rank, in milliseconds, without the prompts that it
    /// processes.
    #[must_use]
    pub fn step_ms(&self, mean_running: f64, load: StepLoad) -> f64 {
        let busiest = (load.busiest * mean_running).min(self.slots as f64);
        let own = load.pace * (self.base_ms + self.per_request_ms * (1.0 - self.expert_share) * busiest);
        let experts = self.per_request_ms * self.expert_share * mean_running * load.skew;
        self.passes * (own + experts)
    }

    /// Returns how many requests may run per rank on average so that a step takes at most `step_ms`; negative where none
    /// may.
    #[must_use]
    pub fn max_mean_running(&self, step_ms: f64, load: StepLoad) -> f64 {
        let requests = (step_ms / self.passes - load.pace * self.base_ms) / self.per_request_ms;
        let own = load.pace * (1.0 - self.expert_share);
        let experts = self.expert_share * load.skew;
        // The second term applies where all slots of the busiest rank are in use.
        let below_slots = requests / (own * load.busiest + experts);
        below_slots.max((requests - own * self.slots as f64) / experts)
    }

    /// Returns whether the parameters determine a limit.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.passes > 0.0 && self.per_request_ms > 0.0 && self.expert_share > 0.0 && self.slots > 0
    }
}
