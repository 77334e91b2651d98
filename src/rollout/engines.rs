//! Which engine an item of a batch goes to.
//!
//! Load: several owners that each send to the same engines, engines of unequal
//! speed, and engines that load weights meanwhile. Harm: owners that see only
//! their own items and break ties alike all choose the same engine, which then
//! refuses most of them; a whole group waits for the one item that went to a
//! slow engine.
//!
//! So an engine's room is its slots less own items and what it last told of
//! others, which fades with age; engines that refused are left alone for a
//! while; ties are broken by a hash of group and engine.
//! An engine much slower than its peers gets an item only while it has none,
//! which is enough to see when it recovers.

use slotmap::SlotMap;
use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    rollout::{
        pace::{Paces, Sample},
        tier::{Tier, Usual},
        waits::Lack,
    },
    roster::Endpoint,
};

slotmap::new_key_type! {
    /// Names an engine in [`Engines`].
    pub struct EngineKey;
}

/// What an engine told of other callers' requests is believed for so long; a
/// generation takes about a second, after which the load is another.
const BELIEVED: Duration = Duration::from_millis(800);
/// Pause after a refusal: the time in which about one slot in ten becomes free.
const REFUSED: Duration = Duration::from_millis(100);
/// Pause after a failed connection, doubled by each further one.
const FAILED: Duration = Duration::from_millis(250);
/// Longest pause: an engine that is back is found within it.
const FAILED_MOST: Duration = Duration::from_secs(4);
/// Pause after an engine made no events: a third of a load of weights, after
/// which it is tried by one item that moves on at once if it has to.
const STALLED: Duration = Duration::from_millis(300);
/// A run is long when it has made so many times the events of a usual one: half
/// of the runs that get there make as many again.
const LONG: f64 = 1.5;
/// Weight of a new sample of how many events a run makes.
const EVENTS_WEIGHT: f64 = 0.05;
/// An engine that was slow so long ago is tried like one that is somewhat slower
/// than the others: disturbances last some seconds.
const DISTURBED: Duration = Duration::from_secs(6);
/// Weight of a new sample of an engine's pace.
const PACE_WEIGHT: f64 = 0.4;

#[derive(Debug)]
struct Row {
    id: String,
    /// This life of it, by which owners tell each other of it.
    life: String,
    service: String,
    slots: u32,
    open: bool,
    weights: HashMap<String, u64>,
    mine: u32,
    others: Option<(Instant, u32)>,
    away: Option<Instant>,
    failures: u32,
    /// Seconds from one event to the next.
    pace: Option<f64>,
    /// When that was last measured, here or by another owner.
    sampled: Option<Instant>,
    /// When it was last measured here.
    measured: Option<Instant>,
}

impl Row {
    fn others(&self, now: Instant) -> u32 {
        let told = self.others.filter(|(at, _)| now < *at + BELIEVED);
        told.map_or(0, |(_, n)| n)
    }

    fn room(&self, now: Instant) -> u32 {
        self.slots.saturating_sub(self.mine + self.others(now))
    }
}

/// What an item needs of its engine.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// The service.
    pub service: &'a str,
    /// The model, if it names one.
    pub model: Option<&'a str>,
    /// The oldest weight version that will do.
    pub floor: u64,
    /// The only weight version that will do.
    pub exact: Option<u64>,
    /// Its group.
    pub group: &'a str,
    /// An engine that won't do.
    pub not: Option<EngineKey>,
}

/// All engines, as one owner of batches sees them.
#[derive(Debug, Default)]
pub struct Engines {
    rows: SlotMap<EngineKey, Row>,
    index: HashMap<String, EngineKey>,
    /// Events of a usual text.
    events: Option<f64>,
    /// Hinted tokens for each event that a text had in the end.
    stride: Option<f64>,
}

impl Engines {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an engine or takes in what it registered.
    pub fn set(&mut self, endpoint: &Endpoint) {
        let Endpoint {
            id, born, service, ..
        } = endpoint;
        let key = self.index.get(id).copied().unwrap_or_else(|| {
            let key = self.rows.insert(Row {
                id: id.clone(),
                life: born.map_or_else(|| id.clone(), |born| format!("{id}@{born}")),
                service: service.clone(),
                slots: endpoint.slots,
                open: !endpoint.leaving,
                weights: HashMap::new(),
                mine: 0,
                others: None,
                away: None,
                failures: 0,
                pace: None,
                sampled: None,
                measured: None,
            });
            self.index.insert(id.clone(), key);
            key
        });
        let row = &mut self.rows[key];
        row.slots = endpoint.slots;
        row.open = !endpoint.leaving;
        for weights in &endpoint.weights {
            note(&mut row.weights, &weights.model, weights.version);
        }
    }

    /// Drops an engine that is gone.
    pub fn remove(&mut self, id: &str) {
        if let Some(key) = self.index.remove(id) {
            self.rows.remove(key);
        }
    }

    /// Returns the id of an engine.
    #[must_use]
    pub fn id(&self, key: EngineKey) -> Option<&str> {
        self.rows.get(key).map(|row| row.id.as_str())
    }

    /// Finds an engine by its id.
    #[must_use]
    pub fn key(&self, id: &str) -> Option<EngineKey> {
        self.index.get(id).copied()
    }

    /// Returns how many items of this owner run there.
    #[must_use]
    pub fn mine(&self, id: &str) -> u32 {
        self.key(id).map_or(0, |key| self.rows[key].mine)
    }

    /// Says whether any engine has the version, to go on with a text.
    #[must_use]
    pub fn has_version(&self, service: &str, model: &str, version: u64) -> bool {
        self.rows.values().any(|row| {
            row.open && row.service == service && row.weights.get(model) == Some(&version)
        })
    }

    /// Chooses an engine with room for an item.
    #[must_use]
    pub fn choose(&self, now: Instant, want: &Want<'_>) -> Option<EngineKey> {
        let usual = self.paces(want.service);
        let tier = |row: &Row| {
            let known = usual.zip(row.pace);
            let tier = known.map_or(Tier::Fast, |(usual, pace)| usual.tier(pace));
            let old = row.sampled.is_some_and(|at| now > at + DISTURBED);
            if old { tier.max(Tier::Mild) } else { tier }
        };
        let fits = |key: EngineKey, row: &Row| {
            Some(key) != want.not
                && row.open
                && row.service == want.service
                && row.away.is_none_or(|until| until <= now)
                && row.room(now) > 0
                && (tier(row) != Tier::Slow || row.mine == 0)
                && has(row, want)
        };
        let found = self.rows.iter().filter(|(key, row)| fits(*key, row));
        let best = found.max_by_key(|(_, row)| {
            // A hash keeps owners apart that see the same room.
            let group = xxh3_64_with_seed(want.group.as_bytes(), 0);
            let tie = xxh3_64_with_seed(row.id.as_bytes(), group);
            (tier(row), row.room(now), tie)
        });
        best.map(|(key, _)| key)
    }

    /// Says what is missing where no engine can be chosen.
    #[must_use]
    pub fn lack(&self, want: &Want<'_>) -> Lack {
        let fit = |row: &Row| row.open && row.service == want.service && has(row, want);
        if self.rows.values().any(fit) {
            Lack::Room
        } else {
            Lack::Weights
        }
    }

    /// Says whether an engine was much slower than its peers lately.
    #[must_use]
    pub fn is_slow(&self, now: Instant, id: &str) -> bool {
        let Some(row) = self.key(id).and_then(|key| self.rows.get(key)) else {
            return false;
        };
        let lately = row.sampled.is_some_and(|at| now <= at + DISTURBED);
        let known = self.paces(&row.service).zip(row.pace);
        lately && known.is_some_and(|(usual, pace)| usual.tier(pace) == Tier::Slow)
    }

    /// Says whether an engine is at least half empty.
    #[must_use]
    pub fn is_idle(&self, now: Instant, key: EngineKey) -> bool {
        let row = self.rows.get(key);
        row.is_some_and(|row| row.room(now) * 2 >= row.slots)
    }

    /// Says whether an engine with room is clearly faster than one of `pace`:
    /// far faster for any run, somewhat faster for one with many events.
    #[must_use]
    pub fn is_better(&self, service: &str, pace: f64, events: u64, other: EngineKey) -> bool {
        let Some(usual) = self.paces(service) else {
            return false;
        };
        let there = self.rows.get(other).and_then(|row| row.pace);
        let there = there.map_or(Tier::Fast, |pace| usual.tier(pace));
        let long = self.events.is_some_and(|mean| events as f64 > mean * LONG);
        match usual.tier(pace) {
            Tier::Slow => there != Tier::Slow,
            Tier::Mild => long && there == Tier::Fast,
            Tier::Fast => false,
        }
    }

    /// Notes how many events a whole text has, of so many tokens as was hinted.
    pub fn whole(&mut self, events: u64, hint: Option<u32>) {
        let mean = self.events.unwrap_or(events as f64);
        self.events = Some(mean + (events as f64 - mean) * EVENTS_WEIGHT);
        if let Some(hint) = hint.filter(|_| events > 0) {
            let ratio = f64::from(hint) / events as f64;
            let stride = self.stride.unwrap_or(ratio);
            self.stride = Some(stride + (ratio - stride) * EVENTS_WEIGHT);
        }
    }

    /// Returns how long a text of so many hinted tokens is expected to run on behind
    /// its last event, at one of the fastest engines; nothing before any was seen.
    #[must_use]
    pub fn expected(&self, service: &str, hint: u32, last: u64) -> Duration {
        let known = self.paces(service).zip(self.stride);
        let Some((usual, stride)) = known.filter(|(_, stride)| *stride > 0.0) else {
            return Duration::ZERO;
        };
        let events = (f64::from(hint) / stride - last as f64).max(0.0);
        Duration::from_secs_f64(events * usual.best)
    }

    /// Notes that an item was sent.
    pub fn start(&mut self, key: EngineKey) {
        if let Some(row) = self.rows.get_mut(key) {
            row.mine += 1;
        }
    }

    /// Notes that an item is no longer there.
    pub fn end(&mut self, key: EngineKey) {
        if let Some(row) = self.rows.get_mut(key) {
            row.mine = row.mine.saturating_sub(1);
        }
    }

    /// Takes in what an engine told: all its running and waiting requests.
    pub fn told(&mut self, now: Instant, key: EngineKey, all: u32) {
        if let Some(row) = self.rows.get_mut(key) {
            row.others = Some((now, all.saturating_sub(row.mine)));
        }
    }

    /// Takes in the weight version that an engine named with an answer.
    pub fn weights(&mut self, key: EngineKey, model: &str, version: u64) {
        if let Some(row) = self.rows.get_mut(key) {
            note(&mut row.weights, model, version);
        }
    }

    /// Notes that an engine refused an item without running it.
    ///
    /// One that has room by its own word refuses because it loads weights.
    pub fn refused(&mut self, now: Instant, key: EngineKey) {
        if let Some(row) = self.rows.get_mut(key) {
            let pause = if row.room(now) > 0 { STALLED } else { REFUSED };
            row.away = Some(now + pause);
        }
    }

    /// Notes that an engine is full: an item of this owner waits in its queue.
    pub fn full(&mut self, now: Instant, key: EngineKey) {
        if let Some(row) = self.rows.get_mut(key) {
            row.others = Some((now, row.slots.saturating_sub(row.mine)));
        }
    }

    /// Notes that an engine couldn't be reached or broke off.
    pub fn failed(&mut self, now: Instant, key: EngineKey) {
        if let Some(row) = self.rows.get_mut(key) {
            let pause = FAILED * (1 << row.failures.min(5));
            row.failures += 1;
            row.away = Some(now + pause.min(FAILED_MOST));
        }
    }

    /// Notes that an engine makes no events for a while: it loads weights, or
    /// something is wrong with it.
    pub fn stalled(&mut self, now: Instant, key: EngineKey) {
        if let Some(row) = self.rows.get_mut(key) {
            row.away = Some(now + STALLED);
        }
    }

    /// Notes an engine's pace, in seconds an event.
    pub fn paced(&mut self, now: Instant, key: EngineKey, pace: f64) {
        if let Some(row) = self.rows.get_mut(key) {
            row.failures = 0;
            row.sampled = Some(now);
            row.measured = Some(now);
            let old = row.pace.unwrap_or(pace);
            row.pace = Some(old + (pace - old) * PACE_WEIGHT);
        }
    }

    /// Returns the services of engines that were measured here since an instant.
    #[must_use]
    pub fn sampled_since(&self, since: Instant) -> BTreeSet<String> {
        let rows = self.rows.values();
        let measured = rows.filter(|row| row.measured.is_some_and(|at| at >= since));
        measured.map(|row| row.service.clone()).collect()
    }

    /// Returns what was measured here of a service's engines; `store` is the
    /// store's steady clock at `now`.
    #[must_use]
    pub fn paces_of(&self, now: Instant, store: Duration, service: &str) -> Paces {
        let mut paces = Paces::new();
        for row in self.rows.values().filter(|row| row.service == service) {
            let Some((pace, at)) = row.pace.zip(row.measured) else {
                continue;
            };
            let age = now.saturating_duration_since(at);
            let micros = Duration::from_secs_f64(pace).as_micros();
            let sample = Sample {
                micros: u32::try_from(micros).unwrap_or(u32::MAX),
                at: u64::try_from(store.saturating_sub(age).as_millis()).unwrap_or(0),
            };
            paces.note(&row.life, sample);
        }
        paces
    }

    /// Takes in what other owners measured, where it is newer than what is known;
    /// returns how many engines that were.
    pub fn hear(&mut self, now: Instant, store: Duration, paces: &Paces) -> usize {
        let mut heard = 0;
        for row in self.rows.values_mut() {
            let Some(sample) = paces.get(&row.life) else {
                continue;
            };
            let age = store.saturating_sub(Duration::from_millis(sample.at));
            let Some(at) = now.checked_sub(age) else {
                continue;
            };
            if row.sampled.is_none_or(|known| known < at) {
                row.pace = Some(f64::from(sample.micros) / 1e6);
                row.sampled = Some(at);
                heard += 1;
            }
        }
        heard
    }

    /// Returns the median pace of a service's engines, in seconds an event.
    #[must_use]
    pub fn usual(&self, service: &str) -> Option<f64> {
        self.paces(service).map(|usual| usual.median)
    }

    fn paces(&self, service: &str) -> Option<Usual> {
        let rows = self.rows.values().filter(|row| row.service == service);
        Usual::of(rows.filter_map(|row| row.pace))
    }
}

fn has(row: &Row, want: &Want<'_>) -> bool {
    let Some(model) = want.model else {
        return true;
    };
    let Some(version) = row.weights.get(model).copied() else {
        return false;
    };
    version >= want.floor && want.exact.is_none_or(|exact| exact == version)
}

/// Keeps the highest version: an engine's own word comes with its answers, and
/// its registration lags behind.
fn note(weights: &mut HashMap<String, u64>, model: &str, version: u64) {
    let known = weights.entry(model.to_owned()).or_default();
    *known = (*known).max(version);
}
