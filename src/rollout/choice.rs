//! Chooses the process that runs a new batch.
//!
//! A batch goes to a process that already runs batches of any trainer, because that
//! one has connections to the engines, knows their load, and has calibrated the
//! trainers' length hints. If each process ran the batches that it accepts, owners
//! would see only their own items and send long ones to engines that are full.
//!
//! Where there are several regions, [`choose_in_regions`] decides which processes are considered:
//! those that may hold the batch, and by [`PREFERENCE`] those of one region first.
//!
//! The chosen process must have renewed its row recently, have memory for the batch,
//! and not be much smaller than the process that accepts it. The choice may turn out
//! wrong: if the process is gone, its batches are taken over like any others.

use crate::rollout::{
    presence::{HEARTBEAT_INTERVAL, silence_limit},
    row::{Presence, may_hold},
};
use std::time::Duration;

/// A process whose memory is smaller than the accepting one's by more than this factor
/// is not chosen: hosts with little memory also have slow links and slow processors.
const MAX_MEMORY_RATIO: u32 = 2;
/// Maximum number of items in open batches for each megabyte of a process, so that their
/// texts and results fill at most half of it: 64 KB each for a long item.
const MAX_ITEMS_PER_MB: usize = 4;

/// Which owners are preferred for batches that may be held in all regions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Preference {
    /// One owner for all batches, in any region.
    OneOwner,
    /// An owner in the region of the accepting process, if one can take the batch.
    NearOwner,
}

/// The preference in force. One owner sees what runs on all engines and so avoids refusals;
/// owners in two regions would use the engines of both anyway.
pub const PREFERENCE: Preference = Preference::OneOwner;

/// A process that has been given batches recently in its present incarnation.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The row of the process, as read for this choice.
    pub presence: Presence,
    /// Number of items in its open batches.
    pub open_items: usize,
    /// When it was given its last batch, by the store's clock; zero if it only holds a duty. Such a
    /// process is chosen where no other is eligible.
    pub last_batch_at: Duration,
}

impl Candidate {
    fn region(&self) -> Option<&str> {
        self.presence.region.as_deref()
    }

    /// Returns whether it counts as alive at the store's time `now`.
    ///
    /// If its row is older than the limit, another process is about to take its batches over;
    /// a lower limit would scatter the batches of trainers over processes again.
    fn is_alive(&self, now: Duration) -> bool {
        let pause = Duration::from_millis(self.presence.pause);
        self.age(now) <= silence_limit(pause) + HEARTBEAT_INTERVAL
    }

    /// Returns the time since its last heartbeat at the store's time `now`.
    #[must_use]
    pub const fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_millis(self.presence.renewed))
    }
}

/// Where a new batch comes from and may be held.
#[derive(Clone, Copy, Debug)]
pub struct Home<'a> {
    /// The region of the accepting process.
    pub region: &'a str,
    /// The regions in which the batch may be held; `None` for all.
    pub allowed: Option<&'a [String]>,
    /// Which owners are preferred if it may be held in all regions.
    pub preference: Preference,
}

/// Chooses the process for a batch as [`choose`] does, among those that may hold it by their
/// region.
#[must_use]
pub fn choose_in_regions<'a>(
    candidates: &'a [Candidate],
    items: usize,
    memory: u32,
    now: Duration,
    home: &Home<'_>,
) -> Option<&'a Candidate> {
    if home.preference == Preference::NearOwner && home.allowed.is_none() {
        let near = candidates
            .iter()
            .filter(|it| it.region() == Some(home.region));
        let chosen = choose_among(near, items, memory, now);
        if chosen.is_some() {
            return chosen;
        }
    }
    let may_hold = |it: &&Candidate| may_hold(home.allowed, Some(home.region), it.region());
    choose_among(candidates.iter().filter(may_hold), items, memory, now)
}

/// Chooses the process for a batch of `items` items that a process with `memory` MB
/// accepts at the store's time `now`; `None` if the accepting process should run it.
///
/// Prefers the largest process, and among equally large ones the one that was given a
/// batch last, so that the batches of all trainers end up at one process.
#[must_use]
pub fn choose(
    candidates: &[Candidate],
    items: usize,
    memory: u32,
    now: Duration,
) -> Option<&Candidate> {
    choose_among(candidates.iter(), items, memory, now)
}

fn choose_among<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
    items: usize,
    memory: u32,
    now: Duration,
) -> Option<&'a Candidate> {
    let eligible = |candidate: &&Candidate| {
        let candidate_memory = candidate.presence.memory;
        let large = candidate_memory.saturating_mul(MAX_MEMORY_RATIO) >= memory;
        let max_items = MAX_ITEMS_PER_MB * usize::try_from(candidate_memory).unwrap_or(usize::MAX);
        candidate.is_alive(now) && large && candidate.open_items + items <= max_items
    };
    let eligible = candidates.filter(eligible);
    eligible.max_by_key(|candidate| {
        let last_batch = candidate.last_batch_at;
        (!last_batch.is_zero(), candidate.presence.memory, last_batch)
    })
}
