//! Which process runs a new batch.
//!
//! Load: the steps of trainers come every few seconds, each to a process that a
//! balancer draws among 88, and 360 to come. Harm: if each process runs what comes to
//! it, each step begins at one that has no connection to any engine (4,220 new ones for
//! 22 steps of two trainers before 38 engines, 930 with this choice; means of twelve
//! runs with simulated hosts) and knows neither what a hint means nor what runs where:
//! owners that see only their own items send long ones to engines that are full, where
//! some waited for 2 s of the 7.5 s of a step.
//!
//! So a batch goes to a process that runs the steps before, whichever trainer's, as
//! long as that one is seen to live, has room for it, and isn't much smaller than the
//! process that accepts it. It hears of it with the next change of the table. If it is
//! gone all the same, the batch is missed and taken over like any other; one that was
//! lost with its owner would have cost its trainer as much.

use crate::rollout::{
    presence::{RENEWAL, SILENCE},
    row::Presence,
};
use std::time::Duration;

/// A process is seen to live if it renewed its row within this time. One that was silent
/// for longer is about to lose its batches to another, which is a candidate then; one
/// that is passed over too early has its trainers' steps scattered again.
const FRESH: Duration = SILENCE.saturating_add(RENEWAL);
/// One whose memory is smaller by more than this factor is left for the one that
/// accepts: hosts that have little memory have slow links and little of a processor,
/// too, and pass on the events of all items.
const SMALLER: u32 = 2;
/// Items of open batches for each megabyte that a process may use. The text of a long
/// one takes 64 KB, and as much again as a result, so they fill half of it at the most;
/// trainers of 1,024 samples a step are shared among processes then.
const ITEMS_A_MB: usize = 4;

/// A process that has got batches lately, in this life of it.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its row, as it was read just now.
    pub presence: Presence,
    /// Items of its batches that are open.
    pub items: usize,
    /// When it got the last one, by the store's clock.
    pub last: Duration,
}

/// Chooses the process for a batch of so many items that one with `memory` MB accepts
/// at the store's time `now`; none if that is to run it itself.
///
/// The largest goes first, and of those alike the one that got a batch last, so that
/// all trainers come to the same one.
#[must_use]
pub fn choose(
    candidates: &[Candidate],
    items: usize,
    memory: u32,
    now: Duration,
) -> Option<&Candidate> {
    let fits = |found: &&Candidate| {
        let renewed = Duration::from_millis(found.presence.renewed);
        let theirs = found.presence.memory;
        let lives = now.saturating_sub(renewed) <= FRESH;
        let large = theirs.saturating_mul(SMALLER) >= memory;
        let most = ITEMS_A_MB * usize::try_from(theirs).unwrap_or(usize::MAX);
        lives && large && found.items + items <= most
    };
    let found = candidates.iter().filter(fits);
    found.max_by_key(|found| (found.presence.memory, found.last))
}
