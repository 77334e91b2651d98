//! Gateways that can't reach the store while their peers can.

mod gateway_world;

use gateway_world::{Gateway, World, submission, until};
use hibiscusroad_standins::{
    direct::Faults,
    relay::{Direction, Relay},
};
use std::time::{Duration, Instant};

/// Starts two gateways. The first is connected to the store through the returned relay.
fn start_world(test: &str) -> (World, Relay, [hibiscusroad_standins::direct::Endpoint; 2]) {
    let mut world = World::start(test);
    world.configure(1, &[]);
    let endpoint = world.endpoint("hut-desk", "i-desk", &[]);
    let engine = world.endpoint("guide-lm", "i-lm", &["guide"]);
    let any_port = "127.0.0.1:0".parse().unwrap();
    let relay = Relay::start(any_port, world.store.addr()).unwrap();
    let first = Gateway::start(&world.dir, "gateway-1", relay.addr(), "");
    world.gateways.push(first);
    world.gateway();
    for n in 0..2 {
        world.wait_ready(n);
        world.gateways[n].line("Peers are known");
    }
    (world, relay, [endpoint, engine])
}

// Guards against a batch whose items wait for the store when a process other than their
// owner accepts it. The store takes 1.3 s to read a submission here and sends no changes.
#[test]
fn batch_is_pushed_to_its_owner() {
    let (world, relay, [_endpoint, engine]) = start_world("given");
    engine.work(Duration::from_millis(20));
    let submit = |n: usize, id: &str, step: u64| {
        let body = submission(step, 1, 1, 3).to_string();
        let answer = world.gateways[n].call("POST", "/lm/step", id, body.as_bytes());
        assert_eq!(answer.status, 202);
    };
    submit(0, "b1", 1);
    until("all results are read", || {
        (count_results(&world, 1, "b1") == Some(3)).then_some(())
    });
    world.store.fail(Faults {
        objects: Duration::from_millis(1_300),
        ..Faults::default()
    });
    // Calls reach the store, but its answers don't arrive.
    relay.silence(Direction::Back);
    let start = Instant::now();
    submit(1, "b2", 2);
    until("items run", || (engine.ran().len() == 6).then_some(()));
    let elapsed = start.elapsed();
    assert!(elapsed < Duration::from_millis(600), "{elapsed:?}");
    assert!(!has_logged(&world.gateways[1], "A batch is taken over."));
}

fn count_results(world: &World, n: usize, id: &str) -> Option<usize> {
    let answer = world.gateways[n].call("GET", &format!("/lots/{id}?after=0"), "reader", b"");
    (answer.status == 200).then(|| answer.json()["results"].as_array().map_or(0, Vec::len))
}

fn has_logged(gateway: &Gateway, text: &str) -> bool {
    let lines = gateway.lines();
    lines.iter().any(|line| line["text"] == text)
}

// Guards against a takeover of a batch whose owner can't reach the store: its peer relays the
// writes, and both gateways return all results.
#[test]
fn owner_that_is_cut_off_from_the_store_keeps_its_batch() {
    let (world, relay, [_endpoint, engine]) = start_world("turned-away");
    engine.work(Duration::from_millis(150));
    let step = submission(1, 1, 2, 3).to_string();
    let answer = world.gateways[0].call("POST", "/lm/step", "b1", step.as_bytes());
    assert_eq!(answer.status, 202);
    relay.stop();
    for n in 0..2 {
        until("all results are read", || {
            (count_results(&world, n, "b1") == Some(6)).then_some(())
        });
    }
    assert!(!has_logged(&world.gateways[1], "A batch is taken over."));
    assert!(!has_logged(
        &world.gateways[0],
        "A batch is no longer run here."
    ));
}

// Guards against a gateway without a working connection to the store that misses a new
// configuration for more than the four seconds that operators allow.
#[test]
fn configuration_arrives_through_a_peer() {
    let (world, relay, _endpoints) = start_world("news");
    relay.silence(Direction::Back);
    relay.silence(Direction::Forth);
    relay.stop();
    let route = serde_json::json!({ "name": "new", "hostname": gateway_world::HOST,
        "prefix": "/new/", "type": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 150,
        "priority": 2, "service": "hut-desk", "maxAttempts": 3 });
    let written = Instant::now();
    world.configure(2, &[route]);
    until("the new route is served", || {
        let answer = world.gateways[0].call("POST", "/new/x", "fresh", b"");
        (answer.status == 200).then_some(())
    });
    assert!(written.elapsed() < Duration::from_secs(4));
}

// Guards against calls that circulate between gateways, none of which can reach the store,
// and against gateways that don't recover from such an outage.
#[test]
fn gateways_recover_from_an_outage_of_the_store() {
    let (world, _relay, _endpoints) = start_world("all-away");
    world.store.fail(Faults {
        busy: true,
        ..Faults::default()
    });
    std::thread::sleep(Duration::from_secs(1));
    world.store.fail(Faults::default());
    let step = submission(1, 1, 1, 2).to_string();
    for n in 0..2 {
        let id = format!("b{n}");
        until("a batch is accepted", || {
            let answer = world.gateways[n].call("POST", "/lm/step", &id, step.as_bytes());
            (answer.status == 202).then_some(())
        });
        until("all results are read", || {
            (count_results(&world, n, &id) == Some(2)).then_some(())
        });
    }
}
