//! Assignment of roles and weight versions to engines.
//!
//! Engines change in waves: each role keeps its floor of serving engines, and
//! loads stay within the weight store's rate. Engines move to another role only
//! after a lasting shortage, so that they don't spend their time loading weights.
//!
//! A role is what an engine is used for: a service with its adapter and its part
//! of the work. An engine counts as serving what it reports, not what it was
//! ordered to load. Nothing is planned ahead, so a failed load needs no repair.

use slotmap::SlotMap;
use std::time::{Duration, Instant};

slotmap::new_key_type! {
    /// The key of an engine in a [`Reconciler`].
    pub struct EngineKey;
    /// The key of a role in a [`Reconciler`].
    pub struct RoleKey;
}

/// Time constant of a role's demand. Shorter bursts are left to the queues, as loading an engine
/// takes half a minute.
const DEMAND_DECAY_SECS: f64 = 30.0;
/// Engines by which a role's demand must exceed its engines, and by which a
/// donor's remaining engines must exceed its own demand. Demand that varies by less moves none.
const DEMAND_MARGIN: f64 = 0.5;
/// Time that a shortage must last before an engine changes its role.
const MIN_SHORTAGE_TIME: Duration = Duration::from_secs(15);
/// Time for which an engine keeps a new role: ten times that of a load.
const MIN_ROLE_TIME: Duration = Duration::from_mins(5);
/// Time after which an order that is not reported done has failed.
const CHANGE_TIMEOUT: Duration = Duration::from_mins(1);
/// Pause after a failed order; it doubles with each failure.
const MIN_BACKOFF: Duration = Duration::from_secs(2);
const MAX_BACKOFF: Duration = Duration::from_mins(2);
/// Maximum share of a role's engines that change at once. The others carry a third more
/// meanwhile.
const MAX_WAVE_SHARE: f64 = 0.25;

/// Settings of a role.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RoleSpec {
    /// Minimum engines that serve at any time.
    pub min_serving: usize,
    /// The version of the weights to serve.
    pub version: u64,
}

impl RoleSpec {
    /// Creates a role without a floor that serves `version`.
    #[must_use]
    pub const fn new(version: u64) -> Self {
        Self {
            min_serving: 0,
            version,
        }
    }

    /// Sets the minimum of engines that serve at any time.
    #[must_use]
    pub const fn min_serving(mut self, min_serving: usize) -> Self {
        self.min_serving = min_serving;
        self
    }
}

/// An order to an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Order {
    /// The engine.
    pub engine: EngineKey,
    /// The role to serve.
    pub role: RoleKey,
    /// The version to load.
    pub version: u64,
}

#[derive(Debug)]
struct Role {
    spec: RoleSpec,
    demand: f64,
    demand_at: Option<Instant>,
    short_since: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct PendingOrder {
    order: Order,
    since: Instant,
}

#[derive(Debug)]
struct Engine {
    role: RoleKey,
    version: u64,
    load: f64,
    pending: Option<PendingOrder>,
    role_changed_at: Option<Instant>,
    failures: u32,
    retry_at: Option<Instant>,
}

impl Engine {
    fn is_serving(&self, role: RoleKey) -> bool {
        self.role == role && self.pending.is_none()
    }

    fn is_joining(&self, role: RoleKey) -> bool {
        self.pending
            .is_some_and(|pending| pending.order.role == role)
    }

    fn is_available(&self, now: Instant) -> bool {
        self.pending.is_none() && self.retry_at.is_none_or(|at| at <= now)
    }
}

/// Decides which engines change their role or version.
#[derive(Debug)]
pub struct Reconciler {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
    roles: SlotMap<RoleKey, Role>,
    engines: SlotMap<EngineKey, Engine>,
}

impl Reconciler {
    /// Creates a reconciler for a weight store that gives `rate` loads a second,
    /// and up to `burst` at once after a pause.
    #[must_use]
    pub fn new(now: Instant, rate: f64, burst: u32) -> Self {
        Self {
            rate,
            burst: f64::from(burst),
            tokens: f64::from(burst),
            refilled_at: now,
            roles: SlotMap::with_key(),
            engines: SlotMap::with_key(),
        }
    }

    /// Adds a role.
    pub fn add_role(&mut self, spec: RoleSpec) -> RoleKey {
        self.roles.insert(Role {
            spec,
            demand: 0.0,
            demand_at: None,
            short_since: None,
        })
    }

    /// Replaces the settings of a role.
    pub fn set_role(&mut self, role: RoleKey, spec: RoleSpec) {
        if let Some(row) = self.roles.get_mut(role) {
            row.spec = spec;
        }
    }

    /// Records how many engines a role could use now.
    pub fn set_demand(&mut self, now: Instant, role: RoleKey, engines: f64) {
        let Some(row) = self.roles.get_mut(role) else {
            return;
        };
        let weight = row.demand_at.map_or(0.0, |demand_at| {
            let age = now.saturating_duration_since(demand_at);
            (-age.as_secs_f64() / DEMAND_DECAY_SECS).exp()
        });
        row.demand = engines + weight * (row.demand - engines);
        row.demand_at = Some(now);
    }

    /// Adds an engine that serves `version` in `role`.
    pub fn add_engine(&mut self, role: RoleKey, version: u64) -> EngineKey {
        self.engines.insert(Engine {
            role,
            version,
            load: 0.0,
            pending: None,
            role_changed_at: None,
            failures: 0,
            retry_at: None,
        })
    }

    /// Removes an engine that has left or crashed.
    pub fn remove_engine(&mut self, engine: EngineKey) {
        self.engines.remove(engine);
    }

    /// Records the load of an engine; the least loaded ones change first.
    pub fn set_load(&mut self, engine: EngineKey, load: f64) {
        if let Some(row) = self.engines.get_mut(engine) {
            row.load = load;
        }
    }

    /// Records what an engine reports to serve after an order, which may differ
    /// from what was ordered.
    pub fn record_result(&mut self, now: Instant, engine: EngineKey, role: RoleKey, version: u64) {
        let Some(row) = self.engines.get_mut(engine) else {
            return;
        };
        let order = row.pending.take().map(|pending| pending.order);
        if row.role != role {
            row.role_changed_at = Some(now);
        }
        row.role = role;
        row.version = version;
        if order.is_some_and(|order| order.role != role || order.version != version) {
            row.record_failure(now);
        } else {
            row.failures = 0;
            row.retry_at = None;
        }
    }

    /// Returns the orders that are due. Should be called about once a second.
    pub fn tick(&mut self, now: Instant) -> Vec<Order> {
        let age = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.tokens = (self.tokens + age * self.rate).min(self.burst.max(1.0));
        self.refilled_at = now;
        for row in self.engines.values_mut() {
            let timed_out = |pending: &PendingOrder| pending.since + CHANGE_TIMEOUT <= now;
            if row.pending.as_ref().is_some_and(timed_out) {
                row.pending = None;
                row.record_failure(now);
            }
        }
        let mut orders = Vec::new();
        let roles: Vec<RoleKey> = self.roles.keys().collect();
        // Roles below their floor take precedence over updates.
        self.order_moves(now, &roles, &mut orders);
        for role in roles {
            self.order_updates(now, role, &mut orders);
        }
        orders
    }

    /// Returns the number of engines that serve a role now.
    #[must_use]
    pub fn serving(&self, role: RoleKey) -> usize {
        self.engines.values().filter(|e| e.is_serving(role)).count()
    }

    /// Returns the number of a role's engines that serve another version than the
    /// role's settings name.
    ///
    /// They can't be updated while the role has no more engines than its floor.
    #[must_use]
    pub fn outdated(&self, role: RoleKey) -> usize {
        let Some(row) = self.roles.get(role) else {
            return 0;
        };
        let all = self.engines.values().filter(|e| e.role == role);
        all.filter(|e| e.version != row.spec.version).count()
    }

    /// Orders version updates within the limits of wave, floor and store.
    fn order_updates(&mut self, now: Instant, role: RoleKey, orders: &mut Vec<Order>) {
        let spec = self.roles[role].spec;
        let serving = self.serving(role);
        let pending = self.engines.values().filter(|e| e.is_joining(role)).count();
        let wave_size = (((serving + pending) as f64 * MAX_WAVE_SHARE).floor()).max(1.0);
        let mut stale: Vec<(f64, EngineKey)> = self
            .engines
            .iter()
            .filter(|(_, e)| e.is_serving(role) && e.version != spec.version && e.is_available(now))
            .map(|(key, e)| (e.load, key))
            .collect();
        stale.sort_by(|a, b| a.0.total_cmp(&b.0));
        let available = serving.saturating_sub(spec.min_serving);
        let next = stale.into_iter().take(available).zip(pending..);
        for ((_, engine), count) in next {
            if count as f64 >= wave_size || !self.issue_order(now, engine, role, orders) {
                return;
            }
        }
    }

    /// Orders one engine to each role that is below its floor or has been short for
    /// long enough.
    fn order_moves(&mut self, now: Instant, roles: &[RoleKey], orders: &mut Vec<Order>) {
        for role in roles {
            let present = self.serving_or_joining(*role);
            let spec = self.roles[*role].spec;
            let below_floor = present < spec.min_serving;
            let is_short =
                below_floor || self.roles[*role].demand >= present as f64 + DEMAND_MARGIN;
            let row = &mut self.roles[*role];
            row.short_since = if is_short {
                row.short_since.or(Some(now))
            } else {
                None
            };
            let persistent = row
                .short_since
                .is_some_and(|since| since + MIN_SHORTAGE_TIME <= now);
            if !below_floor && !persistent {
                continue;
            }
            if let Some(engine) = self.find_donor(now, *role, below_floor)
                && self.issue_order(now, engine, *role, orders)
            {
                // The next move needs another lasting shortage.
                self.roles[*role].short_since = None;
            }
        }
    }

    fn serving_or_joining(&self, role: RoleKey) -> usize {
        let counts = |e: &&Engine| e.is_serving(role) || e.is_joining(role);
        self.engines.values().filter(counts).count()
    }

    /// Finds the least loaded engine that another role can spare.
    fn find_donor(&self, now: Instant, to: RoleKey, below_floor: bool) -> Option<EngineKey> {
        let recently_moved =
            |e: &Engine| e.role_changed_at.is_some_and(|at| at + MIN_ROLE_TIME > now);
        let fits = |e: &Engine| {
            e.role != to
                && e.is_available(now)
                && (below_floor || !recently_moved(e))
                && self.can_spare(e.role, below_floor)
        };
        let engines = self.engines.iter().filter(|(_, e)| fits(e));
        let least_loaded = engines.min_by(|a, b| a.1.load.total_cmp(&b.1.load));
        least_loaded.map(|(key, _)| key)
    }

    /// Returns whether a role with one engine less keeps its floor and, unless
    /// `below_floor` says that another role is below its own, meets its demand.
    fn can_spare(&self, role: RoleKey, below_floor: bool) -> bool {
        let Some(row) = self.roles.get(role) else {
            return true;
        };
        let remaining = self.serving(role).saturating_sub(1);
        let enough = self.serving_or_joining(role) as f64 - 1.0 >= row.demand + DEMAND_MARGIN;
        remaining >= row.spec.min_serving && (below_floor || enough)
    }

    /// Issues an order if the weight store's rate allows it; returns whether it did.
    fn issue_order(
        &mut self,
        now: Instant,
        engine: EngineKey,
        role: RoleKey,
        orders: &mut Vec<Order>,
    ) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        let version = self.roles[role].spec.version;
        let order = Order {
            engine,
            role,
            version,
        };
        self.engines[engine].pending = Some(PendingOrder { order, since: now });
        orders.push(order);
        true
    }
}

impl Engine {
    fn record_failure(&mut self, now: Instant) {
        let pause = MIN_BACKOFF * 2u32.saturating_pow(self.failures.min(16));
        self.retry_at = Some(now + pause.min(MAX_BACKOFF));
        self.failures += 1;
    }
}
