//! Tests the choice of an engine by the expected end of an item.

use hibiscusroad::{
    contention::{Contention, Mode},
    rollout::{
        engines::{EngineKey, Engines, Requirements},
        fit::{Length, MoveReason, Progress, Rest},
    },
    roster::{Endpoint, Weights},
    topology::RegionSet,
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
    time::{Duration, Instant},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const SERVICE: &str = "lm";
const REQUIREMENTS: Requirements<'static> = Requirements {
    service: SERVICE,
    model: None,
    min_version: 0,
    exact_version: None,
    regions: RegionSet::ALL,
    group: "g",
    excluded: None,
    rest: None,
    due: None,
};
const FAST: f64 = 0.026;
const SLOW: f64 = 0.058;

/// Creates engines of which engine `n` has the model `n % models`.
fn engines(mode: Mode, count: usize, slots: u32, models: usize) -> (Engines, Vec<EngineKey>) {
    let mut engines = Engines::new().contention(Contention::new(mode, false));
    for n in 0..count {
        engines.update(&Endpoint {
            id: format!("e{n}"),
            started_ms: None,
            service: SERVICE.to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: "senec".to_owned(),
            slots,
            leaving: false,
            cold_remaining: Duration::ZERO,
            evacuated: false,
            weights: vec![Weights {
                model: format!("m{}", n % models),
                version: 1,
            }],
        });
    }
    let keys = (0..count).filter_map(|n| engines.key(&format!("e{n}")));
    let keys = keys.collect();
    (engines, keys)
}

/// Creates engines with contention, of which the first of each four is fast.
fn uneven_engines(now: Instant, count: usize, slots: u32) -> (Engines, Vec<EngineKey>) {
    let (mut engines, keys) = engines(Mode::On, count, slots, 1);
    for (n, key) in keys.iter().enumerate() {
        engines.record_pace(now, *key, pace(n));
    }
    (engines, keys)
}

fn pace(engine: usize) -> f64 {
    if engine.is_multiple_of(4) { FAST } else { SLOW }
}

fn rest(expected: f64) -> Rest {
    let length = Length {
        expected,
        max: 152.0,
    };
    length.rest(0)
}

// Guards against short items that fill the fast engines, and against items that wait for a slow
// engine while a fast one has room.
#[test]
fn short_items_leave_fast_engines_to_long_ones() {
    let now = Instant::now();
    let (mut engines, keys) = uneven_engines(now, 8, 6);
    let due = Some(now + Duration::from_millis(7_500));
    let with_length = |expected| Requirements {
        rest: Some(rest(expected)),
        due,
        ..REQUIREMENTS
    };
    let mut order = Vec::new();
    while let Some(key) = engines.choose(now, &with_length(15.0)) {
        let long = engines.choose(now, &with_length(70.0)).unwrap();
        assert!(keys.iter().position(|it| *it == long).unwrap() % 4 == 0);
        engines.add_item(key);
        order.push(keys.iter().position(|it| *it == key).unwrap());
    }
    assert_eq!(order.len(), 48);
    assert!(order[..36].iter().all(|n| n % 4 != 0), "{order:?}");
}

// Guards against a slowness that outlives the disturbance that it describes.
#[test]
fn slowness_counts_for_600_ms() {
    let now = Instant::now();
    let (mut engines, keys) = engines(Mode::Auto, 2, 6, 1);
    for key in &keys {
        engines.record_pace(now, *key, SLOW);
    }
    engines.add_item(keys[1]);
    let requirements = Requirements {
        rest: Some(rest(10.0)),
        ..REQUIREMENTS
    };
    assert!(!engines.is_contended(SERVICE));
    assert!(!engines.record_load(now, keys[0], 0, None));
    assert!(engines.record_load(now, keys[0], 0, Some(100)));
    assert!(!engines.record_load(now, keys[0], 0, Some(250)));
    assert!(engines.is_contended(SERVICE));
    let at = |ms| now + Duration::from_millis(ms);
    assert_eq!(engines.choose(at(590), &requirements), Some(keys[0]));
    assert_eq!(engines.choose(at(100), &requirements), Some(keys[1]));
    assert_eq!(engines.choose(at(600), &requirements), Some(keys[0]));
}

// Guards against counting a host's lasting speed twice: the natural pace includes it.
#[test]
fn lasting_speed_of_a_host_is_no_disturbance() {
    let now = Instant::now();
    let (mut engines, keys) = engines(Mode::Auto, 1, 6, 1);
    engines.record_pace(now, keys[0], FAST);
    for (percent, slowness) in [(55, 1.0), (55, 1.0), (110, 1.9)] {
        engines.record_load(now, keys[0], 0, Some(percent));
        let (speed, _) = engines.speed(now, keys[0]).unwrap();
        assert!(
            (speed.slowness - slowness).abs() < 0.1,
            "{percent}: {speed:?}"
        );
    }
}

// Guards against moves that gain nothing, that go back, or that come late.
#[test]
fn run_moves_once_it_has_outgrown_its_hint() {
    let now = Instant::now();
    let (engines, keys) = uneven_engines(now, 8, 6);
    let (fast, slow) = (keys[0], keys[1]);
    let reason = |events: u64, left, from, to| {
        let progress = Progress {
            events,
            pace: SLOW,
            mean_pace: SLOW,
            elapsed: Duration::from_secs_f64(events as f64 * SLOW),
            length: Some(Length {
                expected: 20.0,
                max: 152.0,
            }),
            due: now + Duration::from_millis(left),
        };
        engines.move_reason(now, SERVICE, from, &progress, to)
    };
    assert_eq!(reason(24, 6_000, slow, fast), None, "as long as hinted");
    let outgrown = Some(MoveReason::Outgrown);
    assert_eq!(reason(36, 6_000, slow, fast), outgrown);
    assert_eq!(reason(36, 9_000, slow, fast), None, "fits in any case");
    assert_eq!(reason(6, 900, slow, fast), Some(MoveReason::Late));
    for events in 1..152 {
        assert_eq!(reason(events, 100, slow, keys[2]), None, "gains nothing");
        assert_eq!(reason(events, 100, fast, slow), None, "goes back");
    }
}

// Guards against moves by length or slowness for deployments that don't ask for them.
#[test]
fn moves_without_contention_follow_the_pace_alone() {
    let now = Instant::now();
    let (mut engines, keys) = engines(Mode::Off, 8, 6, 1);
    for (n, key) in keys.iter().enumerate() {
        engines.record_pace(now, *key, pace(n));
        engines.record_load(now, *key, 0, Some(250));
    }
    engines.record_text(20, Some(80));
    for (pace, events) in [(FAST, 9), (SLOW, 9), (SLOW, 99), (0.2, 9), (0.2, 99)] {
        let progress = Progress {
            events,
            pace,
            mean_pace: pace,
            elapsed: Duration::from_secs(2),
            length: engines.length(Some(80), 400),
            due: now,
        };
        for other in &keys {
            let is_worth = engines.is_worth_moving(SERVICE, pace, events, *other);
            let reason = engines.move_reason(now, SERVICE, keys[1], &progress, *other);
            assert_eq!(reason, is_worth.then_some(MoveReason::Pace));
            assert!(engines.may_move(now, SERVICE, keys[1], &progress));
        }
    }
}

// Guards against owners that share the pace of one disturbance as that of the engine.
#[test]
fn natural_pace_is_shared_where_hosts_are_disturbed() {
    let now = Instant::now();
    for (mode, low, high) in [(Mode::On, 58_000, 70_000), (Mode::Off, 90_000, 100_000)] {
        let (mut engines, keys) = engines(mode, 1, 6, 1);
        (0..20).for_each(|_| engines.record_pace(now, keys[0], SLOW));
        engines.record_pace(now, keys[0], SLOW * 2.5);
        let paces = engines.own_paces(now, Duration::from_secs(9), SERVICE);
        let micros = paces.get("e0").unwrap().event_micros;
        assert!((low..high).contains(&micros), "{mode:?}: {micros}");
    }
}

/// The choice without contention.
fn uncontended_choice(now: Instant, states: &[State], keys: &[EngineKey]) -> Option<EngineKey> {
    let mut paces: Vec<f64> = states.iter().map(|it| it.pace).collect();
    paces.sort_by(f64::total_cmp);
    let (median, best) = (paces[paces.len() / 2], paces[paces.len() / 4]);
    let tier = |it: &State| {
        let is_fast = it.pace <= median * 1.7 && it.pace <= best * 1.12;
        let tier = if it.pace > median * 1.7 {
            0
        } else {
            1 + u8::from(is_fast)
        };
        let is_outdated = now > it.measured_at + Duration::from_secs(6);
        if is_outdated { tier.max(1) } else { tier }
    };
    let eligible = states
        .iter()
        .zip(keys)
        .enumerate()
        .filter(|(_, (it, _))| it.free > 0 && (tier(it) > 0 || it.own == 0));
    let best = eligible.max_by_key(|(n, (it, _))| {
        let hash = xxh3_64_with_seed(REQUIREMENTS.group.as_bytes(), 0);
        let hash = xxh3_64_with_seed(format!("e{n}").as_bytes(), hash);
        (tier(it), it.free, hash)
    });
    best.map(|(_, (_, key))| *key)
}

#[derive(Clone, Copy, Debug)]
struct State {
    own: u32,
    others: u32,
    free: u32,
    pace: f64,
    measured_at: Instant,
    slowness: Option<u32>,
}

fn states() -> impl Strategy<Value = Vec<State>> {
    let epoch = Instant::now();
    let state = (0..=3u32, 0..=3u32, 0.0..0.2f64, 0..12_000u64, any::<u32>());
    let state = state.prop_map(move |(own, others, pace, at, percent)| State {
        own,
        others,
        free: 4u32.saturating_sub(own + others),
        pace,
        measured_at: epoch + Duration::from_millis(at),
        slowness: (percent % 3 > 0).then_some(percent),
    });
    prop::collection::vec(state, 1..12)
}

fn engines_in(mode: Mode, states: &[State], now: Instant) -> (Engines, Vec<EngineKey>) {
    let (mut engines, keys) = engines(mode, states.len(), 4, 1);
    for (it, key) in states.iter().zip(&keys) {
        engines.record_pace(it.measured_at, *key, it.pace);
        (0..it.own).for_each(|_| engines.add_item(*key));
        let percent = it.slowness.map(|percent| percent % 1_000);
        engines.record_load(now, *key, it.own + it.others, percent.or(it.slowness));
    }
    (engines, keys)
}

proptest! {
    // Guards against a refusal while a slot is free, whatever was reported, and against a choice
    // of a full engine.
    #[test]
    fn choice_is_work_conserving(
        states in states(), expected in prop::option::of(0.0..500.0f64),
        left in prop::option::of(0..10_000u64), age in 0..700u64,
    ) {
        let reported_at = states[0].measured_at;
        let now = reported_at + Duration::from_millis(age);
        let (engines, keys) = engines_in(Mode::On, &states, reported_at);
        let chosen = engines.choose(now, &Requirements {
            rest: expected.map(rest),
            due: left.map(|left| reported_at + Duration::from_millis(left)),
            ..REQUIREMENTS
        });
        let free = |key| states[keys.iter().position(|it| *it == key).unwrap()].free;
        prop_assert_eq!(chosen.is_some(), states.iter().any(|it| it.free > 0));
        prop_assert!(chosen.is_none_or(|key| free(key) > 0));
    }

    // Guards against changes for deployments that don't ask for them.
    #[test]
    fn choice_without_contention_ignores_lengths_and_slowness(
        states in states(), expected in 0.0..500.0f64, left in 0..10_000u64,
    ) {
        let now = states.iter().map(|it| it.measured_at).max().unwrap();
        let (engines, keys) = engines_in(Mode::Off, &states, now);
        let chosen = engines.choose(now, &Requirements {
            rest: Some(rest(expected)),
            due: Some(now + Duration::from_millis(left)),
            ..REQUIREMENTS
        });
        prop_assert_eq!(chosen, uncontended_choice(now, &states, &keys));
    }
}

const MODELS: usize = 5;
/// Microseconds of a step.
const DUE: u64 = 7_500_000;
/// Microseconds from a step to the next one of the trainer.
const PAUSE: u64 = 5_000_000;
/// Microseconds from a request to its first event.
const START_TIME: u64 = 100_000;
/// Microseconds for which hosts are slow.
const DISTURBANCE: u64 = 600_000;
const PLAY_TIME: u64 = 120_000_000;
const TOKENS_PER_EVENT: u32 = 4;

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Submit(usize),
    Emit(usize),
}

struct Item {
    step: usize,
    group: usize,
    events: u32,
    hint: u32,
    made: u32,
    moves: u32,
    engine: usize,
    /// Number of events of the run, its last gap average, and the times of its first and last.
    run: (u32, f64, u64, u64),
}

struct Step {
    trainer: usize,
    start: u64,
    /// Number of open items in each group.
    open: Vec<usize>,
    waiting: Vec<usize>,
    duration: Option<u64>,
}

struct Play {
    rng: Pcg64Mcg,
    epoch: Instant,
    engines: Engines,
    keys: Vec<EngineKey>,
    steps: Vec<Step>,
    items: Vec<Item>,
    /// Steps with waiting items.
    waiting: BTreeSet<usize>,
    queue: BinaryHeap<Reverse<(u64, Event)>>,
}

impl Play {
    fn run(mode: Mode, seed: u64, trainers: usize) -> Self {
        let (engines, keys) = engines(mode, 45, 6, MODELS);
        let mut play = Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            epoch: Instant::now(),
            engines,
            keys,
            steps: Vec::new(),
            items: Vec::new(),
            waiting: BTreeSet::new(),
            queue: BinaryHeap::new(),
        };
        for trainer in 0..trainers {
            let start = play.rng.random_range(0..DUE);
            play.queue.push(Reverse((start, Event::Submit(trainer))));
        }
        while let Some(Reverse((now, event))) = play.queue.pop() {
            match event {
                Event::Submit(trainer) if now < PLAY_TIME => {
                    play.submit(now, trainer);
                    play.dispatch(now);
                }
                Event::Submit(_) => {}
                Event::Emit(item) => play.emit(now, item),
            }
        }
        play
    }

    fn submit(&mut self, now: u64, trainer: usize) {
        let size = if self.rng.random() { 8 } else { 16 };
        let groups = self.rng.random_range(80 / size..=112 / size);
        let first = self.items.len();
        for n in 0..groups * size {
            let length = self.rng.random_range(2..=28);
            let is_long = self.rng.random_bool(0.08);
            let events = if is_long { 5 * length } else { length }.min(152);
            let errors = [50, 62, 70, 80, 90, 100, 100, 110, 125, 143, 160, 200];
            let percent = errors[self.rng.random_range(0..errors.len())];
            self.items.push(Item {
                step: self.steps.len(),
                group: n / size,
                events,
                hint: events * TOKENS_PER_EVENT * percent / 100,
                made: 0,
                moves: 0,
                engine: 0,
                run: (0, 0.0, 0, 0),
            });
        }
        // The last one starts first.
        let mut waiting: Vec<usize> = (first..self.items.len()).rev().collect();
        waiting.sort_by_key(|it| Some(self.items[*it].hint).filter(|hint| *hint > 200));
        self.waiting.insert(self.steps.len());
        self.steps.push(Step {
            trainer,
            start: now,
            open: vec![size; groups],
            waiting,
            duration: None,
        });
    }

    fn at(&self, now: u64) -> Instant {
        self.epoch + Duration::from_micros(now)
    }

    fn length(&self, item: usize) -> Option<Length> {
        self.engines.length(Some(self.items[item].hint), 940)
    }

    fn choose(&self, now: u64, item: usize, excluded: Option<EngineKey>) -> Option<EngineKey> {
        let it = &self.items[item];
        let step = &self.steps[it.step];
        let requirements = Requirements {
            model: Some(&format!("m{}", step.trainer % MODELS)),
            group: &format!("{}/{}", it.step, it.group),
            excluded,
            rest: self.length(item).map(|length| length.rest(it.made.into())),
            due: Some(self.at(step.start + DUE)),
            ..REQUIREMENTS
        };
        self.engines.choose(self.at(now), &requirements)
    }

    fn dispatch(&mut self, now: u64) {
        for step in self.waiting.clone() {
            while let Some(item) = self.steps[step].waiting.last().copied() {
                let Some(key) = self.choose(now, item, None) else {
                    break;
                };
                self.steps[step].waiting.pop();
                if self.steps[step].waiting.is_empty() {
                    self.waiting.remove(&step);
                }
                self.engines.add_item(key);
                let it = &mut self.items[item];
                it.engine = self.keys.iter().position(|it| *it == key).unwrap();
                it.run = (0, 0.0, 0, 0);
                self.queue
                    .push(Reverse((now + START_TIME, Event::Emit(item))));
            }
        }
    }

    fn emit(&mut self, now: u64, item: usize) {
        let at = self.at(now);
        let it = &mut self.items[item];
        it.made += 1;
        let (count, gaps, first, last) = it.run;
        let gap = (now - last) as f64 / 1e6;
        it.run = match count {
            0 => (1, 0.0, now, now),
            1 => (2, gap, first, now),
            _ => (count + 1, gaps + (gap - gaps) * 0.2, first, now),
        };
        let (engine, key) = (it.engine, self.keys[it.engine]);
        let is_whole = it.made == it.events;
        let is_slow = xxh3_64_with_seed(&[u8::try_from(engine).unwrap()], now / DISTURBANCE) % 100;
        let percent = if is_slow < 15 { 250 } else { 100 };
        if count == 0 {
            let own = self.engines.own_items(&format!("e{engine}"));
            self.engines.record_load(at, key, own, Some(percent));
        } else if is_whole || count % 6 == 5 {
            self.engines.record_pace(at, key, self.items[item].run.1);
        }
        if is_whole {
            self.end(now, item);
            self.dispatch(now);
        } else if count % 6 == 5 && self.moves(now, item) {
            self.engines.remove_item(key);
            self.items[item].moves += 1;
            let step = self.items[item].step;
            self.steps[step].waiting.push(item);
            self.waiting.insert(step);
            self.dispatch(now);
        } else {
            let gap = Duration::from_secs_f64(pace(engine) * f64::from(percent) / 100.0);
            let next = now + u64::try_from(gap.as_micros()).unwrap();
            self.queue.push(Reverse((next, Event::Emit(item))));
        }
    }

    fn moves(&self, now: u64, item: usize) -> bool {
        let it = &self.items[item];
        let (count, pace, first, _) = it.run;
        let key = self.keys[it.engine];
        let elapsed = Duration::from_micros(now - first);
        let progress = Progress {
            events: it.made.into(),
            pace,
            mean_pace: elapsed.as_secs_f64() / f64::from(count - 1),
            elapsed,
            length: self.length(item),
            due: self.at(self.steps[it.step].start + DUE),
        };
        let other = self.choose(now, item, Some(key));
        let reason = |other| {
            let now = self.at(now);
            self.engines
                .move_reason(now, SERVICE, key, &progress, other)
        };
        other.and_then(reason).is_some()
    }

    fn end(&mut self, now: u64, item: usize) {
        let it = &self.items[item];
        self.engines.record_text(it.events.into(), Some(it.hint));
        self.engines.remove_item(self.keys[it.engine]);
        let step = &mut self.steps[it.step];
        step.open[it.group] -= 1;
        let complete = step.open.iter().filter(|open| **open == 0).count();
        if step.duration.is_none() && complete * 10 >= step.open.len() * 9 {
            step.duration = Some(now - step.start);
            let next = Event::Submit(step.trainer);
            self.queue.push(Reverse((now + PAUSE, next)));
        }
    }

    fn moves_per_item(&self) -> f64 {
        let moves: u32 = self.items.iter().map(|it| it.moves).sum();
        f64::from(moves) / self.items.len() as f64
    }

    fn late_steps(&self) -> usize {
        let is_late = |step: &&Step| step.duration.is_none_or(|took| took > DUE);
        self.steps.iter().filter(is_late).count()
    }
}

// Guards against long texts that run at slow engines while fast ones run short texts, which makes
// steps late, and against runs that move for nothing.
#[test]
fn steps_end_in_time_at_uneven_engines() {
    for (trainers, max_late, min_late_before) in [(10, 0, 0), (15, 2, 8)] {
        let (mut late, mut late_before) = (0, 0);
        for seed in 0..3 {
            let before = Play::run(Mode::Off, seed, trainers);
            let play = Play::run(Mode::On, seed, trainers);
            late += play.late_steps();
            late_before += before.late_steps();
            assert!(play.steps.len() > before.steps.len());
            assert!(play.moves_per_item() < before.moves_per_item());
            let is_long = |it: &&Item| it.events > 100;
            let long = play.items.iter().filter(is_long);
            let (at_fast, at_slow): (Vec<&Item>, Vec<&Item>) =
                long.partition(|it| it.engine.is_multiple_of(4));
            assert!(at_fast.len() > 30 * at_slow.len(), "{}", at_slow.len());
        }
        assert!(late <= max_late, "{trainers} trainers: {late} late steps");
        assert!(
            late_before >= min_late_before,
            "{trainers} trainers: {late_before} late steps"
        );
    }
}
