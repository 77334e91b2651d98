//! Which engine an item goes to, and which loads which weights.

use hibiscusroad::{
    rollout::{
        engines::{Engines, Want},
        pace::{Paces, Sample},
        wave::{Goal, Loader, Pace, plan},
    },
    roster::{Endpoint, Weights},
};
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

const WANT: Want<'static> = Want {
    service: "lm",
    model: Some("guide"),
    floor: 3,
    exact: None,
    group: "g",
    not: None,
};

fn engines(versions: &[u64]) -> Engines {
    let mut engines = Engines::new();
    for (n, version) in versions.iter().enumerate() {
        let weights = Weights {
            model: "guide".to_owned(),
            version: *version,
        };
        engines.set(&engine(&format!("e{n}"), None, vec![weights]));
    }
    engines
}

#[test]
fn only_fresh_engines_with_room_are_chosen() {
    let now = Instant::now();
    let mut engines = engines(&[2, 3, 9]);
    let mut found = Vec::new();
    while let Some(key) = engines.choose(now, &WANT) {
        engines.start(key);
        found.push(engines.id(key).unwrap().to_owned());
    }
    found.sort();
    assert_eq!(found, ["e1", "e1", "e2", "e2"]);
    let exact = Want {
        exact: Some(9),
        ..WANT
    };
    assert_eq!(engines.choose(now, &exact), None);
    engines.end(engines.key("e2").unwrap());
    assert_eq!(engines.choose(now, &exact), engines.key("e2"));
}

// Several owners see the same room and no engine of another's items. If they
// broke ties alike, all would send to one engine, which refuses most of them.
#[test]
fn ties_are_broken_by_group() {
    let now = Instant::now();
    let engines = engines(&[3; 12]);
    let chosen = (0..200).filter_map(|n| {
        let group = format!("g{n}");
        let want = Want {
            group: &group,
            ..WANT
        };
        engines.choose(now, &want)
    });
    let mut counts = HashMap::new();
    chosen.for_each(|key| *counts.entry(key).or_insert(0) += 1);
    assert_eq!(counts.len(), 12);
    assert!(counts.values().all(|n| *n < 40), "{counts:?}");
}

// What others run there takes room, until the word is old.
#[test]
fn load_that_an_engine_told_fades() {
    let now = Instant::now();
    let mut engines = engines(&[3]);
    let key = engines.key("e0").unwrap();
    engines.told(now, key, 2);
    assert_eq!(engines.choose(now, &WANT), None);
    assert_eq!(
        engines.choose(now + Duration::from_secs(1), &WANT),
        Some(key)
    );
}

// One engine in five is 3.4 times slower for some seconds, a third is always
// 1.3 times slower. Items go to the fast ones; a run on the slow one is worth a
// move at once, on the other only when it has become long.
#[test]
fn items_prefer_fast_engines_and_leave_slow_ones() {
    let now = Instant::now();
    let mut engines = engines(&[3; 6]);
    let paces = [0.037, 0.037, 0.037, 0.049, 0.049, 0.13];
    for (n, pace) in paces.iter().enumerate() {
        let key = engines.key(&format!("e{n}")).unwrap();
        engines.paced(now, key, *pace);
    }
    let mut order = Vec::new();
    while let Some(key) = engines.choose(now, &WANT) {
        engines.start(key);
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
        "one item tells when the slow one recovers"
    );
    let fast = engines.key("e0").unwrap();
    assert!(engines.is_better("lm", 0.13, 1, fast));
    engines.whole(20, None);
    assert!(!engines.is_better("lm", 0.049, 20, fast));
    assert!(engines.is_better("lm", 0.049, 60, fast));
    assert!(!engines.is_better("lm", 0.049, 60, engines.key("e4").unwrap()));
    assert!(!engines.is_better("lm", 0.037, 60, fast));
}

#[test]
fn failing_engine_is_left_alone_longer_each_time() {
    let now = Instant::now();
    let mut engines = engines(&[3]);
    let key = engines.key("e0").unwrap();
    engines.failed(now, key);
    assert_eq!(engines.choose(now, &WANT), None);
    let later = now + Duration::from_millis(300);
    assert_eq!(engines.choose(later, &WANT), Some(key));
    engines.failed(later, key);
    assert_eq!(
        engines.choose(later + Duration::from_millis(300), &WANT),
        None
    );
    engines.remove("e0");
    assert_eq!(engines.choose(later + Duration::from_secs(9), &WANT), None);
}

/// An engine with two places.
fn engine(id: &str, born: Option<u64>, weights: Vec<Weights>) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        born,
        service: "lm".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        place: "senec".to_owned(),
        slots: 2,
        leaving: false,
        cold: false,
        weights,
    }
}

/// Engines that all have the same weights.
fn loaders(count: usize, weights: &[(&str, u64)]) -> Vec<Loader> {
    let engines = (0..count).map(|n| Loader {
        id: format!("e{n}"),
        weights: weights.iter().map(|(m, v)| ((*m).to_owned(), *v)).collect(),
        busy: false,
        barred: false,
        slow: false,
        load: 0,
    });
    engines.collect()
}

fn goal(model: &str, named: u64, lag: u64) -> Goal {
    Goal {
        model: model.to_owned(),
        named,
        lag,
        work: 1.0,
        priority: 0,
    }
}

/// Carries out loads until none is wanted; returns how many there were.
fn settle(engines: &mut [Loader], goals: &[Goal]) -> usize {
    let mut loads = 0;
    loop {
        let wanted = plan(engines, goals, 2);
        if wanted.is_empty() {
            return loads;
        }
        for load in wanted {
            let engine = engines.iter_mut().find(|e| e.id == load.endpoint).unwrap();
            engine.weights.insert(load.model, load.version);
            loads += 1;
        }
        assert!(loads < 1000, "loads never end");
    }
}

// A version is named every few seconds and steps may lag by one. All engines
// that a step can use are there when it is asked for, and each loads only every
// other version: half of the pauses.
#[test]
fn engines_take_turns_when_steps_may_lag() {
    let mut engines = loaders(9, &[("guide", 1)]);
    let mut loads = Vec::new();
    for named in 2..12 {
        let fresh = |e: &Loader| e.weights["guide"] + 1 >= named;
        let usable = engines.iter().filter(|e| fresh(e)).count();
        assert!(usable >= 4, "{usable} engines for step {named}");
        loads.push(settle(&mut engines, &[goal("guide", named, 1)]));
    }
    assert!(loads.iter().all(|n| *n <= 5), "{loads:?}");
}

#[test]
fn every_engine_loads_when_steps_may_not_lag() {
    let mut engines = loaders(5, &[("guide", 1)]);
    assert_eq!(settle(&mut engines, &[goal("guide", 2, 0)]), 5);
    assert_eq!(settle(&mut engines, &[goal("guide", 2, 0)]), 0);
}

// Three models on nine engines: each keeps its own engines from version to
// version, whoever decides, and no two models want the same one.
#[test]
fn models_keep_their_engines() {
    let mut engines = loaders(9, &[("a", 1), ("b", 1), ("c", 1)]);
    let goals = |named| {
        [
            goal("a", named, 1),
            goal("b", named, 1),
            goal("c", named, 1),
        ]
    };
    settle(&mut engines, &goals(2));
    for named in 3..8 {
        let loads = settle(&mut engines, &goals(named));
        assert!(loads <= 6, "{loads} loads for version {named}");
        for model in ["a", "b", "c"] {
            let fresh = engines.iter().filter(|e| e.weights[model] + 1 >= named);
            assert!(fresh.count() >= 2, "model {model}, version {named}");
        }
    }
}

#[test]
fn no_more_loads_than_allowed_run_at_once() {
    let mut engines = loaders(9, &[("guide", 1)]);
    assert_eq!(plan(&engines, &[goal("guide", 9, 1)], 2).len(), 2);
    engines[0].busy = true;
    let loads = plan(&engines, &[goal("guide", 9, 1)], 2);
    assert_eq!(loads.len(), 1);
    assert_ne!(loads[0].endpoint, "e0");
}

// Up to some number that nobody tells, loads don't slow each other down; beyond
// it they do in proportion. The pace finds the number from how long they took.
#[test]
fn number_of_loads_at_once_is_learned() {
    for knee in [2_u32, 5, 8] {
        let mut pace = Pace::new();
        for _ in 0..60 {
            let n = pace.at_once(9);
            let slower = (n as f64 / f64::from(knee)).max(1.0);
            pace.loaded(n, Duration::from_secs_f64(0.9 * slower));
        }
        assert!(
            u32::try_from(pace.at_once(9)).unwrap().abs_diff(knee) <= 1,
            "{knee}: {}",
            pace.at_once(9)
        );
    }
}

fn sample(micros: u32, at: u64) -> Sample {
    Sample { micros, at }
}

// Another owner measured the engines ten seconds before. What it says of one that
// was measured here since is older, and must not undo it.
#[test]
fn newer_samples_of_others_are_heard_and_older_ones_are_not() {
    let (now, store) = (
        Instant::now() + Duration::from_mins(2),
        Duration::from_mins(9),
    );
    let mut engines = engines(&[3, 3, 3]);
    let key = engines.key("e0").unwrap();
    let then = now.checked_sub(Duration::from_secs(4)).unwrap();
    engines.paced(then, key, 0.037);
    let mut paces = Paces::new();
    paces.note("e0", sample(900_000, 530_000));
    paces.note("e1", sample(37_000, 530_000));
    paces.note("gone", sample(37_000, 530_000));
    assert_eq!(engines.hear(now, store, &paces), 1);
    assert_eq!(engines.hear(now, store, &paces), 0, "known already");
    paces.note("e0", sample(41_000, 539_000));
    assert_eq!(engines.hear(now, store, &paces), 1);
    // Only what was measured here is told: hearsay would never grow old.
    let own = engines.paces_of(now, store, "lm");
    let told: Vec<(&str, u64)> = own.iter().map(|(id, sample)| (id, sample.at)).collect();
    assert_eq!(told, [("e0", 536_000)]);
    assert!(engines.sampled_since(now).is_empty());
}

#[test]
fn of_two_tables_of_paces_the_newer_samples_stay() {
    let mut ours = Paces::new();
    ours.note("a", sample(1, 10));
    ours.note("b", sample(2, 70_000));
    let mut theirs = Paces::new();
    theirs.note("a", sample(3, 20));
    theirs.note("b", sample(4, 69_000));
    ours.merge(&theirs);
    let found: Vec<(&str, u32)> = ours
        .iter()
        .map(|(id, sample)| (id, sample.micros))
        .collect();
    assert_eq!(found, [("a", 3), ("b", 2)]);
    ours.expire(Duration::from_secs(70));
    assert_eq!(ours.iter().count(), 1);
}

// An engine was slow and nobody has used it since. It is tried again after some
// seconds, when the fast ones are full, by more than one item.
#[test]
fn an_engine_that_was_slow_long_ago_is_tried_again() {
    let now = Instant::now();
    let mut engines = engines(&[3, 3, 3]);
    for (n, pace) in [0.037, 0.037, 0.4].into_iter().enumerate() {
        let key = engines.key(&format!("e{n}")).unwrap();
        engines.paced(now, key, pace);
    }
    let count = |engines: &mut Engines, now| {
        let mut count = 0;
        while let Some(key) = engines.choose(now, &WANT) {
            engines.start(key);
            count += 1;
        }
        count
    };
    assert_eq!(count(&mut engines, now), 5, "the slow one gets one item");
    let later = now + Duration::from_secs(7);
    assert_eq!(count(&mut engines, later), 1, "and its second slot later");
}

// An outage has left all engines stale for two models, the first of which is more
// urgent and has twice the engines. Both get engines in turns, by their shares: the
// step of the other one would otherwise stand still until the first has all of its.
#[test]
fn stale_models_are_loaded_in_turns() {
    let engines = loaders(12, &[("a", 1), ("b", 1)]);
    let urgent = Goal {
        work: 2.0,
        ..goal("a", 5, 1)
    };
    let other = Goal {
        priority: 3,
        ..goal("b", 5, 1)
    };
    let loads = plan(&engines, &[urgent, other], 6);
    let models: Vec<&str> = loads.iter().map(|load| load.model.as_str()).collect();
    assert_eq!(models, ["a", "b", "a", "a", "b", "a"]);
}

// A new holder of the duty knows how fast loads are from the one before, and begins
// with as many at once as that one had learned.
#[test]
fn what_was_learned_of_loads_is_handed_on() {
    let mut pace = Pace::new();
    assert_eq!(pace.at_once(9), 2);
    assert_eq!(pace.at_once(40), 5, "more engines, more at once");
    for n in 2..7_u32 {
        let slower = f64::from(n.max(4)) / 4.0;
        pace.loaded(n as usize, Duration::from_secs_f64(0.9 * slower));
    }
    assert_eq!(pace.at_once(9), 4);
    assert_eq!(pace.at_once(40), 4, "the first guess was too high");
    let kept = serde_json::to_vec(&pace).unwrap();
    let heard: Pace = serde_json::from_slice(&kept).unwrap();
    assert_eq!(heard, pace);
}

// An engine was slow and full of this owner's items, and starts again under its id.
// Nothing of that is believed of its new life, and what other owners measured of the
// former one isn't either.
#[test]
fn engine_that_starts_again_is_unknown() {
    let now = Instant::now();
    let store = Duration::from_secs(100);
    let fresh = || {
        vec![Weights {
            model: "guide".to_owned(),
            version: 3,
        }]
    };
    let mut engines = Engines::new();
    engines.set(&engine("e0", Some(1), fresh()));
    let key = engines.key("e0").unwrap();
    engines.start(key);
    engines.start(key);
    engines.paced(now, key, 0.2);
    let former = engines.paces_of(now, store, "lm");
    assert_eq!(engines.choose(now, &WANT), None, "it is full");
    engines.remove("e0");
    engines.set(&engine("e0", Some(2), fresh()));
    assert_eq!(engines.hear(now, store, &former), 0);
    assert_eq!(engines.usual("lm"), None);
    assert!(engines.choose(now, &WANT).is_some());
    engines.end(key);
    assert_eq!(engines.mine("e0"), 0);
}

// Two of an engine service's nine are several times slower for some seconds, both
// of them a model's. They are loaded with nothing, and the model gets others: on one
// engine its step would take three times as long.
#[test]
fn slow_engines_count_for_nothing_in_the_plan() {
    let mut engines = loaders(9, &[("a", 1), ("b", 1), ("c", 1)]);
    let goals = |named| {
        [
            goal("a", named, 1),
            goal("b", named, 1),
            goal("c", named, 1),
        ]
    };
    settle(&mut engines, &goals(3));
    let fresh = |engines: &[Loader], named: u64| {
        let holds = |e: &&Loader| !e.slow && e.weights["a"] + 1 >= named;
        engines.iter().filter(holds).count()
    };
    let mine: Vec<usize> = (0..9).filter(|n| engines[*n].weights["a"] > 1).collect();
    for n in &mine[..2.min(mine.len())] {
        engines[*n].slow = true;
    }
    let before: Vec<_> = engines.iter().map(|e| e.weights.clone()).collect();
    settle(&mut engines, &goals(4));
    settle(&mut engines, &goals(5));
    assert!(fresh(&engines, 5) >= 2, "{engines:?}");
    for (engine, before) in engines.iter().zip(before) {
        assert!(!engine.slow || engine.weights == before, "{engine:?}");
    }
}
