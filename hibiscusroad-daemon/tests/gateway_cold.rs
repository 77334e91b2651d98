//! Cold engines in front of real gateways.

mod gateway_world;

use gateway_world::{
    Gateway, HOST, World,
    batches::{check_whole, results, submit},
    config, submission, until,
};
use hibiscusroad_standins::direct::{Endpoint, Faults};
use serde_json::json;
use std::{
    thread,
    time::{Duration, Instant},
};

/// 12 requests per second are declared, and 12 x 1.5 + 5 are allowed.
const BOUND: usize = 23;
const SETTINGS: &str = "cold_overrun = 1.5\ncold_slack = 5\n";
/// Time after which a permit that is not renewed has ended, with a margin for a busy host.
const PERMIT_END: Duration = Duration::from_secs(4);

/// Starts gateways, a warm engine and one that is cold for `cold`. Engines have 8 slots.
fn world(test: &str, gateways: usize, per_second: f64, cold: Duration) -> (World, [Endpoint; 3]) {
    let mut world = World::start(test);
    let ask = json!({ "name": "ask", "hostname": HOST, "prefix": "/ask/", "type": "idempotent",
        "timeoutMs": 5000, "targetLatencyMs": 150, "priority": 2, "service": "guide-lm",
        "maxAttempts": 3 });
    let mut config = config(1, &[ask]);
    if per_second > 0.0 {
        config["services"][1]["coldStartS"] = json!(3.0);
        config["services"][1]["coldPerS"] = json!(per_second);
    }
    world.store.put_json("op", "config", &config);
    let desk = world.endpoint("hut-desk", "i-desk", &[]);
    let warm = world.endpoint("guide-lm", "i-warm", &["guide"]);
    let engine = world.endpoint("guide-lm", "i-cold", &["guide"]);
    for engine in [&warm, &engine] {
        engine.set_work_duration(Duration::from_millis(20));
    }
    engine.report_cold(cold);
    for n in 0..gateways {
        // Without overrun and slack, a rate of one a second leaves the holder nothing.
        world.gateway_with(if per_second < 2.0 { "" } else { SETTINGS });
        world.wait_ready(n);
    }
    for gateway in &world.gateways {
        gateway.line("An endpoint is known.");
        until("the endpoints are known", || {
            let answer = gateway.call("POST", "/desk/warm", "warm", b"");
            (answer.status == 200).then_some(())
        });
    }
    (world, [desk, warm, engine])
}

/// Returns the most requests that an engine got in a second.
///
/// The stand-in reads a request late if its worker runs another one, so that two windows of
/// sends may arrive in one second.
fn worst_second(engine: &Endpoint) -> usize {
    let mut times = engine.arrivals();
    times.sort_unstable();
    let windows = times.iter().enumerate().map(|(first, at)| {
        let end = times.partition_point(|other| *other < *at + Duration::from_secs(1));
        end - first
    });
    windows.max().unwrap_or(0)
}

fn lines(gateway: &Gateway, text: &str) -> usize {
    let lines = gateway.lines();
    lines.iter().filter(|line| line["text"] == text).count()
}

/// Returns a metric of a gateway with its label.
fn metric(gateway: &Gateway, name: &str) -> Option<f64> {
    let limit = Duration::from_secs(2);
    let answer = gateway_world::ask("GET", gateway.metrics, "/metrics", &[], b"", limit)?;
    let text = answer.text();
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.trim().parse().ok()
}

// Items must not flood a cold engine, but what waits must use it.
#[test]
fn cold_engine_gets_what_waits_up_to_its_limit() {
    let (world, [_desk, warm, cold]) = world("cold", 1, 12.0, Duration::from_mins(1));
    assert_eq!(
        submit(&world, 0, "b1", &submission(1, 1, 30, 10)).status,
        202
    );
    check_whole(&results(&world, 0, "b1", 300), 8);
    let gateway = &world.gateways[0];
    gateway.line("The permit for cold endpoints is held.");
    let line = gateway.line("An endpoint is cold.");
    assert_eq!(
        (&line["endpoint"], &line["source"]),
        (&json!("i-cold"), &json!("entry"))
    );
    let (worst, count) = (worst_second(&cold), cold.arrivals().len());
    assert!(worst <= BOUND, "{worst} requests in a second");
    assert!(
        count >= 10,
        "{count} of {} at the cold engine",
        warm.arrivals().len()
    );
    let label = "{service=\"guide-lm\"}";
    assert_eq!(
        metric(gateway, &format!("gateway_cold_endpoints{label}")),
        Some(1.0)
    );
    let sent = metric(gateway, &format!("gateway_cold_requests_total{label}"));
    assert_eq!(sent, Some(count as f64));
    let held_back = metric(gateway, &format!("gateway_items_held_back_total{label}"));
    assert!(held_back.is_some_and(|count| count > 0.0), "{held_back:?}");
}

// Owners that don't see each other's sends must keep the bound together, and use warm engines.
#[test]
fn two_owners_keep_the_bound_together() {
    let (world, [_desk, _warm, cold]) = world("owners", 2, 12.0, Duration::from_mins(1));
    thread::scope(|scope| {
        for (n, step) in [(0, 1), (1, 2)] {
            let world = &world;
            scope.spawn(move || {
                let id = format!("b{step}");
                let body = submission(step, 1, 5, 10);
                assert_eq!(submit(world, n, &id, &body).status, 202);
                check_whole(&results(world, n, &id, 50), 8);
            });
        }
    });
    let worst = worst_second(&cold);
    assert!(worst <= BOUND, "{worst} requests in a second");
    assert!(!cold.arrivals().is_empty());
}

// An engine that crashes above its bound becomes cold before any gateway knows.
#[test]
fn engine_that_is_not_known_to_be_cold_gets_half_of_the_bound() {
    let (world, [_desk, warm, _cold]) = world("unknown", 1, 12.0, Duration::from_mins(1));
    assert_eq!(
        submit(&world, 0, "b1", &submission(1, 1, 20, 10)).status,
        202
    );
    check_whole(&results(&world, 0, "b1", 200), 8);
    let worst = worst_second(&warm);
    assert!(worst <= BOUND, "{worst} requests in a second");
}

// Without the store the permit can't be renewed, and another gateway may get it.
#[test]
fn cold_engine_is_left_when_the_store_is_away() {
    let (world, [_desk, _warm, cold]) = world("away", 1, 12.0, Duration::from_mins(1));
    assert_eq!(
        submit(&world, 0, "b1", &submission(1, 1, 60, 10)).status,
        202
    );
    until("the cold engine is used", || {
        (cold.arrivals().len() > 5).then_some(())
    });
    world.store.set_faults(Faults {
        silent: true,
        ..Faults::default()
    });
    thread::sleep(PERMIT_END);
    let count = cold.arrivals().len();
    thread::sleep(Duration::from_secs(1));
    assert_eq!(cold.arrivals().len(), count, "sent without a permit");
    world.gateways[0].line("The permit for cold endpoints is lost.");
    world.store.set_faults(Faults::default());
    until("the cold engine is used again", || {
        (cold.arrivals().len() > count).then_some(())
    });
    assert!(worst_second(&cold) <= BOUND);
}

// The next holder must not add its sends to those of one that was killed.
#[test]
fn permit_of_a_killed_holder_is_acquired_elsewhere() {
    let (mut world, [_desk, _warm, cold]) = world("holder", 2, 12.0, Duration::from_mins(1));
    assert_eq!(
        submit(&world, 0, "b1", &submission(1, 1, 20, 10)).status,
        202
    );
    until("the cold engine is used", || {
        (cold.arrivals().len() > 5).then_some(())
    });
    world.gateways[0].kill();
    let count = cold.arrivals().len();
    world.gateways[1].line("The permit for cold endpoints is held.");
    until("the cold engine is used again", || {
        (cold.arrivals().len() > count).then_some(())
    });
    check_whole(&results(&world, 1, "b1", 200), 8);
    assert!(worst_second(&cold) <= BOUND);
}

// A gateway that stops leaves the permit to the others at once.
#[test]
fn permit_is_released_by_a_planned_stop() {
    let (mut world, [_desk, _warm, cold]) = world("release", 1, 12.0, Duration::from_mins(1));
    assert_eq!(
        submit(&world, 0, "b1", &submission(1, 1, 60, 10)).status,
        202
    );
    until("the cold engine is used", || {
        (!cold.arrivals().is_empty()).then_some(())
    });
    world.gateways[0].signal(rustix::process::Signal::TERM);
    assert_eq!(world.gateways[0].wait().code(), Some(0));
    let rows = world.store.rows("duties");
    let (_, _, row) = rows
        .iter()
        .find(|(_, key, _)| key == "cold/guide-lm")
        .unwrap();
    let row: serde_json::Value = serde_json::from_slice(row).unwrap();
    assert_eq!(row["holder"], "");
}

// A declared limit that leaves no gateway a request: calls must not wait for their deadlines.
#[test]
fn calls_are_refused_while_all_engines_are_cold() {
    let (world, [_desk, warm, cold]) = world("refused", 1, 1.0, Duration::from_secs(20));
    warm.report_cold(Duration::from_secs(10));
    let gateway = &world.gateways[0];
    until("both engines are cold", || {
        (lines(gateway, "An endpoint is cold.") == 2).then_some(())
    });
    let start = Instant::now();
    let answer = gateway.call("POST", "/ask/x", "call", b"");
    assert!(start.elapsed() < Duration::from_secs(1));
    assert!(answer.status == 503 || answer.status == 429, "{answer:?}");
    let after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!((7.0..=12.0).contains(&after), "{answer:?}");
    assert!(warm.arrivals().is_empty() && cold.arrivals().is_empty());
    // One that is warm before the deadline is waited for.
    warm.report_cold(Duration::from_secs(2));
    until("the end is known", || {
        let answer = gateway.call("POST", "/ask/x", "later", b"");
        (answer.status == 200).then_some(())
    });
    assert!(start.elapsed() > Duration::from_secs(1));
    assert_eq!(cold.arrivals().len(), 0);
}

// Without declared limits, entries that tell of coldness change nothing.
#[test]
fn service_without_a_limit_is_served_as_before() {
    let (world, [_desk, warm, cold]) = world("plain", 1, 0.0, Duration::from_mins(1));
    assert_eq!(
        submit(&world, 0, "b1", &submission(1, 1, 10, 10)).status,
        202
    );
    check_whole(&results(&world, 0, "b1", 100), 8);
    let (warm, cold) = (warm.arrivals().len(), cold.arrivals().len());
    assert!(cold * 3 >= warm, "{cold} and {warm} items");
    assert_eq!(lines(&world.gateways[0], "An endpoint is cold."), 0);
    let rows = world.store.rows("duties");
    assert!(rows.iter().all(|(_, key, _)| !key.starts_with("cold/")));
}
