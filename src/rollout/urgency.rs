//! Priority of an item at its engine.
//!
//! A full engine admits requests by priority. The priority of an item follows from its
//! slack: the time that its step has left, less the expected time that its text still
//! takes. Without it, an item that takes the whole step would queue behind items with
//! seconds to spare. Each route has its own band of ranks, so an item never overtakes
//! those of a more urgent route.

use std::time::Duration;

/// Number of ranks in the band of each route.
const RANKS_PER_ROUTE: u8 = 3;
/// The lowest rank of an item; rank 9 is for drafts, which nobody waits for.
const LOWEST_RANK: u8 = 8;
/// An item is urgent if its slack is below this share of the step's time. The margin
/// covers inexact hints.
const URGENT_SLACK: f64 = 0.25;
/// An item with at least this share of the step's time as slack can wait.
const AMPLE_SLACK: f64 = 0.6;

/// Returns the rank of an item, 0 being the highest, on a route of rank `route`.
///
/// `span` is the total time of the step, `left` is what remains of it, and `expected`
/// is how long the item is expected to run on.
#[must_use]
pub fn rank(route: u8, span: Duration, left: Duration, expected: Duration) -> u8 {
    let slack = left.as_secs_f64() - expected.as_secs_f64();
    let share = slack / span.as_secs_f64().max(0.001);
    let urgency = if share < URGENT_SLACK {
        0
    } else if share < AMPLE_SLACK {
        1
    } else {
        2
    };
    route
        .saturating_mul(RANKS_PER_ROUTE)
        .saturating_add(urgency)
        .min(LOWEST_RANK)
}
