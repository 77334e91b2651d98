//! Crashes that were recorded, and what they say of a request.

use super::{AMBIGUOUS, Crash, Fingerprint, LAPSED, Life};
use crate::table::RowId;
use slotmap::{SlotMap, new_key_type};
use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

/// Crashes that are held at most. A failing data centre adds one for each request that was
/// in flight there; repeats of a cause come within seconds.
const MOST: usize = 8_192;
/// Crashes that are looked at for one to drop.
const SCAN: usize = 64;

new_key_type! {
    struct CrashKey;
}

/// What the recorded crashes say of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It was in flight at no crash.
    Clear,
    /// It may have crashed an endpoint.
    Suspect,
    /// It crashes endpoints and must not reach any for so long.
    Quarantined(Duration),
}

/// Crashes by request and by life.
#[derive(Debug)]
pub struct Ledger {
    limit: usize,
    keep: Duration,
    crashes: SlotMap<CrashKey, Crash>,
    requests: HashMap<Fingerprint, Vec<CrashKey>>,
    lives: HashMap<Life, Vec<CrashKey>>,
    index: HashMap<RowId, CrashKey>,
    /// Crashes by their time.
    order: BTreeSet<(Duration, CrashKey)>,
}

impl Ledger {
    /// Creates an empty ledger.
    ///
    /// A request is in quarantine after `limit` crashes, each of which counts for `keep`.
    #[must_use]
    pub fn new(limit: usize, keep: Duration) -> Self {
        Self {
            limit,
            keep,
            crashes: SlotMap::with_key(),
            requests: HashMap::new(),
            lives: HashMap::new(),
            index: HashMap::new(),
            order: BTreeSet::new(),
        }
    }

    /// Says whether no crash is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns the requests that were in flight at crashes.
    pub fn requests(&self) -> impl Iterator<Item = Fingerprint> {
        self.requests.keys().copied()
    }

    /// Returns the crashes at which a request was in flight.
    pub fn crashes_of(&self, request: Fingerprint) -> impl Iterator<Item = &Crash> {
        let keys = self.requests.get(&request).into_iter().flatten();
        keys.map(|key| &self.crashes[*key])
    }

    /// Removes all crashes.
    pub fn clear(&mut self) {
        *self = Self::new(self.limit, self.keep);
    }

    /// Adds a crash; `false` if it is known.
    pub fn add(&mut self, crash: Crash) -> bool {
        let row = crash.row();
        if self.index.contains_key(&row) {
            return false;
        }
        if self.crashes.len() >= MOST {
            self.drop_oldest();
        }
        let (request, life, at) = (crash.request, crash.life.clone(), crash.at);
        let key = self.crashes.insert(crash);
        self.requests.entry(request).or_default().push(key);
        self.lives.entry(life).or_default().push(key);
        self.index.insert(row, key);
        self.order.insert((at, key));
        true
    }

    /// Removes the crash of a row.
    pub fn remove(&mut self, row: &RowId) {
        if let Some(key) = self.index.get(row).copied() {
            self.take(key);
        }
    }

    /// Removes all crashes at which a request was in flight, and returns their rows.
    pub fn forget(&mut self, request: Fingerprint) -> Vec<RowId> {
        let keys = self.requests.get(&request).cloned().unwrap_or_default();
        keys.into_iter().filter_map(|key| self.take(key)).collect()
    }

    /// Says whether a crash is too old to count.
    #[must_use]
    pub fn is_over(&self, now: Duration, crash: &Crash) -> bool {
        now.saturating_sub(crash.at) >= self.keep
    }

    /// Removes crashes that count no more, and returns their rows: those that are too
    /// old, and those of lives that go on, as `lives` says.
    pub fn expire(&mut self, now: Duration, lives: impl Fn(&Life) -> bool) -> Vec<RowId> {
        let over = |crash: &Crash| {
            let lapsed = now.saturating_sub(crash.at) >= LAPSED;
            self.is_over(now, crash) || (lapsed && lives(&crash.life))
        };
        let found = self.crashes.iter().filter(|(_, crash)| over(crash));
        let keys: Vec<CrashKey> = found.map(|(key, _)| key).collect();
        keys.into_iter().filter_map(|key| self.take(key)).collect()
    }

    /// Says what the recorded crashes say of a request.
    #[must_use]
    pub fn verdict(&self, now: Duration, request: Fingerprint) -> Verdict {
        let Some(keys) = self.requests.get(&request) else {
            return Verdict::Clear;
        };
        // Most requests are far from a quarantine, and there may be many.
        if keys.len() < self.limit {
            return Verdict::Suspect;
        }
        let (mut attributed, mut alone) = (0, 0);
        for key in keys {
            let rival = self.rival(*key);
            attributed += usize::from(keys.len() >= rival);
            alone += usize::from(keys.len() > rival);
        }
        let clear_cut = attributed >= self.limit && alone > 0;
        if !clear_cut && keys.len() < self.limit + AMBIGUOUS {
            return Verdict::Suspect;
        }
        let first = keys.iter().map(|key| self.crashes[*key].at).min();
        let until = first.unwrap_or_default() + self.keep;
        Verdict::Quarantined(until.saturating_sub(now))
    }

    /// Returns the highest number of crashes of any other request that was in flight at a
    /// crash.
    fn rival(&self, key: CrashKey) -> usize {
        let crash = &self.crashes[key];
        let there = self.lives.get(&crash.life).into_iter().flatten();
        let others = there.map(|key| self.crashes[*key].request);
        let others = others.filter(|request| *request != crash.request);
        let counts = others.map(|request| self.requests.get(&request).map_or(0, Vec::len));
        counts.max().unwrap_or(0)
    }

    fn take(&mut self, key: CrashKey) -> Option<RowId> {
        let crash = self.crashes.remove(key)?;
        let row = crash.row();
        drop_key(&mut self.requests, &crash.request, key);
        drop_key(&mut self.lives, &crash.life, key);
        self.index.remove(&row);
        self.order.remove(&(crash.at, key));
        Some(row)
    }

    /// Drops an old crash, if possible of a request that is far from a quarantine.
    fn drop_oldest(&mut self) {
        let count = |key: CrashKey| self.requests[&self.crashes[key].request].len();
        let mut oldest = self.order.iter().map(|(_, key)| *key).take(SCAN);
        let spare = oldest.clone().find(|key| count(*key) < self.limit);
        if let Some(key) = spare.or_else(|| oldest.next()) {
            self.take(key);
        }
    }
}

fn drop_key<K: Eq + std::hash::Hash>(index: &mut HashMap<K, Vec<CrashKey>>, at: &K, key: CrashKey) {
    if let Some(keys) = index.get_mut(at) {
        keys.retain(|known| *known != key);
        if keys.is_empty() {
            index.remove(at);
        }
    }
}
