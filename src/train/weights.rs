//! New weights on a run's engines.
//!
//! Waves, floor, the store's rate and repeated orders are the
//! [`Shifter`]'s. What is added here is the run's: orders carry the holder's
//! fencing number, and an engine is used for the run only while it reports a
//! version that was meant.
//!
//! Load: new weights every few minutes, of which some swaps fail. Harm: samples
//! of a version that nobody meant, which are dropped only after they cost their
//! tokens. An engine that reports such a version therefore leaves the pool at
//! once, and comes back when a further order shows in its report.

use crate::route::shift::{EngineKey, Order, RoleKey, RoleSpec, Shifter};
use slotmap::SecondaryMap;
use std::time::{Duration, Instant};

/// An order with the number that makes an older holder's void.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fenced {
    /// The order.
    pub order: Order,
    /// The holder's fencing number; the engine's side refuses a lower one.
    pub fence: u64,
}

/// The weights of one run's engines.
#[derive(Debug)]
pub struct Weights {
    shifter: Shifter,
    role: RoleKey,
    fence: u64,
    floor: usize,
    /// The version that engines should serve, and the one before.
    target: u64,
    before: u64,
    reported: SecondaryMap<EngineKey, u64>,
}

impl Weights {
    /// Creates the weights of engines that should serve `version`; at least
    /// `floor` of them serve at any time, and the store gives `rate` loads a
    /// second.
    #[must_use]
    pub fn new(now: Instant, fence: u64, version: u64, floor: usize, rate: f64) -> Self {
        let mut shifter = Shifter::new(now, rate, burst(rate));
        let role = shifter.add_role(RoleSpec::new(version).floor(floor));
        Self {
            shifter,
            role,
            fence,
            floor,
            target: version,
            before: version,
            reported: SecondaryMap::new(),
        }
    }

    /// Adds an engine that reports `version`.
    pub fn add(&mut self, version: u64) -> EngineKey {
        let engine = self.shifter.add_engine(self.role, version);
        self.reported.insert(engine, version);
        engine
    }

    /// Forgets an engine that has left or crashed.
    pub fn remove(&mut self, engine: EngineKey) {
        self.shifter.remove_engine(engine);
        self.reported.remove(engine);
    }

    /// Has all engines serve a new version, in waves.
    pub fn roll_out(&mut self, version: u64) {
        self.before = self.target;
        self.target = version;
        let spec = RoleSpec::new(version).floor(self.floor);
        self.shifter.set_role(self.role, spec);
    }

    /// Takes in what an engine reports, after an order or unasked.
    pub fn report(&mut self, now: Instant, engine: EngineKey, version: u64) {
        if self.reported.insert(engine, version).is_some() {
            self.shifter.done(now, engine, self.role, version);
        }
    }

    /// Returns the orders that are due; to be called about once a second.
    pub fn tick(&mut self, now: Instant) -> Vec<Fenced> {
        let fence = self.fence;
        let orders = self.shifter.tick(now).into_iter();
        orders.map(|order| Fenced { order, fence }).collect()
    }

    /// Says whether an engine may generate for the run: it reports the newest
    /// version or the one before, and that is not under `floor`.
    #[must_use]
    pub fn is_usable(&self, engine: EngineKey, floor: u64) -> bool {
        let version = self.reported.get(engine).copied();
        version.is_some_and(|v| v >= floor && (v == self.target || v == self.before))
    }

    /// Returns how many engines serve while others change.
    #[must_use]
    pub fn serving(&self) -> usize {
        self.shifter.serving(self.role)
    }

    /// Returns how many engines don't serve the newest version.
    #[must_use]
    pub fn stale(&self) -> usize {
        self.shifter.stale(self.role)
    }
}

// A second's worth may go out together, since that is how often orders are.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a rate is small and not negative"
)]
fn burst(rate: f64) -> u32 {
    rate.ceil().max(1.0) as u32
}

/// The arithmetic of a rollout.
///
/// # Example
///
/// ```
/// use hibiscusroad::train::Plan;
/// use std::time::Duration;
///
/// let plan = Plan { engines: 8, wave: 2, load: Duration::from_secs(3), rate: 2.0, copies: 0 };
/// assert_eq!(plan.time(), Duration::from_secs(12));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// Engines to change.
    pub engines: u32,
    /// Engines that change at once; the others serve.
    pub wave: u32,
    /// How long one engine takes, from the order to its report.
    pub load: Duration,
    /// Loads a second that the weight store begins.
    pub rate: f64,
    /// Copies that an engine with the new version gives to others at once.
    pub copies: u32,
}

impl Plan {
    /// Returns how long the rollout takes, wave after wave: a wave lasts until
    /// its last engine could begin, and one load more. The first engine of a
    /// wave begins at once.
    #[must_use]
    pub fn time(&self) -> Duration {
        let mut done = 0;
        let mut time = Duration::ZERO;
        while done < self.engines {
            let wave = self.wave.max(1).min(self.engines - done);
            let peers = done.saturating_mul(self.copies);
            let store = wave.saturating_sub(peers);
            // What a burst gives together begins within the same second.
            let wait = (f64::from(store) / self.rate - 1.0).max(0.0);
            time += self.load + Duration::from_secs_f64(wait);
            done += wave;
        }
        time
    }

    /// Returns the lowest rate of the store, in loads a second, with which the
    /// rollout takes at most `aim`; none if no rate is enough.
    #[must_use]
    pub fn needed_rate(&self, aim: Duration) -> Option<u32> {
        let fits = |rate: &u32| {
            let plan = Self {
                rate: f64::from(*rate),
                ..*self
            };
            plan.time() <= aim
        };
        (1..=self.engines).find(fits)
    }
}
