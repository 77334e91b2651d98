//! Which class gets the next free slot of a service.
//!
//! The most urgent class goes first, but a class below its floor goes before
//! all, so that overnight jobs and trainers move even on the busiest day. What
//! a class doesn't use is lent to whoever waits. A small reserve stays free
//! for urgent classes that were there lately: without it each parent's request
//! would wait for a rollout to end, which may take minutes.

use crate::{
    class::Class,
    route::{meter::ceil_to_u32, table::ServiceRow},
};
use std::time::Instant;

/// The reserve, as a share of the slots: rollouts are to use 90 % of what the
/// others leave.
const MAX_RESERVED_SHARE: f64 = 0.05;
/// The reserve follows the urgent classes' recent peak; a quarter of it covers
/// three standard deviations of Poisson arrivals from a peak of 100 on, and
/// `taking back` covers smaller ones.
const RESERVED_PEAK_SHARE: f64 = 0.25;
/// Urgent use below this is none: a peak fades to it in 20 s.
const NEGLIGIBLE_PEAK: f64 = 0.02;

/// Returns the class whose first call is to be placed, without `skip`.
pub(super) fn next_class(row: &ServiceRow, now: Instant, blocked: [bool; 3]) -> Option<Class> {
    let has_waiting = |class: &Class| !row.queue(*class).is_empty() && !blocked[class.index()];
    let below_floor = Class::ALL
        .into_iter()
        .find(|c| has_waiting(c) && is_below_floor(row, *c));
    below_floor.or_else(|| {
        let class = Class::ALL.into_iter().find(has_waiting)?;
        // An endpoint that waits to be tried is room, too: when the others are
        // full it is wanted most.
        let free = row.free_slots as usize + row.awaiting_trial.len();
        (free > reserved_slots(row, now, class) as usize).then_some(class)
    })
}

/// Says whether a class has less than its floor.
pub(super) fn is_below_floor(row: &ServiceRow, class: Class) -> bool {
    let floor = row.spec.floors[class.index()] * f64::from(row.capacity);
    f64::from(row.running[class.index()]) < floor
}

/// Returns the slots that `class` has to leave free for more urgent ones.
fn reserved_slots(row: &ServiceRow, now: Instant, class: Class) -> u32 {
    let urgent = &row.recent_peaks[..class.index()];
    let peak: f64 = urgent.iter().map(|peak| peak.value(now)).sum();
    if peak < NEGLIGIBLE_PEAK {
        return 0;
    }
    let max_reserved = (f64::from(row.capacity) * MAX_RESERVED_SHARE).floor();
    ceil_to_u32((1.0 + peak * RESERVED_PEAK_SHARE).min(max_reserved))
}

/// Estimates the share of the slots that a class gets while all wait.
pub(super) fn expected_share(row: &ServiceRow, now: Instant, class: Class) -> f64 {
    let capacity = f64::from(row.capacity.max(1));
    let index = class.index();
    let higher: f64 = row.recent_peaks[..index]
        .iter()
        .map(|p| p.value(now) / capacity)
        .sum();
    let lower: f64 = (index + 1..3)
        .filter(|i| !row.queues[*i].is_empty())
        .map(|i| row.spec.floors[i])
        .sum();
    (1.0 - higher - lower).max(row.spec.floors[index]).max(0.01)
}
