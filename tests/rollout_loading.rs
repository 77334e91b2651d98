//! Tests which engines get no items because they are assumed to load weights.

use hibiscusroad::{
    contention::{Contention, Mode},
    rollout::{
        engines::{Engines, RefusalReason, Requirements},
        load_plan::WeightLoad,
        loading::HoldCause,
        order_records::OrderRecords,
    },
    roster::{Endpoint, Weights},
    topology::RegionSet,
};
use std::time::{Duration, Instant};

const STORE_NOW: Duration = Duration::from_secs(500);
const MODELS: [&str; 2] = ["guide", "map"];

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns one engine "e" with version 1 of all models.
fn engine(mode: Mode) -> Engines {
    let mut engines = Engines::new().contention(Contention::new(mode, false));
    engines.update(&entry(1, 1));
    engines
}

fn entry(started_ms: u64, version: u64) -> Endpoint {
    let weights = MODELS.map(|model| Weights {
        model: model.to_owned(),
        version,
    });
    Endpoint {
        id: "e".to_owned(),
        started_ms: Some(started_ms),
        service: "lm".to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "senec".to_owned(),
        slots: 4,
        leaving: false,
        cold_remaining: Duration::ZERO,
        evacuated: false,
        weights: weights.to_vec(),
    }
}

/// Returns the record of an order to load a version of "guide", given at `at`.
fn order(version: u64, at: Duration) -> OrderRecords {
    let load = WeightLoad {
        endpoint: "e".to_owned(),
        model: "guide".to_owned(),
        version,
    };
    let mut records = OrderRecords::new();
    records.record_load(&load, "gateway-1/aa", at);
    records
}

fn takes(engines: &Engines, now: Instant, model: &str) -> bool {
    let requirements = Requirements {
        service: "lm",
        model: Some(model),
        min_version: 1,
        exact_version: None,
        regions: RegionSet::ALL,
        group: "g",
        excluded: None,
        rest: None,
        due: None,
    };
    engines.choose(now, &requirements).is_some()
}

fn refuse(engines: &mut Engines, now: Instant, model: &str) -> RefusalReason {
    let key = engines.key("e").unwrap();
    engines.record_refused_item(now, key, Some(model), false)
}

fn causes(engines: &mut Engines, now: Instant) -> Vec<HoldCause> {
    let changes = engines.settle_loads(now);
    changes.iter().map(|change| change.cause).collect()
}

// Guards against items that are sent into a load that is recorded, and against a hold that
// outlasts the load or concerns another model.
#[test]
fn ordered_engine_is_held_for_the_model_until_it_shows_the_version() {
    let start = Instant::now();
    let mut engines = engine(Mode::On);
    engines.record_orders(start, STORE_NOW, &order(2, STORE_NOW));
    assert!(!takes(&engines, start, "guide"));
    assert!(takes(&engines, start, "map"));
    assert_eq!(engines.held_count(start), 1);
    let now = start + ms(700);
    engines.update(&entry(1, 2));
    assert!(takes(&engines, now, "guide"));
    let found = causes(&mut engines, now);
    assert_eq!(found, [HoldCause::Ordered, HoldCause::Loaded]);
    // The row is received again with each change of the table.
    engines.record_orders(now, STORE_NOW + ms(700), &order(2, STORE_NOW));
    assert!(takes(&engines, now, "guide"));
    assert_eq!(engines.held_count(now), 0);
}

// Guards against an engine that stays held because its holder died after the record, and
// against several items that are sent while its state isn't known.
#[test]
fn unconfirmed_engine_gets_one_item_at_a_time_after_the_limit() {
    let start = Instant::now();
    let mut engines = engine(Mode::On);
    let key = engines.key("e").unwrap();
    engines.record_orders(start, STORE_NOW, &order(2, STORE_NOW));
    // An answer to an item that was sent before doesn't end the hold.
    engines.record_answered_item(start, key, Some("guide"));
    assert!(!takes(&engines, start + ms(1_990), "guide"));
    let now = start + ms(2_000);
    engines.record_orders(now, STORE_NOW + ms(2_000), &order(2, STORE_NOW));
    assert!(takes(&engines, now, "guide"));
    engines.record_sent_item(now, key, Some("guide"));
    assert!(!takes(&engines, now, "guide"));
    // The trial ends without an answer, and the next item is one.
    engines.record_unanswered_item(key, Some("guide"));
    assert!(takes(&engines, now, "guide"));
    engines.record_sent_item(now, key, Some("guide"));
    assert_eq!(refuse(&mut engines, now, "guide"), RefusalReason::Loading);
    assert!(!takes(&engines, now + ms(1_990), "guide"));
    let now = now + ms(2_000);
    engines.record_sent_item(now, key, Some("guide"));
    assert!(!takes(&engines, now, "guide"));
    engines.record_answered_item(now, key, Some("guide"));
    assert!(takes(&engines, now, "guide"));
    assert_eq!(causes(&mut engines, now).last(), Some(&HoldCause::Answered));
}

// Guards against an engine that can't load and gets no items, because its order is repeated.
#[test]
fn repeated_orders_do_not_prolong_a_hold() {
    let start = Instant::now();
    let mut engines = engine(Mode::On);
    let key = engines.key("e").unwrap();
    let record = |engines: &mut Engines, version, after| {
        let at = STORE_NOW + ms(after);
        engines.record_orders(start + ms(after), at, &order(version, at));
    };
    for after in [0, 500, 1_000, 1_500] {
        record(&mut engines, 2, after);
        assert!(!takes(&engines, start + ms(after), "guide"));
    }
    let now = start + ms(2_000);
    record(&mut engines, 2, 2_000);
    assert!(takes(&engines, now, "guide"));
    engines.record_sent_item(now, key, Some("guide"));
    engines.record_answered_item(now, key, Some("guide"));
    record(&mut engines, 2, 2_500);
    assert!(takes(&engines, now + ms(500), "guide"));
    record(&mut engines, 3, 3_000);
    assert!(!takes(&engines, now + ms(1_000), "guide"));
}

// Guards against an engine without items for ever because an item that was a trial was
// cancelled.
#[test]
fn trial_without_an_end_is_repeated() {
    let start = Instant::now();
    let mut engines = engine(Mode::On);
    let key = engines.key("e").unwrap();
    engines.record_orders(start, STORE_NOW, &order(2, STORE_NOW));
    engines.record_sent_item(start + ms(2_000), key, Some("guide"));
    assert!(!takes(&engines, start + ms(3_990), "guide"));
    assert!(takes(&engines, start + ms(4_000), "guide"));
    causes(&mut engines, start + ms(40_000));
    engines.record_sent_item(start + ms(40_000), key, Some("guide"));
    assert!(takes(&engines, start + ms(40_000), "guide"));
}

// Guards against owners that send each waiting item into a load without a record, and
// against refusals of full engines that are taken for loads.
#[test]
fn refusal_with_free_slots_holds_the_engine_until_a_newer_version() {
    let start = Instant::now();
    let mut engines = engine(Mode::On);
    let key = engines.key("e").unwrap();
    engines.record_load(start, key, 4, None);
    assert_eq!(refuse(&mut engines, start, "guide"), RefusalReason::Full);
    assert!(!takes(&engines, start, "guide"));
    engines.record_load(start, key, 1, None);
    assert!(takes(&engines, start, "guide"));
    assert_eq!(refuse(&mut engines, start, "guide"), RefusalReason::Loading);
    // Items that were sent with the first are refused, too, and don't prolong the hold.
    refuse(&mut engines, start + ms(900), "guide");
    assert!(!takes(&engines, start + ms(1_000), "guide"));
    assert!(takes(&engines, start + ms(1_000), "map"));
    // The load may be one of another model.
    engines.record_version(key, "map", 2);
    assert!(takes(&engines, start + ms(1_000), "guide"));
    let exact = engines.record_refused_item(start, key, Some("guide"), true);
    assert_eq!(exact, RefusalReason::Other);
    engines.settle_loads(start + ms(1_000));
    assert!(takes(&engines, start + ms(1_000), "guide"));
}

// Guards against holds by records that are too old, name nothing, or name a version that
// the engine has.
#[test]
fn late_and_incomplete_records_hold_no_engine() {
    let now = Instant::now() + ms(10_000);
    let mut engines = engine(Mode::On);
    engines.record_orders(now, STORE_NOW, &OrderRecords::new());
    engines.record_orders(
        now,
        STORE_NOW,
        &order(2, STORE_NOW.saturating_sub(ms(2_300))),
    );
    engines.record_orders(now, STORE_NOW, &order(1, STORE_NOW.saturating_sub(ms(20))));
    let mut unnamed = OrderRecords::new();
    unnamed.record("e", "gateway-1/aa", STORE_NOW.saturating_sub(ms(10)));
    engines.record_orders(now, STORE_NOW, &unnamed);
    assert!(takes(&engines, now, "guide"));
    assert_eq!(refuse(&mut engines, now, "guide"), RefusalReason::Loading);
    assert!(!takes(&engines, now, "guide"));
}

// Guards against a row of another revision that a holder can't read, which would keep it
// from ordering, and against a broken record that hides the others.
#[test]
fn records_of_other_revisions_are_readable() {
    let former = r#"{"engines":{"e":{"holder":"g/1","at":7}}}"#;
    let later =
        r#"{"engines":{"e":{"holder":"g/1","at":7,"model":{"id":4},"version":"2b","x":1}}}"#;
    let mut plain = OrderRecords::new();
    plain.record("e", "g/1", ms(7));
    for row in [former, later] {
        assert_eq!(serde_json::from_str::<OrderRecords>(row).unwrap(), plain);
    }
    assert_eq!(serde_json::to_string(&plain).unwrap(), former);
    let named = order(2, ms(7));
    let row = serde_json::to_string(&named).unwrap();
    assert_eq!(serde_json::from_str::<OrderRecords>(&row).unwrap(), named);
    let broken = row.replace(r#"{"engines":{"#, r#"{"engines":{"a":{"at":"x"},"#);
    serde_json::from_str::<OrderRecords>(&broken).unwrap_err();
    let (records, count) = OrderRecords::decode_intact(broken.as_bytes()).unwrap();
    assert_eq!((records, count), (named, 1));
    OrderRecords::decode_intact(b"[4").unwrap_err();
}

// Guards against a load of an earlier incarnation that holds a restarted engine.
#[test]
fn restarted_engine_is_not_held_for_an_earlier_order() {
    let now = Instant::now();
    let mut engines = engine(Mode::On);
    engines.record_orders(now, STORE_NOW, &order(2, STORE_NOW));
    engines.remove("e");
    engines.update(&entry(2, 1));
    engines.record_orders(now, STORE_NOW, &order(2, STORE_NOW));
    assert!(takes(&engines, now, "guide"));
    engines.record_orders(now, STORE_NOW + ms(50), &order(2, STORE_NOW + ms(50)));
    assert!(!takes(&engines, now, "guide"));
}

// Guards against a hold that ends before the load or lasts much longer because the estimate
// of the store's clock is off.
#[test]
fn clocks_that_differ_shift_the_limit_by_a_quarter_second_at_most() {
    let start = Instant::now() + ms(10_000);
    for (store_now, end) in [(250, 2_000), (0, 2_000), (500, 1_750)] {
        let mut engines = engine(Mode::On);
        let recorded = order(2, STORE_NOW);
        engines.record_orders(start, STORE_NOW + ms(store_now), &recorded);
        assert!(!takes(&engines, start + ms(end - 1), "guide"));
        assert!(takes(&engines, start + ms(end), "guide"));
    }
    let mut engines = engine(Mode::On);
    engines.record_orders(
        start,
        STORE_NOW.saturating_sub(ms(250)),
        &order(2, STORE_NOW),
    );
    assert!(!takes(&engines, start + ms(1_999), "guide"));
    assert!(takes(&engines, start + ms(2_000), "guide"));
}

// Guards against a limit that doesn't follow the loads of a deployment, also if they take
// longer than the first limit.
#[test]
fn time_limit_is_twice_a_typical_load() {
    for (load, limit) in [(300, 600), (900, 1_800), (2_500, 5_000)] {
        let start = Instant::now();
        let mut engines = engine(Mode::On);
        engines.record_orders(start, STORE_NOW, &order(2, STORE_NOW));
        let now = start + ms(load);
        if load > 2_000 {
            refuse(&mut engines, start + ms(2_000), "guide");
        }
        engines.update(&entry(1, 2));
        engines.settle_loads(now);
        let recorded = STORE_NOW + ms(load);
        engines.record_orders(now, recorded, &order(3, recorded));
        assert!(!takes(&engines, now + ms(limit - 1), "guide"));
        assert!(takes(&engines, now + ms(limit), "guide"));
    }
}

// Guards against any effect where contention isn't expected.
#[test]
fn nothing_is_held_with_the_switch_off() {
    let now = Instant::now();
    for mode in [Mode::Off, Mode::Auto] {
        let mut engines = engine(mode);
        engines.record_orders(now, STORE_NOW, &order(2, STORE_NOW));
        assert_eq!(refuse(&mut engines, now, "guide"), RefusalReason::Loading);
        assert!(takes(&engines, now, "guide"));
        assert_eq!(engines.held_count(now), 0);
        assert!(engines.settle_loads(now + ms(5_000)).is_empty());
    }
}
