//! Gateways that get several changes of a row in one answer of the store.

mod gateway_world;

use gateway_world::{World, config, until};
use serde_json::{Value, json};
use std::{thread, time::Duration};

const CALL_COUNT: usize = 20;
/// Time within which a gateway learns of a change.
const DELIVERY_TIME: Duration = Duration::from_secs(1);
/// How long the report of an engine takes that is fetched before the order.
const REPORT_DELAY: Duration = Duration::from_millis(500);

/// Returns the entry of an endpoint with another number of slots.
fn changed_entry(world: &World, id: &str) -> Value {
    let mut rows = world.store.rows("servers").into_iter();
    let (_, _, value) = rows.find(|(_, key, _)| key == id).unwrap();
    let mut entry: Value = serde_json::from_slice(&value).unwrap();
    entry["slots"] = json!(7);
    entry
}

/// Sends calls, which are all to get an answer with this status.
fn check_calls(world: &World, status: u16) {
    for n in 0..CALL_COUNT {
        let answer = world.gateways[0].call("POST", "/desk/x", &format!("call-{n}"), b"");
        assert_eq!(answer.status, status);
    }
}

// Guards against an endpoint that comes back because its last change is applied after its removal.
#[test]
fn endpoint_that_is_changed_and_removed_in_one_answer_gets_no_request() {
    let (world, desk, _engine) = World::ready("changed-and-removed", 1);
    let before = desk.runs().len();
    let entry = changed_entry(&world, "i-desk");
    let changes = [("i-desk", Some(entry)), ("i-desk", None)];
    world.store.change_together("servers", &changes);
    world.gateways[0].line("An endpoint is gone.");
    check_calls(&world, 503);
    assert_eq!(desk.runs().len(), before);
}

// Guards against an endpoint that stays lost because its removal is applied after its return.
#[test]
fn endpoint_that_is_removed_and_registered_in_one_answer_gets_requests() {
    let (world, _desk, _engine) = World::ready("removed-and-registered", 1);
    let entry = changed_entry(&world, "i-desk");
    let other = json!({ "seq": "of no endpoint" });
    let changes = [
        ("i-desk", None),
        ("i-desk", Some(entry)),
        ("i-broken", Some(other)),
    ];
    world.store.change_together("servers", &changes);
    world.gateways[0].line("An endpoint's entry is broken; it is ignored.");
    check_calls(&world, 200);
}

// Guards against a data centre that stays evacuated because its row is applied after its removal.
#[test]
fn evacuation_that_is_written_and_removed_in_one_answer_has_ended() {
    let (world, _desk, _engine) = World::ready("evacuated-and-back", 1);
    let changes = [
        ("evacuate/senec", Some(json!({}))),
        ("evacuate/senec", None),
        ("config", Some(config(2, &[]))),
    ];
    world.store.change_together("op", &changes);
    until("the configuration is in force", || {
        let mut lines = world.gateways[0].lines().into_iter();
        lines.find(|line| line["text"] == "A configuration is in force." && line["version"] == 2)
    });
    check_calls(&world, 200);
}

// Guards against an order to an engine that left while its report was fetched.
#[test]
fn engine_that_leaves_before_its_order_gets_none() {
    let (world, _desk, engine) = World::ready("leaves-before-order", 1);
    engine.relay().set_delay(REPORT_DELAY / 2);
    let version = json!({ "model": "guide", "version": 2 });
    world.store.put_json("op", "version/guide", &version);
    world.gateways[0].line("The lease of the duties is held.");
    thread::sleep(REPORT_DELAY / 5);
    engine.register("draining");
    thread::sleep(3 * REPORT_DELAY);
    assert_eq!(engine.order_holders(), []);
}

// Guards against an endpoint that is kept after its removal because a connection to the store broke.
#[test]
fn endpoint_that_is_removed_after_a_broken_connection_gets_no_request() {
    let (world, desk, _engine) = World::ready("broken-connection", 1);
    let feeds = world.store.feed_count("servers");
    world.store.relay().cut_all();
    until("the table is followed again", || {
        (world.store.feed_count("servers") > feeds).then_some(())
    });
    world.store.remove("servers", "i-desk");
    thread::sleep(DELIVERY_TIME);
    let before = desk.runs().len();
    check_calls(&world, 503);
    assert_eq!(desk.runs().len(), before);
}
