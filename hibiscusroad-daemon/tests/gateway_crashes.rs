//! Requests that crash the endpoints that run them, before real gateways.

mod gateway_world;

use gateway_world::{Answer, Gateway, HOST, World, ask, until};
use hibiscusroad_standins::direct::{Crash, CrashManner, Replicas, Restart};
use std::{
    thread,
    time::{Duration, Instant},
};

/// What crashes an endpoint.
const MARKER: &[u8] = b"crash";
/// Crashes after which a request must not go on.
const CRASHES: usize = 3;
/// Time after the third crash in which news of it may be on its way.
const SPREAD: Duration = Duration::from_secs(3);
/// Sends that are allowed after that.
const MOST_SENDS: usize = 3;
const NAMES: [&str; 6] = ["r0", "r1", "r2", "r3", "r4", "r5"];

fn crash(manner: CrashManner) -> Crash {
    Crash {
        marker: MARKER.to_vec(),
        manner,
    }
}

/// Gateways before replicas of the plain service.
fn world(test: &str, gateways: usize, manner: CrashManner) -> (World, Replicas) {
    let mut world = World::start(test);
    world.configure(1, &[]);
    let replicas = Replicas::start(
        &world.store,
        "hut-desk",
        &[],
        &NAMES,
        crash(manner),
        Restart::default(),
    );
    for _ in 0..gateways {
        world.gateway();
    }
    for n in 0..gateways {
        world.wait_ready(n);
        wait_known(&world.gateways[n]);
    }
    (world, replicas.unwrap())
}

fn wait_known(gateway: &Gateway) {
    until("the endpoints are known", || {
        let answer = gateway.call("POST", "/desk/warm", "warm", b"");
        (answer.status == 200).then_some(())
    });
}

/// Sends a request as a caller that waits for a second; `None` if no answer came.
fn send(gateway: &Gateway, path: &str, id: &str, body: &[u8]) -> Option<Answer> {
    let headers = [("X-Request-Id", id), ("X-Deadline-Ms", "1000")];
    let patience = Duration::from_secs(2);
    ask("POST", gateway.callers, path, &headers, body, patience)
}

/// Returns how often requests whose ids begin so reached an endpoint.
fn sends(replicas: &Replicas, prefix: &str) -> usize {
    let ran = replicas.ran();
    ran.iter().filter(|ran| ran.id.starts_with(prefix)).count()
}

/// Repeats a request at one gateway after the other until `end`.
fn repeat(world: &World, path: &str, prefix: &str, end: Instant) -> Vec<Answer> {
    let mut answers = Vec::new();
    for n in 0.. {
        if Instant::now() >= end {
            break;
        }
        let gateway = &world.gateways[n % world.gateways.len()];
        let body = [MARKER, b" under the same body"].concat();
        answers.extend(send(gateway, path, &format!("{prefix}-{n}"), &body));
        thread::sleep(Duration::from_millis(40));
    }
    answers
}

/// Repeats a request until it has crashed three endpoints, and for as long as news of it
/// may be on its way; then again, and checks that it hardly reaches any.
fn check_stopped(world: &World, replicas: &Replicas, path: &str, prefix: &str) -> Vec<Answer> {
    let start = Instant::now();
    while replicas.ends() < CRASHES {
        assert!(start.elapsed() < SPREAD * 4, "too few endpoints have ended");
        repeat(world, path, prefix, Instant::now() + SPREAD / 10);
    }
    repeat(world, path, prefix, Instant::now() + SPREAD);
    let before = sends(replicas, prefix);
    let answers = repeat(world, path, prefix, Instant::now() + SPREAD);
    let more = sends(replicas, prefix) - before;
    assert!(
        more <= MOST_SENDS,
        "{more} sends after {} ends",
        replicas.ends()
    );
    answers
}

// Guards against a request that crashes its endpoints and is repeated without end.
#[test]
fn request_that_crashes_its_endpoints_stops_reaching_them() {
    let (world, replicas) = world("crashes", 3, CrashManner::Closed);
    check_stopped(&world, &replicas, "/desk/x", "poison");
    until("all endpoints are up", || replicas.are_up().then_some(()));
    let answer = world.gateways[0].call("POST", "/desk/x", "sound", b"another body");
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(answer.header("x-request-id"), Some("sound"), "{HOST}");
}
