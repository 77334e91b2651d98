//! Gateways that the store turns away, before others that it serves.

mod gateway_world;

use gateway_world::{Gateway, World, submission, until};
use hibiscusroad_standins::{
    direct::Faults,
    relay::{Direction, Relay},
};
use std::time::{Duration, Instant};

/// A deployment of two gateways, the first of which has a way to the store of
/// its own.
fn world(test: &str) -> (World, Relay, [hibiscusroad_standins::direct::Endpoint; 2]) {
    let mut world = World::start(test);
    world.configure(1, &[]);
    let desk = world.endpoint("hut-desk", "i-desk", &[]);
    let engine = world.endpoint("guide-lm", "i-lm", &["guide"]);
    let free = "127.0.0.1:0".parse().unwrap();
    let way = Relay::start(free, world.store.addr()).unwrap();
    let first = Gateway::start(&world.dir, "gateway-1", way.addr(), "");
    world.gateways.push(first);
    world.gateway();
    for n in 0..2 {
        world.wait_ready(n);
        world.gateways[n].line("Peers are known");
    }
    (world, way, [desk, engine])
}

// The next step of a trainer comes to another process than the one that runs its steps.
// That one is told of it together with the submission, so the items start at once,
// though the store takes 1.3 s to read a submission and tells of no change at all.
#[test]
fn a_batch_is_given_to_its_owner() {
    let (world, way, [_desk, engine]) = world("given");
    engine.work(Duration::from_millis(20));
    let submit = |n: usize, id: &str, step: u64| {
        let body = submission(step, 1, 1, 3).to_string();
        let answer = world.gateways[n].call("POST", "/lm/step", id, body.as_bytes());
        assert_eq!(answer.status, 202);
    };
    submit(0, "b1", 1);
    until("all results are read", || {
        (listed(&world, 1, "b1") == Some(3)).then_some(())
    });
    world.store.fail(Faults {
        objects: Duration::from_millis(1_300),
        ..Faults::default()
    });
    // What the store sends back is held up; what is sent to it arrives.
    way.silence(Direction::Back);
    let start = Instant::now();
    submit(1, "b2", 2);
    until("items run", || (engine.ran().len() == 6).then_some(()));
    let took = start.elapsed();
    assert!(took < Duration::from_millis(600), "{took:?}");
    assert!(!has_line(&world.gateways[1], "A batch is taken over."));
}

fn listed(world: &World, n: usize, id: &str) -> Option<usize> {
    let answer = world.gateways[n].call("GET", &format!("/lots/{id}?after=0"), "reader", b"");
    (answer.status == 200).then(|| answer.json()["results"].as_array().map_or(0, Vec::len))
}

fn has_line(gateway: &Gateway, text: &str) -> bool {
    let lines = gateway.lines();
    lines.iter().any(|line| line["text"] == text)
}

// A batch runs at the first gateway when the store turns that one away, and goes
// on serving the other. Its trainer gets all results in time from both: the other
// carries the writes, and has no reason to take the batch over and begin anew.
#[test]
fn an_owner_that_is_turned_away_keeps_its_batch() {
    let (world, way, [_desk, engine]) = world("turned-away");
    engine.work(Duration::from_millis(150));
    let step = submission(1, 1, 2, 3).to_string();
    let answer = world.gateways[0].call("POST", "/lm/step", "b1", step.as_bytes());
    assert_eq!(answer.status, 202);
    way.stop();
    for n in 0..2 {
        until("all results are read", || {
            (listed(&world, n, "b1") == Some(6)).then_some(())
        });
    }
    assert!(!has_line(&world.gateways[1], "A batch is taken over."));
    assert!(!has_line(
        &world.gateways[0],
        "A batch is no longer run here."
    ));
}

// The first gateway's connections to the store go silent, and no new ones can be
// had. A configuration that comes meanwhile reaches it by the other's way, well
// before the four seconds are over that an operator allows for.
#[test]
fn news_come_by_a_peer() {
    let (world, way, _endpoints) = world("news");
    way.silence(Direction::Back);
    way.silence(Direction::Forth);
    way.stop();
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

// The store refuses everybody for a second. Peers can't help each other, and say
// so at once: nobody passes a call on, and when the store is back, both go on.
#[test]
fn peers_that_are_turned_away_too_do_no_harm() {
    let (world, _way, _endpoints) = world("all-away");
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
            (listed(&world, n, &id) == Some(2)).then_some(())
        });
    }
}
