//! Calls through a gateway to sound and faulty endpoints.

mod gateway_world;

use gateway_world::{Gateway, HOST, World, ask, raw, until};
use hibiscusroad_standins::direct::{Behaviour, Faults};
use std::time::{Duration, Instant};

/// Waits until a gateway knows an endpoint. A request may go to another one, to which the
/// gateway has a connection.
fn wait_known(gateway: &Gateway, endpoint: &str) {
    until("the endpoint is known", || {
        let mut lines = gateway.lines().into_iter();
        lines.find(|line| line["text"] == "An endpoint is known." && line["endpoint"] == endpoint)
    });
}

#[test]
fn call_returns_the_endpoints_complete_answer() {
    let (world, desk, _engine) = World::ready("calls", 1);
    let answer = world.gateways[0].call("POST", "/desk/4/a?b=c", "id-1", b"two nights");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.text(), "i-desk answers two nights");
    assert_eq!(answer.header("x-server-stamp"), Some("stamp-id-1"));
    assert_eq!(answer.header("x-request-id"), Some("id-1"));
    let ran = desk.runs();
    let ran = ran.iter().find(|ran| ran.id == "id-1").unwrap();
    assert_eq!(ran.path, "/desk/4/a");
}

// A gateway must not pass on an answer that belongs to another request, lacks the
// signature or is truncated, but ask another endpoint.
#[test]
fn invalid_answers_are_retried_at_another_endpoint() {
    let (world, desk, _engine) = World::ready("faulty", 1);
    let sound = world.endpoint("hut-desk", "i-sound", &[]);
    wait_known(&world.gateways[0], "i-sound");
    for manner in [Behaviour::Foreign, Behaviour::Unsigned, Behaviour::Torn] {
        desk.set_behaviour(manner);
        for n in 0..6 {
            let id = format!("{manner:?}-{n}");
            let answer = world.gateways[0].call("POST", "/desk/x", &id, b"");
            assert_eq!(answer.status, 200, "{id}: {}", answer.text());
            assert_eq!(answer.header("x-request-id"), Some(id.as_str()));
            assert!(
                answer.text().starts_with("i-sound"),
                "{id}: {}",
                answer.text()
            );
        }
    }
    assert!(!sound.runs().is_empty());
}

// A non-idempotent request whose answer was truncated may have run: it must end as
// "unknown" and not run again.
#[test]
fn non_idempotent_request_is_not_repeated_after_a_truncated_answer() {
    let (world, desk, _engine) = World::ready("once", 1);
    let other = world.endpoint("hut-desk", "i-other", &[]);
    desk.set_behaviour(Behaviour::Torn);
    other.set_behaviour(Behaviour::Torn);
    let answer = world.gateways[0].call("POST", "/once/book", "once-1", b"");
    assert_eq!(answer.status, 502, "{}", answer.text());
    let ran = desk.runs().into_iter().chain(other.runs());
    assert_eq!(ran.filter(|ran| ran.id == "once-1").count(), 1);
}

// Guards against an answer that says "not run" of a request that ran: 408, 429 and 503
// promise it, and an endpoint that does not confirm it may have run the request.
#[test]
fn status_that_promises_not_run_is_not_passed_on_unconfirmed() {
    let (world, desk, _engine) = World::ready("promise", 1);
    for status in [408, 429, 503] {
        desk.set_behaviour(Behaviour::Status(status));
        let id = format!("once-{status}");
        let answer = world.gateways[0].call("POST", "/once/book", &id, b"");
        assert_eq!(answer.status, 502, "{status}: {}", answer.text());
        let runs = desk.runs();
        assert_eq!(runs.iter().filter(|ran| ran.id == id).count(), 1);
    }
    let _sound = world.endpoint("hut-desk", "i-sound", &[]);
    wait_known(&world.gateways[0], "i-sound");
    for n in 0..6 {
        let answer = world.gateways[0].call("POST", "/desk/x", &format!("again-{n}"), b"");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}

// If all endpoints are saturated, the answer says that nothing ran and when to retry.
#[test]
fn refusal_by_saturated_endpoints_has_retry_after() {
    let (world, desk, _engine) = World::ready("full", 1);
    desk.set_behaviour(Behaviour::Refusing);
    let start = Instant::now();
    let answer = world.gateways[0].call("POST", "/once/book", "full-1", b"");
    assert_eq!(answer.status, 503, "{}", answer.text());
    let retry_after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!(retry_after > 0.0);
    assert!(start.elapsed() < Duration::from_secs(4));
    assert!(desk.runs().iter().all(|ran| ran.id != "full-1"));
}

// When a caller closes its connection, the connection to the endpoint must close too,
// or the endpoint would keep working on the request.
#[test]
fn request_is_cancelled_when_its_caller_disconnects() {
    let (world, desk, _engine) = World::ready("left", 1);
    desk.set_work_duration(Duration::from_secs(8));
    let head = format!(
        "POST /desk/slow HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: left-1\r\n\
         X-Deadline-Ms: 9000\r\nContent-Length: 0\r\n\r\n"
    );
    let stream = raw(world.gateways[0].callers, head.as_bytes());
    until("the endpoint has it", || {
        desk.runs()
            .iter()
            .any(|ran| ran.id == "left-1")
            .then_some(())
    });
    drop(stream);
    std::thread::sleep(Duration::from_millis(600));
    desk.set_work_duration(Duration::from_millis(5));
    let answer = world.gateways[0].call("POST", "/desk/next", "next-1", b"");
    assert_eq!(answer.status, 200);
    let ran = desk.runs();
    let abandoned = ran.iter().find(|ran| ran.id == "left-1").unwrap();
    assert!(!abandoned.is_complete, "the endpoint worked on");
}

// A request to a silent endpoint ends at the route's timeout if the caller's deadline
// is later.
#[test]
fn silent_endpoint_times_out_at_the_routes_timeout() {
    let (world, desk, _engine) = World::ready("silent", 1);
    desk.set_behaviour(Behaviour::Silent);
    let start = Instant::now();
    let headers = [("X-Request-Id", "silent-1"), ("X-Deadline-Ms", "60000")];
    let callers = world.gateways[0].callers;
    let answer = ask(
        "POST",
        callers,
        "/desk/x",
        &headers,
        b"",
        Duration::from_secs(20),
    );
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 504, "{}", answer.text());
    let elapsed = start.elapsed();
    assert!(elapsed > Duration::from_millis(2_500), "{elapsed:?}");
    assert!(elapsed < Duration::from_millis(3_500), "{elapsed:?}");
}

// While the store is down the known configuration stays in force and the process stays
// ready. An unknown path gets 503 in place of 404, since its route may be new.
#[test]
fn calls_are_served_while_the_store_is_down() {
    let (world, _desk, _engine) = World::ready("outage", 1);
    let gateway = &world.gateways[0];
    assert_eq!(gateway.call("POST", "/nowhere/x", "n-1", b"").status, 404);
    world.store.set_faults(Faults {
        silent: true,
        ..Faults::default()
    });
    until("the configuration is no longer current", || {
        let answer = gateway.call("POST", "/nowhere/x", "n-2", b"");
        (answer.status == 503).then_some(())
    });
    assert_eq!(gateway.call("POST", "/desk/x", "o-1", b"").status, 200);
    world.wait_ready(0);
    world.store.set_faults(Faults::default());
    until("the configuration is current again", || {
        let answer = gateway.call("POST", "/nowhere/x", "n-3", b"");
        (answer.status == 404).then_some(())
    });
}

// An endpoint that is registered as draining gets no new requests, though it answers.
#[test]
fn draining_endpoint_gets_no_new_requests() {
    let (world, desk, _engine) = World::ready("leaving", 1);
    let other = world.endpoint("hut-desk", "i-other", &[]);
    wait_known(&world.gateways[0], "i-other");
    desk.register("draining");
    std::thread::sleep(Duration::from_millis(300));
    let run_count = desk.runs().len();
    for n in 0..10 {
        let answer = world.gateways[0].call("POST", "/desk/x", &format!("l-{n}"), b"");
        assert!(answer.text().starts_with("i-other"));
    }
    assert_eq!(desk.runs().len(), run_count);
    drop(other);
}

// Each event is passed on when the engine sends it, not at the end of the stream.
#[test]
fn stream_is_passed_on_as_it_arrives() {
    let (world, _desk, engine) = World::ready("stream", 1);
    let route = serde_json::json!({ "name": "stream", "hostname": HOST, "prefix": "/stream/",
        "type": "streaming", "timeoutMs": 9000, "service": "guide-lm", "maxAttempts": 1 });
    world.configure(2, &[route]);
    engine.set_work_duration(Duration::from_millis(150));
    let head = format!(
        "POST /stream/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: s-1\r\nX-Model: guide\r\n\
         X-Deadline-Ms: 9000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
    until("the route is known", || {
        let answer = world.gateways[0].call("GET", "/stream/y", "warm", b"");
        (answer.status != 404).then_some(())
    });
    let start = Instant::now();
    let mut stream = raw(world.gateways[0].callers, head.as_bytes());
    let mut text = String::new();
    let mut first_event = None;
    let mut buffer = [0; 1024];
    while let Ok(n) = std::io::Read::read(&mut stream, &mut buffer) {
        if n == 0 {
            break;
        }
        text.push_str(&String::from_utf8_lossy(&buffer[..n]));
        if text.contains("s-1-1") {
            first_event.get_or_insert(start.elapsed());
        }
    }
    assert!(text.contains("s-1-8"), "{text}");
    assert!(text.ends_with("0\r\n\r\n"), "the end is missing: {text}");
    assert!(
        first_event.unwrap() < Duration::from_millis(700),
        "{first_event:?}"
    );
    assert!(start.elapsed() > Duration::from_secs(1));
}

// A body that is too large to be buffered is streamed to the endpoint.
#[test]
fn large_body_reaches_its_endpoint_complete() {
    let (world, _desk, _engine) = World::ready("body", 1);
    let body = vec![b'x'; 900_000];
    let answer = world.gateways[0].call("POST", "/desk/x", "large-1", &body);
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body.len(), "i-desk answers ".len() + body.len());
}

/// Sends the request `id` and reads its event stream to the end. Calls `on_third` once
/// event 3 has arrived. Returns everything that was read.
fn read_stream(world: &World, path: &str, id: &str, mut on_third: impl FnMut()) -> String {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Model: guide\r\n\
         X-Deadline-Ms: 9000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
    let mut stream = raw(world.gateways[0].callers, head.as_bytes());
    let (mut text, mut is_called) = (String::new(), false);
    let mut buffer = [0; 1024];
    while let Ok(n) = std::io::Read::read(&mut stream, &mut buffer) {
        if n == 0 {
            break;
        }
        text.push_str(&String::from_utf8_lossy(&buffer[..n]));
        if !is_called && text.contains(&format!("{id}-3")) {
            is_called = true;
            on_third();
        }
    }
    text
}

// A broken stream of a resumable route continues in the same answer with each event
// exactly once; that of another route must not look complete.
#[test]
fn broken_stream_is_resumed_only_on_resumable_routes() {
    let (world, _desk, engine) = World::ready("resume", 1);
    let route = |name: &str, resumable: bool| {
        serde_json::json!({ "name": name, "hostname": HOST, "prefix": format!("/{name}/"),
            "type": "streaming", "timeoutMs": 9000, "service": "guide-lm", "maxAttempts": 3,
            "resumable": resumable })
    };
    world.configure(2, &[route("again", true), route("single", false)]);
    engine.set_work_duration(Duration::from_millis(120));
    for path in ["/again/y", "/single/y"] {
        until("the route is known", || {
            let answer = world.gateways[0].call("GET", path, "warm", b"");
            (answer.status != 404).then_some(())
        });
    }
    let resumed = read_stream(&world, "/again/x", "s-1", || engine.relay().cut_all());
    let positions: Vec<usize> = (1..=8)
        .map(|n| {
            let event = format!("data: s-1-{n}\n");
            assert_eq!(resumed.matches(&event).count(), 1, "event {n}: {resumed}");
            resumed.find(&event).unwrap()
        })
        .collect();
    assert!(positions.is_sorted(), "{resumed}");
    assert!(
        resumed.ends_with("0\r\n\r\n"),
        "the end is missing: {resumed}"
    );
    let ran = engine.runs().into_iter().filter(|ran| ran.id == "s-1");
    let after: Vec<Option<u64>> = ran.map(|ran| ran.last_event_id).collect();
    assert!(after.len() == 2 && after[1] >= Some(3), "{after:?}");
    let truncated = read_stream(&world, "/single/x", "s-2", || engine.relay().cut_all());
    assert!(
        !truncated.contains("s-2-8") && !truncated.ends_with("0\r\n\r\n"),
        "{truncated}"
    );
    assert_eq!(
        engine.runs().iter().filter(|ran| ran.id == "s-2").count(),
        1
    );
}
