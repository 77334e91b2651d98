//! A gateway as a process: signals, settings, limits and logs.

mod gateway_world;

use gateway_world::{HOST, WAIT_TIMEOUT, World, ask, config, raw, read_all, settings_text, until};
use hibiscusroad_standins::{direct::Store, ports};
use rustix::process::Signal;
use std::{
    fs,
    io::{Read, Write},
    process::{Command, Stdio},
    thread,
    time::{Duration, Instant},
};

// A process without a configuration must not be ready, and tells callers to retry.
#[test]
fn gateway_without_configuration_is_not_ready() {
    let mut world = World::start("unready");
    world.gateway();
    let ready = world.gateways[0].ready;
    let answer = until("the process listens", || {
        ask("GET", ready, "/readyz", &[], b"", Duration::from_secs(1))
    });
    assert_eq!(answer.status, 503);
    let answer = world.gateways[0].call("POST", "/desk/x", "u-1", b"");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    world.configure(1, &[]);
    world.wait_ready(0);
}

// SIGHUP reloads the settings and must not end the process, also if they are broken.
#[test]
fn sighup_reloads_the_settings() {
    let (mut world, _desk, _engine) = World::ready("hangup", 1);
    let other = std::sync::Arc::new(Store::start().unwrap());
    other.put_json("op", "config", &config(9, &[]));
    let gateway = &mut world.gateways[0];
    let text = settings_text(
        &gateway.name,
        gateway.callers,
        gateway.ready,
        gateway.metrics,
        other.addr(),
        "",
    );
    fs::write(&gateway.settings, text).unwrap();
    gateway.signal(Signal::HUP);
    until("the new store is asked", || {
        other
            .calls()
            .iter()
            .any(|call| call.contains("rows-"))
            .then_some(())
    });
    assert!(gateway.is_running());
    fs::write(&gateway.settings, "name = 7").unwrap();
    gateway.signal(Signal::HUP);
    gateway.line("Changed settings are broken");
    assert_eq!(gateway.call("POST", "/desk/x", "h-1", b"").status, 200);
}

// In a planned stop requests in flight are answered with `Connection: close`, readiness
// ends at once, and the process exits with 0 when no request is left.
#[test]
fn planned_stop_answers_requests_in_flight() {
    let (mut world, desk, _engine) = World::ready("stop", 1);
    desk.set_work_duration(Duration::from_millis(1_200));
    let callers = world.gateways[0].callers;
    let slow = thread::spawn(move || {
        let headers = [("X-Request-Id", "slow-1"), ("X-Deadline-Ms", "5000")];
        ask(
            "POST",
            callers,
            "/desk/slow",
            &headers,
            b"",
            Duration::from_secs(9),
        )
    });
    until("the endpoint has it", || {
        desk.runs()
            .iter()
            .any(|ran| ran.id == "slow-1")
            .then_some(())
    });
    let gateway = &mut world.gateways[0];
    gateway.signal(Signal::TERM);
    let ready = gateway.ready;
    until("the process is not ready", || {
        let answer = ask("GET", ready, "/readyz", &[], b"", Duration::from_secs(1));
        (answer?.status == 503).then_some(())
    });
    let answer = slow.join().unwrap().expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("connection"), Some("close"));
    assert_eq!(gateway.wait().code(), Some(0));
}

// Guards against a repeated restart that cuts off requests in flight.
#[test]
fn second_signal_does_not_cut_off_requests_in_flight() {
    let (mut world, desk, _engine) = World::ready("second-signal", 1);
    desk.set_work_duration(Duration::from_millis(1_500));
    let callers = world.gateways[0].callers;
    let answered = thread::spawn(move || {
        let headers = [("X-Request-Id", "slow-1"), ("X-Deadline-Ms", "5000")];
        ask("POST", callers, "/desk/slow", &headers, b"", WAIT_TIMEOUT)
    });
    until("the endpoint has it", || {
        let runs = desk.runs();
        runs.iter().any(|ran| ran.id == "slow-1").then_some(())
    });
    let gateway = &mut world.gateways[0];
    gateway.signal(Signal::TERM);
    let ready = gateway.ready;
    until("the process is not ready", || {
        let answer = ask("GET", ready, "/readyz", &[], b"", Duration::from_secs(1));
        (answer?.status == 503).then_some(())
    });
    gateway.signal(Signal::TERM);
    assert_eq!(answered.join().unwrap().unwrap().status, 200);
    assert_eq!(gateway.wait().code(), Some(0));
}

// Connections with a partial request or none must time out, or they would exhaust file
// descriptors. A connection that is reused within the idle timeout stays open.
#[test]
fn slow_and_idle_connections_time_out() {
    let (world, _desk, _engine) = World::ready("limits", 1);
    let callers = world.gateways[0].callers;
    let start = Instant::now();
    let mut slow = raw(callers, b"POST /desk/x HTTP/1.1\r\nHost: huts");
    let mut idle = raw(callers, b"");
    assert_eq!(read_all(&mut slow), "");
    let elapsed = start.elapsed();
    assert!(
        elapsed > Duration::from_millis(500) && elapsed < Duration::from_millis(2_500),
        "{elapsed:?}"
    );
    assert_eq!(read_all(&mut idle), "");
    assert!(start.elapsed() > Duration::from_millis(2_700));
    let request = format!(
        "POST /desk/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: k-1\r\nContent-Length: 0\r\n\r\n"
    );
    let mut kept = raw(callers, request.as_bytes());
    let mut buffer = [0; 4096];
    assert!(kept.read(&mut buffer).unwrap() > 0);
    thread::sleep(Duration::from_millis(2_300));
    kept.write_all(request.as_bytes()).unwrap();
    let n = kept.read(&mut buffer).unwrap();
    assert!(buffer[..n].starts_with(b"HTTP/1.1 200"));
}

#[test]
fn oversized_requests_are_refused() {
    let (world, _desk, _engine) = World::ready("large", 1);
    let gateway = &world.gateways[0];
    let answer = gateway.call("POST", "/desk/x", "b-1", &vec![b'x'; 1_100_000]);
    assert_eq!(answer.status, 413);
    let long = "x".repeat(40_000);
    let headers = [("X-Request-Id", "h-1"), ("X-Long", long.as_str())];
    let answer = ask(
        "GET",
        gateway.callers,
        "/desk/x",
        &headers,
        b"",
        Duration::from_secs(5),
    );
    assert_eq!(answer.unwrap().status, 431);
    let answer = ask(
        "POST",
        gateway.callers,
        "/desk/x",
        &[],
        b"",
        Duration::from_secs(5),
    );
    assert_eq!(answer.unwrap().status, 400, "a request without an id");
}

// A broken row in the store is logged, and what was in force before it stays so.
#[test]
fn broken_rows_are_logged_and_ignored() {
    let (world, _desk, _engine) = World::ready("broken", 1);
    let gateway = &world.gateways[0];
    world
        .store
        .put_bytes("op", "config", b"{\"version\": 2, \"routes\": 7}");
    gateway.line("A configuration is broken");
    world.store.put_bytes("servers", "i-odd", b"not json");
    gateway.line("An endpoint's entry is broken");
    world.store.put_bytes("op", "version/guide", b"[]");
    gateway.line("A weight version is broken");
    world.store.put_bytes("batches", "odd", b"{}");
    assert_eq!(gateway.call("POST", "/desk/x", "s-1", b"").status, 200);
    // An older version that arrives late is ignored.
    world.configure(5, &[]);
    until("version 5 is in force", || {
        let mut lines = gateway.lines().into_iter();
        lines.find(|line| line["part"] == "config" && line["version"] == 5)
    });
    world.store.put_json(
        "op",
        "config",
        &serde_json::json!({ "version": 3, "routes": [] }),
    );
    thread::sleep(Duration::from_millis(300));
    assert_eq!(gateway.call("POST", "/desk/x", "s-2", b"").status, 200);
}

// If the feed's history was compacted the table is read again, so that no change is
// missed.
#[test]
fn configuration_arrives_after_the_history_was_compacted() {
    let (world, _desk, _engine) = World::ready("history", 1);
    let route = serde_json::json!({ "name": "late", "hostname": HOST, "prefix": "/late/",
        "type": "idempotent", "timeoutMs": 2000, "service": "hut-desk", "maxAttempts": 2 });
    world.store.compact_log();
    world.configure(2, &[route]);
    world.store.compact_log();
    until("the new route is served", || {
        let answer = world.gateways[0].call("POST", "/late/x", "late-1", b"");
        (answer.status == 200).then_some(())
    });
}

// Requests must not be delayed if nothing reads the process's standard output.
#[test]
fn unread_output_delays_no_request() {
    let (world, _desk, _engine) = World::ready("unread", 1);
    let name = "gateway-unread";
    let [callers, ready, metrics] = [(); 3].map(|()| ports::free_port().unwrap());
    let log_settings = "\n[log]\nlevel = \"debug\"\n";
    let text = settings_text(
        name,
        callers,
        ready,
        metrics,
        world.store.addr(),
        log_settings,
    );
    let file = world.dir.join("unread.toml");
    fs::write(&file, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_hibiscusroadd"));
    command.arg(&file).stdout(Stdio::piped());
    let mut child = ports::with_spawn_lock(|| command.spawn()).unwrap();
    let call = |id: &str| {
        let headers = [("X-Request-Id", id), ("X-Deadline-Ms", "3000")];
        ask(
            "POST",
            callers,
            "/nowhere/x",
            &headers,
            b"",
            Duration::from_secs(4),
        )
    };
    until("the process answers", || {
        call("u-0").filter(|a| a.status == 404).map(|_| ())
    });
    // Enough requests to write more log lines than a pipe holds.
    let desk = |id: &str| {
        let headers = [("X-Request-Id", id), ("X-Deadline-Ms", "3000")];
        ask(
            "POST",
            callers,
            "/desk/x",
            &headers,
            b"",
            Duration::from_secs(4),
        )
    };
    until("endpoints are known", || {
        desk("u-1").filter(|a| a.status == 200).map(|_| ())
    });
    for n in 0..1_500 {
        let start = Instant::now();
        assert_eq!(
            desk(&format!("{n}-{}", "i".repeat(200))).unwrap().status,
            200
        );
        assert!(start.elapsed() < Duration::from_secs(1));
    }
    child.kill().unwrap();
    child.wait().unwrap();
}

#[test]
fn all_errors_in_gateway_settings_are_reported() {
    let world = World::start("faults");
    let file = world.dir.join("faults.toml");
    fs::write(
        &file,
        "name = \"g\"\nhost = \"g\"\nplace = \"senec\"\nregion = \"zapad\"\n\
         [gateway]\ncallers = \"127.0.0.1:1\"\nready = \"127.0.0.1:1\"\nstore = \"here\"\n\
         lease = 3\n",
    )
    .unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_hibiscusroadd"))
        .arg("--check")
        .arg(&file)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    for line in [
        "gateway.ready: found 127.0.0.1:1",
        "gateway.store: found \"here\"",
        "gateway.lease:",
    ] {
        assert!(errors.contains(line), "{line} is not in {errors}");
    }
}

// The log is the audit trail: each change names its actor, the old and the new value.
#[test]
fn changes_are_logged_with_their_previous_values() {
    let (world, _desk, engine) = World::ready("audit", 1);
    let gateway = &world.gateways[0];
    world.configure(5, &[]);
    let named = serde_json::json!({ "model": "guide", "version": 2 });
    world.store.put_json("op", "version/guide", &named);
    until("the engine has loaded", || {
        (engine.version("guide") == 2).then_some(())
    });
    let held = gateway.line("The lease of the duties is held");
    let order = gateway.line("An order was given");
    assert_eq!((&held["fence"], &held["from"]), (&1.into(), &"".into()));
    assert_eq!(order["holder"], held["holder"]);
    assert_eq!((&order["from"], &order["version"]), (&1.into(), &2.into()));
    let change = until("the configuration is logged", || {
        let mut lines = gateway.lines().into_iter();
        lines.find(|line| line["part"] == "config" && line["version"] == 5)
    });
    assert_eq!(change["from"], 1);
    let time = change["time"].as_str();
    assert!(time.is_some_and(|time| time.ends_with('Z')), "{change}");
}

// The log line of an answered request names its endpoint and its latency.
#[test]
fn answered_request_is_logged_with_its_endpoint() {
    let (world, _desk, _engine) = World::ready("answered", 1);
    let gateway = &world.gateways[0];
    assert_eq!(gateway.call("POST", "/desk/x", "good-1", b"").status, 200);
    let line = until("the answer is logged", || {
        let mut lines = gateway.lines().into_iter();
        lines.find(|line| line["text"] == "A request is answered." && line["id"] == "good-1")
    });
    assert_eq!(
        (&line["endpoint"], &line["status"]),
        (&"i-desk".into(), &200.into())
    );
    assert_eq!(line["service"], "hut-desk");
    assert!(line["took_ms"].as_u64().is_some());
}
