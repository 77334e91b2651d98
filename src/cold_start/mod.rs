//! Limits on what is sent to cold endpoints.
//!
//! A cold endpoint crashes if it gets more than a declared number of requests in any second,
//! from all gateways together. No gateway sees what the others send, and coldness is known
//! late. The number is therefore split in two:
//!
//! * One half is for the holder of the service's permit, a lease. All others send nothing to
//!   endpoints that they know to be cold. A permit is used only [`SEND_WINDOW`] after it was
//!   acquired, so that sends of two holders are never in one window.
//! * The other half is for owners of batches that don't know yet that an endpoint is cold. Each
//!   sends an engine at most its share of that half, which is that of its open items: equal shares
//!   would keep the owner of most items from filling engines that are warm.
//!
//! A process that was frozen knows only what was true before. It is unsure of all endpoints of
//! such a service until it has read their entries again, or until those that became cold
//! meanwhile are warm: it sends each at most one item in a window, and no call.
//!
//! [`ColdStarts`] keeps this for one process, for items and calls together. A sender reserves a
//! send when it chooses an endpoint, and confirms it immediately before the request is written.
//! All instants are of one clock that includes suspensions.
//!
//! # Example
//!
//! ```
//! use hibiscusroad::{catalog::{ColdStart, Service}, cold_start::{Bounds, ColdStarts}};
//! use std::time::{Duration, Instant};
//!
//! let now = Instant::now();
//! let mut cold = ColdStarts::new(Bounds { overrun: 1.5, slack: 5 });
//! let rule = ColdStart { duration: Duration::from_secs(3), per_second: 12.0 };
//! cold.set_services(now, [("lm", rule)]);
//! assert_eq!(cold.share("lm"), Some(11));
//! ```

mod admission;
mod coldness;
mod sends;

pub use self::{admission::Admission, coldness::Source, sends::SEND_WINDOW};

use self::{coldness::Coldness, sends::Sends};
use crate::{catalog::ColdStart, roster::Endpoint};
use slotmap::SlotMap;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Time after coldness in which the load of an endpoint grows.
pub const RAMP: Duration = Duration::from_secs(1);
/// Time without any event after which the process has been frozen. Its own timers run several
/// times as often.
const FREEZE_GAP: Duration = Duration::from_secs(2);
/// Answers about the entries after which the process is sure again. The first may have been on
/// its way before the process was frozen.
const CONFIRMATIONS: u8 = 2;
/// How long a removed endpoint is remembered. After an outage of the store, endpoints that never
/// stopped register again.
const REMOVED_TTL: Duration = Duration::from_mins(2);

slotmap::new_key_type! {
    struct Key;
}

/// How far the declared rate of a cold endpoint may be exceeded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Factor on the declared rate.
    pub overrun: f64,
    /// Requests that are allowed beyond that in any second.
    pub slack: u32,
}

/// When a permit is valid.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Permit {
    /// When it was acquired.
    pub acquired: Instant,
    /// When its lease ends, unless it is renewed.
    pub expires: Instant,
}

/// What a request is sent for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sender {
    /// An item or a draft of a batch.
    Item,
    /// A plain call or a stream.
    Call,
}

#[derive(Debug)]
struct ServiceRow {
    rule: ColdStart,
    permit: Option<Permit>,
}

#[derive(Debug)]
struct EndpointRow {
    id: String,
    service: String,
    started_ms: Option<u64>,
    slots: u32,
    is_evacuated: bool,
    coldness: Coldness,
    sends: Sends,
    /// Whether the last refresh found it cold.
    was_cold: bool,
    /// The admission that the last refresh returned.
    published: Admission,
    /// Whether its admission may change.
    is_active: bool,
    removed_at: Option<Instant>,
}

/// An endpoint that became cold or warm.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Transition {
    /// The endpoint.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Whether it is cold now.
    pub is_cold: bool,
    /// How that is known.
    pub source: Source,
    /// Time since that was learned.
    pub age: Duration,
    /// How much longer it is cold.
    pub remaining: Duration,
}

/// What has changed since the last refresh.
#[derive(Debug, Default)]
pub struct Refreshed {
    /// The new admission of endpoints, by ID.
    pub admissions: Vec<(String, Admission)>,
    /// The endpoints that became cold or warm.
    pub transitions: Vec<Transition>,
    /// When the next refresh is due.
    pub next: Option<Instant>,
}

/// The cold endpoints as one process knows them, and what it sent to them.
#[derive(Debug)]
pub struct ColdStarts {
    bounds: Bounds,
    services: HashMap<String, ServiceRow>,
    endpoints: SlotMap<Key, EndpointRow>,
    index: HashMap<String, Key>,
    active: Vec<Key>,
    /// Open items of this process, and those of all owners of batches.
    open_items: (u32, u32),
    /// Whether all entries were read once.
    is_live: bool,
    /// The last event.
    last_seen: Option<Instant>,
    /// Since when the process is unsure of the entries, and the answers that are missing.
    unsure: Option<(Instant, u8)>,
}

impl ColdStarts {
    /// Creates the state of a process that knows no endpoint.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            services: HashMap::new(),
            endpoints: SlotMap::with_key(),
            index: HashMap::new(),
            active: Vec::new(),
            open_items: (1, 1),
            is_live: false,
            last_seen: None,
            unsure: None,
        }
    }

    /// Replaces the services that limit requests to cold endpoints.
    pub fn set_services<'a>(
        &mut self,
        now: Instant,
        rules: impl IntoIterator<Item = (&'a str, ColdStart)>,
    ) {
        self.observe(now);
        let mut old = std::mem::take(&mut self.services);
        let rows = rules.into_iter().map(|(name, rule)| {
            let permit = old.remove(name).and_then(|row| row.permit);
            (name.to_owned(), ServiceRow { rule, permit })
        });
        self.services = rows.collect();
        self.activate_where(|_| true);
    }

    /// Returns whether any service limits requests to cold endpoints.
    #[must_use]
    pub fn is_needed(&self) -> bool {
        !self.services.is_empty()
    }

    /// Returns whether a service limits requests to cold endpoints.
    #[must_use]
    pub fn is_limited(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Returns the requests that the holder of a service's permit may send to a cold endpoint in
    /// a window, if the service limits them.
    #[must_use]
    pub fn share(&self, service: &str) -> Option<u32> {
        let row = self.services.get(service)?;
        Some(self.half(&row.rule))
    }

    /// Sets the numbers of open items of this process and of all owners of batches, by which the
    /// owners share what is sent to engines that are not known to be cold.
    pub fn set_open_items(&mut self, own: u32, all: u32) {
        if self.open_items != (own, all) {
            self.open_items = (own, all);
            self.activate_where(|_| true);
        }
    }

    /// Sets whether and until when this process holds the permit of a service.
    pub fn set_permit(&mut self, service: &str, permit: Option<Permit>) {
        if let Some(row) = self.services.get_mut(service)
            && row.permit != permit
        {
            row.permit = permit;
            self.activate_where(|row| row.service == service);
        }
    }

    /// Records an answer of the store about the entries of endpoints: all changes up to it were
    /// applied.
    pub fn confirm(&mut self, now: Instant) {
        self.observe(now);
        self.is_live = true;
        if let Some((since, missing)) = self.unsure {
            self.unsure = (missing > 1).then_some((since, missing.saturating_sub(1)));
            self.activate_where(|_| true);
        }
    }

    /// Applies an entry.
    pub fn update(&mut self, now: Instant, endpoint: &Endpoint) {
        self.observe(now);
        let known = self.index.get(&endpoint.id).copied();
        let key = known.unwrap_or_else(|| {
            let key = self.endpoints.insert(EndpointRow::new(endpoint));
            self.index.insert(endpoint.id.clone(), key);
            key
        });
        let row = &mut self.endpoints[key];
        let has_restarted = row.started_ms != endpoint.started_ms;
        let is_same = known.is_some() && !has_restarted && endpoint.started_ms.is_some();
        let has_returned = row.removed_at.take().is_some() && !is_same;
        if self.is_live && (known.is_none() || has_restarted || has_returned) {
            row.coldness.assume(now, Source::Start);
        }
        if row.is_evacuated && !endpoint.evacuated {
            row.coldness.assume(now, Source::Evacuation);
        }
        row.coldness.report(now, endpoint.cold_remaining);
        row.started_ms = endpoint.started_ms;
        row.slots = endpoint.slots;
        row.is_evacuated = endpoint.evacuated;
        if row.service != endpoint.service {
            row.service.clone_from(&endpoint.service);
        }
        // Consumers forget the admission of an endpoint that they remove.
        if known.is_none() || has_restarted || has_returned {
            row.published = Admission::OPEN;
        }
        self.activate(key);
    }

    /// Records that an endpoint was removed. What was sent to it still counts if it returns.
    pub fn remove(&mut self, now: Instant, id: &str) {
        self.observe(now);
        if let Some(key) = self.index.get(id) {
            let row = &mut self.endpoints[*key];
            row.removed_at = Some(now);
            row.published = Admission::OPEN;
        }
        let is_kept = |row: &EndpointRow| row.removed_at.is_none_or(|at| now < at + REMOVED_TTL);
        self.endpoints.retain(|_, row| is_kept(row));
        let endpoints = &self.endpoints;
        self.index.retain(|_, key| endpoints.contains_key(*key));
    }

    /// Reserves a send to an endpoint that was just chosen.
    pub fn reserve(&mut self, now: Instant, id: &str) {
        self.observe(now);
        if let Some(key) = self.limited_key(id) {
            self.endpoints[key].sends.reserve(now);
            self.activate(key);
        }
    }

    /// Decides whether a request may be written to an endpoint now, and counts it if so.
    ///
    /// This uses up the oldest reservation of the endpoint.
    pub fn confirm_send(&mut self, now: Instant, id: &str, sender: Sender) -> bool {
        self.observe(now);
        let Some(key) = self.limited_key(id) else {
            return true;
        };
        self.activate(key);
        self.endpoints[key].sends.cancel_reservation();
        let admission = self.admission(now, &self.endpoints[key]);
        let is_admitted = admission.room(sender) != Some(0);
        if is_admitted {
            self.endpoints[key].sends.record(now);
        }
        is_admitted
    }

    /// Returns the service of an endpoint that is cold, as far as is known.
    #[must_use]
    pub fn cold_service(&self, now: Instant, id: &str) -> Option<&str> {
        let row = &self.endpoints[self.limited_key(id)?];
        let rule = &self.services.get(&row.service)?.rule;
        let is_cold = row.coldness.is_cold(now, rule.duration);
        is_cold.then_some(row.service.as_str())
    }

    /// Returns the services that limit requests to cold endpoints, and the number of these.
    #[must_use]
    pub fn count_cold(&self, now: Instant) -> Vec<(&str, usize)> {
        let services = self.services.iter().map(|(name, service)| {
            let duration = service.rule.duration;
            let rows = self.endpoints.values().filter(|row| row.service == *name);
            let cold =
                rows.filter(|row| row.removed_at.is_none() && row.coldness.is_cold(now, duration));
            (name.as_str(), cold.count())
        });
        services.collect()
    }

    /// Returns what may be sent to an endpoint.
    #[must_use]
    pub fn current(&self, now: Instant, id: &str) -> Admission {
        let key = self.limited_key(id);
        key.map_or(Admission::OPEN, |key| {
            self.admission(now, &self.endpoints[key])
        })
    }

    /// Returns what has changed since the last call.
    pub fn refresh(&mut self, now: Instant) -> Refreshed {
        self.observe(now);
        let mut refreshed = Refreshed::default();
        let active = std::mem::take(&mut self.active);
        for key in active {
            let Some(row) = self.endpoints.get_mut(key) else {
                continue;
            };
            row.sends.expire(now);
            let duration = self.services.get(&row.service).map(|it| it.rule.duration);
            let is_cold = duration.is_some_and(|it| row.coldness.is_cold(now, it));
            if row.was_cold != is_cold {
                row.was_cold = is_cold;
                refreshed.transitions.push(Transition {
                    id: row.id.clone(),
                    service: row.service.clone(),
                    is_cold,
                    source: row.coldness.source(),
                    age: row.coldness.age(now),
                    remaining: row.coldness.remaining(now, duration.unwrap_or_default()),
                });
            }
            let row = &self.endpoints[key];
            let admission = self.admission(now, row);
            let next = self.next_change(now, row);
            let is_changed = row.published != admission && row.removed_at.is_none();
            let row = &mut self.endpoints[key];
            if is_changed {
                row.published = admission;
                refreshed.admissions.push((row.id.clone(), admission));
            }
            row.is_active = next.is_some();
            if let Some(next) = next {
                self.active.push(key);
                refreshed.next = Some(refreshed.next.map_or(next, |it| it.min(next)));
            }
        }
        refreshed
    }

    fn limited_key(&self, id: &str) -> Option<Key> {
        if self.services.is_empty() {
            return None;
        }
        let key = *self.index.get(id)?;
        let service = &self.endpoints[key].service;
        self.services.contains_key(service).then_some(key)
    }

    /// Records the time of an event, and whether the process was frozen before it.
    fn observe(&mut self, now: Instant) {
        if self.services.is_empty() {
            self.last_seen = None;
            return;
        }
        let gap = self
            .last_seen
            .map(|seen| now.saturating_duration_since(seen));
        if gap.is_some_and(|gap| gap > FREEZE_GAP) {
            self.unsure = Some((now, CONFIRMATIONS));
            self.activate_where(|_| true);
        }
        self.last_seen = Some(now);
    }

    fn activate(&mut self, key: Key) {
        let row = &mut self.endpoints[key];
        if !row.is_active {
            row.is_active = true;
            self.active.push(key);
        }
    }

    fn activate_where(&mut self, is_concerned: impl Fn(&EndpointRow) -> bool) {
        for (key, row) in &mut self.endpoints {
            if !row.is_active && is_concerned(row) {
                row.is_active = true;
                self.active.push(key);
            }
        }
    }

    /// Returns half of the bound on requests to a cold endpoint.
    fn half(&self, rule: &ColdStart) -> u32 {
        let bound = rule.per_second * self.bounds.overrun;
        // Whole seconds of a duration round down and can't be out of range.
        let bound = Duration::try_from_secs_f64(bound).unwrap_or_default();
        let bound = u32::try_from(bound.as_secs()).unwrap_or(u32::MAX);
        bound.saturating_add(self.bounds.slack) / 2
    }

    /// Returns when the process is sure again of endpoints that are cold for `duration`, if it
    /// is unsure now.
    fn sure_at(&self, now: Instant, duration: Duration) -> Option<Instant> {
        let (since, _) = self.unsure?;
        Some(since + duration).filter(|at| now < *at)
    }

    /// Returns what may be sent to an endpoint at `now`.
    fn admission(&self, now: Instant, row: &EndpointRow) -> Admission {
        let Some(service) = self.services.get(&row.service) else {
            return Admission::OPEN;
        };
        let sent = row.sends.count(now);
        let half = self.half(&service.rule);
        let duration = service.rule.duration;
        if row.coldness.is_cold(now, duration) {
            let until = row.coldness.until(duration).unwrap_or(now);
            let permit = service.permit.filter(|permit| now < permit.expires);
            let Some(permit) = permit.filter(|_| half > 0) else {
                return Admission::cold(0, until);
            };
            let starts = permit.acquired + SEND_WINDOW;
            if now < starts {
                return Admission::cold(0, starts.min(until));
            }
            let room = half.saturating_sub(sent);
            let opens_at = row.sends.next_expiry(now).unwrap_or(now);
            return Admission::cold(room, opens_at.min(until));
        }
        let mut admission = Admission::OPEN;
        if self.sure_at(now, duration).is_some() {
            admission.items = Some(1_u32.saturating_sub(sent));
            admission.calls = Some(0);
            return admission;
        }
        let (own, all) = self.open_items;
        let share = (u64::from(half) * u64::from(own)).checked_div(u64::from(all));
        let share = share.map_or(half, |share| u32::try_from(share).unwrap_or(half));
        let limit = share.clamp(1, half.max(1));
        admission.items = Some(limit.saturating_sub(sent));
        if let Some((opens_at, room)) = ramp(now, row, duration) {
            admission.items = admission.items.map(|items| items.min(room));
            admission.calls = Some(room);
            admission.opens_at = Some(opens_at);
        }
        admission
    }

    /// Returns when the admission of an endpoint next changes without an event.
    fn next_change(&self, now: Instant, row: &EndpointRow) -> Option<Instant> {
        let service = self.services.get(&row.service)?;
        let duration = service.rule.duration;
        let until = row.coldness.until(duration);
        let permit = service
            .permit
            .filter(|_| row.coldness.is_cold(now, duration));
        let ramp = ramp(now, row, duration);
        let times = [
            row.sends.next_expiry(now),
            until,
            permit.map(|permit| permit.acquired + SEND_WINDOW),
            permit.map(|permit| permit.expires),
            self.sure_at(now, duration),
            ramp.filter(|_| !row.coldness.is_cold(now, duration))
                .map(|(next, _)| next),
        ];
        times.into_iter().flatten().filter(|at| *at > now).min()
    }
}

impl EndpointRow {
    fn new(endpoint: &Endpoint) -> Self {
        Self {
            id: endpoint.id.clone(),
            service: endpoint.service.clone(),
            started_ms: endpoint.started_ms,
            slots: endpoint.slots,
            is_evacuated: endpoint.evacuated,
            coldness: Coldness::default(),
            sends: Sends::default(),
            was_cold: false,
            published: Admission::OPEN,
            is_active: false,
            removed_at: None,
        }
    }
}

/// Returns when the next send to an endpoint that was cold is admitted, and how many are now, if
/// it became warm less than [`RAMP`] ago.
fn ramp(now: Instant, row: &EndpointRow, duration: Duration) -> Option<(Instant, u32)> {
    let since = row.coldness.until(duration).filter(|it| now < *it + RAMP)?;
    let slots = row.slots.max(1);
    let step = RAMP / slots;
    let elapsed = now.saturating_duration_since(since).as_nanos();
    let steps = u32::try_from(elapsed / step.as_nanos().max(1)).unwrap_or(slots);
    let room = (steps + 1).saturating_sub(row.sends.count_since(since));
    Some((since + step * (steps + 1).min(slots), room))
}
