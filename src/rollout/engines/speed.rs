//! The speed of engines, and the choice by expected end where trainers compete.
//!
//! [`fit`] decides; here its inputs are collected from the table.

use super::{
    EngineKey, EngineState, Engines, Requirements, SLOWNESS_TTL, group_hash, is_eligible,
    tie_breaker,
};
use crate::rollout::fit::{self, Candidate, LateRun, Length, MoveReason, Progress, Speed, Task};
use std::time::{Duration, Instant};

/// The pace of the fastest engines is taken at position `count / FASTEST_DIVISOR`. If a
/// quarter of the engines is of a faster kind, this is the median of that quarter.
const FASTEST_DIVISOR: usize = 8;
/// Limit of an expected remaining time, above any step's. Hints of zero make the ratio of
/// tokens to events so small that the time would be out of range.
const MAX_REMAINING: Duration = Duration::from_hours(1);
/// Weight of a new sample in an engine's natural pace: a sample covers a part of one disturbance
/// of a shared host, and the average many of them.
const NATURAL_WEIGHT: f64 = 1.0 / NATURAL_SAMPLES as f64;
/// Number of samples after which the natural pace no longer follows other owners.
pub(super) const NATURAL_SAMPLES: u32 = 32;
/// A pace tells that an engine is disturbed now if it exceeds the natural one by this factor,
/// more than single samples vary.
const DISTURBED_FACTOR: f64 = 1.7;
/// Pace of all engines, in seconds per event, while none is known.
const UNKNOWN_PACE: f64 = 0.05;
/// Lower bound of paces in seconds per event; events in one packet have no time between them.
const MIN_PACE: f64 = 1e-6;
/// The usual slowness in percent before any report.
const USUAL_PERCENT: f64 = 100.0;

/// How long texts take at the fastest engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TextSpeed {
    event_seconds: f64,
    tokens_per_event: f64,
}

impl TextSpeed {
    /// Returns how long a text with this hint in tokens takes after event `last`.
    #[must_use]
    pub fn remaining(self, hint: u32, last: u64) -> Duration {
        let events = (f64::from(hint) / self.tokens_per_event - last as f64).max(0.0);
        Duration::try_from_secs_f64(events * self.event_seconds)
            .map_or(MAX_REMAINING, |remaining| remaining.min(MAX_REMAINING))
    }
}

impl EngineState {
    /// Returns the host's slowness in percent and the age of its report, while that is valid.
    fn slowness(&self, now: Instant) -> Option<(u32, Duration)> {
        let (at, percent) = self.slowness?;
        let age = now.saturating_duration_since(at);
        (age < fit::REPORT_TTL).then_some((percent, age))
    }

    pub(super) fn record_natural_pace(&mut self, pace: f64) {
        self.natural_samples = self.natural_samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.natural_samples)).max(NATURAL_WEIGHT);
        let old = self.natural.unwrap_or(pace);
        self.natural = Some(old + (pace - old) * weight);
    }

    /// Returns the speed, with the `median` pace if the own one is not known. A pace that shows
    /// a disturbance counts for `pace_ttl` if the host reports no slowness.
    fn speed(&self, now: Instant, median: f64, pace_ttl: Duration) -> Speed {
        let pace = self.natural.unwrap_or(median).max(MIN_PACE);
        if let Some((percent, age)) = self.slowness(now) {
            return Speed {
                pace,
                slowness: f64::from(percent) / self.usual_percent.unwrap_or(USUAL_PERCENT),
                window: fit::REPORT_TTL.saturating_sub(age).as_secs_f64(),
            };
        }
        let valid = self.pace_as_of.and_then(|at| {
            let age = now.saturating_duration_since(at);
            pace_ttl.checked_sub(age)
        });
        match self.pace.zip(valid) {
            Some((recent, valid)) if recent > pace * DISTURBED_FACTOR => Speed {
                pace,
                slowness: recent / pace,
                window: valid.as_secs_f64(),
            },
            _ => Speed::steady(pace),
        }
    }
}

impl Engines {
    /// Returns how long texts take at the fastest engines of a service; `None` before any
    /// text was completed.
    #[must_use]
    pub fn text_speed(&self, service: &str) -> Option<TextSpeed> {
        let engines = self.states.values();
        let engines = engines.filter(|engine| engine.service == service);
        let mut paces: Vec<f64> = engines.filter_map(|engine| engine.pace).collect();
        let position = paces.len() / FASTEST_DIVISOR;
        if paces.is_empty() {
            return None;
        }
        let (_, best, _) = paces.select_nth_unstable_by(position, f64::total_cmp);
        let best = *best;
        self.speed_of_texts(best)
    }

    /// Returns how long texts take at engines of this pace in seconds per event.
    pub(super) fn speed_of_texts(&self, event_seconds: f64) -> Option<TextSpeed> {
        let tokens_per_event = self.tokens_per_event.filter(|ratio| *ratio > 0.0)?;
        Some(TextSpeed {
            event_seconds,
            tokens_per_event,
        })
    }

    /// Chooses an engine with free capacity by the expected end of an item.
    pub(super) fn choose_by_end(
        &self,
        now: Instant,
        requirements: &Requirements<'_>,
    ) -> Option<EngineKey> {
        let service = requirements.service;
        let median = self.natural_median(service).unwrap_or(UNKNOWN_PACE);
        let pace_ttl = self.pace_ttl(service);
        let held = self.held_engines(now, requirements);
        let eligible = self.states.iter().filter(|(key, engine)| {
            is_eligible(now, *key, engine, requirements) && !held.contains_key(*key)
        });
        let (cold, warm): (Vec<_>, Vec<_>) =
            eligible.partition(|(_, engine)| engine.admission.is_cold);
        let preferred = if warm.is_empty() { cold } else { warm };
        let candidates: Vec<_> = preferred
            .into_iter()
            .map(|(key, engine)| Candidate {
                key,
                speed: engine.speed(now, median, pace_ttl),
                slots: engine.slots,
                free: engine.free_slots(now),
            })
            .collect();
        let task = Task {
            rest: requirements.rest,
            left: requirements
                .due
                .map(|due| due.saturating_duration_since(now)),
        };
        let group_hash = group_hash(requirements);
        fit::choose(task, median, &candidates, |key| {
            let engine = &self.states[key];
            (!engine.is_far, tie_breaker(engine, group_hash))
        })
    }

    /// Returns the speed of an engine, and its host's reported slowness in percent with the age
    /// of the report; the slowness is `None` if there is no valid report.
    #[must_use]
    pub fn speed(&self, now: Instant, key: EngineKey) -> Option<(Speed, Option<(u32, Duration)>)> {
        let engine = self.states.get(key)?;
        let pace = engine.natural;
        let median = pace.or_else(|| self.natural_median(&engine.service))?;
        let speed = engine.speed(now, median, self.pace_ttl(&engine.service));
        Some((speed, engine.slowness(now)))
    }

    /// Returns how long a pace that shows a disturbance is assumed to last.
    fn pace_ttl(&self, service: &str) -> Duration {
        if self.shared_hosts.contains(service) {
            fit::REPORT_TTL
        } else {
            SLOWNESS_TTL
        }
    }

    fn natural_median(&self, service: &str) -> Option<f64> {
        let engines = self.states.values().filter(|it| it.service == service);
        let mut paces: Vec<f64> = engines.filter_map(|it| it.natural).collect();
        let middle = paces.len() / 2;
        let is_known = middle < paces.len();
        is_known.then(|| *paces.select_nth_unstable_by(middle, f64::total_cmp).1)
    }

    /// Returns why a run at engine `key` of a service should go on at `other`, if it should.
    #[must_use]
    pub fn move_reason(
        &self,
        now: Instant,
        service: &str,
        key: EngineKey,
        progress: &Progress,
        other: EngineKey,
    ) -> Option<MoveReason> {
        if !self.is_contended(service) {
            return self
                .is_worth_moving(service, progress.pace, progress.events, other)
                .then_some(MoveReason::Pace);
        }
        let (speed, _) = self.speed(now, other)?;
        self.late_run(now, key, progress)?.move_reason(speed)
    }

    /// Returns whether a run may have a reason to move, before another engine is looked for.
    #[must_use]
    pub fn may_move(
        &self,
        now: Instant,
        service: &str,
        key: EngineKey,
        progress: &Progress,
    ) -> bool {
        !self.is_contended(service) || self.late_run(now, key, progress).is_some()
    }

    fn late_run(&self, now: Instant, key: EngineKey, progress: &Progress) -> Option<LateRun> {
        let left = progress.due.saturating_duration_since(now);
        let (here, _) = self.speed(now, key)?;
        fit::late_run(progress, left, here)
    }

    /// Returns the expected length of a text from its hint and its maximum, both in tokens;
    /// `None` before any text was completed.
    #[must_use]
    pub fn length(&self, hint: Option<u32>, max_tokens: u32) -> Option<Length> {
        let mean = self.mean_events?;
        let events_of = |tokens: u32| Some(f64::from(tokens) / self.tokens_per_event?);
        let hint = hint.map(|hint| hint.min(max_tokens));
        let expected = hint.and_then(events_of).unwrap_or(mean);
        let longest = (self.max_events as f64).max(expected);
        let max = events_of(max_tokens).map_or(longest, |max| max.min(longest));
        Some(Length { expected, max })
    }
}
