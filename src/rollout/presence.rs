//! Whether the owner of a batch still lives.
//!
//! Each owner renews a row of its own, whose version changes with it; the others
//! look at all rows now and then. No clocks are compared: a process only counts
//! for how long it saw a row unchanged itself. It counts only while it reaches
//! the store, since after an outage no row has changed for long, and all owners
//! live.
//!
//! A wrong suspicion costs work that is done twice: the former owner's writes
//! fail from the takeover on. So the times are short, and only as long as a slow
//! store makes it necessary: it delays renewals and looks alike, and owners that
//! are suspected then would change hands for as long as it is slow.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Time between two renewals, and between two looks: three fit in the silence.
pub const RENEWAL: Duration = Duration::from_millis(250);
/// A row that did not change for so long has no living owner: three renewals
/// were missed, and a pause of this length has cost the owner its items anyway.
pub const SILENCE: Duration = Duration::from_millis(800);
/// So many of the store's own latencies are added: a slow store delays the
/// owner's renewal by two (its write takes longer than a read) and the look by
/// one or two.
const LATENCIES: u32 = 4;
/// So many processes look at an owner as often as it renews, drawn by a hash of both.
/// They see a loss within [`RENEWAL`] of the silence, however many processes there are.
/// With a third of all hosts gone at once, one owner in 700 has lost all of them, and
/// waits for one of the others.
const WATCHERS: u32 = 6;
/// Processes that take over from the same owner are spread over so many milliseconds:
/// the write of the first of them and its news to the others take some 10.
const SPREAD: u64 = 150;
/// Processes with less than half of the memory of the largest wait so much longer.
const SLOWER: Duration = Duration::from_millis(SPREAD);
/// An owner that has no row at all is given so long for its first.
const FIRST: Duration = Duration::from_millis(1_200);

/// Why an owner is taken to be gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// Its row is missing: it gave its batches back, or never had one.
    NoRow,
    /// Its process was started again and knows nothing of its batches.
    LivesAnew,
    /// Its row doesn't change any more.
    Silent,
}

/// The row of a process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sign {
    /// The name of the process.
    pub name: String,
    /// Its life.
    pub life: String,
    /// The version of the row.
    pub version: u64,
    /// Megabytes that the process may use.
    pub memory: u32,
}

#[derive(Debug)]
struct Row {
    life: String,
    version: u64,
    memory: u32,
    /// When it was first seen with this version.
    since: Instant,
}

/// What one process saw of the rows of all.
#[derive(Debug, Default)]
pub struct Presences {
    rows: HashMap<String, Row>,
    /// How long the store took for the last look.
    latency: Duration,
    /// When that was answered.
    looked: Option<Instant>,
}

impl Presences {
    /// Creates the view of a process that has seen nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how many processes have a row.
    #[must_use]
    pub fn count(&self) -> usize {
        self.rows.len()
    }

    /// Takes in a look that the store answered at `now`, after `latency`.
    pub fn seen(&mut self, now: Instant, latency: Duration, signs: Vec<Sign>) {
        self.latency = latency;
        self.looked = Some(now);
        let there: HashSet<&str> = signs.iter().map(|sign| sign.name.as_str()).collect();
        self.rows.retain(|name, _| there.contains(name.as_str()));
        for sign in signs {
            let known = self.rows.get(&sign.name);
            if known.is_none_or(|row| row.version != sign.version) {
                let row = Row {
                    life: sign.life,
                    version: sign.version,
                    memory: sign.memory,
                    since: now,
                };
                self.rows.insert(sign.name, row);
            }
        }
    }

    /// Forgets everything, because a look failed: time that passes unseen must
    /// not count as an owner's silence.
    pub fn blind(&mut self) {
        self.rows.clear();
        self.looked = None;
    }

    /// Returns the pause of the process `name` until its next look, while it knows that
    /// these others own something.
    ///
    /// Load: 88 processes, and 360 to come, of which two or three own something. Harm:
    /// a look reads the rows of all; if everybody looks as often as owners renew, looks
    /// use up the store, and if all look the less often the more they are, a lost owner
    /// is found seconds late (0.75 s between two looks of one process at 88, 3 s at 360,
    /// of the 7.5 s that a step has). So a few look often for each owner, and the
    /// others together as often as those.
    #[must_use]
    pub fn pause<'a>(&self, name: &str, owners: impl IntoIterator<Item = &'a str>) -> Duration {
        let mut owners = owners.into_iter();
        if owners.any(|owner| self.watches(name, owner)) {
            return RENEWAL;
        }
        let count = u32::try_from(self.rows.len()).unwrap_or(u32::MAX);
        RENEWAL * count.div_ceil(WATCHERS).max(1)
    }

    /// Says whether a process is among those that are drawn first for an owner.
    fn watches(&self, name: &str, owner: &str) -> bool {
        let seed = xxh3_64(owner.as_bytes());
        let draw = |name: &str| xxh3_64_with_seed(name.as_bytes(), seed);
        let own = draw(name);
        let before = self.rows.keys().filter(|other| draw(other) > own);
        before.take(WATCHERS as usize).count() < WATCHERS as usize
    }

    /// Chooses who the batches of the process `name` are handed on to when that one
    /// stops: one that was seen to live lately, of those the largest, and of these by a
    /// hash. All go to the same one, which then sees all that runs at the engines.
    ///
    /// Where one process owns all batches the others have nothing to renew a row for.
    /// Then it is any of them: nearly all live, and a batch that went to one that
    /// doesn't is missed and taken over, as if it had been handed to nobody.
    #[must_use]
    pub fn heir(&self, name: &str) -> Option<&str> {
        let looked = self.looked?;
        let lives = |row: &Row| looked.saturating_duration_since(row.since) < SILENCE;
        let others = self.rows.iter().filter(|(other, _)| other.as_str() != name);
        let seed = xxh3_64(name.as_bytes());
        let drawn = others.max_by_key(|(other, row)| {
            let draw = xxh3_64_with_seed(other.as_bytes(), seed);
            (lives(row), row.memory, draw)
        });
        drawn.map(|(_, row)| row.life.as_str())
    }

    /// Returns how long the process `name` with `memory` MB waits before it takes over
    /// what an owner that is gone has left.
    ///
    /// Processes that see the same loss are spread, so that one writes and the others
    /// hear of it. The order is the same for all batches, so they come to one process
    /// again, and a large one: where power was lost and everybody saw it, four batches
    /// went to four processes, one of which loaded its part over a slow link for 0.6 s.
    #[must_use]
    pub fn takeover_delay(&self, name: &str, memory: u32) -> Duration {
        let largest = self.rows.values().map(|row| row.memory).max();
        let large = memory.saturating_mul(2) >= largest.unwrap_or(0);
        let draw = Duration::from_millis(xxh3_64(name.as_bytes()) % SPREAD);
        if large { draw } else { draw + SLOWER }
    }

    /// Says why an owner is taken to be gone, if it is. It is named by the name
    /// of its process and a life behind a slash, and known since `since`.
    ///
    /// Only what was seen counts: a look from before the owner was known tells of
    /// another one, and time behind the last look is nobody's silence.
    #[must_use]
    pub fn lost(&self, owner: &str, since: Instant) -> Option<Loss> {
        let (name, _) = owner.rsplit_once('/')?;
        let looked = self.looked.filter(|looked| *looked >= since)?;
        let Some(row) = self.rows.get(name) else {
            return (looked - since > FIRST).then_some(Loss::NoRow);
        };
        if row.life != owner {
            return Some(Loss::LivesAnew);
        }
        let still = looked.saturating_duration_since(row.since.max(since));
        (still > SILENCE + self.latency * LATENCIES).then_some(Loss::Silent)
    }
}
