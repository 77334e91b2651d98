//! Chooses the engine that an item of a batch goes to.
//!
//! Several owners send items to the same engines, and none sees the items of the others.
//! The capacity of an engine is therefore its slots, less own items and the other requests
//! that it last reported. Ties are broken by a hash of group and engine, so that owners
//! don't all choose the same engine. Engines of the own region come first among those that are
//! equal in everything else.
//!
//! A group waits for its slowest item, so an engine that is much slower than its peers
//! gets only one item at a time, which shows when it recovers.

mod census;
mod loads;
mod speed;

pub use self::{
    census::{Census, Obstacle},
    loads::RefusalReason,
    speed::TextSpeed,
};

use slotmap::SlotMap;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    cold_start::Admission,
    contention::Contention,
    rollout::{
        fit::Rest,
        loading::Loads,
        pace::{Paces, Sample},
        tier::{ServiceSpeed, Tier},
        waits::WaitReason,
    },
    roster::Endpoint,
    topology::{Region, RegionSet, Topology},
};

slotmap::new_key_type! {
    /// Names an engine in [`Engines`].
    pub struct EngineKey;
}

/// Lifetime of an engine's report of its load: generations take about a second.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(800);
/// Pause after a refusal, in which about one slot in ten becomes free.
const REFUSAL_PAUSE: Duration = Duration::from_millis(100);
/// Pause after the first failed connection; it doubles with each further one.
const MIN_FAILURE_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause after failed connections.
const MAX_FAILURE_PAUSE: Duration = Duration::from_secs(4);
/// Pause after an engine made no events. It is shorter than a load of weights, because an
/// item that is sent too early moves on at once.
const STALL_PAUSE: Duration = Duration::from_millis(300);
/// A run is long if it has this many times the events of an average one. Half of the runs that
/// get there make as many again.
const LONG_RUN_FACTOR: f64 = 1.5;
/// Weight of a new sample in the average number of events of a text.
const EVENTS_WEIGHT: f64 = 0.05;
/// Lifetime of an engine's slowness: disturbances last some seconds. After it, a slow
/// engine is treated as one that is mildly slow.
const SLOWNESS_TTL: Duration = Duration::from_secs(6);
/// Weight of a new sample in an engine's pace.
const PACE_WEIGHT: f64 = 0.4;
/// Weight of a new report in the usual slowness of a host, which covers many disturbances.
const USUAL_WEIGHT: f64 = 0.05;
#[derive(Debug)]
struct EngineState {
    id: String,
    /// The engine's ID and incarnation, by which owners share its pace.
    incarnation: String,
    service: String,
    slots: u32,
    /// Whether the engine takes new requests.
    is_open: bool,
    region: Region,
    /// Whether it is in another region.
    is_far: bool,
    /// What it admits now, less the items that were sent since that was decided.
    admission: Admission,
    weights: BTreeMap<String, u64>,
    /// Number of items of this owner that run there.
    own_items: u32,
    /// Number of other requests there, and when it was reported.
    others_report: Option<(Instant, u32)>,
    paused_until: Option<Instant>,
    /// Number of failures in a row.
    failures: u32,
    /// The end of the pause after the last failure.
    failure_until: Option<Instant>,
    /// Seconds per event.
    pace: Option<f64>,
    /// Average of the pace over many runs, in seconds per event.
    natural: Option<f64>,
    /// Number of samples of the natural pace.
    natural_samples: u32,
    /// The host's slowness in percent, and when it was reported.
    slowness: Option<(Instant, u32)>,
    /// Average of the reported slowness in percent. Hosts differ in speed for good, which the
    /// natural pace already includes.
    usual_percent: Option<f64>,
    /// When the pace was last measured, here or by another owner.
    pace_as_of: Option<Instant>,
    /// When the pace was last measured here.
    own_measurement: Option<Instant>,
}

impl EngineState {
    fn other_requests(&self, now: Instant) -> u32 {
        let report = self
            .others_report
            .filter(|(at, _)| now < *at + LOAD_REPORT_TTL);
        report.map_or(0, |(_, count)| count)
    }

    fn free_slots(&self, now: Instant) -> u32 {
        self.slots
            .saturating_sub(self.own_items + self.other_requests(now))
    }
}

/// What an item requires of its engine.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// The service.
    pub service: &'a str,
    /// The model, if the item names one.
    pub model: Option<&'a str>,
    /// The oldest weight version that is allowed.
    pub min_version: u64,
    /// The only weight version that is allowed, if it is fixed.
    pub exact_version: Option<u64>,
    /// The regions whose engines are allowed.
    pub regions: RegionSet,
    /// The item's group, which breaks ties.
    pub group: &'a str,
    /// An engine that must not be chosen.
    pub excluded: Option<EngineKey>,
    /// What is left of the text, if that is known.
    pub rest: Option<Rest>,
    /// When the text is due, if anyone waits for it.
    pub due: Option<Instant>,
}

/// All engines, as one owner of batches sees them.
#[derive(Debug, Default)]
pub struct Engines {
    states: SlotMap<EngineKey, EngineState>,
    index: HashMap<String, EngineKey>,
    contention: Contention,
    topology: Option<Topology>,
    /// Services of which an engine has reported how slow its host is.
    shared_hosts: BTreeSet<String>,
    /// Where loads of weights are assumed to be under way.
    loads: Loads,
    /// Services of which another owner has recently had such a report.
    shared_elsewhere: BTreeSet<String>,
    /// Average number of events of a text.
    mean_events: Option<f64>,
    /// Average ratio of a text's hinted tokens to its events.
    tokens_per_event: Option<f64>,
    /// Number of events of the longest text so far.
    max_events: u64,
}

impl Engines {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the data centres and regions; without them, no engine's region is known.
    #[must_use]
    pub fn topology(mut self, topology: Topology) -> Self {
        self.topology = Some(topology);
        self
    }

    /// Sets for which services contention is expected.
    #[must_use]
    pub const fn contention(mut self, contention: Contention) -> Self {
        self.contention = contention;
        self
    }

    /// Returns whether trainers are expected to compete for the engines of a service.
    #[must_use]
    pub fn is_contended(&self, service: &str) -> bool {
        let has_shared_hosts =
            self.shared_hosts.contains(service) || self.shared_elsewhere.contains(service);
        self.contention.is_expected(has_shared_hosts)
    }

    /// Records whether another owner has recently had such a report; returns whether that
    /// is a change.
    pub fn set_shared_elsewhere(&mut self, service: &str, is_shared: bool) -> bool {
        if is_shared {
            self.shared_elsewhere.insert(service.to_owned())
        } else {
            self.shared_elsewhere.remove(service)
        }
    }

    /// Returns how many slots of a service's engines are free.
    #[must_use]
    pub fn free_slots(&self, now: Instant, service: &str) -> usize {
        let engines = self.states.values();
        let open = engines.filter(|engine| engine.is_open && engine.service == service);
        open.map(|engine| engine.free_slots(now) as usize).sum()
    }

    /// Returns the pace of an engine in seconds per event, and when it was measured.
    #[must_use]
    pub fn pace(&self, id: &str) -> Option<(Instant, f64)> {
        let engine = self.states.get(self.key(id)?)?;
        engine.pace_as_of.zip(engine.pace)
    }

    /// Records that an engine of a service has reported how slow its host is; returns whether it
    /// is the first one.
    pub fn record_shared_host(&mut self, service: &str) -> bool {
        !self.shared_hosts.contains(service) && self.shared_hosts.insert(service.to_owned())
    }

    /// Adds an engine, or updates it from its registration.
    pub fn update(&mut self, endpoint: &Endpoint) {
        let Endpoint {
            id,
            started_ms,
            service,
            ..
        } = endpoint;
        let topology = self.topology.as_ref();
        let region = topology.map(|topology| topology.region(&endpoint.data_centre));
        let is_far = topology
            .zip(region)
            .is_some_and(|(it, region)| it.is_far(region));
        let region = region.unwrap_or(Region::UNKNOWN);
        let key = self.index.get(id).copied().unwrap_or_else(|| {
            let key = self.states.insert(EngineState {
                id: id.clone(),
                incarnation: started_ms.map_or_else(|| id.clone(), |born| format!("{id}@{born}")),
                service: service.clone(),
                slots: endpoint.slots,
                is_open: endpoint.is_open(),
                region,
                is_far,
                admission: Admission::OPEN,
                weights: BTreeMap::new(),
                own_items: 0,
                others_report: None,
                paused_until: None,
                failures: 0,
                failure_until: None,
                pace: None,
                natural: None,
                natural_samples: 0,
                slowness: None,
                usual_percent: None,
                pace_as_of: None,
                own_measurement: None,
            });
            self.index.insert(id.clone(), key);
            key
        });
        let engine = &mut self.states[key];
        engine.slots = endpoint.slots;
        engine.is_open = endpoint.is_open();
        (engine.region, engine.is_far) = (region, is_far);
        for weights in &endpoint.weights {
            raise_version(&mut engine.weights, &weights.model, weights.version);
        }
    }

    /// Sets what an engine admits.
    pub fn set_admission(&mut self, id: &str, admission: Admission) {
        if let Some(key) = self.key(id) {
            self.states[key].admission = admission;
        }
    }

    /// Returns whether an engine is cold, as far as is known.
    #[must_use]
    pub fn is_cold(&self, key: EngineKey) -> bool {
        let engine = self.states.get(key);
        engine.is_some_and(|engine| engine.admission.is_cold)
    }

    /// Returns whether an item that finds no engine would have found one without the limits of
    /// cold endpoints.
    #[must_use]
    pub fn is_held_back(&self, now: Instant, requirements: &Requirements<'_>) -> bool {
        self.states.iter().any(|(key, engine)| {
            engine.admission.items == Some(0) && has_room(now, key, engine, requirements)
        })
    }

    /// Removes an engine.
    pub fn remove(&mut self, id: &str) {
        self.loads.forget(id);
        if let Some(key) = self.index.remove(id) {
            self.states.remove(key);
        }
    }

    /// Returns the ID of an engine.
    #[must_use]
    pub fn id(&self, key: EngineKey) -> Option<&str> {
        self.states.get(key).map(|engine| engine.id.as_str())
    }

    /// Returns the key of the engine with this ID.
    #[must_use]
    pub fn key(&self, id: &str) -> Option<EngineKey> {
        self.index.get(id).copied()
    }

    /// Returns how many items of this owner run at an engine.
    #[must_use]
    pub fn own_items(&self, id: &str) -> u32 {
        self.key(id).map_or(0, |key| self.states[key].own_items)
    }

    /// Returns whether any engine of a service in these regions has exactly this version of a
    /// model.
    #[must_use]
    pub fn has_version(
        &self,
        service: &str,
        model: &str,
        version: u64,
        regions: RegionSet,
    ) -> bool {
        self.states.values().any(|engine| {
            engine.is_open
                && regions.contains(engine.region)
                && engine.service == service
                && engine.weights.get(model) == Some(&version)
        })
    }

    /// Chooses an engine with free capacity for an item.
    #[must_use]
    pub fn choose(&self, now: Instant, requirements: &Requirements<'_>) -> Option<EngineKey> {
        if self.is_contended(requirements.service) {
            return self.choose_by_end(now, requirements);
        }
        let speed = self.service_speed(requirements.service);
        let tier = |engine: &EngineState| {
            let known = speed.zip(engine.pace);
            let tier = known.map_or(Tier::Fast, |(speed, pace)| speed.tier(pace));
            let outdated = engine.pace_as_of.is_some_and(|at| now > at + SLOWNESS_TTL);
            if outdated { tier.max(Tier::Mild) } else { tier }
        };
        let eligible = self.states.iter().filter(|(key, engine)| {
            is_eligible(now, *key, engine, requirements)
                && (tier(engine) != Tier::Slow || engine.own_items == 0)
        });
        let group_hash = group_hash(requirements);
        let best = eligible.max_by_key(|(_, engine)| {
            let tie_breaker = tie_breaker(engine, group_hash);
            let is_warm = !engine.admission.is_cold;
            let free_slots = engine.free_slots(now);
            (
                is_warm,
                tier(engine),
                free_slots,
                !engine.is_far,
                tie_breaker,
            )
        });
        best.map(|(key, _)| key)
    }

    /// Returns what is missing when no engine can be chosen.
    #[must_use]
    pub fn wait_reason(&self, requirements: &Requirements<'_>) -> WaitReason {
        let is_suitable = |engine: &EngineState| {
            engine.is_open
                && engine.service == requirements.service
                && requirements.regions.contains(engine.region)
                && has_weights(engine, requirements)
        };
        if self.states.values().any(is_suitable) {
            WaitReason::Capacity
        } else {
            WaitReason::Weights
        }
    }

    /// Returns whether an engine has been much slower than its peers recently.
    #[must_use]
    pub fn is_slow(&self, now: Instant, id: &str) -> bool {
        let Some(engine) = self.key(id).and_then(|key| self.states.get(key)) else {
            return false;
        };
        let is_recent = engine.pace_as_of.is_some_and(|at| now <= at + SLOWNESS_TTL);
        let known = self.service_speed(&engine.service).zip(engine.pace);
        is_recent && known.is_some_and(|(speed, pace)| speed.tier(pace) == Tier::Slow)
    }

    /// Returns whether at least half of an engine's slots are free.
    #[must_use]
    pub fn is_idle(&self, now: Instant, key: EngineKey) -> bool {
        let engine = self.states.get(key);
        engine.is_some_and(|engine| engine.free_slots(now) * 2 >= engine.slots)
    }

    /// Returns whether `other` is enough faster than an engine with this `pace` to move a
    /// run with `events` events there: a long run moves for a smaller difference.
    #[must_use]
    pub fn is_worth_moving(&self, service: &str, pace: f64, events: u64, other: EngineKey) -> bool {
        let Some(speed) = self.service_speed(service) else {
            return false;
        };
        let other_pace = self.states.get(other).and_then(|engine| engine.pace);
        let other_tier = other_pace.map_or(Tier::Fast, |pace| speed.tier(pace));
        let is_long = self
            .mean_events
            .is_some_and(|mean| events as f64 > mean * LONG_RUN_FACTOR);
        match speed.tier(pace) {
            Tier::Slow => other_tier != Tier::Slow,
            Tier::Mild => is_long && other_tier == Tier::Fast,
            Tier::Fast => false,
        }
    }

    /// Records the number of events of a complete text, and its length hint in tokens.
    pub fn record_text(&mut self, events: u64, hint: Option<u32>) {
        self.max_events = self.max_events.max(events);
        let mean = self.mean_events.unwrap_or(events as f64);
        self.mean_events = Some(mean + (events as f64 - mean) * EVENTS_WEIGHT);
        if let Some(hint) = hint.filter(|_| events > 0) {
            let ratio = f64::from(hint) / events as f64;
            let mean = self.tokens_per_event.unwrap_or(ratio);
            self.tokens_per_event = Some(mean + (ratio - mean) * EVENTS_WEIGHT);
        }
    }

    /// Returns how long a text with this hint in tokens is expected to take after event
    /// `last` at one of the fastest engines; zero before any text was completed.
    #[must_use]
    pub fn expected_duration(&self, service: &str, hint: u32, last: u64) -> Duration {
        let speed = self.service_speed(service);
        let speed = speed.and_then(|speed| self.speed_of_texts(speed.best));
        speed.map_or(Duration::ZERO, |speed| speed.remaining(hint, last))
    }

    /// Records that an item was sent to an engine.
    pub fn add_item(&mut self, key: EngineKey) {
        if let Some(engine) = self.states.get_mut(key) {
            engine.own_items += 1;
            if let Some(room) = &mut engine.admission.items {
                *room = room.saturating_sub(1);
            }
        }
    }

    /// Records that an item no longer runs at an engine.
    pub fn remove_item(&mut self, key: EngineKey) {
        if let Some(engine) = self.states.get_mut(key) {
            engine.own_items = engine.own_items.saturating_sub(1);
        }
    }

    /// Records the total of running and queued requests that an engine reported, and the
    /// slowness of its host in percent; returns whether that is the first report of a slowness
    /// for its service.
    pub fn record_load(
        &mut self,
        now: Instant,
        key: EngineKey,
        total: u32,
        slowness: Option<u32>,
    ) -> bool {
        let Some(engine) = self.states.get_mut(key) else {
            return false;
        };
        engine.others_report = Some((now, total.saturating_sub(engine.own_items)));
        let Some(percent) = slowness.filter(|percent| *percent > 0) else {
            return false;
        };
        engine.slowness = Some((now, percent));
        let usual = engine.usual_percent.unwrap_or_else(|| f64::from(percent));
        engine.usual_percent = Some(usual + (f64::from(percent) - usual) * USUAL_WEIGHT);
        let service = engine.service.clone();
        self.record_shared_host(&service)
    }

    /// Records the weight version that an engine reported with an answer.
    pub fn record_version(&mut self, key: EngineKey, model: &str, version: u64) {
        if let Some(engine) = self.states.get_mut(key) {
            raise_version(&mut engine.weights, model, version);
        }
    }

    /// Records that an engine refused an item without running it.
    ///
    /// An engine that refuses although it reported free slots is probably loading weights.
    pub fn record_refusal(&mut self, now: Instant, key: EngineKey) {
        if let Some(engine) = self.states.get_mut(key) {
            let pause = if engine.free_slots(now) > 0 {
                STALL_PAUSE
            } else {
                REFUSAL_PAUSE
            };
            engine.paused_until = Some(now + pause);
        }
    }

    /// Records that an engine is full: an item of this owner waits in its queue. It stays full
    /// when the item leaves, which had no slot.
    pub fn record_queueing(&mut self, now: Instant, key: EngineKey) {
        if let Some(engine) = self.states.get_mut(key) {
            let others = (engine.slots + 1).saturating_sub(engine.own_items);
            engine.others_report = Some((now, others));
        }
    }

    /// Records that an engine couldn't be reached or lost the connection.
    ///
    /// What fails during the pause was sent before it: runs that break together are one failure.
    pub fn record_failure(&mut self, now: Instant, key: EngineKey) {
        let Some(engine) = self.states.get_mut(key) else {
            return;
        };
        if engine.failure_until.is_some_and(|until| now < until) {
            return;
        }
        let pause = MIN_FAILURE_PAUSE * (1 << engine.failures.min(5));
        let until = now + pause.min(MAX_FAILURE_PAUSE);
        engine.failures += 1;
        engine.failure_until = Some(until);
        engine.paused_until = Some(until);
    }

    /// Records that an engine makes events.
    pub fn record_event(&mut self, key: EngineKey) {
        if let Some(engine) = self.states.get_mut(key) {
            engine.failures = 0;
        }
    }

    /// Records that an engine makes no events: it loads weights, or is disturbed.
    pub fn record_stall(&mut self, now: Instant, key: EngineKey) {
        if let Some(engine) = self.states.get_mut(key) {
            engine.paused_until = Some(now + STALL_PAUSE);
        }
    }

    /// Records a measurement of an engine's pace, in seconds per event.
    pub fn record_pace(&mut self, now: Instant, key: EngineKey, pace: f64) {
        if let Some(engine) = self.states.get_mut(key) {
            engine.pace_as_of = Some(now);
            engine.own_measurement = Some(now);
            engine.record_natural_pace(pace);
            let old = engine.pace.unwrap_or(pace);
            engine.pace = Some(old + (pace - old) * PACE_WEIGHT);
        }
    }

    /// Returns the services of engines that this process has sampled since an instant.
    #[must_use]
    pub fn services_sampled_since(&self, since: Instant) -> BTreeSet<String> {
        let engines = self.states.values();
        let measured =
            engines.filter(|engine| engine.own_measurement.is_some_and(|at| at >= since));
        measured.map(|engine| engine.service.clone()).collect()
    }

    /// Returns this process's own samples of the paces of a service's engines.
    ///
    /// `store_now` is the store's steady clock at `now`.
    #[must_use]
    pub fn own_paces(&self, now: Instant, store_now: Duration, service: &str) -> Paces {
        let mut paces = Paces::new();
        let is_contended = self.is_contended(service);
        if self.shared_hosts.contains(service) {
            paces.record_shared_hosts(store_now);
        }
        for engine in self
            .states
            .values()
            .filter(|engine| engine.service == service)
        {
            // A pace of one moment misleads owners where disturbances are shorter than their reads.
            let pace = if is_contended {
                engine.natural
            } else {
                engine.pace
            };
            let Some((pace, measured_at)) = pace.zip(engine.own_measurement) else {
                continue;
            };
            let age = now.saturating_duration_since(measured_at);
            let micros = Duration::from_secs_f64(pace).as_micros();
            let sample = Sample {
                event_micros: u32::try_from(micros).unwrap_or(u32::MAX),
                measured_at: u64::try_from(store_now.saturating_sub(age).as_millis()).unwrap_or(0),
            };
            paces.record(&engine.incarnation, sample);
        }
        paces
    }

    /// Merges the paces that other owners measured where they are newer than the known
    /// ones, and returns the number of engines updated.
    ///
    /// `store_now` is the store's steady clock at `now`.
    pub fn merge_paces(&mut self, now: Instant, store_now: Duration, paces: &Paces) -> usize {
        let mut updated = 0;
        for engine in self.states.values_mut() {
            let Some(sample) = paces.get(&engine.incarnation) else {
                continue;
            };
            let age = store_now.saturating_sub(Duration::from_millis(sample.measured_at));
            let Some(at) = now.checked_sub(age) else {
                continue;
            };
            if engine.pace_as_of.is_none_or(|known| known < at) {
                let pace = f64::from(sample.event_micros) / 1e6;
                engine.pace = Some(pace);
                engine.pace_as_of = Some(at);
                if engine.natural_samples < speed::NATURAL_SAMPLES {
                    engine.record_natural_pace(pace);
                }
                updated += 1;
            }
        }
        updated
    }

    /// Returns the median pace of a service's engines, in seconds per event.
    #[must_use]
    pub fn median_pace(&self, service: &str) -> Option<f64> {
        self.service_speed(service).map(|speed| speed.median)
    }

    fn service_speed(&self, service: &str) -> Option<ServiceSpeed> {
        let engines = self
            .states
            .values()
            .filter(|engine| engine.service == service);
        ServiceSpeed::from_paces(engines.filter_map(|engine| engine.pace))
    }
}

/// Returns whether an engine may run an item, has a free slot for it and admits it.
fn is_eligible(
    now: Instant,
    key: EngineKey,
    engine: &EngineState,
    requirements: &Requirements<'_>,
) -> bool {
    engine.admission.items != Some(0) && has_room(now, key, engine, requirements)
}

/// Returns whether an engine may run an item and has a free slot for it.
fn has_room(
    now: Instant,
    key: EngineKey,
    engine: &EngineState,
    requirements: &Requirements<'_>,
) -> bool {
    Some(key) != requirements.excluded
        && engine.is_open
        && engine.service == requirements.service
        && requirements.regions.contains(engine.region)
        && engine.paused_until.is_none_or(|until| until <= now)
        // After a failure, one item shows whether the engine works again.
        && (engine.failures == 0 || engine.own_items == 0)
        && engine.free_slots(now) > 0
        && has_weights(engine, requirements)
}

fn group_hash(requirements: &Requirements<'_>) -> u64 {
    xxh3_64_with_seed(requirements.group.as_bytes(), 0)
}

/// Makes owners that see the same capacities choose different engines.
fn tie_breaker(engine: &EngineState, group_hash: u64) -> u64 {
    xxh3_64_with_seed(engine.id.as_bytes(), group_hash)
}

fn has_weights(engine: &EngineState, requirements: &Requirements<'_>) -> bool {
    let Some(model) = requirements.model else {
        return true;
    };
    let Some(version) = engine.weights.get(model).copied() else {
        return false;
    };
    version >= requirements.min_version
        && requirements
            .exact_version
            .is_none_or(|exact| exact == version)
}

/// Keeps the highest reported version, because registrations lag behind answers.
fn raise_version(weights: &mut BTreeMap<String, u64>, model: &str, version: u64) {
    let known = weights.entry(model.to_owned()).or_default();
    *known = (*known).max(version);
}
