//! Batches at a store that is slow, and loses nothing.

mod gateway_world;

use gateway_world::{World, batches::submit, submission};
use hibiscusroad_standins::direct::Faults;
use serde_json::json;
use std::{
    thread,
    time::{Duration, Instant},
};

/// Starts gateways beside one of an earlier version, for which submissions are stored as objects.
fn start_with_former(test: &str, gateways: usize) -> World {
    let mut world = World::start(test);
    let former = json!({ "life": "gateway-former/aa", "renewed": 1_000_000_000 });
    world
        .store
        .put_in_part("members", "0", "gateway-former", &former);
    let _endpoints = world.start_gateways(gateways);
    world
}

/// Returns how many calls of this path the store has got.
fn count_calls(world: &World, path: &str) -> usize {
    let calls = world.store.calls();
    calls.iter().filter(|call| call.contains(path)).count()
}

// Guards against a write of an object that is given up and sent again while it is only slow, so
// that the acceptance of a batch runs out of its time.
#[test]
fn slow_object_is_not_given_up() {
    let world = start_with_former("objects", 1);
    assert_eq!(submit(&world, 0, "b1", &submission(1, 1, 1, 1)).status, 202);
    world.store.set_faults(Faults {
        objects: Duration::from_millis(1_500),
        ..Faults::default()
    });
    let before = count_calls(&world, "/blob-put/");
    let start = Instant::now();
    assert_eq!(submit(&world, 0, "b2", &submission(2, 1, 1, 1)).status, 202);
    let took = start.elapsed();
    assert!(took < Duration::from_millis(2_500), "{took:?}");
    let puts = count_calls(&world, "/blob-put/") - before;
    assert!(puts <= 2, "{puts} writes of an object");
}

// Guards against a call for an object that waits for a connection that went silent.
#[test]
fn object_is_sent_again_beside_a_silent_connection() {
    let world = start_with_former("silent", 1);
    assert_eq!(submit(&world, 0, "b1", &submission(1, 1, 1, 1)).status, 202);
    world.store.set_faults(Faults {
        lost: true,
        ..Faults::default()
    });
    let start = Instant::now();
    thread::scope(|scope| {
        let submitting = scope.spawn(|| submit(&world, 0, "b2", &submission(2, 1, 1, 1)).status);
        thread::sleep(Duration::from_millis(300));
        world.store.set_faults(Faults::default());
        assert_eq!(submitting.join().unwrap(), 202);
    });
    let took = start.elapsed();
    assert!(took < Duration::from_millis(2_500), "{took:?}");
}
