//! Carries out placement by expected end: its inputs from items and runs, and their logs.
//!
//! The decisions are those of [`hibiscusroad::rollout::fit`].

use super::{Batches, OwnedBatch};
use crate::logs::BATCHES;
use hibiscusroad::{
    clock::millis,
    rollout::{
        engines::{EngineKey, Engines},
        fit::{MoveReason, Progress, Rest},
    },
};
use std::time::{Duration, Instant};

/// Returns what is expected to be left of an item's text.
pub(super) fn rest(engines: &Engines, owned: &OwnedBatch, index: usize) -> Option<Rest> {
    let item = &owned.submission.items[index];
    let events = owned.batch.borrow().last_event(index).unwrap_or(0);
    let length = engines.length(item.hint, item.tokens)?;
    Some(length.rest(events))
}

/// Returns the inputs of the choice of an engine for logs; empty where no contention is expected.
pub(super) fn describe(
    engines: &Engines,
    now: Instant,
    owned: &OwnedBatch,
    index: usize,
    service: &str,
    key: EngineKey,
) -> String {
    if !engines.is_contended(service) {
        return String::new();
    }
    let left_ms = millis(owned.due_at.saturating_duration_since(now));
    let rest = rest(engines, owned, index);
    let (expected, worst) = rest.map_or((0.0, 0.0), |rest| (rest.expected, rest.worst));
    let speed = engines.speed(now, key);
    let pace_us = speed.map_or(0.0, |(speed, _)| speed.pace * 1e6);
    let (slowness, age) = speed
        .and_then(|(_, report)| report)
        .map_or((0, Duration::ZERO), |report| report);
    let age_ms = millis(age);
    format!(
        "events={expected:.0}..{worst:.0} left_ms={left_ms} pace_us={pace_us:.0} \
         slowness={slowness} age_ms={age_ms}"
    )
}

impl Batches {
    /// Records the slowness that the host of an engine reported, the `first` one of its service or
    /// a later one.
    pub(super) fn record_slowness(&self, service: &str, endpoint: &str, percent: u32, first: bool) {
        let usual = f64::from(percent) / 100.0;
        self.context.meters.engine_slowness.observe(usual);
        if first {
            let is_contended = self.engines.borrow().is_contended(service);
            log::info!(target: BATCHES, service = service, endpoint = endpoint,
                slowness = percent, contended = is_contended;
                "The engines of a service share their hosts with others.");
        }
    }

    /// Counts a move of a run and logs its inputs. Moves by pace alone are logged only as the end
    /// of their run.
    pub(super) fn record_move(
        &self,
        now: Instant,
        owned: &OwnedBatch,
        index: usize,
        (from, to): (EngineKey, EngineKey),
        progress: &Progress,
        reason: MoveReason,
    ) {
        self.count_move(reason.name());
        let Some(length) = progress.length.filter(|_| reason != MoveReason::Pace) else {
            return;
        };
        let engines = self.engines.borrow();
        let pace_us = |key| {
            let speed = engines.speed(now, key);
            speed.map_or(0.0, |(speed, _)| speed.pace * 1e6).round()
        };
        log::info!(target: BATCHES, batch = owned.id.as_str(),
            item = owned.submission.items[index].id.as_str(), reason = reason.name(),
            endpoint = engines.id(from), to = engines.id(to),
            events = progress.events, hinted = length.expected.round(), most = length.max.round(),
            left_ms = millis(progress.due.saturating_duration_since(now)),
            run_us = (progress.mean_pace * 1e6).round(), pace_us = pace_us(from),
            other_us = pace_us(to); "A run moves to another engine.");
    }

    /// Counts a move of a run by its reason.
    pub(super) fn count_move(&self, reason: &str) {
        let moves = &self.context.meters.moves;
        moves.with_label_values(&[reason]).inc();
    }
}
