//! What gateways read from the store and write to it.

mod gateway_world;

use gateway_world::World;
use serde_json::json;
use std::{
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
    assert!(feeds <= 10, "{feeds} feeds for {changes} changes");
}
