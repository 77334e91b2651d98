//! What gateways read from the store and write to it.

mod gateway_world;

use gateway_world::{World, batches::submit, submission, until};
use serde_json::json;
use std::{
    collections::BTreeSet,
    thread,
    time::{Duration, Instant},
};

// Guards against calls to the store that grow with the product of gateways and endpoints:
// each change of an endpoint must not cost a call of every gateway.
#[test]
fn changes_of_endpoints_reach_an_idle_gateway_together() {
    let (world, _desk, _engine) = World::ready("gather", 1);
    let before = world.store.feed_count("servers");
    let start = Instant::now();
    let mut changes = 0;
    while start.elapsed() < Duration::from_secs(3) {
        changes += 1;
        let entry = json!({ "service": "guide-lm", "address": "127.0.0.1:1", "zone": "senec",
            "state": "ready", "slots": 8, "seq": changes });
        world.store.put_json("servers", "i-busy", &entry);
        thread::sleep(Duration::from_millis(25));
    }
    let feeds = world.store.feed_count("servers") - before;
    assert!(changes > 60, "{changes}");
    assert!(feeds <= 16, "{feeds} feeds for {changes} changes");
}

// Guards against polls for lost owners that read more the more gateways there are: only
// owners have a heartbeat.
#[test]
fn only_owners_send_heartbeats() {
    let (mut world, _desk, engine) = World::ready("beats", 3);
    engine.set_work_duration(Duration::from_millis(100));
    engine.set_event_count(30);
    until("all gateways are listed", || {
        (world.store.rows("members").len() == 3).then_some(())
    });
    assert_eq!(submit(&world, 0, "b1", &submission(1, 1, 1, 2)).status, 202);
    let senders = |world: &World| {
        let rows = world.store.rows("entries").into_iter();
        let names: Vec<String> = rows.map(|(_, name, _)| name).collect();
        names
    };
    until("the owner sends heartbeats", || {
        senders(&world)
            .contains(&"gateway-1".to_owned())
            .then_some(())
    });
    // The holder of the lease owns something, too.
    assert!(senders(&world).len() <= 2, "{:?}", senders(&world));
    world.gateways[0].kill();
    world.gateways[1].line("A batch is taken over.");
}

// Guards against reads of empty parts of a table by all gateways after a common start.
#[test]
fn start_reads_only_the_parts_that_have_rows() {
    let (mut world, _desk, _engine) = World::ready("parts", 1);
    for id in ["b1", "b2"] {
        assert_eq!(submit(&world, 0, id, &submission(1, 1, 1, 1)).status, 202);
    }
    let parts: BTreeSet<String> = world
        .store
        .rows("batches")
        .into_iter()
        .map(|(part, _, _)| part)
        .collect();
    let before = world.store.read_count("batches");
    world.gateway();
    world.wait_ready(1);
    world.gateways[0].kill();
    world.gateways[1].line("A batch is taken over.");
    let reads = world.store.read_count("batches") - before;
    assert!(reads <= 1 + parts.len(), "{reads} reads of {parts:?}");
}

// Guards against a read of the whole configuration for each request that is not allowed.
#[test]
fn denied_requests_read_only_what_changed() {
    let (world, _desk, _engine) = World::ready("denied", 1);
    let gateway = &world.gateways[0];
    let before = world.store.read_count("op");
    for n in 0..5 {
        let answer = gateway.call("POST", "/nowhere/x", &format!("no-{n}"), b"");
        assert_eq!(answer.status, 404, "{}", answer.text());
    }
    assert_eq!(world.store.read_count("op"), before);
    world.store.compact_log();
    let answer = gateway.call("POST", "/nowhere/x", "forgotten", b"");
    assert_eq!(answer.status, 404, "{}", answer.text());
    let new = json!({ "name": "new", "hostname": gateway_world::HOST, "prefix": "/new/",
        "type": "idempotent", "timeoutMs": 3000, "service": "hut-desk", "maxAttempts": 1 });
    world.configure(2, &[new]);
    let answer = gateway.call("POST", "/new/x", "added", b"");
    assert_eq!(answer.status, 200, "{}", answer.text());
}
