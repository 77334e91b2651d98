//! Which engines change their role or version, and when.
//!
//! Load: weights every few minutes for hundreds of engines, and demand that
//! moves between guests by day and trainers by night. Harm: engines that all
//! change at once leave callers without any; loads beyond the weight store's
//! rate slow each other down; engines that follow every wave of demand spend
//! their time loading. So engines change in waves, within the store's rate and
//! above each role's floor; a change of version goes as fast as these allow, a
//! change of role only after a need has lasted.
//!
//! A role is what an engine is for: a service with its adapter and its part of
//! the work. What an engine serves is what it reports, never what it was told:
//! a load that failed leaves it on a version nobody meant, which shows here as
//! one more engine to change.
//!
//! Weighed: planning all moves ahead. A plan is wrong as soon as one engine
//! fails; deciding the next moves on each tick costs one pass over the engines
//! and needs no repair.

use slotmap::SlotMap;
use std::time::{Duration, Instant};

slotmap::new_key_type! {
    /// Names an engine in a [`Shifter`].
    pub struct EngineKey;
    /// Names a role in a [`Shifter`].
    pub struct RoleKey;
}

/// Time constant of a need: a burst of callers lasts seconds and is met by
/// the queues, loading an engine takes half a minute.
const SMOOTH: f64 = 30.0;
/// A need must exceed what is there by half an engine, and what is left must
/// exceed the donor's need by as much: a need that sways by less moves none.
const MARGIN: f64 = 0.5;
/// So long must a shortage last before an engine changes its role.
const HOLD: Duration = Duration::from_secs(15);
/// An engine that changed its role keeps it for ten loads' time.
const REST: Duration = Duration::from_mins(5);
/// A change that isn't reported done by then has failed.
const PATIENCE: Duration = Duration::from_mins(1);
/// An engine whose change failed is tried again after this, doubled each time.
const BACKOFF: Duration = Duration::from_secs(2);
const BACKOFF_MOST: Duration = Duration::from_mins(2);
/// Share of a role that changes at once: the rest carry a third more meanwhile.
const WAVE: f64 = 0.25;

/// What an operator lays down for a role.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RoleSpec {
    /// Engines that serve at any time.
    pub floor: usize,
    /// The version of the weights that they should serve.
    pub version: u64,
}

impl RoleSpec {
    /// Creates a role without a floor that serves `version`.
    #[must_use]
    pub const fn new(version: u64) -> Self {
        Self { floor: 0, version }
    }

    /// Sets how many engines serve at any time.
    #[must_use]
    pub const fn floor(mut self, floor: usize) -> Self {
        self.floor = floor;
        self
    }
}

/// An order to an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Order {
    /// The engine.
    pub engine: EngineKey,
    /// What it is to be for.
    pub role: RoleKey,
    /// The version to load.
    pub version: u64,
}

#[derive(Debug)]
struct Role {
    spec: RoleSpec,
    need: f64,
    fresh: Option<Instant>,
    short: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Move {
    order: Order,
    since: Instant,
}

#[derive(Debug)]
struct Engine {
    role: RoleKey,
    version: u64,
    load: f64,
    moving: Option<Move>,
    moved: Option<Instant>,
    failures: u32,
    retry: Option<Instant>,
}

impl Engine {
    fn serves(&self, role: RoleKey) -> bool {
        self.role == role && self.moving.is_none()
    }

    fn comes_to(&self, role: RoleKey) -> bool {
        self.moving.is_some_and(|step| step.order.role == role)
    }

    fn free(&self, now: Instant) -> bool {
        self.moving.is_none() && self.retry.is_none_or(|at| at <= now)
    }
}

/// Decides which engines change their role or version.
#[derive(Debug)]
pub struct Shifter {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: Instant,
    roles: SlotMap<RoleKey, Role>,
    engines: SlotMap<EngineKey, Engine>,
}

impl Shifter {
    /// Creates a shifter for a weight store that gives `rate` loads a second,
    /// and up to `burst` at once after a pause.
    #[must_use]
    pub fn new(now: Instant, rate: f64, burst: u32) -> Self {
        Self {
            rate,
            burst: f64::from(burst),
            tokens: f64::from(burst),
            filled: now,
            roles: SlotMap::with_key(),
            engines: SlotMap::with_key(),
        }
    }

    /// Adds a role.
    pub fn add_role(&mut self, spec: RoleSpec) -> RoleKey {
        self.roles.insert(Role {
            spec,
            need: 0.0,
            fresh: None,
            short: None,
        })
    }

    /// Changes what is laid down for a role.
    pub fn set_role(&mut self, role: RoleKey, spec: RoleSpec) {
        if let Some(row) = self.roles.get_mut(role) {
            row.spec = spec;
        }
    }

    /// Takes in how many engines a role could use now.
    pub fn set_need(&mut self, now: Instant, role: RoleKey, engines: f64) {
        let Some(row) = self.roles.get_mut(role) else {
            return;
        };
        let keep = row.fresh.map_or(0.0, |fresh| {
            let age = now.saturating_duration_since(fresh);
            (-age.as_secs_f64() / SMOOTH).exp()
        });
        row.need = engines + keep * (row.need - engines);
        row.fresh = Some(now);
    }

    /// Adds an engine that serves `version` in `role`.
    pub fn add_engine(&mut self, role: RoleKey, version: u64) -> EngineKey {
        self.engines.insert(Engine {
            role,
            version,
            load: 0.0,
            moving: None,
            moved: None,
            failures: 0,
            retry: None,
        })
    }

    /// Forgets an engine that has left or crashed.
    pub fn remove_engine(&mut self, engine: EngineKey) {
        self.engines.remove(engine);
    }

    /// Takes in the load of an engine; the least loaded change first.
    pub fn set_load(&mut self, engine: EngineKey, load: f64) {
        if let Some(row) = self.engines.get_mut(engine) {
            row.load = load;
        }
    }

    /// Takes in what an engine really serves after an order, whether or not
    /// that is what it was told.
    pub fn done(&mut self, now: Instant, engine: EngineKey, role: RoleKey, version: u64) {
        let Some(row) = self.engines.get_mut(engine) else {
            return;
        };
        let order = row.moving.take().map(|step| step.order);
        if row.role != role {
            row.moved = Some(now);
        }
        row.role = role;
        row.version = version;
        if order.is_some_and(|order| order.role != role || order.version != version) {
            row.fail(now);
        } else {
            row.failures = 0;
            row.retry = None;
        }
    }

    /// Returns the orders that are due; to be called about once a second.
    pub fn tick(&mut self, now: Instant) -> Vec<Order> {
        let age = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + age * self.rate).min(self.burst.max(1.0));
        self.filled = now;
        for row in self.engines.values_mut() {
            let late = |step: &Move| step.since + PATIENCE <= now;
            if row.moving.as_ref().is_some_and(late) {
                row.moving = None;
                row.fail(now);
            }
        }
        let mut orders = Vec::new();
        let roles: Vec<RoleKey> = self.roles.keys().collect();
        // Floors first: a role without engines answers nobody.
        self.balance(now, &roles, &mut orders);
        for role in roles {
            self.update(now, role, &mut orders);
        }
        orders
    }

    /// Returns the engines that serve a role now.
    #[must_use]
    pub fn serving(&self, role: RoleKey) -> usize {
        self.engines.values().filter(|e| e.serves(role)).count()
    }

    /// Returns the engines of a role that serve another version than they
    /// should; with as many engines as its floor a role can't change them.
    #[must_use]
    pub fn stale(&self, role: RoleKey) -> usize {
        let Some(row) = self.roles.get(role) else {
            return 0;
        };
        let all = self.engines.values().filter(|e| e.role == role);
        all.filter(|e| e.version != row.spec.version).count()
    }

    /// Changes versions, as many as the wave, the floor and the store allow.
    fn update(&mut self, now: Instant, role: RoleKey, orders: &mut Vec<Order>) {
        let spec = self.roles[role].spec;
        let serving = self.serving(role);
        let moving = self.engines.values().filter(|e| e.comes_to(role)).count();
        let wave = (((serving + moving) as f64 * WAVE).floor()).max(1.0);
        let mut stale: Vec<(f64, EngineKey)> = self
            .engines
            .iter()
            .filter(|(_, e)| e.serves(role) && e.version != spec.version && e.free(now))
            .map(|(key, e)| (e.load, key))
            .collect();
        stale.sort_by(|a, b| a.0.total_cmp(&b.0));
        let spare = serving.saturating_sub(spec.floor);
        let next = stale.into_iter().take(spare).zip(moving..);
        for ((_, engine), count) in next {
            if count as f64 >= wave || !self.order(now, engine, role, orders) {
                return;
            }
        }
    }

    /// Moves one engine to each role that has been short for long enough.
    fn balance(&mut self, now: Instant, roles: &[RoleKey], orders: &mut Vec<Order>) {
        for role in roles {
            let have = self.with_coming(*role);
            let spec = self.roles[*role].spec;
            let below = have < spec.floor;
            let short = below || self.roles[*role].need >= have as f64 + MARGIN;
            let row = &mut self.roles[*role];
            row.short = if short { row.short.or(Some(now)) } else { None };
            let lasted = row.short.is_some_and(|since| since + HOLD <= now);
            if !below && !lasted {
                continue;
            }
            if let Some(engine) = self.donor(now, *role, below)
                && self.order(now, engine, *role, orders)
            {
                // The next one has to be short for as long again.
                self.roles[*role].short = None;
            }
        }
    }

    fn with_coming(&self, role: RoleKey) -> usize {
        let counts = |e: &&Engine| e.serves(role) || e.comes_to(role);
        self.engines.values().filter(counts).count()
    }

    /// Finds the least loaded engine that another role can do without.
    fn donor(&self, now: Instant, to: RoleKey, below: bool) -> Option<EngineKey> {
        let rests = |e: &Engine| e.moved.is_some_and(|at| at + REST > now);
        let fits = |e: &Engine| {
            e.role != to && e.free(now) && (below || !rests(e)) && self.spares(e.role, below)
        };
        let engines = self.engines.iter().filter(|(_, e)| fits(e));
        let least = engines.min_by(|a, b| a.1.load.total_cmp(&b.1.load));
        least.map(|(key, _)| key)
    }

    /// Says whether a role keeps its floor, and its need unless another role is
    /// below its floor, with one engine less.
    fn spares(&self, role: RoleKey, below: bool) -> bool {
        let Some(row) = self.roles.get(role) else {
            return true;
        };
        let left = self.serving(role).saturating_sub(1);
        let enough = self.with_coming(role) as f64 - 1.0 >= row.need + MARGIN;
        left >= row.spec.floor && (below || enough)
    }

    fn order(
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
        self.engines[engine].moving = Some(Move { order, since: now });
        orders.push(order);
        true
    }
}

impl Engine {
    fn fail(&mut self, now: Instant) {
        let pause = BACKOFF * 2u32.saturating_pow(self.failures.min(16));
        self.retry = Some(now + pause.min(BACKOFF_MOST));
        self.failures += 1;
    }
}
