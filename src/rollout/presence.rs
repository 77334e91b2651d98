//! Detects whether the owner of a batch is alive.
//!
//! Each owner renews a row of its own, and other processes poll the rows of all owners. No
//! clocks are compared: a process counts the time for which it has seen a row unchanged,
//! and only while it reaches the store, because after an outage of the store all rows are
//! old. Which processes exist is read separately and rarely ([`Member`]); it decides who
//! polls often and who takes over.
//!
//! A wrong suspicion only duplicates work, because writes of the former owner fail from
//! the takeover on, so the timeouts are short. They grow with the latency of the store,
//! which delays renewals and polls.
//!
//! A part of a store that is 80 times slower carries out four transactions a second, too few
//! for owners that each renew their row four times a second. So an owner pauses for at least
//! the time that writes took when it wrote the row, and the row tells the others this pause. An
//! owner that dies is then noticed within [`silence_limit`] of its pause, plus six latencies of a
//! read, one poll, and the time that its last write may still wait in the part: within 1.4 s at a
//! store of the usual speed, and 6 s at one that is 80 times slower.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Time between two renewals of a row, and between two polls of a watcher.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// An owner whose row is unchanged for this time is considered dead: it has missed
/// three renewals. An owner that is paused for this long has lost its items anyway.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of store latencies added to the timeout of a row that doesn't change. A slow store
/// delays the renewal by four (a part that carries out four transactions a second has about a
/// second of them waiting) and the poll by one or two.
const SILENCE_LATENCIES: u32 = 6;
/// Longest pause between two renewals. It bounds the time until a dead owner is noticed.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Number of times that the excess of a pause over [`HEARTBEAT_INTERVAL`] is added to the
/// timeout: for the pause and for the write after it.
const TIMEOUT_PAUSES: u32 = 2;
/// Least time without an answer after which a heartbeat is written again: two renewals, so that
/// one arrives before the others count the third as missed.
const MIN_RESEND_DELAY: Duration = HEARTBEAT_INTERVAL.saturating_mul(2);
/// Ratio of the time without an answer after which a heartbeat is written again to the latency
/// of a write. Above it the connection has probably gone silent.
const RESEND_LATENCIES: u32 = 4;
/// Number of processes, drawn by hash, that poll for an owner at every
/// [`HEARTBEAT_INTERVAL`]. The others poll less often and notice an owner whose watchers
/// fail with it: one in 700 if a third of all hosts fail at once.
const WATCHERS: u32 = 6;
/// Range over which the takeover delays of processes are spread, in milliseconds. The
/// other processes need time to learn of the first takeover.
const TAKEOVER_SPREAD_MS: u64 = 150;
/// Additional takeover delay of processes with less than half the memory of the largest.
const SMALL_HOST_DELAY: Duration = Duration::from_millis(TAKEOVER_SPREAD_MS);
/// An owner without a row is given this time to write its first, and
/// [`FIRST_ROW_LATENCIES`] store latencies.
const FIRST_ROW_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Number of store latencies added to [`FIRST_ROW_TIMEOUT`].
const FIRST_ROW_LATENCIES: u32 = 4;

/// Returns the pause between two renewals of a row whose writes take `latency`.
#[must_use]
pub fn renewal_pause(latency: Duration) -> Duration {
    latency.clamp(HEARTBEAT_INTERVAL, MAX_PAUSE)
}

/// Returns the time without an answer after which a renewal is sent again, while writes take
/// `latency`.
#[must_use]
pub fn resend_delay(latency: Duration) -> Duration {
    MIN_RESEND_DELAY.max(latency * RESEND_LATENCIES)
}

/// Returns how long the row of an owner that pauses for `pause` may be unchanged at a store
/// without latency.
#[must_use]
pub fn silence_limit(pause: Duration) -> Duration {
    let excess = pause.min(MAX_PAUSE).saturating_sub(HEARTBEAT_INTERVAL);
    HEARTBEAT_TIMEOUT + excess * TIMEOUT_PAUSES
}

/// Why an owner is considered lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// Its row is missing: it gave its batches back, or never wrote one.
    NoRow,
    /// Its process was restarted and knows nothing of its batches.
    LivesAnew,
    /// Its row has not changed for too long.
    Silent,
}

/// The row of an owner, as read by a poll.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// The name of the process.
    pub name: String,
    /// The incarnation of the process.
    pub incarnation: String,
    /// The version of the row.
    pub version: u64,
    /// Megabytes that the process may use.
    pub memory: u32,
    /// The region of the process, if it is known.
    pub region: Option<String>,
    /// The pause until its next renewal; zero if the row doesn't tell.
    pub pause: Duration,
}

/// A process, as read from the rows of all processes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The name of the process.
    pub name: String,
    /// The incarnation of the process.
    pub incarnation: String,
    /// Megabytes that the process may use.
    pub memory: u32,
    /// The region of the process, if it is known.
    pub region: Option<String>,
}

#[derive(Debug)]
struct Observation {
    incarnation: String,
    version: u64,
    memory: u32,
    region: Option<String>,
    pause: Duration,
    /// When this version was first seen.
    since: Instant,
}

/// Detects lost owners from the rows that one process polls.
#[derive(Debug, Default)]
pub struct FailureDetector {
    /// All processes, by the part of the store that their rows were read from.
    members: HashMap<String, Vec<Member>>,
    /// The processes that have a heartbeat row.
    owners: HashMap<String, Observation>,
    /// The latency of the store at the last poll.
    latency: Duration,
    /// When the last poll was answered.
    last_poll: Option<Instant>,
}

impl FailureDetector {
    /// Creates the view of a process that has not polled yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how many processes are known.
    #[must_use]
    pub fn count(&self) -> usize {
        self.members.values().map(Vec::len).sum()
    }

    /// Records all processes whose rows are in one part of the store.
    pub fn record_members(&mut self, part: &str, members: Vec<Member>) {
        self.members.insert(part.to_owned(), members);
    }

    /// Records a poll that the store answered at `now`, after `latency`.
    pub fn record_poll(&mut self, now: Instant, latency: Duration, heartbeats: Vec<Heartbeat>) {
        self.latency = latency;
        self.last_poll = Some(now);
        let present: HashSet<&str> = heartbeats
            .iter()
            .map(|heartbeat| heartbeat.name.as_str())
            .collect();
        self.owners
            .retain(|name, _| present.contains(name.as_str()));
        for heartbeat in heartbeats {
            let known = self.owners.get(&heartbeat.name);
            if known.is_none_or(|process| process.version != heartbeat.version) {
                let process = Observation {
                    incarnation: heartbeat.incarnation,
                    version: heartbeat.version,
                    memory: heartbeat.memory,
                    region: heartbeat.region,
                    pause: heartbeat.pause,
                    since: now,
                };
                self.owners.insert(heartbeat.name, process);
            }
        }
    }

    /// Forgets the heartbeats after a failed poll: time without polls must not count as an
    /// owner's silence.
    pub fn clear(&mut self) {
        self.owners.clear();
        self.last_poll = None;
    }

    /// Returns how long the process `name` waits until its next poll, while it knows of
    /// these other owners.
    ///
    /// If every process polled at each renewal, polls would exhaust the store; if all
    /// polled less often the more they are, a lost owner would be noticed seconds late. So
    /// each owner has a few watchers that poll often, and the other processes together poll
    /// as often as those.
    #[must_use]
    pub fn poll_interval<'a>(
        &self,
        name: &str,
        owners: impl IntoIterator<Item = &'a str>,
    ) -> Duration {
        let mut owners = owners.into_iter();
        if owners.any(|owner| self.is_watcher(name, owner)) {
            return HEARTBEAT_INTERVAL;
        }
        let count = u32::try_from(self.count()).unwrap_or(u32::MAX);
        HEARTBEAT_INTERVAL * count.div_ceil(WATCHERS).max(1)
    }

    /// Returns whether a process is one of the watchers of an owner.
    fn is_watcher(&self, name: &str, owner: &str) -> bool {
        let seed = xxh3_64(owner.as_bytes());
        let score = |name: &str| xxh3_64_with_seed(name.as_bytes(), seed);
        let own = score(name);
        let higher = self.members().filter(|other| score(&other.name) > own);
        higher.take(WATCHERS as usize).count() < WATCHERS as usize
    }

    /// Returns the incarnation of the process that takes a batch of the process `name` when
    /// that one stops; `may_hold` tells whether a process in a region may.
    ///
    /// Prefers owners with a recent renewal, then the largest, then the highest hash. All
    /// batches go to the same process, which then sees everything that runs at the engines.
    /// If no other owner is alive, a process that owns nothing is chosen. Should it be gone,
    /// the batches are taken over.
    #[must_use]
    pub fn successor(&self, name: &str, may_hold: impl Fn(Option<&str>) -> bool) -> Option<&str> {
        let last_poll = self.last_poll?;
        let is_alive = |process: &Observation| {
            last_poll.saturating_duration_since(process.since) < silence_limit(process.pause)
        };
        let seed = xxh3_64(name.as_bytes());
        let score = |name: &str| xxh3_64_with_seed(name.as_bytes(), seed);
        let owners = self
            .owners
            .iter()
            .filter(|(other, owner)| other.as_str() != name && may_hold(owner.region.as_deref()));
        let alive = owners.filter(|(_, owner)| is_alive(owner));
        let chosen = alive.max_by_key(|(other, owner)| (owner.memory, score(other)));
        if let Some((_, owner)) = chosen {
            return Some(&owner.incarnation);
        }
        let others = self
            .members()
            .filter(|member| member.name != name && may_hold(member.region.as_deref()));
        let chosen = others.max_by_key(|member| (member.memory, score(&member.name)));
        chosen.map(|member| member.incarnation.as_str())
    }

    fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().flatten()
    }

    /// Returns how long the process `name` with `memory` MB waits before it takes over
    /// the batches of a lost owner.
    ///
    /// The delays spread the processes that notice the same loss, so that the first one
    /// takes over and the others learn of it. They are the same for all batches, which
    /// therefore go to one process, and shorter for large processes: small hosts load
    /// batches over slow links.
    #[must_use]
    pub fn takeover_delay(&self, name: &str, memory: u32) -> Duration {
        let largest = self.members().map(|member| member.memory).max();
        let is_large = memory.saturating_mul(2) >= largest.unwrap_or(0);
        let delay = Duration::from_millis(xxh3_64(name.as_bytes()) % TAKEOVER_SPREAD_MS);
        if is_large {
            delay
        } else {
            delay + SMALL_HOST_DELAY
        }
    }

    /// Returns why an owner is considered lost, if it is.
    ///
    /// `owner` is the name of its process and its incarnation, separated by a slash;
    /// this process has known of it since `since`. Polls from before then are about
    /// another owner, and time after the last poll doesn't count as silence.
    #[must_use]
    pub fn loss(&self, owner: &str, since: Instant) -> Option<Loss> {
        let (name, _) = owner.rsplit_once('/')?;
        let last_poll = self.last_poll.filter(|last_poll| *last_poll >= since)?;
        let Some(process) = self.owners.get(name) else {
            let delay = self.latency * FIRST_ROW_LATENCIES;
            return (last_poll - since > FIRST_ROW_TIMEOUT + delay).then_some(Loss::NoRow);
        };
        if process.incarnation != owner {
            return Some(Loss::LivesAnew);
        }
        let delay = self.latency * SILENCE_LATENCIES;
        let unchanged = last_poll.saturating_duration_since(process.since.max(since));
        (unchanged > silence_limit(process.pause) + delay).then_some(Loss::Silent)
    }
}
