//! Changes the expert map of a group if the benefit exceeds the cost.

use std::time::Duration;

use ochreyard_core::lease::{HeldLease, LeaseMargin};
use ochreyard_core::map_switch::{MapSwitch, OrderEnvelope, RankReply, SwitchOutcome, SwitchSettings};
use ochreyard_core::rebalance::{
    BudgetedRebalancer, Placement, RebalanceSettings, SlowStepCause, diagnose_slow_steps, skew,
};
use ochreyard_endpoint::{EndpointClient, ExpertReport};
use ochreyard_platform::{HttpPlatform, WeightStore};
use ochreyard_process::Clock;
use tokio::task::JoinSet;

use crate::leases::LeaseClient;

/// Interval at which a map change in progress checks its timeouts.
const SWITCH_TICK: Duration = Duration::from_millis(20);
/// Number of low bits of a map's number that distinguish the maps under one lease.
const MAP_BITS: u32 = 8;

/// Observes one group and changes its expert map.
pub struct Rebalancer {
    /// The client of the group.
    pub endpoint: EndpointClient,
    /// Acquires the lease that permits map changes.
    pub leases: LeaseClient<HttpPlatform>,
    /// The rate-limited store of model weights.
    pub store: HttpPlatform,
    /// The clock.
    pub clock: Clock,
    /// The name of the lease.
    pub lease: String,
    /// How long a lease lasts, in milliseconds.
    pub lease_ttl_ms: u64,
    /// The settings of the rebalancing policy.
    pub settings: RebalanceSettings,
}

impl Rebalancer {
    /// Observes the group as long as the agent runs.
    pub async fn run(mut self, every_ms: u64) {
        let mut interval = tokio::time::interval(Duration::from_millis(every_ms));
        let mut policy: Option<BudgetedRebalancer> = None;
        let mut cleaned_up = false;
        loop {
            interval.tick().await;
            let Ok(report) = self.endpoint.experts().await else { continue };
            if !cleaned_up {
                cleaned_up = self.clean_up(&report).await;
                continue;
            }
            let policy = policy.get_or_insert_with(|| BudgetedRebalancer::new(self.settings, report.counts.len()));
            cleaned_up = self.observe_interval(policy, &report).await;
        }
    }

    /// Observes one interval and changes the map if necessary. Returns `false` if a map change was left unfinished.
    async fn observe_interval(&mut self, policy: &mut BudgetedRebalancer, report: &ExpertReport) -> bool {
        let rank_loads = report.placement.rank_loads(&report.counts);
        metrics::gauge!("ochreyard_agent_skew_ratio").set(skew(&rank_loads));
        if let SlowStepCause::Stalled(rank) = diagnose_slow_steps(&report.rank_times_us, &rank_loads) {
            metrics::counter!("ochreyard_agent_stalled_ranks_total").increment(1);
            log::warn!("event=rank_stalled rank={rank}");
            return true;
        }
        policy.observe(&report.counts);
        let (next, copies) = policy.decide(&report.placement);
        if copies > 0 && self.store.reserve(copies as u64 * report.expert_bytes).await.is_err() {
            log::info!("event=copies_postponed copies={copies}");
            return true;
        }
        next == report.placement || self.change_map(report, &next, copies).await
    }

    async fn acquire_lease(&mut self) -> Option<HeldLease> {
        match self.leases.acquire(&self.lease, self.lease_ttl_ms).await {
            Ok(lease) => lease,
            Err(error) => {
                log::warn!("event=lease_unavailable error=\"{error}\"");
                None
            }
        }
    }

    /// Finishes or undoes a map change that an earlier incarnation of this agent may have left unfinished.
    async fn clean_up(&mut self, report: &ExpertReport) -> bool {
        let Some(lease) = self.acquire_lease().await else { return false };
        let ranks = rank_count(&report.placement);
        let switch = MapSwitch::clean_up(SwitchSettings::default(), lease.token, ranks, self.clock.now_ms());
        let outcome = self.drive(switch, lease).await;
        log::info!("event=map_cleaned_up outcome={outcome:?}");
        outcome.is_some()
    }

    /// Changes the map. Returns `false` if the change was left unfinished.
    async fn change_map(&mut self, report: &ExpertReport, next: &Placement, copies: usize) -> bool {
        let Some(lease) = self.acquire_lease().await else { return true };
        let map = (lease.token + 1) << MAP_BITS;
        if let Err(error) = self.endpoint.put_map(map, next).await {
            log::warn!("event=map_rejected error=\"{error}\"");
            return true;
        }
        let ranks = rank_count(next);
        let now_ms = self.clock.now_ms();
        let switch = MapSwitch::new(SwitchSettings::default(), lease.token, ranks, map, now_ms);
        let outcome = self.drive(switch, lease).await;
        let name = outcome.map_or("given_up", |outcome| match outcome {
            SwitchOutcome::Switched => "switched",
            SwitchOutcome::Undone => "undone",
            SwitchOutcome::Fenced => "fenced",
        });
        metrics::counter!("ochreyard_agent_map_changes_total", "outcome" => name).increment(1);
        let before = skew(&report.placement.rank_loads(&report.counts));
        let after = skew(&next.rank_loads(&report.counts));
        let took_ms = self.clock.now_ms() - now_ms;
        log::info!(
            "event=map_changed outcome={name} map={map} copies={copies} skew_before={before:.3} skew_after={after:.3} took_ms={took_ms}"
        );
        outcome.is_some()
    }

    /// Sends orders and handles replies until the map change ends. Returns `None` if the lease lapses; the change is
    /// then left unfinished, to be cleaned up later.
    async fn drive(&mut self, mut switch: MapSwitch, lease: HeldLease) -> Option<SwitchOutcome> {
        let mut pending_replies: JoinSet<Option<RankReply>> = JoinSet::new();
        let orders = switch.start(self.clock.now_ms());
        self.send(orders, lease, &mut pending_replies)?;
        let mut tick = tokio::time::interval(SWITCH_TICK);
        while switch.outcome().is_none() {
            let orders = tokio::select! {
                Some(reply) = pending_replies.join_next() => match reply {
                    Ok(Some(reply)) => switch.on_reply(reply, self.clock.now_ms()),
                    _ => Vec::new(),
                },
                _ = tick.tick() => switch.tick(self.clock.now_ms()),
            };
            self.send(orders, lease, &mut pending_replies)?;
        }
        switch.outcome()
    }

    /// Sends orders, and checks the lease immediately before each one. Returns `None` if the lease has lapsed.
    fn send(
        &self,
        orders: Vec<OrderEnvelope>,
        lease: HeldLease,
        pending_replies: &mut JoinSet<Option<RankReply>>,
    ) -> Option<()> {
        for order in orders {
            if !lease.may_send(self.clock.now_ms(), LeaseMargin::default()) {
                log::warn!("event=lease_lapsed token={}", lease.token);
                return None;
            }
            let endpoint = self.endpoint.clone();
            pending_replies.spawn(async move { endpoint.order(&order).await.ok() });
        }
        Some(())
    }
}

fn rank_count(placement: &Placement) -> u32 {
    u32::try_from(placement.ranks().len()).unwrap_or(u32::MAX)
}
