//! Requests that crash the endpoints that run them, before real gateways.

mod gateway_world;

use gateway_world::{
    Answer, Gateway, HOST, World, ask,
    batches::{batches_run_by, check_whole, results, submit},
    submission, until,
};
use hibiscusroad_standins::{
    direct::{Crash, CrashManner, Endpoint, Replicas, Restart},
    http::FREE,
    relay::Relay,
};
use serde_json::json;
use std::{
    sync::atomic::{AtomicBool, Ordering},
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
/// Endpoints that may end in all: the third crash, and as many sends after it.
const MOST_ENDS: usize = CRASHES + MOST_SENDS;
const NAMES: [&str; 6] = ["r0", "r1", "r2", "r3", "r4", "r5"];

/// Gateways before replicas of the plain service.
fn world(test: &str, gateways: usize, manner: CrashManner) -> (World, Replicas) {
    let mut world = World::start(test);
    world.configure(1, &[]);
    let replicas = replicas(&world, "hut-desk", &[], manner);
    for _ in 0..gateways {
        world.gateway();
    }
    for n in 0..gateways {
        world.wait_ready(n);
        wait_known(&world.gateways[n]);
    }
    (world, replicas)
}

/// Starts six replicas of a service that end under some requests.
fn replicas(world: &World, service: &str, models: &[&str], manner: CrashManner) -> Replicas {
    let crash = Crash {
        marker: MARKER.to_vec(),
        manner,
    };
    let restart = Restart::default();
    Replicas::start(&world.store, service, models, &NAMES, crash, restart).unwrap()
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

fn sends_to(endpoint: &Endpoint, id: &str) -> usize {
    let ran = endpoint.ran();
    ran.iter().filter(|ran| ran.id == id).count()
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

/// Returns the problems that answers tell.
fn problems(answers: &[Answer]) -> Vec<String> {
    let told = answers.iter().filter(|answer| answer.status >= 400);
    told.map(|answer| {
        answer.json()["type"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    })
    .collect()
}

// Guards against a request that crashes its endpoints and is repeated without end.
#[test]
fn request_that_crashes_its_endpoints_stops_reaching_them() {
    let (world, replicas) = world("crashes", 3, CrashManner::Closed);
    let answers = check_stopped(&world, &replicas, "/desk/x", "poison");
    assert!(replicas.ends() <= MOST_ENDS, "{} ends", replicas.ends());
    assert!(
        problems(&answers)
            .iter()
            .all(|problem| problem == "quarantined")
    );
    for answer in &answers {
        let after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
        assert!(after > 60.0, "{after}");
    }
    let line = world.gateways[0].line("A request in quarantine is not run.");
    let crash = world.gateways[0].line("A request is in quarantine");
    assert_eq!(line["fingerprint"], crash["fingerprint"]);
    until("all endpoints are up", || replicas.are_up().then_some(()));
    let answer = world.gateways[0].call("POST", "/desk/x", "sound", b"another body");
    assert_eq!(answer.status, 200, "{}", answer.text());
}

// Guards against one that ends its endpoints in the middle of an answer.
#[test]
fn request_that_tears_its_answers_stops_reaching_endpoints() {
    let (world, replicas) = world("tears", 3, CrashManner::Torn);
    check_stopped(&world, &replicas, "/desk/x", "poison");
}

// Guards against one under which hosts lose power, so that no connection closes.
#[test]
fn request_that_darkens_its_hosts_stops_reaching_them() {
    let (world, replicas) = world("darkens", 3, CrashManner::Dark);
    check_stopped(&world, &replicas, "/desk/x", "poison");
}

// Guards against one that runs once at most for each of its ids.
#[test]
fn request_that_is_never_run_again_stops_reaching_endpoints() {
    let (world, replicas) = world("once-only", 3, CrashManner::Closed);
    check_stopped(&world, &replicas, "/once/x", "poison");
}

// Guards against a gateway that starts after the crashes and knows nothing of them.
#[test]
fn gateway_that_starts_later_knows_of_the_quarantine() {
    let (mut world, replicas) = world("later", 2, CrashManner::Closed);
    check_stopped(&world, &replicas, "/desk/x", "poison");
    let before = sends(&replicas, "poison");
    world.gateway();
    world.gateways.swap(0, 2);
    world.gateways.truncate(1);
    world.wait_ready(0);
    wait_known(&world.gateways[0]);
    repeat(
        &world,
        "/desk/x",
        "poison-later",
        Instant::now() + SPREAD / 3,
    );
    assert_eq!(sends(&replicas, "poison"), before);
}

// Guards against counting the planned end of an endpoint against a request.
#[test]
fn end_of_an_endpoint_that_leaves_is_no_crash() {
    let (world, desk, _engine) = World::ready("leaves", 1);
    desk.work(Duration::from_secs(2));
    let gateway = &world.gateways[0];
    thread::scope(|scope| {
        let asked = scope.spawn(|| gateway.call("POST", "/once/x", "cut", b""));
        until("it runs", || (sends_to(&desk, "cut") > 0).then_some(()));
        desk.register("draining");
        until("the endpoint is known to leave", || {
            let lines = gateway.lines();
            let mut told = lines.iter().filter(|line| line["endpoint"] == "i-desk");
            told.any(|line| line["leaving"] == true).then_some(())
        });
        desk.relay().cut_all();
        assert_eq!(asked.join().unwrap().status, 502);
    });
    // Longer than evidence takes to be written.
    thread::sleep(SPREAD / 6);
    assert!(world.store.rows("crashes").is_empty());
    desk.register("ready");
    let answer = send(gateway, "/desk/x", "later", b"");
    assert!(answer.is_none_or(|answer| !answer.text().contains("quarantined")));
}

// Guards against a table that grows without end.
#[test]
fn evidence_that_counts_no_more_is_removed() {
    let mut world = World::start("removed");
    world.configure(1, &[]);
    let replicas = replicas(&world, "hut-desk", &[], CrashManner::Closed);
    world.gateway_with("quarantine_s = 2\n");
    world.wait_ready(0);
    wait_known(&world.gateways[0]);
    repeat(&world, "/desk/x", "poison", Instant::now() + SPREAD / 6);
    assert!(replicas.ends() > 0);
    let none = |world: &World| world.store.rows("crashes").is_empty().then_some(());
    until("evidence is told", || none(&world).is_none().then_some(()));
    until("its writer removes it", || none(&world));
    // Of writers that are gone, and of none.
    let value = json!({ "endpoint": "e0", "born": null, "at_ms": 1, "path": "/desk/x" });
    let key = format!("{}/e0", "0".repeat(32));
    world.store.put("crashes", &key, &value);
    world.store.put("crashes", "odd", &value);
    world.gateways[0].kill();
    world.gateway_with("quarantine_s = 2\n");
    until("who starts removes it", || none(&world));
}

// Guards against evidence that stays with a gateway which could not reach the store.
#[test]
fn gateway_that_was_cut_off_tells_what_it_saw() {
    let (mut world, replicas) = world("cut-off", 1, CrashManner::Closed);
    let relay = Relay::start(FREE, world.store.addr()).unwrap();
    let gateway = Gateway::start(&world.dir, "gateway-cut", relay.addr(), "");
    world.gateways.insert(0, gateway);
    world.wait_ready(0);
    wait_known(&world.gateways[0]);
    relay.go_dark();
    let other = world.gateways.pop().unwrap();
    while replicas.ends() < CRASHES {
        repeat(
            &world,
            "/desk/x",
            "poison-cut",
            Instant::now() + SPREAD / 10,
        );
    }
    let before = sends(&replicas, "poison");
    repeat(&world, "/desk/x", "poison-cut", Instant::now() + SPREAD / 3);
    assert!(
        sends(&replicas, "poison") - before <= MOST_ENDS,
        "it goes on alone"
    );
    relay.lighten();
    world.gateways[0].line("The store answers again.");
    thread::sleep(SPREAD);
    world.gateways.push(other);
    let before = sends(&replicas, "poison");
    repeat(
        &world,
        "/desk/x",
        "poison-back",
        Instant::now() + SPREAD / 3,
    );
    assert_eq!(sends(&replicas, "poison"), before);
}

/// Ends what runs beside a check, also when the check fails.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Release);
    }
}

// Guards against refusing requests that run beside the one that crashes endpoints, or
// have the same path and another body.
#[test]
fn neighbours_of_a_request_that_crashes_endpoints_are_served() {
    let (world, replicas) = world("neighbours", 3, CrashManner::Closed);
    let over = AtomicBool::new(false);
    let asked = |n: usize| {
        let mut answers = Vec::new();
        let mut round = 0;
        while !over.load(Ordering::Acquire) {
            let gateway = &world.gateways[(n + round) % world.gateways.len()];
            let id = format!("sound-{n}-{round}");
            answers.extend(send(
                gateway,
                "/desk/x",
                &id,
                format!("sound {n}").as_bytes(),
            ));
            round += 1;
        }
        answers
    };
    let answers: Vec<Answer> = thread::scope(|scope| {
        let asked = &asked;
        let neighbours: Vec<_> = (0..8).map(|n| scope.spawn(move || asked(n))).collect();
        let end = SetOnDrop(&over);
        check_stopped(&world, &replicas, "/desk/x", "poison");
        drop(end);
        let ended = neighbours.into_iter().map(|it| it.join().unwrap());
        ended.flatten().collect()
    });
    assert!(
        !problems(&answers)
            .iter()
            .any(|problem| problem == "quarantined")
    );
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert!(served * 2 > answers.len(), "{served} of {}", answers.len());
}

/// Gateways before replicas of both services, and a desk that bears everything.
fn engines(test: &str, gateways: usize) -> (World, Endpoint, Replicas) {
    let mut world = World::start(test);
    let stream = json!({ "name": "again", "hostname": HOST, "prefix": "/again/",
        "type": "streaming", "timeoutMs": 9000, "service": "guide-lm", "maxAttempts": 3,
        "resumable": true });
    world.configure(1, &[stream]);
    let desk = world.endpoint("hut-desk", "i-desk", &[]);
    let replicas = replicas(&world, "guide-lm", &["guide"], CrashManner::Closed);
    for _ in 0..gateways {
        world.gateway();
    }
    for n in 0..gateways {
        world.wait_ready(n);
        wait_known(&world.gateways[n]);
    }
    (world, desk, replicas)
}

// Guards against a stream that is gone on with at one endpoint after the other.
#[test]
fn stream_that_crashes_its_endpoints_stops_reaching_them() {
    let (world, _desk, replicas) = engines("streams", 3);
    check_stopped(&world, &replicas, "/again/x", "poison");
}

// Guards against an item that its owner, a draft or the next owner runs without end.
#[test]
fn item_that_crashes_its_engines_stops_reaching_them() {
    let (mut world, _desk, replicas) = engines("items", 2);
    let mut step = submission(1, 1, 2, 3);
    step["requests"][4]["body"] = "Y3Jhc2g=".into();
    step["targetGroups"] = 1.into();
    assert_eq!(submit(&world, 0, "b1", &step).status, 202);
    let found = results(&world, 1, "b1", 5);
    check_whole(&found, 8);
    thread::sleep(SPREAD);
    let (before, ends) = (sends(&replicas, "item-1-1-1"), replicas.ends());
    assert!((CRASHES..=MOST_ENDS).contains(&ends), "{ends} ends");
    let owner = usize::from(batches_run_by(&world, 0).is_empty());
    world.gateways[owner].kill();
    world.gateways[1 - owner].line("A batch is taken over.");
    thread::sleep(SPREAD);
    assert_eq!(sends(&replicas, "item-1-1-1"), before);
    assert_eq!(results(&world, 1 - owner, "b1", 5).len(), 5);
}

// Guards against a reward call that is made without end.
#[test]
fn reward_call_that_crashes_its_endpoints_stops_reaching_them() {
    let (world, replicas) = world("rewards", 2, CrashManner::Closed);
    let _engine = world.endpoint("guide-lm", "i-lm", &["guide"]);
    let mut step = submission(1, 1, 2, 3);
    step["requests"][4]["scorer"]["body"] = "Y3Jhc2g=".into();
    assert_eq!(submit(&world, 0, "b1", &step).status, 202);
    check_whole(&results(&world, 1, "b1", 5), 8);
    until("endpoints have ended", || {
        (replicas.ends() >= CRASHES).then_some(())
    });
    thread::sleep(SPREAD);
    let before = sends(&replicas, "score-item-1-1-1");
    thread::sleep(SPREAD);
    assert_eq!(sends(&replicas, "score-item-1-1-1"), before);
    assert!(replicas.ends() <= MOST_ENDS, "{} ends", replicas.ends());
}
