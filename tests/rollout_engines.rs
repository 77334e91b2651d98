//! Tests the choice of an engine for an item, and the plan of weight loads.

use hibiscusroad::{
    cold_start::Admission,
    contention::{Contention, Mode},
    rollout::{
        engines::{Engines, Obstacle, Requirements},
        load_plan::{EngineStatus, LoadConcurrency, ModelGoal, plan},
        pace::{Paces, Sample},
    },
    roster::{Endpoint, Weights},
    topology::RegionSet,
};
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

const REQUIREMENTS: Requirements<'static> = Requirements {
    service: "lm",
    model: Some("guide"),
    min_version: 3,
    exact_version: None,
    regions: RegionSet::ALL,
    group: "g",
    excluded: None,
    rest: None,
    due: None,
};

fn engines(versions: &[u64]) -> Engines {
    let mut engines = Engines::new();
    for (n, version) in versions.iter().enumerate() {
        let weights = Weights {
            model: "guide".to_owned(),
            version: *version,
        };
        engines.update(&engine(&format!("e{n}"), None, vec![weights]));
    }
    engines
}

#[test]
fn only_engines_with_allowed_weights_and_free_slots_are_chosen() {
    let now = Instant::now();
    let mut engines = engines(&[2, 3, 9]);
    let mut chosen = Vec::new();
    while let Some(key) = engines.choose(now, &REQUIREMENTS) {
        engines.add_item(key);
        chosen.push(engines.id(key).unwrap().to_owned());
    }
    chosen.sort();
    assert_eq!(chosen, ["e1", "e1", "e2", "e2"]);
    let exact = Requirements {
        exact_version: Some(9),
        ..REQUIREMENTS
    };
    assert_eq!(engines.choose(now, &exact), None);
    engines.remove_item(engines.key("e2").unwrap());
    assert_eq!(engines.choose(now, &exact), engines.key("e2"));
}

// Guards against a census that differs from the choice.
#[test]
fn census_tells_what_keeps_an_item_from_each_engine() {
    let now = Instant::now();
    let mut engines = engines(&[2, 3, 3, 3, 3]);
    let key = |engines: &Engines, id: &str| engines.key(id).unwrap();
    let (e1, e2, e3) = (
        key(&engines, "e1"),
        key(&engines, "e2"),
        key(&engines, "e3"),
    );
    engines.add_item(e1);
    engines.add_item(e1);
    engines.record_failure(now, e2);
    let requirements = Requirements {
        excluded: Some(e3),
        ..REQUIREMENTS
    };
    let census = engines.census(now, &requirements);
    assert_eq!((census.slots, census.used, census.eligible), (10, 2, 1));
    assert_eq!(
        census.to_string(),
        "eligible=1 weights=1 excluded=1 paused=1 full=1"
    );
    assert_eq!(census.main_obstacle(), None);
    assert_eq!(engines.choose(now, &requirements), engines.key("e4"));
    engines.remove("e4");
    let census = engines.census(now, &requirements);
    assert!(census.has_room());
    assert!(census.main_obstacle() > Some(Obstacle::Region));
    assert_eq!(engines.choose(now, &requirements), None);
}

// Guards against owners that all choose the same one of several equal engines.
#[test]
fn ties_are_broken_by_group() {
    let now = Instant::now();
    let engines = engines(&[3; 12]);
    let chosen = (0..200).filter_map(|n| {
        let group = format!("g{n}");
        let requirements = Requirements {
            group: &group,
            ..REQUIREMENTS
        };
        engines.choose(now, &requirements)
    });
    let mut counts = HashMap::new();
    chosen.for_each(|key| *counts.entry(key).or_insert(0) += 1);
    assert_eq!(counts.len(), 12);
    assert!(counts.values().all(|n| *n < 40), "{counts:?}");
}

// Requests of others take slots until the engine's report expires.
#[test]
fn reported_load_expires() {
    let now = Instant::now();
    let mut engines = engines(&[3]);
    let key = engines.key("e0").unwrap();
    engines.record_load(now, key, 2, None);
    assert_eq!(engines.choose(now, &REQUIREMENTS), None);
    assert_eq!(
        engines.choose(now + Duration::from_secs(1), &REQUIREMENTS),
        Some(key)
    );
}

// Some engines are mildly slow, one is much slower. Any run leaves the slow engine, but
// only a long one leaves a mildly slow engine.
#[test]
fn items_prefer_fast_engines_and_leave_slow_ones() {
    let now = Instant::now();
    let mut engines = engines(&[3; 6]);
    let paces = [0.037, 0.037, 0.037, 0.049, 0.049, 0.13];
    for (n, pace) in paces.iter().enumerate() {
        let key = engines.key(&format!("e{n}")).unwrap();
        engines.record_pace(now, key, *pace);
    }
    let mut order = Vec::new();
    while let Some(key) = engines.choose(now, &REQUIREMENTS) {
        engines.add_item(key);
        order.push(engines.id(key).unwrap().to_owned());
    }
    assert!(
        order[..6]
            .iter()
            .all(|id| ["e0", "e1", "e2"].contains(&id.as_str())),
        "{order:?}"
    );
    assert_eq!(
        order[10..],
        ["e5"],
        "one item shows when the slow engine recovers"
    );
    let fast = engines.key("e0").unwrap();
    assert!(engines.is_worth_moving("lm", 0.13, 1, fast));
    engines.record_text(20, None);
    assert!(!engines.is_worth_moving("lm", 0.049, 20, fast));
    assert!(engines.is_worth_moving("lm", 0.049, 60, fast));
    assert!(!engines.is_worth_moving("lm", 0.049, 60, engines.key("e4").unwrap()));
    assert!(!engines.is_worth_moving("lm", 0.037, 60, fast));
}

#[test]
fn pause_of_a_failing_engine_grows() {
    let now = Instant::now();
    let mut engines = engines(&[3]);
    let key = engines.key("e0").unwrap();
    engines.record_failure(now, key);
    assert_eq!(engines.choose(now, &REQUIREMENTS), None);
    let later = now + Duration::from_millis(300);
    assert_eq!(engines.choose(later, &REQUIREMENTS), Some(key));
    engines.record_failure(later, key);
    assert_eq!(
        engines.choose(later + Duration::from_millis(300), &REQUIREMENTS),
        None
    );
    engines.remove("e0");
    assert_eq!(
        engines.choose(later + Duration::from_secs(9), &REQUIREMENTS),
        None
    );
}

// Guards against pauses of living engines that grow with the number of runs which break at once.
#[test]
fn runs_that_break_together_are_one_failure() {
    let now = Instant::now();
    let mut engines = engines(&[3]);
    let key = engines.key("e0").unwrap();
    for _ in 0..8 {
        engines.record_failure(now, key);
    }
    let later = now + Duration::from_millis(300);
    assert_eq!(engines.choose(later, &REQUIREMENTS), Some(key));
    engines.add_item(key);
    assert_eq!(
        engines.choose(later, &REQUIREMENTS),
        None,
        "one item shows whether the engine works"
    );
    engines.record_event(key);
    assert_eq!(engines.choose(later, &REQUIREMENTS), Some(key));
}

// A cold engine gets only what no warm one has a slot for, and no more than it admits.
#[test]
fn warm_engines_come_first() {
    let now = Instant::now();
    for mode in [Mode::Off, Mode::On] {
        let mut engines = engines(&[3, 3]).contention(Contention::new(mode, false));
        let admission = Admission {
            is_cold: true,
            calls: Some(1),
            items: Some(1),
            opens_at: None,
        };
        engines.set_admission("e0", admission);
        let mut chosen = Vec::new();
        while let Some(key) = engines.choose(now, &REQUIREMENTS) {
            chosen.push(engines.id(key).unwrap().to_owned());
            engines.add_item(key);
        }
        assert_eq!(chosen, ["e1", "e1", "e0"]);
        assert!(engines.is_held_back(now, &REQUIREMENTS));
        engines.set_admission("e0", Admission::OPEN);
        assert_eq!(engines.choose(now, &REQUIREMENTS), engines.key("e0"));
    }
}

/// Builds an engine with two slots.
fn engine(id: &str, started_ms: Option<u64>, weights: Vec<Weights>) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        started_ms,
        service: "lm".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "senec".to_owned(),
        slots: 2,
        leaving: false,
        cold_remaining: Duration::ZERO,
        evacuated: false,
        weights,
    }
}

/// Builds engines that all have the same weights.
fn engine_statuses(count: usize, weights: &[(&str, u64)]) -> Vec<EngineStatus> {
    let engines = (0..count).map(|n| EngineStatus {
        id: format!("e{n}"),
        weights: weights.iter().map(|(m, v)| ((*m).to_owned(), *v)).collect(),
        loading: false,
        blocked: false,
        slow: false,
        unanswered: 0,
        running_requests: 0,
        pace: None,
    });
    engines.collect()
}

fn goal(model: &str, named: u64, lag: u64) -> ModelGoal {
    ModelGoal {
        model: model.to_owned(),
        newest: named,
        lag,
        work: 1.0,
        items: None,
        priority: 0,
    }
}

/// Runs the planned loads until there are none; returns how many there were.
fn run_loads(engines: &mut [EngineStatus], goals: &[ModelGoal]) -> usize {
    let mut loads = 0;
    loop {
        let planned = plan(engines, goals, 2);
        if planned.is_empty() {
            return loads;
        }
        for load in planned {
            let engine = engines.iter_mut().find(|e| e.id == load.endpoint).unwrap();
            engine.weights.insert(load.model, load.version);
            loads += 1;
        }
        assert!(loads < 1000, "the plan never becomes empty");
    }
}

// With a lag of one, half of the engines are usable for each step, and each engine loads
// only every other version.
#[test]
fn engines_skip_versions_when_steps_may_lag() {
    let mut engines = engine_statuses(9, &[("guide", 1)]);
    let mut loads = Vec::new();
    for named in 2..12 {
        let is_usable = |e: &EngineStatus| e.weights["guide"] + 1 >= named;
        let usable = engines.iter().filter(|e| is_usable(e)).count();
        assert!(usable >= 4, "{usable} usable engines for version {named}");
        loads.push(run_loads(&mut engines, &[goal("guide", named, 1)]));
    }
    assert!(loads.iter().all(|n| *n <= 5), "{loads:?}");
}

// Guards against loads that grow with the engines where steps don't.
#[test]
fn only_engines_that_a_step_can_use_are_kept_up_to_date() {
    let mut engines = engine_statuses(300, &[("guide", 1)]);
    let goal = |named| ModelGoal {
        items: Some(40),
        ..goal("guide", named, 1)
    };
    run_loads(&mut engines, &[goal(2)]);
    for named in 3..12 {
        let loads = run_loads(&mut engines, &[goal(named)]);
        assert!(loads <= 21, "{loads} loads for version {named}");
        let usable = engines.iter().filter(|e| e.weights["guide"] + 1 >= named);
        let usable = usable.count();
        assert!((40..=60).contains(&usable), "{usable} usable engines");
    }
    let up_to_date = engines.iter().filter(|e| e.weights["guide"] > 1).count();
    assert!(up_to_date <= 60, "{up_to_date} engines take turns");
}

#[test]
fn every_engine_loads_each_version_when_steps_may_not_lag() {
    let mut engines = engine_statuses(5, &[("guide", 1)]);
    assert_eq!(run_loads(&mut engines, &[goal("guide", 2, 0)]), 5);
    assert_eq!(run_loads(&mut engines, &[goal("guide", 2, 0)]), 0);
}

// Guards against models that exchange engines from version to version.
#[test]
fn models_keep_their_engines() {
    let mut engines = engine_statuses(9, &[("a", 1), ("b", 1), ("c", 1)]);
    let goals = |named| {
        [
            goal("a", named, 1),
            goal("b", named, 1),
            goal("c", named, 1),
        ]
    };
    run_loads(&mut engines, &goals(2));
    for named in 3..8 {
        let loads = run_loads(&mut engines, &goals(named));
        assert!(loads <= 6, "{loads} loads for version {named}");
        for model in ["a", "b", "c"] {
            let usable = engines.iter().filter(|e| e.weights[model] + 1 >= named);
            assert!(usable.count() >= 2, "model {model}, version {named}");
        }
    }
}

#[test]
fn concurrent_loads_are_limited() {
    let mut engines = engine_statuses(9, &[("guide", 1)]);
    assert_eq!(plan(&engines, &[goal("guide", 9, 1)], 2).len(), 2);
    engines[0].loading = true;
    let loads = plan(&engines, &[goal("guide", 9, 1)], 2);
    assert_eq!(loads.len(), 1);
    assert_ne!(loads[0].endpoint, "e0");
}

// Loads slow each other down from some unknown number of concurrent ones on, which is
// learned from their durations.
#[test]
fn number_of_concurrent_loads_is_learned() {
    for threshold in [2_u32, 5, 8] {
        let mut concurrency = LoadConcurrency::new();
        for _ in 0..60 {
            let loads = concurrency.max_loads(9);
            let factor = (loads as f64 / f64::from(threshold)).max(1.0);
            concurrency.record_load(loads, Duration::from_secs_f64(0.9 * factor));
        }
        assert!(
            u32::try_from(concurrency.max_loads(9))
                .unwrap()
                .abs_diff(threshold)
                <= 1,
            "{threshold}: {}",
            concurrency.max_loads(9)
        );
    }
}

// Guards against loads that stay as few as on a small fleet, where the source of the
// weights is sized for the number of engines.
#[test]
fn concurrent_loads_grow_with_the_fleet() {
    for engines in [350_usize, 700, 3_000] {
        for threshold in [engines / 30, engines / 8, engines / 5] {
            let mut concurrency = LoadConcurrency::new();
            for _ in 0..80 {
                let loads = concurrency.max_loads(engines);
                let factor = (loads as f64 / threshold as f64).max(1.0);
                concurrency.record_load(loads, Duration::from_secs_f64(0.9 * factor));
            }
            let loads = concurrency.max_loads(engines) as f64 / threshold as f64;
            assert!(
                (0.75..=1.4).contains(&loads),
                "{engines} engines, {threshold} at full rate: {loads} times as many"
            );
        }
    }
}

fn sample(event_micros: u32, measured_at: u64) -> Sample {
    Sample {
        event_micros,
        measured_at,
    }
}

// Guards against an older measurement of another owner that replaces a newer own one.
#[test]
fn only_newer_paces_of_other_owners_are_merged() {
    let (now, store) = (
        Instant::now() + Duration::from_mins(2),
        Duration::from_mins(9),
    );
    let mut engines = engines(&[3, 3, 3]);
    let key = engines.key("e0").unwrap();
    let earlier = now.checked_sub(Duration::from_secs(4)).unwrap();
    engines.record_pace(earlier, key, 0.037);
    let mut paces = Paces::new();
    paces.record("e0", sample(900_000, 530_000));
    paces.record("e1", sample(37_000, 530_000));
    paces.record("gone", sample(37_000, 530_000));
    assert_eq!(engines.merge_paces(now, store, &paces), 1);
    assert_eq!(engines.merge_paces(now, store, &paces), 0, "already known");
    paces.record("e0", sample(41_000, 539_000));
    assert_eq!(engines.merge_paces(now, store, &paces), 1);
    // Only own measurements are shared: received ones would never expire.
    let own = engines.own_paces(now, store, "lm");
    let shared: Vec<(&str, u64)> = own
        .iter()
        .map(|(id, sample)| (id, sample.measured_at))
        .collect();
    assert_eq!(shared, [("e0", 536_000)]);
    assert!(engines.services_sampled_since(now).is_empty());
}

#[test]
fn merged_paces_keep_the_newer_samples() {
    let mut ours = Paces::new();
    ours.record("a", sample(1, 10));
    ours.record("b", sample(2, 70_000));
    let mut theirs = Paces::new();
    theirs.record("a", sample(3, 20));
    theirs.record("b", sample(4, 69_000));
    ours.merge(&theirs);
    let merged: Vec<(&str, u32)> = ours
        .iter()
        .map(|(id, sample)| (id, sample.event_micros))
        .collect();
    assert_eq!(merged, [("a", 3), ("b", 2)]);
    ours.expire(Duration::from_secs(70));
    assert_eq!(ours.iter().count(), 1);
}

// Guards against an engine that counts as slow forever because nobody uses it.
#[test]
fn engine_that_was_slow_long_ago_is_tried_again() {
    let now = Instant::now();
    let mut engines = engines(&[3, 3, 3]);
    for (n, pace) in [0.037, 0.037, 0.4].into_iter().enumerate() {
        let key = engines.key(&format!("e{n}")).unwrap();
        engines.record_pace(now, key, pace);
    }
    let start_all = |engines: &mut Engines, now| {
        let mut started = 0;
        while let Some(key) = engines.choose(now, &REQUIREMENTS) {
            engines.add_item(key);
            started += 1;
        }
        started
    };
    assert_eq!(
        start_all(&mut engines, now),
        5,
        "the slow engine gets one item"
    );
    let later = now + Duration::from_secs(7);
    assert_eq!(
        start_all(&mut engines, later),
        1,
        "its second slot is used later"
    );
}

// After an outage, a less urgent model must not wait until the more urgent one has all of
// its engines back.
#[test]
fn stale_models_are_loaded_in_turn() {
    let engines = engine_statuses(12, &[("a", 1), ("b", 1)]);
    let urgent = ModelGoal {
        work: 2.0,
        ..goal("a", 5, 1)
    };
    let other = ModelGoal {
        priority: 3,
        ..goal("b", 5, 1)
    };
    let loads = plan(&engines, &[urgent, other], 6);
    let models: Vec<&str> = loads.iter().map(|load| load.model.as_str()).collect();
    assert_eq!(models, ["a", "b", "a", "a", "b", "a"]);
}

// A new holder of the duty begins with the number of concurrent loads that the former
// one learned.
#[test]
fn learned_concurrency_survives_encoding() {
    let mut concurrency = LoadConcurrency::new();
    assert_eq!(concurrency.max_loads(9), 2);
    assert_eq!(
        concurrency.max_loads(40),
        5,
        "more engines allow more loads"
    );
    for n in 2..7_u32 {
        let factor = f64::from(n.max(4)) / 4.0;
        concurrency.record_load(n as usize, Duration::from_secs_f64(0.9 * factor));
    }
    assert_eq!(concurrency.max_loads(9), 4);
    assert_eq!(
        concurrency.max_loads(40),
        4,
        "the initial number was too high"
    );
    let encoded = serde_json::to_vec(&concurrency).unwrap();
    let decoded: LoadConcurrency = serde_json::from_slice(&encoded).unwrap();
    assert_eq!(decoded, concurrency);
}

// Guards against load and paces of an engine's former incarnation that are attributed to
// its new one.
#[test]
fn restarted_engine_has_no_history() {
    let now = Instant::now();
    let store = Duration::from_secs(100);
    let weights = || {
        vec![Weights {
            model: "guide".to_owned(),
            version: 3,
        }]
    };
    let mut engines = Engines::new();
    engines.update(&engine("e0", Some(1), weights()));
    let key = engines.key("e0").unwrap();
    engines.add_item(key);
    engines.add_item(key);
    engines.record_pace(now, key, 0.2);
    let former = engines.own_paces(now, store, "lm");
    assert_eq!(
        engines.choose(now, &REQUIREMENTS),
        None,
        "the engine is full"
    );
    engines.remove("e0");
    engines.update(&engine("e0", Some(2), weights()));
    assert_eq!(engines.merge_paces(now, store, &former), 0);
    assert_eq!(engines.median_pace("lm"), None);
    assert!(engines.choose(now, &REQUIREMENTS).is_some());
    engines.remove_item(key);
    assert_eq!(engines.own_items("e0"), 0);
}

// Guards against engines that don't answer and take the turns or the places of others.
#[test]
fn engines_that_do_not_answer_are_ordered_last_and_not_counted() {
    let mut engines = engine_statuses(6, &[("a", 3)]);
    for engine in &mut engines[..3] {
        engine.unanswered = 1;
        engine.weights.insert("a".to_owned(), 1);
    }
    let ordered = |items: Option<usize>, max: usize| -> Vec<String> {
        let goal = ModelGoal {
            items,
            ..goal("a", 4, 1)
        };
        let loads = plan(&engines, &[goal], max);
        loads.into_iter().map(|load| load.endpoint).collect()
    };
    assert_eq!(ordered(None, 2), ["e3", "e4"]);
    assert_eq!(ordered(None, 9), ["e3", "e4", "e0", "e1", "e2"]);
    let for_two_items = ordered(Some(2), 9);
    let is_responsive = |id: &String| ["e3", "e4", "e5"].contains(&id.as_str());
    assert_eq!(for_two_items.len(), 1);
    assert!(for_two_items.iter().all(is_responsive), "{for_two_items:?}");
}

// Guards against a model whose engines are mostly slow: they load nothing, and the model
// gets others.
#[test]
fn slow_engines_are_excluded_from_the_plan() {
    let mut engines = engine_statuses(9, &[("a", 1), ("b", 1), ("c", 1)]);
    let goals = |named| {
        [
            goal("a", named, 1),
            goal("b", named, 1),
            goal("c", named, 1),
        ]
    };
    run_loads(&mut engines, &goals(3));
    let usable = |engines: &[EngineStatus], named: u64| {
        let is_usable = |e: &&EngineStatus| !e.slow && e.weights["a"] + 1 >= named;
        engines.iter().filter(is_usable).count()
    };
    let assigned: Vec<usize> = (0..9).filter(|n| engines[*n].weights["a"] > 1).collect();
    for n in &assigned[..2.min(assigned.len())] {
        engines[*n].slow = true;
    }
    let before: Vec<_> = engines.iter().map(|e| e.weights.clone()).collect();
    run_loads(&mut engines, &goals(4));
    run_loads(&mut engines, &goals(5));
    assert!(usable(&engines, 5) >= 2, "{engines:?}");
    for (engine, before) in engines.iter().zip(before) {
        assert!(!engine.slow || engine.weights == before, "{engine:?}");
    }
}

// The holder of the weight-loading duty may own no batch and see no report of slow hosts. It
// must learn of them from the row of paces, also beside owners of an earlier revision, and
// must forget them when owners have none.
#[test]
fn shared_hosts_are_passed_on_with_the_paces() {
    let (now, store) = (Instant::now(), Duration::from_mins(10));
    let earlier: Paces = serde_json::from_str(r#"{"engines":{}}"#).unwrap();
    assert!(!earlier.has_shared_hosts(store));
    let mut owner = engines(&[3]);
    assert!(!owner.own_paces(now, store, "lm").has_shared_hosts(store));
    owner.record_shared_host("lm");
    assert!(owner.is_contended("lm"));
    assert!(!owner.is_contended("other"));
    let mut row = earlier;
    row.merge(&owner.own_paces(now, store, "lm"));
    let mut row: Paces = serde_json::from_slice(&serde_json::to_vec(&row).unwrap()).unwrap();

    let mut holder = engines(&[3]);
    assert!(holder.set_shared_elsewhere("lm", row.has_shared_hosts(store)));
    assert!(!holder.set_shared_elsewhere("lm", row.has_shared_hosts(store)));
    assert!(holder.is_contended("lm"));
    let own = holder.own_paces(now, store, "lm");
    assert!(
        !own.has_shared_hosts(store),
        "only own reports are passed on"
    );
    let later = store + Duration::from_secs(61);
    assert!(!row.has_shared_hosts(later));
    row.expire(later);
    assert_eq!(serde_json::to_string(&row).unwrap(), r#"{"engines":{}}"#);
    assert!(holder.set_shared_elsewhere("lm", row.has_shared_hosts(later)));
    assert!(!holder.is_contended("lm"));
}

// Guards against a step that counts as lost because of one engine's pace or an unknown one.
#[test]
fn text_speed_is_that_of_the_faster_kind_of_engines() {
    let now = Instant::now();
    let mut engines = engines(&[3; 16]);
    assert_eq!(engines.text_speed("lm"), None);
    for n in 0..16 {
        let key = engines.key(&format!("e{n}")).unwrap();
        let pace = match n {
            0 => 0.001,
            1..4 => 0.026,
            _ => 0.058,
        };
        engines.record_pace(now, key, pace);
    }
    assert_eq!(engines.text_speed("lm"), None, "no text was completed");
    engines.record_text(100, Some(200));
    let speed = engines.text_speed("lm").unwrap();
    assert_eq!(speed.remaining(200, 0), Duration::from_millis(2600));
    assert_eq!(speed.remaining(200, 50), Duration::from_millis(1300));
    assert_eq!(speed.remaining(200, 500), Duration::ZERO);
    for _ in 0..2000 {
        engines.record_text(100, Some(0));
    }
    // Hints of zero must not make the time overflow.
    let speed = engines.text_speed("lm").unwrap();
    assert_eq!(speed.remaining(200, 0), Duration::from_hours(1));
}

// Guards against an item that goes to and fro between engines that don't answer, while a slightly
// slower one is empty.
#[test]
fn item_leaves_queues_for_an_engine_with_room() {
    const QUEUE_WAIT: Duration = Duration::from_millis(112);
    let mut now = Instant::now();
    let mut engines = engines(&[3; 6]);
    for (n, pace) in [0.037, 0.037, 0.048, 0.048, 0.048, 0.048]
        .iter()
        .enumerate()
    {
        let key = engines.key(&format!("e{n}")).unwrap();
        engines.record_pace(now, key, *pace);
    }
    let mut visited = Vec::new();
    let mut excluded = None;
    // No run in the queue of the first two lasts.
    for _ in 0..20 {
        let requirements = Requirements {
            excluded,
            ..REQUIREMENTS
        };
        let Some(key) = engines.choose(now, &requirements) else {
            break;
        };
        visited.push(engines.id(key).unwrap().to_owned());
        engines.add_item(key);
        now += QUEUE_WAIT;
        engines.record_queueing(now, key);
        engines.remove_item(key);
        excluded = Some(key);
    }
    let is_sound = |id: &String| id != "e0" && id != "e1";
    let first = visited.iter().position(is_sound);
    assert!(first.is_some_and(|first| first <= 2), "{visited:?}");
}
