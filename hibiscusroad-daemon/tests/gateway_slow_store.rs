//! Batches at a store that is slow, and loses nothing.

mod gateway_world;

use gateway_world::{
    World,
    batches::{check_whole, results, submit},
    submission,
};
use hibiscusroad_standins::direct::Faults;
use serde_json::json;
use std::{
    thread,
    time::{Duration, Instant},
};

/// Time until a gateway knows which rows all gateways read.
const MEMBERS_KNOWN: Duration = Duration::from_millis(4_500);

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
        objects: Duration::from_millis(1_900),
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

// Guards against a small submission that waits for an object, which takes ten times as long as a
// row of a slow store. The owner, the other gateways and the next owner read the rows.
#[test]
fn small_submission_is_stored_with_its_head() {
    let (mut world, _desk, engine) = World::ready("rows", 2);
    engine.set_work_duration(Duration::from_millis(100));
    engine.set_event_count(40);
    thread::sleep(MEMBERS_KNOWN);
    world.store.set_faults(Faults {
        objects: Duration::from_secs(3),
        part: Duration::from_millis(40),
        ..Faults::default()
    });
    let start = Instant::now();
    assert_eq!(submit(&world, 0, "b1", &submission(1, 1, 1, 2)).status, 202);
    let took = start.elapsed();
    assert!(took < Duration::from_secs(1), "{took:?}");
    assert_eq!(count_calls(&world, "/blob-put/"), 0);
    assert_eq!(world.store.rows("submissions").len(), 1);
    let body = world.gateways[1].call("GET", "/items/b1?id=item-1-0-1", "reader", b"");
    assert_eq!((body.status, body.body), (200, vec![0xab, 0xcd, 0xef]));
    assert_eq!(count_calls(&world, "/blob-get/"), 0);
    world.gateways[0].kill();
    check_whole(&results(&world, 1, "b1", 2), 40);
    assert_eq!(count_calls(&world, "/blob-get/"), 0);
}

// Guards against a submission that a gateway of an earlier version can't read.
#[test]
fn submission_is_an_object_while_a_gateway_of_an_earlier_version_runs() {
    let world = start_with_former("object", 1);
    thread::sleep(MEMBERS_KNOWN);
    assert_eq!(submit(&world, 0, "b1", &submission(1, 1, 1, 1)).status, 202);
    assert_eq!(count_calls(&world, "/blob-put/"), 1);
    assert_eq!(world.store.rows("submissions").len(), 0);
}

// Guards against a submission of several rows that is read in part, or left behind.
#[test]
fn submission_of_several_rows_is_read_whole_and_swept() {
    let settings = "row_bytes = 1024\nkeep_s = 5\n";
    let (world, [_desk, _engine]) = gateway_world::batches::with_settings("split", 2, settings);
    thread::sleep(MEMBERS_KNOWN);
    let step = submission(1, 1, 4, 8);
    assert_eq!(submit(&world, 0, "b1", &step).status, 202);
    assert!(world.store.rows("submissions").len() > 2);
    let body = world.gateways[1].call("GET", "/items/b1?id=item-1-3-7", "reader", b"");
    assert_eq!((body.status, body.body), (200, vec![0xab, 0xcd, 0xef]));
    results(&world, 1, "b1", 32);
    let end = world.gateways[0].call("DELETE", "/lots/b1", "end", b"");
    assert_eq!(end.status, 200);
    gateway_world::until("the rows are swept", || {
        world.store.rows("submissions").is_empty().then_some(())
    });
}
