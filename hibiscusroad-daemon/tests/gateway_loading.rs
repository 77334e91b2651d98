//! Owners of batches while engines load weights that another process orders.

mod gateway_world;

use gateway_world::{
    World, ask,
    batches::{batches_run_by, check_whole, results, submit, with_settings},
    submission, until,
};
use hibiscusroad_standins::direct::Endpoint;
use serde_json::{Value, json};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

/// How long the stand-in loads: less than an owner holds an engine before it has seen a load.
/// An owner that doesn't know of the load sends items at once, and again each 300 ms.
const LOAD_DURATION: Duration = Duration::from_millis(1_500);
/// Time after an order in which items that were sent before it may still arrive. A connection
/// to the stand-in may wait until another ends, and the host may be busy.
const DELIVERY_TIME: Duration = Duration::from_millis(600);

/// Longest time for which an item of a step may be at no engine while engines have room.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(5);

fn name_version(world: &World, version: u64) {
    let named = json!({ "model": "guide", "version": version });
    world.store.put_json("op", "version/guide", &named);
}

/// Starts two gateways, of which the first holds the duty of weights.
fn start(test: &str, settings: &str) -> (World, Endpoint, Endpoint) {
    let (mut world, [desk, engine]) = with_settings(test, 1, settings);
    engine.set_load_duration(LOAD_DURATION);
    name_version(&world, 2);
    until("the engine has loaded", || {
        (engine.version("guide") == 2).then_some(())
    });
    world.gateway_with(settings);
    world.wait_ready(1);
    engine.set_work_duration(Duration::from_millis(15));
    (world, desk, engine)
}

/// Runs a batch at a gateway while the engine loads, and returns when the engine refused
/// items.
fn refusals_during_a_load(world: &World, engine: &Endpoint, owner: usize) -> Vec<Duration> {
    assert_eq!(
        submit(world, owner, "b1", &submission(1, 1, 20, 4)).status,
        202
    );
    until("items run", || (engine.runs().len() > 8).then_some(()));
    name_version(world, 3);
    until("the engine has loaded", || {
        (engine.version("guide") == 3).then_some(())
    });
    assert!(engine.runs().len() < 80, "nothing was left to send");
    check_whole(&results(world, owner, "b1", 80), 8);
    assert_eq!(batches_run_by(world, owner), ["b1"]);
    let holders = engine.order_holders();
    assert!(
        holders
            .iter()
            .all(|(holder, _)| holder.starts_with("gateway-1/"))
    );
    engine.load_refusals()
}

// Guards against an owner that sends items to an engine that another process orders to load.
#[test]
fn owner_without_the_duty_sends_no_items_into_a_load() {
    let (world, _desk, engine) = start("hold", "contention = \"on\"\n");
    let refused = refusals_during_a_load(&world, &engine, 1);
    assert!(
        refused.iter().all(|after| *after < DELIVERY_TIME),
        "{refused:?}"
    );
    let held = world.gateways[1].line("An engine is held: it is assumed to load weights.");
    assert_eq!(
        (&held["cause"], &held["model"], &held["version"]),
        (&json!("Ordered"), &json!("guide"), &json!(3))
    );
    let released = world.gateways[1].line("An engine is released.");
    assert_eq!(released["cause"], "Loaded");
    assert!(world.store.feed_count("duties") > 0);
    let metrics = world.gateways[1].metrics;
    let answer = ask("GET", metrics, "/", &[], b"", Duration::from_secs(2)).unwrap();
    let none = "gateway_items_withheld_total 0";
    assert!(!answer.text().lines().any(|line| line == none), "{none}");
}

// Guards against a holder of the duty that sends its own items into loads that it orders,
// and against calls to the store for what it knows.
#[test]
fn owner_with_the_duty_knows_its_orders_without_the_store() {
    let (world, _desk, engine) = start("hold-own", "contention = \"on\"\n");
    let refused = refusals_during_a_load(&world, &engine, 0);
    assert!(
        refused.iter().all(|after| *after < DELIVERY_TIME),
        "{refused:?}"
    );
    world.gateways[0].line("An engine is held: it is assumed to load weights.");
    assert_eq!(world.store.feed_count("duties"), 0);
}

// Guards against a change for deployments without contention, and calls to the store there.
#[test]
fn owner_with_the_switch_off_follows_no_orders() {
    let (world, _desk, engine) = start("hold-off", "contention = \"off\"\n");
    let refused = refusals_during_a_load(&world, &engine, 1);
    assert!(
        refused.iter().any(|after| *after > DELIVERY_TIME),
        "{refused:?}"
    );
    assert_eq!(world.store.feed_count("duties"), 0);
}

// Guards against a process that follows orders for ever, or before it owns a batch.
#[test]
fn orders_are_followed_only_around_batches() {
    let (world, _desk, _engine) = start("hold-idle", "contention = \"on\"\n");
    assert_eq!(world.store.feed_count("duties"), 0);
    assert_eq!(submit(&world, 1, "b1", &submission(1, 1, 1, 2)).status, 202);
    check_whole(&results(&world, 1, "b1", 2), 8);
    assert!(world.store.feed_count("duties") > 0);
    assert_eq!(
        world.gateways[1]
            .call("DELETE", "/lots/b1", "end", b"")
            .status,
        200
    );
    until("the feed has ended", || {
        let count = world.store.feed_count("duties");
        std::thread::sleep(Duration::from_secs(3));
        (world.store.feed_count("duties") == count).then_some(())
    });
}

// Guards against engines that don't answer and take the turns of all others to load weights.
#[test]
fn silent_engines_do_not_keep_others_from_new_weights() {
    let (world, _desk, engine) = World::ready("silent-engines", 1);
    let silent = ["a1", "a2", "a3"].map(|id| world.endpoint("guide-lm", id, &["guide"]));
    for engine in &silent {
        engine.relay().drop_traffic();
    }
    name_version(&world, 2);
    let start = Instant::now();
    assert_eq!(submit(&world, 0, "b1", &submission(1, 2, 1, 2)).status, 202);
    until("the items run", || (engine.runs().len() >= 2).then_some(()));
    let waited = start.elapsed();
    assert!(waited < MAX_IDLE_WAIT, "{waited:?}");
}

// Guards against engines that end during a load and keep their turns.
#[test]
fn engines_that_end_during_a_load_do_not_keep_others_from_new_weights() {
    let (world, _desk, engine) = World::ready("ended-loads", 1);
    let ending = ["a1", "a2", "a3"].map(|id| world.endpoint("guide-lm", id, &["guide"]));
    for engine in &ending {
        engine.set_load_duration(Duration::from_mins(1));
    }
    name_version(&world, 2);
    until("two engines load", || {
        let ordered = ending.iter().filter(|it| !it.order_holders().is_empty());
        (ordered.count() >= 2).then_some(())
    });
    for engine in &ending {
        engine.relay().drop_traffic();
    }
    let start = Instant::now();
    until("another engine has loaded", || {
        (engine.version("guide") == 2).then_some(())
    });
    let waited = start.elapsed();
    assert!(waited < MAX_IDLE_WAIT, "{waited:?}");
}

// Guards against a record of orders that replaces a newer one of the same holder, because its write
// got no answer and is carried out late. The next holder would not know of the newer orders.
#[test]
fn late_record_of_orders_replaces_no_newer_one() {
    let (world, [_desk, engine]) = with_settings("late-orders", 1, "lease_ms = 12000\n");
    name_version(&world, 2);
    until("the engine has loaded", || {
        (engine.version("guide") == 2).then_some(())
    });
    let late = Duration::from_millis(800);
    let lost = Arc::new(AtomicBool::new(false));
    let was_lost = Arc::clone(&lost);
    world.store.delay_writes(late, move |_table, key, _value| {
        key == "orders" && !was_lost.swap(true, Ordering::Relaxed)
    });
    name_version(&world, 3);
    until("a record is lost", || {
        lost.load(Ordering::Relaxed).then_some(())
    });
    name_version(&world, 4);
    until("the engine has loaded", || {
        (engine.version("guide") == 4).then_some(())
    });
    // The late write has been carried out then.
    std::thread::sleep(2 * late);
    let rows = world.store.rows("duties");
    let (_, _, orders) = rows
        .into_iter()
        .find(|(_, key, _)| key == "orders")
        .unwrap();
    let orders: Value = serde_json::from_slice(&orders).unwrap();
    assert_eq!(orders["engines"]["i-lm"]["version"], 4, "{orders}");
}
