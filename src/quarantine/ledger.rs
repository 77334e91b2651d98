//! Recorded crashes, and the verdicts on requests that follow from them.

use super::{
    AMBIGUITY_MARGIN, Crash, EndpointIncarnation, Fingerprint, ORDER_MARGIN, REFUTATION_DELAY,
};
use crate::table::RowId;
use slotmap::{SlotMap, new_key_type};
use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

/// Most crashes that are kept. A failing data centre adds one for each request in flight
/// there.
const MAX_CRASHES: usize = 8_192;
/// Most crashes that are examined to choose one for eviction.
const MAX_EVICTION_SCAN: usize = 64;

new_key_type! {
    struct CrashKey;
}

/// The verdict on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It was in flight at none of the recorded crashes.
    Clear,
    /// It may have crashed an endpoint.
    Suspect,
    /// It crashes endpoints and must not be sent to any for this time.
    Quarantined(Duration),
}

/// The recorded crashes, indexed by request and by incarnation.
#[derive(Debug)]
pub struct Ledger {
    crash_limit: usize,
    crash_ttl: Duration,
    crashes: SlotMap<CrashKey, Crash>,
    by_request: HashMap<Fingerprint, Vec<CrashKey>>,
    by_incarnation: HashMap<EndpointIncarnation, Vec<CrashKey>>,
    by_row: HashMap<RowId, CrashKey>,
    by_time: BTreeSet<(Duration, CrashKey)>,
}

impl Ledger {
    /// Creates an empty ledger.
    ///
    /// A request is quarantined after `crash_limit` crashes, each of which counts for
    /// `crash_ttl`.
    #[must_use]
    pub fn new(crash_limit: usize, crash_ttl: Duration) -> Self {
        Self {
            crash_limit,
            crash_ttl,
            crashes: SlotMap::with_key(),
            by_request: HashMap::new(),
            by_incarnation: HashMap::new(),
            by_row: HashMap::new(),
            by_time: BTreeSet::new(),
        }
    }

    /// Returns whether no crash is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns all requests that were in flight at a crash.
    pub fn requests(&self) -> impl Iterator<Item = Fingerprint> {
        self.by_request.keys().copied()
    }

    /// Returns the crashes at which a request was in flight.
    pub fn crashes_of(&self, request: Fingerprint) -> impl Iterator<Item = &Crash> {
        let keys = self.by_request.get(&request).into_iter().flatten();
        keys.map(|key| &self.crashes[*key])
    }

    /// Removes all crashes.
    pub fn clear(&mut self) {
        *self = Self::new(self.crash_limit, self.crash_ttl);
    }

    /// Adds a crash; returns `false` if it is recorded already.
    pub fn add(&mut self, crash: Crash) -> bool {
        let row = crash.row();
        if self.by_row.contains_key(&row) {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.evict();
        }
        let (request, incarnation, at) = (crash.request, crash.incarnation.clone(), crash.at);
        let key = self.crashes.insert(crash);
        self.by_request.entry(request).or_default().push(key);
        self.by_incarnation
            .entry(incarnation)
            .or_default()
            .push(key);
        self.by_row.insert(row, key);
        self.by_time.insert((at, key));
        true
    }

    /// Removes the crash of a row.
    pub fn remove(&mut self, row: &RowId) {
        if let Some(key) = self.by_row.get(row).copied() {
            self.remove_key(key);
        }
    }

    /// Removes all crashes at which a request was in flight, and returns their rows.
    pub fn remove_request(&mut self, request: Fingerprint) -> Vec<RowId> {
        let keys = self.by_request.get(&request).cloned().unwrap_or_default();
        keys.into_iter()
            .filter_map(|key| self.remove_key(key))
            .collect()
    }

    /// Removes the crashes of an incarnation that has answered a request sent at `sent_at`, as
    /// far as they are from before, and returns them.
    pub fn refute(&mut self, incarnation: &EndpointIncarnation, sent_at: Duration) -> Vec<Crash> {
        let keys = self.by_incarnation.get(incarnation);
        let is_earlier = |key: &CrashKey| self.crashes[*key].at + ORDER_MARGIN <= sent_at;
        let keys: Vec<CrashKey> = keys
            .into_iter()
            .flatten()
            .copied()
            .filter(is_earlier)
            .collect();
        let crashes = keys.iter().map(|key| self.crashes[*key].clone()).collect();
        for key in keys {
            self.remove_key(key);
        }
        crashes
    }

    /// Returns whether a crash is too old to count.
    #[must_use]
    pub fn is_expired(&self, now: Duration, crash: &Crash) -> bool {
        now.saturating_sub(crash.at) >= self.crash_ttl
    }

    /// Removes the crashes that no longer count, and returns their rows: those that are too
    /// old, and those older than [`REFUTATION_DELAY`] whose endpoint is live according to `is_live`.
    pub fn expire(
        &mut self,
        now: Duration,
        is_live: impl Fn(&EndpointIncarnation) -> bool,
    ) -> Vec<RowId> {
        let is_void = |crash: &Crash| {
            let refutable = now.saturating_sub(crash.at) >= REFUTATION_DELAY;
            self.is_expired(now, crash) || (refutable && is_live(&crash.incarnation))
        };
        let void = self.crashes.iter().filter(|(_, crash)| is_void(crash));
        let keys: Vec<CrashKey> = void.map(|(key, _)| key).collect();
        keys.into_iter()
            .filter_map(|key| self.remove_key(key))
            .collect()
    }

    /// Returns the verdict on a request.
    #[must_use]
    pub fn verdict(&self, now: Duration, request: Fingerprint) -> Verdict {
        let Some(keys) = self.by_request.get(&request) else {
            return Verdict::Clear;
        };
        // Skips the comparison with other requests in the common case.
        if keys.len() < self.crash_limit {
            return Verdict::Suspect;
        }
        let (mut attributed, mut undisputed) = (0, 0);
        for key in keys {
            let rival_count = self.max_rival_count(*key);
            attributed += usize::from(keys.len() >= rival_count);
            undisputed += usize::from(keys.len() > rival_count);
        }
        let unambiguous = attributed >= self.crash_limit && undisputed > 0;
        if !unambiguous && keys.len() < self.crash_limit + AMBIGUITY_MARGIN {
            return Verdict::Suspect;
        }
        let oldest = keys.iter().map(|key| self.crashes[*key].at).min();
        let until = oldest.unwrap_or_default() + self.crash_ttl;
        Verdict::Quarantined(until.saturating_sub(now))
    }

    /// Returns the highest crash count among the other requests that were in flight at a
    /// crash.
    fn max_rival_count(&self, key: CrashKey) -> usize {
        let crash = &self.crashes[key];
        let keys = self
            .by_incarnation
            .get(&crash.incarnation)
            .into_iter()
            .flatten();
        let others = keys.map(|key| self.crashes[*key].request);
        let others = others.filter(|request| *request != crash.request);
        let counts = others.map(|request| self.by_request.get(&request).map_or(0, Vec::len));
        counts.max().unwrap_or(0)
    }

    fn remove_key(&mut self, key: CrashKey) -> Option<RowId> {
        let crash = self.crashes.remove(key)?;
        let row = crash.row();
        remove_from_index(&mut self.by_request, &crash.request, key);
        remove_from_index(&mut self.by_incarnation, &crash.incarnation, key);
        self.by_row.remove(&row);
        self.by_time.remove(&(crash.at, key));
        Some(row)
    }

    /// Removes one of the oldest crashes, preferably of a request below the limit.
    fn evict(&mut self) {
        let count = |key: CrashKey| self.by_request[&self.crashes[key].request].len();
        let mut oldest = self
            .by_time
            .iter()
            .map(|(_, key)| *key)
            .take(MAX_EVICTION_SCAN);
        let preferred = oldest.clone().find(|key| count(*key) < self.crash_limit);
        if let Some(key) = preferred.or_else(|| oldest.next()) {
            self.remove_key(key);
        }
    }
}

fn remove_from_index<K: Eq + std::hash::Hash>(
    index: &mut HashMap<K, Vec<CrashKey>>,
    index_key: &K,
    key: CrashKey,
) {
    if let Some(keys) = index.get_mut(index_key) {
        keys.retain(|other| *other != key);
        if keys.is_empty() {
            index.remove(index_key);
        }
    }
}
