//! Chooses the process that runs a new batch.
//!
//! A batch goes to a process that already runs batches of any trainer, because that
//! one has connections to the engines, knows their load, and has calibrated the
//! trainers' length hints. If each process ran the batches that it accepts, owners
//! would see only their own items and send long ones to engines that are full.
//!
//! The chosen process must have renewed its row recently, have memory for the batch,
//! and not be much smaller than the process that accepts it. The choice may turn out
//! wrong: if the process is gone, its batches are taken over like any others.

use crate::rollout::{
    presence::{HEARTBEAT_INTERVAL, silence_limit},
    row::Presence,
};
use std::time::Duration;

/// A process whose memory is smaller than the accepting one's by more than this factor
/// is not chosen: hosts with little memory also have slow links and slow processors.
const MAX_MEMORY_RATIO: u32 = 2;
/// Maximum number of items in open batches for each megabyte of a process, so that their
/// texts and results fill at most half of it: 64 KB each for a long item.
const MAX_ITEMS_PER_MB: usize = 4;

/// A process that has been given batches recently in its present incarnation.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The row of the process, as read for this choice.
    pub presence: Presence,
    /// Number of items in its open batches.
    pub open_items: usize,
    /// When it was given its last batch, by the store's clock.
    pub last_batch_at: Duration,
}

impl Candidate {
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
    let eligible = |candidate: &&Candidate| {
        let candidate_memory = candidate.presence.memory;
        let large = candidate_memory.saturating_mul(MAX_MEMORY_RATIO) >= memory;
        let max_items = MAX_ITEMS_PER_MB * usize::try_from(candidate_memory).unwrap_or(usize::MAX);
        candidate.is_alive(now) && large && candidate.open_items + items <= max_items
    };
    let eligible = candidates.iter().filter(eligible);
    eligible.max_by_key(|candidate| (candidate.presence.memory, candidate.last_batch_at))
}
