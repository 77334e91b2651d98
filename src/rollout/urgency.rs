//! How urgent an item is to its engine.
//!
//! Load: the steps of several trainers arrive together and fill all engines; most
//! items take a second of the seven that their step has, and a few take all of them.
//! Harm: engines that are full admit what came first, so an item that will take the
//! whole step waits behind others that have seconds to spare, and its step ends that
//! much later.
//!
//! So an item's rank follows from its slack: the time that its step has left, less
//! what is expected to be left of its text. Ranks of one route stay below those of a
//! more urgent one.

use std::time::Duration;

/// Ranks that each route has for its items.
const RANKS: u8 = 3;
/// The lowest rank of an item; the one below is for texts that nobody waits for.
const LOWEST: u8 = 8;
/// An item with less slack than this share of its step's time is urgent: hints of
/// lengths are off by a factor of 1.6 either way.
const TIGHT: f64 = 0.25;
/// One with more than this share can wait for the others.
const AMPLE: f64 = 0.6;

/// Returns the rank of an item, 0 being the highest, on a route of rank `route`.
///
/// `span` is the time that the step has in all, `left` what there is of it, and
/// `expected` how long the item will still run.
#[must_use]
pub fn rank(route: u8, span: Duration, left: Duration, expected: Duration) -> u8 {
    let slack = left.as_secs_f64() - expected.as_secs_f64();
    let share = slack / span.as_secs_f64().max(0.001);
    let urgency = if share < TIGHT {
        0
    } else if share < AMPLE {
        1
    } else {
        2
    };
    route
        .saturating_mul(RANKS)
        .saturating_add(urgency)
        .min(LOWEST)
}
