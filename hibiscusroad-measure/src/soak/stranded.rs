//! Finds unfinished items that stand at no engine while engines have room.

use super::{
    check::Check,
    world::{ENGINE_SLOTS, World},
};
use hibiscusroad_standins::direct::{Behaviour, ExecutedRequest};
use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Longest time that an item may stand at no engine, in a steady state with room.
const MAX_ABSENCE: Duration = Duration::from_secs(5);
/// Shorter absences are not reported, in whatever state.
const REPORTED_ABSENCE: Duration = Duration::from_millis(2_500);
/// Limit on reported absences.
const MAX_REPORTS: usize = 20;
/// Time after a disturbance until the state is steady.
pub(super) const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time after a version is named in which engines may load weights.
const NAMING_TIME: Duration = Duration::from_secs(6);
/// Where several models are trained, an absence counts while no item has begun for this time.
const START_PAUSE: Duration = Duration::from_secs(3);
/// An incomplete run that is shorter is no stay at an engine.
const MIN_STAY: Duration = Duration::from_secs(1);
/// Time between two samples of the state.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
const DAY_MS: u128 = 24 * 60 * 60 * 1_000;

/// A step of a trainer, from its acceptance to its end.
#[derive(Clone, Debug)]
struct Step {
    model: &'static str,
    items: Vec<String>,
    accepted_at: Instant,
    ended_at: Option<Instant>,
    /// When results were first read, by item.
    listed: HashMap<String, Instant>,
}

#[derive(Debug, Default)]
struct Record {
    steps: BTreeMap<String, Step>,
    /// When versions were named.
    namings: Vec<Instant>,
}

/// Records the steps of trainers. Clones share the record.
#[derive(Clone, Debug, Default)]
pub(super) struct Steps {
    record: Arc<Mutex<Record>>,
}

impl Steps {
    fn lock(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn record_accepted(&self, id: &str, model: &'static str, items: Vec<String>) {
        let step = Step {
            model,
            items,
            accepted_at: Instant::now(),
            ended_at: None,
            listed: HashMap::new(),
        };
        self.lock().steps.insert(id.to_owned(), step);
    }

    pub(super) fn record_listed(&self, id: &str, item: &str) {
        if let Some(step) = self.lock().steps.get_mut(id) {
            let now = Instant::now();
            step.listed.entry(item.to_owned()).or_insert(now);
        }
    }

    /// Records that a trainer ends a step.
    pub(super) fn record_ended(&self, id: &str) {
        if let Some(step) = self.lock().steps.get_mut(id) {
            step.ended_at = Some(Instant::now());
        }
    }

    pub(super) fn record_naming(&self) {
        self.lock().namings.push(Instant::now());
    }
}

/// What is disturbed; gateways and endpoints are given by index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Subject {
    Gateway(usize),
    Store,
    Endpoint(usize),
    /// The connections to an endpoint.
    Link(usize),
    /// An endpoint that leaves as planned.
    Departure(usize),
    Config,
}

/// A time in which something was disturbed on purpose, or an engine loaded weights.
#[derive(Clone, Copy, Debug)]
pub(super) struct Disturbance {
    pub(super) subject: Subject,
    /// The engine that could not take items, by its index among the endpoints.
    pub(super) engine: Option<usize>,
    /// Whether the state is not steady meanwhile, nor for a time afterwards.
    pub(super) is_fault: bool,
    pub(super) from: Instant,
    pub(super) until: Option<Instant>,
}

impl Disturbance {
    pub(super) fn contains(&self, at: Instant, margin: Duration) -> bool {
        self.from <= at && self.until.is_none_or(|until| at < until + margin)
    }
}

/// The state at one moment.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Instant,
    /// Items at engines.
    running: usize,
    /// Engines that can take items.
    engines: usize,
    is_steady: bool,
    was_named: bool,
    /// Whether an item began within [`START_PAUSE`].
    has_starts: bool,
}

impl Sample {
    const fn has_room(&self) -> bool {
        self.engines > 0 && 2 * self.running < self.engines * ENGINE_SLOTS
    }
}

/// A time in which an item stood at no engine although engines had room.
#[derive(Clone, Debug)]
struct Absence {
    step: String,
    item: String,
    from: Sample,
    until: Instant,
    /// Longest part of it in which the promise holds.
    counted: Duration,
}

impl Absence {
    fn duration(&self) -> Duration {
        self.until.saturating_duration_since(self.from.at)
    }
}

impl fmt::Display for Absence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} of {} stood at no engine for {} ms from {}, {} ms of which count; \
             then {} items were at {} engines",
            self.item,
            self.step,
            self.duration().as_millis(),
            time_of_day(self.from.at),
            self.counted.as_millis(),
            self.from.running,
            self.from.engines
        )
    }
}

/// Returns the time of day in UTC, as in the logs.
pub(super) fn time_of_day(at: Instant) -> String {
    let wall = SystemTime::now().checked_sub(at.elapsed());
    let since_epoch = wall.and_then(|wall| wall.duration_since(UNIX_EPOCH).ok());
    let ms = since_epoch.unwrap_or_default().as_millis() % DAY_MS;
    let (s, ms) = (ms / 1_000, ms % 1_000);
    format!("{:02}:{:02}:{:02}.{ms:03}", s / 3_600, s / 60 % 60, s % 60)
}

fn is_finished(run: &ExecutedRequest) -> bool {
    run.is_complete && matches!(run.behaviour, Behaviour::Sound | Behaviour::Failing)
}

/// Returns whether an item stood at its engine in a run.
fn is_stay(run: &ExecutedRequest) -> bool {
    let ended = run.ended_at.filter(|_| !run.is_complete);
    ended.is_none_or(|end| end.saturating_duration_since(run.started_at) >= MIN_STAY)
}

fn covers(run: &ExecutedRequest, at: Instant) -> bool {
    run.started_at <= at && run.ended_at.is_none_or(|end| at < end)
}

fn sample_states(
    start: Instant,
    runs: &[ExecutedRequest],
    world: &World,
    namings: &[Instant],
) -> Vec<Sample> {
    let engine_count = world.engine_count();
    let disturbances = world.disturbances();
    let mut samples = Vec::new();
    let (mut at, now) = (start, Instant::now());
    while at < now {
        let active = disturbances
            .iter()
            .filter(|d| d.contains(at, Duration::ZERO));
        let mut blocked: Vec<usize> = active.filter_map(|d| d.engine).collect();
        blocked.sort_unstable();
        blocked.dedup();
        let is_recent = |then: &Instant, limit| *then <= at && at < *then + limit;
        samples.push(Sample {
            at,
            running: runs.iter().filter(|run| covers(run, at)).count(),
            engines: engine_count - blocked.len(),
            is_steady: !disturbances
                .iter()
                .any(|d| d.is_fault && d.contains(at, SETTLE_TIME)),
            was_named: namings.iter().any(|named| is_recent(named, NAMING_TIME)),
            has_starts: runs
                .iter()
                .any(|run| is_recent(&run.started_at, START_PAUSE)),
        });
        at += SAMPLE_INTERVAL;
    }
    samples
}

/// Returns the absences of an item in a step. `others_began` is when another item of the step
/// first ran.
fn absences(
    id: &str,
    step: &Step,
    item: &str,
    runs: &[&ExecutedRequest],
    others_began: Option<Instant>,
    samples: &[Sample],
    is_only_model: bool,
) -> Vec<Absence> {
    let finished = runs.iter().filter(|run| is_finished(run));
    let finished = finished.filter_map(|run| run.ended_at).min();
    let ends = [step.ended_at, step.listed.get(item).copied(), finished];
    let end = ends.into_iter().flatten().min();
    let mut found: Vec<Absence> = Vec::new();
    let mut current: Option<Absence> = None;
    let mut counted_since: Option<Instant> = None;
    for sample in samples {
        let is_open = step.accepted_at <= sample.at && end.is_none_or(|end| sample.at < end);
        let stands = runs
            .iter()
            .any(|run| is_stay(run) && covers(run, sample.at));
        if !is_open || stands || !sample.has_room() {
            found.extend(current.take());
            counted_since = None;
            continue;
        }
        let absence = current.get_or_insert_with(|| Absence {
            step: id.to_owned(),
            item: item.to_owned(),
            from: *sample,
            until: sample.at,
            counted: Duration::ZERO,
        });
        absence.until = sample.at;
        let has_begun = others_began.is_some_and(|began| began <= sample.at);
        let is_paused = is_only_model || !sample.has_starts;
        if sample.is_steady && !sample.was_named && has_begun && is_paused {
            let since = *counted_since.get_or_insert(sample.at);
            absence.counted = absence.counted.max(sample.at - since);
        } else {
            counted_since = None;
        }
    }
    found.extend(current);
    found
}

/// Checks that no item stood at no engine for long in a steady state, and reports the longest
/// absences in any state.
pub(super) fn check_items(check: &Check, world: &World, steps: &Steps) {
    let record = steps.lock();
    let Some(start) = record.steps.values().map(|step| step.accepted_at).min() else {
        return;
    };
    let mut runs = world.executed();
    runs.retain(|run| run.path.starts_with("/lm/"));
    let samples = sample_states(start, &runs, world, &record.namings);
    let mut by_item: HashMap<&str, Vec<&ExecutedRequest>> = HashMap::new();
    for run in &runs {
        by_item.entry(&run.id).or_default().push(run);
    }
    let first_model = record.steps.values().next().map(|step| step.model);
    let is_only_model = record
        .steps
        .values()
        .all(|step| Some(step.model) == first_model);
    let mut found = Vec::new();
    for (id, step) in &record.steps {
        let start_of = |item: &str| {
            let runs = by_item.get(item).into_iter().flatten();
            let starts = runs.map(|run| run.started_at);
            starts.filter(|at| *at >= step.accepted_at).min()
        };
        let mut starts: Vec<(Instant, &String)> = step
            .items
            .iter()
            .filter_map(|item| Some((start_of(item)?, item)))
            .collect();
        starts.sort_unstable();
        for item in &step.items {
            let others = starts.iter().find(|(_, other)| *other != item);
            let item_runs = by_item.get(item.as_str()).map_or(&[][..], Vec::as_slice);
            found.extend(absences(
                id,
                step,
                item,
                item_runs,
                others.map(|(at, _)| *at),
                &samples,
                is_only_model,
            ));
        }
    }
    let longest = |length: fn(&Absence) -> Duration| {
        let ms = found
            .iter()
            .map(length)
            .max()
            .unwrap_or_default()
            .as_millis();
        usize::try_from(ms).unwrap_or(usize::MAX)
    };
    check.set("longest absence ms", longest(Absence::duration));
    check.set("longest steady absence ms", longest(|it| it.counted));
    check.set(
        "steady samples",
        samples
            .iter()
            .filter(|it| it.is_steady && it.has_room() && !it.was_named)
            .count(),
    );
    found.sort_by_key(|it| std::cmp::Reverse((it.counted, it.duration())));
    for absence in &found {
        if absence.counted >= MAX_ABSENCE {
            check.record_violation(&absence.to_string());
        }
    }
    if world.options.engines.is_none() {
        return;
    }
    let reported = found.iter().filter(|it| it.duration() >= REPORTED_ABSENCE);
    for absence in reported.take(MAX_REPORTS) {
        check.record_note(absence.to_string());
    }
}
