//! Calls through a gateway, to endpoints that answer well and badly.

mod gateway_world;

use gateway_world::{HOST, World, ask, raw, until};
use hibiscusroad_standins::direct::{Behaviour, Faults};
use std::time::{Duration, Instant};

#[test]
fn call_gets_its_endpoints_whole_answer() {
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

// The caller sees one answer, its own. An endpoint sends an answer that belongs
// to another request, or none with a signature, or stops in the middle of it;
// the gateway must not pass any of these on, and has another endpoint to ask.
#[test]
fn answers_of_faulty_endpoints_reach_nobody() {
    let (world, desk, _engine) = World::ready("faulty", 1);
    let sound = world.endpoint("hut-desk", "i-sound", &[]);
    until("the second endpoint is known", || {
        let answer = world.gateways[0].call("POST", "/desk/x", "warm", b"");
        answer.text().starts_with("i-sound").then_some(())
    });
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

// The caller of a request that must not run twice gets "unknown", not another
// run: its endpoint began to work and the answer broke off.
#[test]
fn once_only_request_is_not_repeated_after_a_torn_answer() {
    let (world, desk, _engine) = World::ready("once", 1);
    let other = world.endpoint("hut-desk", "i-other", &[]);
    desk.set_behaviour(Behaviour::Torn);
    other.set_behaviour(Behaviour::Torn);
    let answer = world.gateways[0].call("POST", "/once/book", "once-1", b"");
    assert_eq!(answer.status, 502, "{}", answer.text());
    let ran = desk.runs().into_iter().chain(other.runs());
    assert_eq!(ran.filter(|ran| ran.id == "once-1").count(), 1);
}

// The caller is told "not run" with a time to come back, and nothing ran: every
// endpoint says that it is full.
#[test]
fn refusal_by_full_endpoints_names_a_time_to_return() {
    let (world, desk, _engine) = World::ready("full", 1);
    desk.set_behaviour(Behaviour::Refusing);
    let start = Instant::now();
    let answer = world.gateways[0].call("POST", "/once/book", "full-1", b"");
    assert_eq!(answer.status, 503, "{}", answer.text());
    let after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!(after > 0.0);
    assert!(start.elapsed() < Duration::from_secs(4));
    assert!(desk.runs().iter().all(|ran| ran.id != "full-1"));
}

// A parent puts the phone away while the answer is awaited: the connection
// closes. The endpoint must see its own connection close, or it would go on
// working for nobody.
#[test]
fn work_of_a_caller_that_left_is_cancelled() {
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
    let left = ran.iter().find(|ran| ran.id == "left-1").unwrap();
    assert!(!left.is_complete, "the endpoint worked on");
}

// The caller gets its answer at its route's time limit, not at its own far
// deadline: the endpoint says nothing at all.
#[test]
fn silent_endpoint_is_given_up_at_the_routes_time_limit() {
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
    let took = start.elapsed();
    assert!(took > Duration::from_millis(2_500), "{took:?}");
    assert!(took < Duration::from_millis(3_500), "{took:?}");
}

// Callers are served while the store is away: what is known stays in force, and
// the process stays ready. Only a path without a route is not denied then,
// since a route may have been added that this process can't have heard of.
#[test]
fn outage_of_the_store_stops_no_call() {
    let (world, _desk, _engine) = World::ready("outage", 1);
    let gateway = &world.gateways[0];
    assert_eq!(gateway.call("POST", "/nowhere/x", "n-1", b"").status, 404);
    world.store.set_faults(Faults {
        silent: true,
        ..Faults::default()
    });
    until("the configuration is no longer sure", || {
        let answer = gateway.call("POST", "/nowhere/x", "n-2", b"");
        (answer.status == 503).then_some(())
    });
    assert_eq!(gateway.call("POST", "/desk/x", "o-1", b"").status, 200);
    world.wait_ready(0);
    world.store.set_faults(Faults::default());
    until("the configuration is sure again", || {
        let answer = gateway.call("POST", "/nowhere/x", "n-3", b"");
        (answer.status == 404).then_some(())
    });
}

// An endpoint that says that it leaves gets no new work, though it still
// answers; one whose entry is removed neither.
#[test]
fn leaving_endpoint_gets_no_new_work() {
    let (world, desk, _engine) = World::ready("leaving", 1);
    let other = world.endpoint("hut-desk", "i-other", &[]);
    until("the second endpoint is known", || {
        let answer = world.gateways[0].call("POST", "/desk/x", "warm", b"");
        answer.text().starts_with("i-other").then_some(())
    });
    desk.register("draining");
    std::thread::sleep(Duration::from_millis(300));
    let before = desk.runs().len();
    for n in 0..10 {
        let answer = world.gateways[0].call("POST", "/desk/x", &format!("l-{n}"), b"");
        assert!(answer.text().starts_with("i-other"));
    }
    assert_eq!(desk.runs().len(), before);
    drop(other);
}

// The caller sees each event as the engine makes it, not all at the end.
#[test]
fn stream_is_passed_on_as_it_comes() {
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
    let mut first = None;
    let mut buffer = [0; 1024];
    while let Ok(n) = std::io::Read::read(&mut stream, &mut buffer) {
        if n == 0 {
            break;
        }
        text.push_str(&String::from_utf8_lossy(&buffer[..n]));
        if text.contains("s-1-1") {
            first.get_or_insert(start.elapsed());
        }
    }
    assert!(text.contains("s-1-8"), "{text}");
    assert!(text.ends_with("0\r\n\r\n"), "the end is missing: {text}");
    assert!(first.unwrap() < Duration::from_millis(700), "{first:?}");
    assert!(start.elapsed() > Duration::from_secs(1));
}

// Bodies larger than what is kept for a second attempt pass as they come.
#[test]
fn large_body_reaches_its_endpoint_whole() {
    let (world, _desk, _engine) = World::ready("body", 1);
    let body = vec![b'x'; 900_000];
    let answer = world.gateways[0].call("POST", "/desk/x", "large-1", &body);
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body.len(), "i-desk answers ".len() + body.len());
}

/// Reads a stream of events of the request `id`, and calls `act` once, when event 3
/// has come. Returns all that came.
fn read_stream(world: &World, path: &str, id: &str, mut act: impl FnMut()) -> String {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Model: guide\r\n\
         X-Deadline-Ms: 9000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
    let mut stream = raw(world.gateways[0].callers, head.as_bytes());
    let (mut text, mut acted) = (String::new(), false);
    let mut buffer = [0; 1024];
    while let Ok(n) = std::io::Read::read(&mut stream, &mut buffer) {
        if n == 0 {
            break;
        }
        text.push_str(&String::from_utf8_lossy(&buffer[..n]));
        if !acted && text.contains(&format!("{id}-3")) {
            acted = true;
            act();
        }
    }
    text
}

// An engine breaks off two streams after their third event. Where the route allows
// it, the caller gets the events from the fourth on from another run, each once and
// in one answer; where it doesn't, the answer must not look complete.
#[test]
fn broken_stream_goes_on_where_it_may() {
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
    let whole = read_stream(&world, "/again/x", "s-1", || engine.relay().cut_all());
    let places: Vec<usize> = (1..=8)
        .map(|n| {
            let event = format!("data: s-1-{n}\n");
            assert_eq!(whole.matches(&event).count(), 1, "event {n}: {whole}");
            whole.find(&event).unwrap()
        })
        .collect();
    assert!(places.is_sorted(), "{whole}");
    assert!(whole.ends_with("0\r\n\r\n"), "the end is missing: {whole}");
    let ran = engine.runs().into_iter().filter(|ran| ran.id == "s-1");
    let after: Vec<Option<u64>> = ran.map(|ran| ran.last_event_id).collect();
    assert!(after.len() == 2 && after[1] >= Some(3), "{after:?}");
    let torn = read_stream(&world, "/single/x", "s-2", || engine.relay().cut_all());
    assert!(
        !torn.contains("s-2-8") && !torn.ends_with("0\r\n\r\n"),
        "{torn}"
    );
    assert_eq!(
        engine.runs().iter().filter(|ran| ran.id == "s-2").count(),
        1
    );
}
