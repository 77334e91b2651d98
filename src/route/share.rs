//! Sharing of a service's slots between classes.
//!
//! Classes below their floor go first, so that none starves; then the most urgent
//! class with queued calls. Slots that a class does not use are available to the
//! others. A small reserve is kept free for urgent classes with recent calls, so
//! that these don't wait for a rollout to end, which may take minutes.

use crate::{
    class::Class,
    route::{decay::ceil_to_u32, table::ServiceRow},
};
use std::time::Instant;

/// Maximum reserve, as a share of the slots. Rollouts are to use 90 % of what others leave.
const MAX_RESERVED_SHARE: f64 = 0.05;
/// Reserve as a share of the recent peak of more urgent classes. It covers three standard
/// deviations of Poisson arrivals from a peak of 100 on; preemption covers smaller peaks.
const RESERVED_PEAK_SHARE: f64 = 0.25;
/// Decayed peak below which no reserve is kept.
const NEGLIGIBLE_PEAK: f64 = 0.02;

/// Returns the class that gets the next slot, without those in `blocked`.
pub(super) fn next_class(row: &ServiceRow, now: Instant, blocked: [bool; 3]) -> Option<Class> {
    let has_waiting = |class: &Class| !row.queue(*class).is_empty() && !blocked[class.index()];
    let below_floor = Class::ALL
        .into_iter()
        .find(|c| has_waiting(c) && is_below_floor(row, *c));
    below_floor.or_else(|| {
        let class = Class::ALL.into_iter().find(has_waiting)?;
        // An endpoint that waits for a trial call has a free slot, too.
        let free = row.free_slots as usize + row.awaiting_trial.len();
        (free > reserved_slots(row, now, class) as usize).then_some(class)
    })
}

/// Returns whether a class uses fewer slots than its floor.
pub(super) fn is_below_floor(row: &ServiceRow, class: Class) -> bool {
    let floor = row.spec.min_shares[class.index()] * f64::from(row.capacity);
    f64::from(row.running[class.index()]) < floor
}

/// Returns the number of slots that `class` leaves free for more urgent ones.
fn reserved_slots(row: &ServiceRow, now: Instant, class: Class) -> u32 {
    let urgent = &row.recent_peaks[..class.index()];
    let peak: f64 = urgent.iter().map(|peak| peak.value(now)).sum();
    if peak < NEGLIGIBLE_PEAK {
        return 0;
    }
    let max_reserved = (f64::from(row.capacity) * MAX_RESERVED_SHARE).floor();
    ceil_to_u32((1.0 + peak * RESERVED_PEAK_SHARE).min(max_reserved))
}

/// Estimates the share of the slots that a class gets while calls are queued.
pub(super) fn expected_share(row: &ServiceRow, now: Instant, class: Class) -> f64 {
    let capacity = f64::from(row.capacity.max(1));
    let index = class.index();
    let higher: f64 = row.recent_peaks[..index]
        .iter()
        .map(|p| p.value(now) / capacity)
        .sum();
    let lower: f64 = (index + 1..3)
        .filter(|i| !row.queues[*i].is_empty())
        .map(|i| row.spec.min_shares[i])
        .sum();
    (1.0 - higher - lower)
        .max(row.spec.min_shares[index])
        .max(0.01)
}
