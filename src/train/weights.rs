//! Rollout of new weights to a run's engines.
//!
//! The [`Reconciler`] handles waves, the floor of serving engines, the store's rate and
//! retries. This module adds the holder's fencing token to orders, and excludes engines
//! that report an unintended version, for example after a failed swap. Samples of such a
//! version would be dropped after they are generated. The engine is used again once it
//! reports an intended version.

use crate::route::reconcile::{EngineKey, Order, Reconciler, RoleKey, RoleSpec};
use slotmap::SecondaryMap;
use std::time::{Duration, Instant};

/// An order with the fencing token of its holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FencedOrder {
    /// The order.
    pub order: Order,
    /// The fencing token; the engine's sidecar refuses lower ones.
    pub fence: u64,
}

/// The weight versions of one run's engines.
#[derive(Debug)]
pub struct Weights {
    reconciler: Reconciler,
    role: RoleKey,
    fence: u64,
    min_serving: usize,
    /// The version that engines should serve.
    target: u64,
    /// The target before this one.
    previous: u64,
    reported: SecondaryMap<EngineKey, u64>,
}

impl Weights {
    /// Creates the state for engines that should serve `version`. At least
    /// `min_serving` of them serve at any time, and the weight store starts
    /// `store_rate` loads per second.
    #[must_use]
    pub fn new(
        now: Instant,
        fence: u64,
        version: u64,
        min_serving: usize,
        store_rate: f64,
    ) -> Self {
        let mut reconciler = Reconciler::new(now, store_rate, burst(store_rate));
        let role = reconciler.add_role(RoleSpec::new(version).min_serving(min_serving));
        Self {
            reconciler,
            role,
            fence,
            min_serving,
            target: version,
            previous: version,
            reported: SecondaryMap::new(),
        }
    }

    /// Adds an engine that reports `version`.
    pub fn add_engine(&mut self, version: u64) -> EngineKey {
        let engine = self.reconciler.add_engine(self.role, version);
        self.reported.insert(engine, version);
        engine
    }

    /// Removes an engine that has left or crashed.
    pub fn remove_engine(&mut self, engine: EngineKey) {
        self.reconciler.remove_engine(engine);
        self.reported.remove(engine);
    }

    /// Starts the rollout of a new version to all engines, in waves.
    pub fn roll_out(&mut self, version: u64) {
        self.previous = self.target;
        self.target = version;
        let spec = RoleSpec::new(version).min_serving(self.min_serving);
        self.reconciler.set_role(self.role, spec);
    }

    /// Handles the version that an engine reports, with or without an order.
    pub fn report(&mut self, now: Instant, engine: EngineKey, version: u64) {
        if self.reported.insert(engine, version).is_some() {
            self.reconciler
                .record_result(now, engine, self.role, version);
        }
    }

    /// Returns the orders that are due. Must be called about once per second.
    pub fn tick(&mut self, now: Instant) -> Vec<FencedOrder> {
        let fence = self.fence;
        let orders = self.reconciler.tick(now).into_iter();
        orders.map(|order| FencedOrder { order, fence }).collect()
    }

    /// Returns whether an engine may generate for the run: it reports the target version
    /// or the previous one, and at least `min_version`.
    #[must_use]
    pub fn is_usable(&self, engine: EngineKey, min_version: u64) -> bool {
        let version = self.reported.get(engine).copied();
        version.is_some_and(|v| v >= min_version && (v == self.target || v == self.previous))
    }

    /// Returns the number of engines that are serving.
    #[must_use]
    pub fn serving(&self) -> usize {
        self.reconciler.serving(self.role)
    }

    /// Returns the number of engines that don't serve the target version.
    #[must_use]
    pub fn stale(&self) -> usize {
        self.reconciler.outdated(self.role)
    }
}

// Allows the loads of one second together, since orders are issued once per second.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a rate is small and not negative"
)]
fn burst(rate: f64) -> u32 {
    rate.ceil().max(1.0) as u32
}

/// A model of the duration of a rollout.
///
/// # Example
///
/// ```
/// use hibiscusroad::train::RolloutPlan;
/// use std::time::Duration;
///
/// let plan = RolloutPlan {
///     engines: 8,
///     wave_size: 2,
///     load_time: Duration::from_secs(3),
///     store_rate: 2.0,
///     peer_copies: 0,
/// };
/// assert_eq!(plan.duration(), Duration::from_secs(12));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutPlan {
    /// The number of engines to update.
    pub engines: u32,
    /// The number of engines that are updated at once, while the others serve.
    pub wave_size: u32,
    /// The time of one engine from its order to its report.
    pub load_time: Duration,
    /// The number of loads per second that the weight store starts.
    pub store_rate: f64,
    /// The number of concurrent copies that an updated engine serves to others.
    pub peer_copies: u32,
}

impl RolloutPlan {
    /// Returns the duration of the rollout.
    ///
    /// Each wave takes until its last engine starts to load, plus one load time. The
    /// first engine of a wave starts at once.
    #[must_use]
    pub fn duration(&self) -> Duration {
        let mut updated = 0;
        let mut duration = Duration::ZERO;
        while updated < self.engines {
            let wave_size = self.wave_size.max(1).min(self.engines - updated);
            let peer_loads = updated.saturating_mul(self.peer_copies);
            let store_loads = wave_size.saturating_sub(peer_loads);
            // The loads of the first burst start within the same second.
            let wait = (f64::from(store_loads) / self.store_rate - 1.0).max(0.0);
            duration += self.load_time + Duration::from_secs_f64(wait);
            updated += wave_size;
        }
        duration
    }

    /// Returns the lowest rate of the weight store, in loads per second, at which the
    /// rollout takes at most `max_duration`, or `None` if no rate is enough.
    #[must_use]
    pub fn min_store_rate(&self, max_duration: Duration) -> Option<u32> {
        let is_sufficient = |rate: &u32| {
            let plan = Self {
                store_rate: f64::from(*rate),
                ..*self
            };
            plan.duration() <= max_duration
        };
        (1..=self.engines).find(is_sufficient)
    }
}
