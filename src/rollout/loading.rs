//! Tells at which engines a load of weights is assumed to be under way.
//!
//! An engine that loads weights refuses items although it has free slots. Only the holder of
//! the duty of weights knows which engines it orders. Owners of batches learn of a load from
//! the record that the holder writes before its order, or, if that is missing or late, from
//! the first item that the engine refuses. Until the load has ended, they hold the engine
//! back from items of the model that is loaded.
//!
//! A hold ends when the engine shows the version. It also has a time limit, because the order
//! may never have been sent, and a refusal may have had another cause. After the limit the
//! state of the engine isn't known, so one item is sent as a trial, and others follow only
//! once it is answered. A long limit costs capacity where no load is under way, a short one
//! costs one refused item.
//!
//! An order that an engine doesn't carry out is repeated, each time with another record. Such
//! records don't prolong a hold, and once the engine has answered a trial they have no effect:
//! otherwise an engine that can't load would get no items at all.
//!
//! Loads are kept by engine and model. A load that was learned from a refusal may be one of
//! another model, so any newer version at that engine ends it.

use crate::rollout::order_records::{MAX_CLOCK_SKEW, OrderRecord};
use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

/// Duration of a load before any was seen. Engines that load stop for about a second.
const DEFAULT_LOAD: Duration = Duration::from_secs(1);
/// The time limit of a hold, as a multiple of a typical load: a slow load takes twice the
/// usual time.
const LIMIT_FACTOR: u32 = 2;
/// Shortest and longest time limit. The record of a load and the version that ends it take
/// up to a quarter of a second each with a slow store, and the holder of the duty gives up a
/// load after 8 s.
const LIMITS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(8));
/// Weight of a new sample in the duration of a typical load.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Time after its limit for which a hold waits for a trial. An engine that got no item for
/// this long is treated like one that is new.
const TRIAL_PERIOD: Duration = Duration::from_secs(30);
/// Time for which the last record of an engine is remembered, so that it takes effect once.
/// It must exceed the longest time limit.
const RECORD_TTL: Duration = Duration::from_mins(1);

/// The versions of an engine, by model.
pub type Versions = BTreeMap<String, u64>;

/// Why an engine is held or released.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HoldCause {
    /// Held: it is ordered to load.
    Ordered,
    /// Held: it refused an item although it reported free slots.
    Refused,
    /// Released: it shows the version.
    Loaded,
    /// Released for one item: the time limit has passed.
    TimedOut,
    /// Released: it answered an item after the time limit.
    Answered,
    /// Released: no item was sent there for long after the time limit.
    Unused,
}

/// An engine that is held or released for a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HoldChange {
    /// The engine.
    pub engine: String,
    /// The model.
    pub model: String,
    /// The version that was ordered, if that is known.
    pub version: Option<u64>,
    /// Why it is held or released.
    pub cause: HoldCause,
    /// Age of the record of the order, if there was one.
    pub record_age: Option<Duration>,
    /// How long it is held at most, or has been held.
    pub duration: Duration,
}

/// An order that was recorded.
#[derive(Clone, Copy, Debug)]
struct Order {
    version: u64,
    recorded_at: Instant,
}

/// A load that is assumed to be under way.
#[derive(Clone, Debug)]
pub struct Hold {
    order: Option<Order>,
    /// The sum of the engine's versions when it refused an item.
    refusal_sum: Option<u64>,
    since: Instant,
    until: Instant,
    /// When an item was sent as a trial that is not answered yet.
    trial_sent: Option<Instant>,
    /// Whether the end of the time limit was reported.
    is_overdue: bool,
}

impl Hold {
    /// Returns whether an engine with these versions has ended the load.
    #[must_use]
    pub fn is_over(&self, model: &str, versions: &Versions) -> bool {
        let has_ordered = self.order.is_some_and(|order| {
            let known = versions.get(model).copied();
            known.is_some_and(|known| known >= order.version)
        });
        has_ordered
            || self
                .refusal_sum
                .is_some_and(|sum| version_sum(versions) > sum)
    }

    /// Returns whether an item of the model may be sent.
    fn allows_item(&self, now: Instant, limit: Duration) -> bool {
        let is_trial_open = self.trial_sent.is_none_or(|sent| now >= sent + limit);
        now >= self.until && is_trial_open
    }
}

/// All loads that are assumed to be under way, by engine and model.
#[derive(Debug, Default)]
pub struct Loads {
    engines: HashMap<String, BTreeMap<String, Hold>>,
    /// When the last applied order of each engine was recorded, by the store's clock.
    applied: HashMap<String, Duration>,
    /// Versions that engines didn't load although they were ordered, by engine and model.
    not_loaded: HashMap<String, BTreeMap<String, u64>>,
    /// Seconds of a typical load.
    typical: Option<f64>,
    changes: Vec<HoldChange>,
}

impl Loads {
    /// Creates a state without loads.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how long an engine is held for a load whose end isn't seen.
    #[must_use]
    pub fn time_limit(&self) -> Duration {
        let typical = self.typical.map_or(DEFAULT_LOAD, Duration::from_secs_f64);
        (typical * LIMIT_FACTOR).clamp(LIMITS.0, LIMITS.1)
    }

    /// Applies the order that is recorded for an engine with these versions. `store_now` is
    /// the store's clock at `now`.
    ///
    /// Each record takes effect once, also if it is received several times. One that doesn't
    /// name what is loaded has no effect.
    pub fn record_order(
        &mut self,
        now: Instant,
        store_now: Duration,
        engine: &str,
        record: &OrderRecord,
        versions: &Versions,
    ) {
        let recorded = Duration::from_millis(record.recorded_at);
        let applied = self.applied.get(engine);
        if applied.is_some_and(|applied| *applied >= recorded) {
            return;
        }
        self.applied.insert(engine.to_owned(), recorded);
        let Some((model, version)) = record.model.as_ref().zip(record.version) else {
            return;
        };
        // Estimates of the store's clock differ, so the record may be younger than it seems.
        let age = store_now.saturating_sub(recorded);
        let counted = age.saturating_sub(MAX_CLOCK_SKEW);
        let limit = self.time_limit();
        let Some(recorded_at) = now.checked_sub(counted).filter(|_| counted < limit) else {
            return;
        };
        let order = Order {
            version,
            recorded_at,
        };
        let known = self.hold_mut(engine, model);
        if let Some(known) = known.and_then(|hold| hold.order.as_mut())
            && known.version == version
        {
            *known = order;
            return;
        }
        let failed = self.not_loaded.get(engine);
        if failed.and_then(|models| models.get(model)) == Some(&version) {
            return;
        }
        let hold = Hold {
            order: Some(order),
            refusal_sum: None,
            since: now,
            until: recorded_at + limit,
            trial_sent: None,
            is_overdue: false,
        };
        if !hold.is_over(model, versions) {
            self.hold(engine, model, hold, HoldCause::Ordered, Some(age));
        }
    }

    /// Forgets records that can't take effect again at the store's time `store_now`.
    pub fn expire_records(&mut self, store_now: Duration) {
        // A record from the future is of a store whose clock has been set back.
        self.applied.retain(|_, recorded| {
            *recorded <= store_now + RECORD_TTL && store_now <= *recorded + RECORD_TTL
        });
    }

    /// Records that an engine with these versions refused an item of a model although it
    /// reported free slots.
    ///
    /// Refusals of items that were sent before the hold began don't prolong it.
    pub fn record_refusal(&mut self, now: Instant, engine: &str, model: &str, versions: &Versions) {
        let known = self.engines.get(engine).and_then(|holds| holds.get(model));
        if known.is_some_and(|hold| now < hold.until) {
            return;
        }
        let order = known.and_then(|hold| hold.order);
        let hold = Hold {
            order,
            refusal_sum: Some(version_sum(versions)),
            since: now,
            until: now + self.time_limit(),
            trial_sent: None,
            is_overdue: false,
        };
        let age = order.map(|order| now.saturating_duration_since(order.recorded_at));
        self.hold(engine, model, hold, HoldCause::Refused, age);
    }

    /// Records that an item of a model is sent to an engine.
    pub fn record_sent(&mut self, now: Instant, engine: &str, model: &str) {
        if let Some(hold) = self
            .hold_mut(engine, model)
            .filter(|hold| now >= hold.until)
        {
            hold.trial_sent = Some(now);
        }
    }

    /// Records that an engine runs an item of a model that was sent to it.
    pub fn record_answer(&mut self, now: Instant, engine: &str, model: &str) {
        // Answers to items that were sent before the hold began tell nothing about the load.
        if self
            .hold_mut(engine, model)
            .is_some_and(|hold| hold.trial_sent.is_some())
        {
            self.release(now, engine, model, HoldCause::Answered);
        }
    }

    /// Records that an item of a model ended without an answer of its engine, or was refused
    /// for another reason. If it was a trial, the next item is one.
    pub fn record_end(&mut self, engine: &str, model: &str) {
        if let Some(hold) = self.hold_mut(engine, model) {
            hold.trial_sent = None;
        }
    }

    /// Releases engines that show the awaited version or were not used for long, and learns
    /// from the duration of loads. `versions` returns the versions of an engine, if it is
    /// known.
    pub fn settle<'a>(&mut self, now: Instant, versions: impl Fn(&str) -> Option<&'a Versions>) {
        let mut released = Vec::new();
        let mut overdue = Vec::new();
        for (engine, holds) in &mut self.engines {
            for (model, hold) in holds {
                let name = || (engine.clone(), model.clone());
                if versions(engine).is_some_and(|versions| hold.is_over(model, versions)) {
                    released.push((name(), HoldCause::Loaded));
                } else if now >= hold.until + TRIAL_PERIOD {
                    released.push((name(), HoldCause::Unused));
                } else if now >= hold.until && !hold.is_overdue {
                    hold.is_overdue = true;
                    overdue.push((name(), hold.clone()));
                }
            }
        }
        for ((engine, model), hold) in overdue {
            self.report(now, &engine, &model, &hold, HoldCause::TimedOut);
        }
        for ((engine, model), cause) in released {
            self.release(now, &engine, &model, cause);
        }
    }

    /// Forgets the loads of an engine that was removed or restarted.
    pub fn forget(&mut self, engine: &str) {
        self.engines.remove(engine);
        self.not_loaded.remove(engine);
    }

    /// Returns the engines to which no item of a model may be sent, unless they have ended the
    /// load since.
    pub fn held(&self, now: Instant, model: &str) -> impl Iterator<Item = (&str, &Hold)> {
        let limit = self.time_limit();
        self.engines.iter().filter_map(move |(engine, holds)| {
            let hold = holds.get(model)?;
            (!hold.allows_item(now, limit)).then_some((engine.as_str(), hold))
        })
    }

    /// Returns the number of engines that are held for any model.
    #[must_use]
    pub fn held_count(&self, now: Instant) -> usize {
        let is_held = |holds: &BTreeMap<String, Hold>| holds.values().any(|it| now < it.until);
        self.engines.values().filter(|holds| is_held(holds)).count()
    }

    /// Returns the engines that were held or released since the last call.
    pub fn take_changes(&mut self) -> Vec<HoldChange> {
        std::mem::take(&mut self.changes)
    }

    fn hold_mut(&mut self, engine: &str, model: &str) -> Option<&mut Hold> {
        self.engines.get_mut(engine)?.get_mut(model)
    }

    fn hold(
        &mut self,
        engine: &str,
        model: &str,
        hold: Hold,
        cause: HoldCause,
        record_age: Option<Duration>,
    ) {
        self.changes.push(HoldChange {
            engine: engine.to_owned(),
            model: model.to_owned(),
            version: hold.order.map(|order| order.version),
            cause,
            record_age,
            duration: hold.until.saturating_duration_since(hold.since),
        });
        let holds = self.engines.entry(engine.to_owned()).or_default();
        holds.insert(model.to_owned(), hold);
    }

    fn release(&mut self, now: Instant, engine: &str, model: &str, cause: HoldCause) {
        let Some(holds) = self.engines.get_mut(engine) else {
            return;
        };
        let hold = holds.remove(model);
        if holds.is_empty() {
            self.engines.remove(engine);
        }
        let Some(hold) = hold else { return };
        if let Some(order) = hold.order {
            self.record_outcome(now, engine, model, order, cause);
        }
        self.report(now, engine, model, &hold, cause);
    }

    fn report(&mut self, now: Instant, engine: &str, model: &str, hold: &Hold, cause: HoldCause) {
        let order = hold.order;
        self.changes.push(HoldChange {
            engine: engine.to_owned(),
            model: model.to_owned(),
            version: order.map(|order| order.version),
            cause,
            record_age: order.map(|order| now.saturating_duration_since(order.recorded_at)),
            duration: now.saturating_duration_since(hold.since),
        });
    }

    fn record_outcome(
        &mut self,
        now: Instant,
        engine: &str,
        model: &str,
        order: Order,
        cause: HoldCause,
    ) {
        match cause {
            HoldCause::Loaded => {
                let load = now.saturating_duration_since(order.recorded_at);
                let seconds = load.min(LIMITS.1).as_secs_f64();
                let mean = self.typical.unwrap_or(seconds);
                self.typical = Some(mean + (seconds - mean) * SAMPLE_WEIGHT);
            }
            HoldCause::Answered => {
                let models = self.not_loaded.entry(engine.to_owned()).or_default();
                models.insert(model.to_owned(), order.version);
            }
            HoldCause::Ordered | HoldCause::Refused | HoldCause::TimedOut | HoldCause::Unused => {}
        }
    }
}

fn version_sum(versions: &Versions) -> u64 {
    versions.values().sum()
}
