//! Client accounts and their API keys, as callers and endpoints see them.

mod gateway_world;

use gateway_world::{
    Answer, Gateway, HOST, WAIT_TIMEOUT, World, ask,
    batches::{read, submit},
    config, submission, until,
};
use hibiscusroad_standins::{
    direct::{Endpoint, ExecutedRequest, Faults},
    relay::Relay,
};
use serde_json::{Value, json};
use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

const CHARITY_KEY_1: &str = "Bearer charity-key-1";
const CHARITY_KEY_2: &str = "Bearer charity-key-2";
const SCHOOL_KEY: &str = "Bearer school-key";

/// Returns a configuration with two client accounts; the first has the keys with these numbers.
fn account_config(version: u64, keys: &[u32]) -> Value {
    let keys: Vec<String> = keys.iter().map(|n| format!("charity-key-{n}")).collect();
    let public = json!({ "name": "open", "hostname": HOST, "prefix": "/open/",
        "type": "idempotent", "timeoutMs": 3000, "service": "hut-desk", "maxAttempts": 2,
        "public": true });
    let mut config = config(version, &[public]);
    config["tenants"] = json!([
        { "name": "charity", "apiKeys": keys, "priority": 0 },
        { "name": "school", "apiKeys": ["school-key"] },
    ]);
    config
}

/// Starts a deployment with client accounts.
fn start_world(test: &str, gateways: usize) -> (World, Endpoint, Endpoint) {
    let mut world = World::start(test);
    world
        .store
        .put_json("op", "config", &account_config(1, &[1, 2]));
    let endpoint = world.endpoint("hut-desk", "i-desk", &[]);
    let engine = world.endpoint("guide-lm", "i-lm", &["guide"]);
    for _ in 0..gateways {
        world.gateway();
    }
    for n in 0..gateways {
        world.wait_ready(n);
        until("the endpoints are known", || {
            let answer = call(&world.gateways[n], "/desk/warm", "warm", &[SCHOOL_KEY]);
            (answer.status == 200).then_some(())
        });
    }
    (world, endpoint, engine)
}

/// Sends a request with keys, and with a forged account header.
fn call(gateway: &Gateway, path: &str, id: &str, keys: &[&str]) -> Answer {
    call_with_keys(gateway, "POST", path, id, b"", keys)
}

fn call_with_keys(
    gateway: &Gateway,
    method: &str,
    path: &str,
    id: &str,
    body: &[u8],
    keys: &[&str],
) -> Answer {
    let mut headers = vec![
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "5000"),
        ("X-Tenant", "somebody"),
    ];
    headers.extend(keys.iter().map(|key| ("Authorization", *key)));
    ask(method, gateway.callers, path, &headers, body, WAIT_TIMEOUT).expect("an answer")
}

fn find_run(endpoint: &Endpoint, id: &str) -> Option<ExecutedRequest> {
    endpoint.runs().into_iter().find(|ran| ran.id == id)
}

#[test]
fn endpoints_receive_the_account_but_not_the_key() {
    let (world, endpoint, _engine) = start_world("named", 1);
    let gateway = &world.gateways[0];
    for (id, path, keys, account) in [
        ("a1", "/desk/a", &[CHARITY_KEY_1][..], Some("charity")),
        ("a2", "/desk/a", &[CHARITY_KEY_2], Some("charity")),
        ("a3", "/once/a", &[SCHOOL_KEY], Some("school")),
        ("a4", "/open/a", &[], None),
        ("a5", "/open/a", &[SCHOOL_KEY], Some("school")),
        ("a6", "/open/a", &["Bearer wrong"], None),
    ] {
        assert_eq!(call(gateway, path, id, keys).status, 200, "{id}");
        let ran = find_run(&endpoint, id).unwrap();
        assert_eq!(ran.account.as_deref(), account, "{id}");
        assert!(
            !ran.has_authorization,
            "the endpoint received the key of {id}"
        );
    }
}

#[test]
fn refusal_of_a_caller_without_a_valid_key_names_the_cause() {
    let (world, endpoint, _engine) = start_world("denied", 1);
    let gateway = &world.gateways[0];
    let long = format!("Bearer {}", "k".repeat(8 << 10));
    let cases = [
        (&[][..], "key-missing"),
        (&[""], "key-malformed"),
        (&["charity-key-1"], "key-malformed"),
        (&["Basic charity-key-1"], "key-malformed"),
        (&[CHARITY_KEY_1, CHARITY_KEY_1], "key-malformed"),
        (&["Bearer charity-key-3"], "key-unknown"),
        (&[long.as_str()], "key-unknown"),
    ];
    for (n, (keys, kind)) in cases.into_iter().enumerate() {
        let id = format!("d{n}");
        let answer = call(gateway, "/desk/a", &id, keys);
        assert_eq!(answer.status, 401, "{id}: {}", answer.text());
        assert_eq!(answer.json()["type"], kind, "{id}");
        assert_eq!(answer.header("www-authenticate"), Some("Bearer"));
        assert!(find_run(&endpoint, &id).is_none());
    }
    // Exceeds the limit on the size of all headers.
    let huge = format!("Bearer {}", "k".repeat(64 << 10));
    let answer = ask(
        "POST",
        gateway.callers,
        "/desk/a",
        &[("X-Request-Id", "huge"), ("Authorization", &huge)],
        b"",
        WAIT_TIMEOUT,
    );
    assert!(answer.is_none_or(|answer| answer.status == 431));
    // The log has the cause under the request's ID, and no key.
    let line = gateway.line("A request is not allowed");
    assert_eq!(
        (&line["id"], &line["kind"]),
        (&json!("d0"), &json!("key-missing"))
    );
    let output = std::fs::read_to_string(&gateway.output).unwrap();
    assert!(!output.contains("charity-key") && !output.contains("school-key"));
}

// Guards against serving a request with a revoked key once a gateway has the configuration
// that revokes it.
#[test]
fn revoked_key_is_refused() {
    let (world, endpoint, _engine) = start_world("revoked", 2);
    world
        .store
        .put_json("op", "config", &account_config(2, &[2, 3]));
    for gateway in &world.gateways {
        until("the new key is known", || {
            let answer = call(gateway, "/desk/a", "new", &["Bearer charity-key-3"]);
            (answer.status == 200).then_some(())
        });
        let answer = call(gateway, "/desk/a", "old", &[CHARITY_KEY_1]);
        assert_eq!(answer.status, 401);
        assert_eq!(
            call(gateway, "/desk/a", "kept", &[CHARITY_KEY_2]).status,
            200
        );
    }
    assert!(find_run(&endpoint, "old").is_none());
}

// Guards against access to a batch by other accounts, for which it must seem not to exist, and
// against loss of access for the other keys of its account when the key that submitted it is
// revoked.
#[test]
fn batches_are_accessible_to_all_keys_of_their_account_only() {
    let (world, _endpoint, engine) = start_world("owned", 2);
    engine.set_work_duration(Duration::from_millis(60));
    let body = submission(1, 1, 1, 2).to_string();
    let submit = |n: usize, key: &str| {
        let gateway = &world.gateways[n];
        call_with_keys(gateway, "POST", "/lm/step", "b1", body.as_bytes(), &[key])
    };
    let status_of = |n: usize, method: &str, path: &str, keys: &[&str]| {
        call_with_keys(&world.gateways[n], method, path, "reader", b"", keys).status
    };
    assert_eq!(submit(0, CHARITY_KEY_1).status, 202);
    world
        .store
        .put_json("op", "config", &account_config(2, &[2]));
    until("the first key is revoked", || {
        (0..2)
            .all(|n| status_of(n, "GET", "/lots/b1?after=0", &[CHARITY_KEY_1]) == 401)
            .then_some(())
    });
    for n in 0..2 {
        let foreign = submit(n, SCHOOL_KEY);
        let missing = call_with_keys(
            &world.gateways[n],
            "GET",
            "/lots/none",
            "r",
            b"",
            &[SCHOOL_KEY],
        );
        assert_eq!((foreign.status, foreign.text()), (404, missing.text()));
        for keys in [&[][..], &[SCHOOL_KEY]] {
            let expected = if keys.is_empty() { 401 } else { 404 };
            assert_eq!(status_of(n, "GET", "/lots/b1?after=0", keys), expected);
            assert_eq!(
                status_of(n, "GET", "/items/b1?id=item-1-0-0", keys),
                expected
            );
            assert_eq!(status_of(n, "DELETE", "/lots/b1", keys), expected);
        }
        assert_eq!(
            status_of(n, "GET", "/items/b1?id=item-1-0-0", &[CHARITY_KEY_2]),
            200
        );
        assert_eq!(submit(n, CHARITY_KEY_2).status, 202);
    }
    until("all results are read with the other key", || {
        let answer = call_with_keys(
            &world.gateways[1],
            "GET",
            "/lots/b1",
            "r",
            b"",
            &[CHARITY_KEY_2],
        );
        (answer.json()["results"].as_array()?.len() == 2).then_some(())
    });
    let ran = engine.runs();
    assert!(!ran.is_empty());
    for ran in ran {
        assert_eq!(ran.account.as_deref(), Some("charity"));
        assert!(!ran.has_authorization);
    }
    assert_eq!(status_of(1, "DELETE", "/lots/b1", &[CHARITY_KEY_2]), 200);
}

// Guards against a takeover that loses the account of a batch, which engines receive and
// scorers don't.
#[test]
fn batch_keeps_its_account_after_a_takeover() {
    let (mut world, endpoint, engine) = start_world("moved", 2);
    engine.set_work_duration(Duration::from_millis(120));
    let body = submission(1, 1, 1, 2).to_string();
    let answer = call_with_keys(
        &world.gateways[0],
        "POST",
        "/lm/step",
        "b1",
        body.as_bytes(),
        &[CHARITY_KEY_1],
    );
    assert_eq!(answer.status, 202);
    until("items run", || (engine.runs().len() == 2).then_some(()));
    world.gateways[0].kill();
    until("all results are read", || {
        let answer = call_with_keys(
            &world.gateways[1],
            "GET",
            "/lots/b1",
            "r",
            b"",
            &[CHARITY_KEY_2],
        );
        (answer.json()["results"].as_array()?.len() == 2).then_some(())
    });
    let ran = engine.runs();
    assert!(ran.len() > 2, "nothing was taken over");
    assert!(ran.iter().all(|r| r.account.as_deref() == Some("charity")));
    let scored = endpoint
        .runs()
        .into_iter()
        .filter(|r| r.id.starts_with("score-"));
    assert!(
        scored
            .into_iter()
            .all(|r| r.account.is_none() && !r.has_authorization)
    );
}

// Guards against changed headers in a deployment without client accounts.
#[test]
fn callers_of_a_deployment_without_accounts_need_no_key() {
    let (world, endpoint, _engine) = World::ready("no-accounts", 1);
    let gateway = &world.gateways[0];
    assert_eq!(
        call(gateway, "/desk/a", "n1", &["Basic own-matter"]).status,
        200
    );
    let ran = find_run(&endpoint, "n1").unwrap();
    assert!(ran.has_authorization);
    assert_eq!(ran.account.as_deref(), Some("somebody"));
    assert_eq!(submit(&world, 0, "b1", &submission(1, 1, 1, 1)).status, 202);
    assert_eq!(read(&world, 0, "b1", 0).status, 200);
}

// Guards against refusing a new key at a gateway that does not have its configuration yet. The
// gateway must read the configuration before it refuses a key.
#[test]
fn new_key_is_accepted_by_a_gateway_with_an_old_configuration() {
    let (world, relay, _endpoint) = start_relayed_world("late", "");
    relay.set_delay(Duration::from_millis(70));
    // Longer than a long poll, since one that began earlier is not delayed.
    thread::sleep(Duration::from_millis(2_500));
    world
        .store
        .put_json("op", "config", &account_config(2, &[2, 3]));
    let answer = call(
        &world.gateways[0],
        "/desk/a",
        "new",
        &["Bearer charity-key-3"],
    );
    assert_eq!(answer.status, 200, "{}", answer.text());
}

// Guards against overloading the store with guessed keys: the reads that precede a refusal are
// shared by concurrent requests.
#[test]
fn guessed_keys_don_t_overload_the_store() {
    let (world, _endpoint, _engine) = start_world("guessed", 1);
    let reads = || {
        let calls = world.store.calls();
        let reads = calls.iter().filter(|call| *call == "GET /rows-get");
        reads.count() + world.store.feed_count("op")
    };
    let (before, start) = (reads(), Instant::now());
    thread::scope(|scope| {
        for n in 0..8 {
            let gateway = &world.gateways[0];
            scope.spawn(move || {
                for m in 0..10 {
                    let key = format!("Bearer guess-{n}-{m}");
                    let answer = call(gateway, "/desk/a", &format!("g-{n}-{m}"), &[&key]);
                    assert_eq!(answer.status, 401);
                }
            });
        }
    });
    // This includes reads for other reasons, at most two a second.
    let max_reads = 6.0 * (start.elapsed().as_secs_f64() + 1.0);
    assert!(
        ((reads() - before) as f64) < max_reads,
        "{} reads",
        reads() - before
    );
}

// Guards against serving a revoked key for longer than operators allow at a gateway that can
// reach its peer but not the store.
#[test]
fn revocation_arrives_through_a_peer() {
    let (world, relay, endpoint) = start_relayed_world("cut-store", "");
    relay.stop();
    world
        .store
        .put_json("op", "config", &account_config(2, &[2]));
    let start = Instant::now();
    let first = &world.gateways[0];
    until("the old key is refused", || {
        (call(first, "/desk/a", "old", &[CHARITY_KEY_1]).status == 401).then_some(())
    });
    assert!(
        start.elapsed() < Duration::from_secs(5),
        "{:?}",
        start.elapsed()
    );
    let before = endpoint.runs().len();
    assert_eq!(call(first, "/desk/a", "late", &[CHARITY_KEY_1]).status, 401);
    assert_eq!(endpoint.runs().len(), before);
}

// Guards against final refusals by a gateway that can reach neither the store nor a peer: a key
// that it doesn't know may be new. It must answer 503 instead, and to all keys once its
// configuration is older than the operator's limit.
#[test]
fn isolated_gateway_answers_that_it_can_t_check_keys() {
    let (mut world, relay, endpoint) = start_relayed_world("cut-all", "trust_ms = 4500\n");
    world.gateways[1].kill();
    relay.stop();
    world
        .store
        .put_json("op", "config", &account_config(2, &[2, 3]));
    let first = &world.gateways[0];
    assert_eq!(
        call(first, "/desk/a", "still", &[CHARITY_KEY_2]).status,
        200
    );
    thread::sleep(Duration::from_millis(3_200));
    let answer = call(first, "/desk/a", "new", &["Bearer charity-key-3"]);
    assert_eq!(answer.status, 503, "{}", answer.text());
    until("no key is accepted any more", || {
        (call(first, "/desk/a", "expired", &[CHARITY_KEY_2]).status == 503).then_some(())
    });
    let before = endpoint.runs().len();
    assert_eq!(
        call(first, "/desk/a", "after", &[CHARITY_KEY_1]).status,
        503
    );
    assert_eq!(endpoint.runs().len(), before);
    assert_eq!(call(first, "/open/a", "public", &[]).status, 200);
}

// Guards against refusing known keys during an outage of the store, if the operator sets no
// limit on the age of the configuration.
#[test]
fn known_keys_are_accepted_during_an_outage_of_the_store() {
    let (world, _endpoint, _engine) = start_world("away", 1);
    world.store.set_faults(Faults {
        silent: true,
        ..Faults::default()
    });
    thread::sleep(Duration::from_secs(4));
    assert_eq!(
        call(&world.gateways[0], "/desk/a", "a", &[CHARITY_KEY_1]).status,
        200
    );
    let answer = call(&world.gateways[0], "/desk/a", "b", &["Bearer unknown"]);
    assert_eq!(answer.status, 503);
}

/// Starts two gateways. The first has more settings, and is connected to the store through the
/// returned relay.
fn start_relayed_world(test: &str, settings: &str) -> (World, Relay, Endpoint) {
    let mut world = World::start(test);
    world
        .store
        .put_json("op", "config", &account_config(1, &[1, 2]));
    let endpoint = world.endpoint("hut-desk", "i-desk", &[]);
    let any_port = "127.0.0.1:0".parse().unwrap();
    let relay = Relay::start(any_port, world.store.addr()).unwrap();
    let first = Gateway::start(&world.dir, "gateway-1", relay.addr(), settings);
    world.gateways.push(first);
    world.gateway();
    for n in 0..2 {
        world.wait_ready(n);
        world.gateways[n].line("Peers are known");
        until("the endpoint is known", || {
            let answer = call(&world.gateways[n], "/desk/warm", "warm", &[SCHOOL_KEY]);
            (answer.status == 200).then_some(())
        });
    }
    (world, relay, endpoint)
}

// Guards against an account that delays others, has them refused, or starves the scorers of
// their batches, by sending much. The flood has earlier deadlines, and would go first without
// accounts.
#[test]
fn flood_of_one_account_does_not_delay_another() {
    let mut world = World::start("flood");
    let mut config = account_config(1, &[1]);
    config["tenants"][0]["priority"] = Value::Null;
    world.store.put_json("op", "config", &config);
    let endpoint = world.endpoint("hut-desk", "i-desk", &[]);
    endpoint.set_work_duration(Duration::from_millis(50));
    let _engine = world.endpoint("guide-lm", "i-lm", &["guide"]);
    world.gateway_with("contention = \"on\"\n");
    world.wait_ready(0);
    let gateway = &world.gateways[0];
    until("the endpoint is known", || {
        (call(gateway, "/desk/warm", "warm", &[SCHOOL_KEY]).status == 200).then_some(())
    });
    let is_over = AtomicBool::new(false);
    let (waits, metrics) = thread::scope(|scope| {
        for n in 0..60 {
            let is_over = &is_over;
            scope.spawn(move || {
                for m in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        break;
                    }
                    let id = format!("flood-{n}-{m}");
                    let headers = [
                        ("X-Request-Id", id.as_str()),
                        ("X-Deadline-Ms", "500"),
                        ("Authorization", SCHOOL_KEY),
                    ];
                    let path = "/desk/flood";
                    ask("POST", gateway.callers, path, &headers, b"", WAIT_TIMEOUT);
                }
            });
        }
        gateway.line("An account is refused for its own backlog.");
        let waits: Vec<(u16, Duration)> = (0..20)
            .map(|n| {
                let start = Instant::now();
                let answer = call(gateway, "/desk/a", &format!("small-{n}"), &[CHARITY_KEY_1]);
                (answer.status, start.elapsed())
            })
            .collect();
        let step = submission(1, 1, 1, 4).to_string();
        let key = &[CHARITY_KEY_1];
        let body = step.as_bytes();
        let answer = call_with_keys(gateway, "POST", "/lm/step", "b1", body, key);
        assert_eq!(answer.status, 202);
        until("all texts are scored", || {
            let answer = call_with_keys(gateway, "GET", "/lots/b1", "r", b"", key);
            (answer.json()["results"].as_array()?.len() == 4).then_some(())
        });
        let metrics = ask("GET", gateway.metrics, "/metrics", &[], b"", WAIT_TIMEOUT);
        is_over.store(true, Ordering::Relaxed);
        (waits, metrics.unwrap().text())
    });
    assert!(waits.iter().all(|(status, _)| *status == 200), "{waits:?}");
    // The flood alone keeps the endpoint busy for 0.3 s.
    let total: Duration = waits.iter().map(|(_, wait)| *wait).sum();
    assert!(total / 20 < Duration::from_millis(200), "{waits:?}");
    let line = gateway.line("An account is refused for its own backlog.");
    assert_eq!(
        (&line["account"], &line["kind"]),
        (&json!("school"), &json!("saturated"))
    );
    for metric in [
        "gateway_account_refusals_total{priority=\"2\"}",
        "gateway_account_work_seconds{account=\"school\"}",
        "gateway_waiting_calls{priority=\"2\"}",
    ] {
        assert!(metrics.contains(metric), "{metric} is not in {metrics}");
    }
}

// Guards against a limit on places that the gateway doesn't pass to the router, and against a
// refusal that a caller can't tell from overload.
#[test]
fn account_with_its_share_of_places_is_told_so() {
    let mut world = World::start("share");
    let mut config = account_config(1, &[1]);
    config["tenants"][0]["priority"] = Value::Null;
    world.store.put_json("op", "config", &config);
    let endpoint = world.endpoint("hut-desk", "i-desk", &[]);
    world.gateway_with("contention = \"on\"\naccount_share = 50\n");
    world.wait_ready(0);
    let gateway = &world.gateways[0];
    until("the endpoint is known", || {
        (call(gateway, "/desk/warm", "warm", &[SCHOOL_KEY]).status == 200).then_some(())
    });
    endpoint.set_work_duration(Duration::from_millis(600));
    let answers: Vec<Answer> = thread::scope(|scope| {
        let send = |prefix: &str, n: usize, key: &'static str| {
            let id = format!("{prefix}-{n}");
            scope.spawn(move || call(gateway, "/desk/a", &id, &[key]))
        };
        // The first account has no competitor and takes all slots; some of its calls wait.
        for n in 0..16 {
            send("flood", n, SCHOOL_KEY);
        }
        until("all slots are in use", || {
            (endpoint.runs().len() > 8).then_some(())
        });
        let late: Vec<_> = (0..12).map(|n| send("late", n, CHARITY_KEY_1)).collect();
        late.into_iter().map(|call| call.join().unwrap()).collect()
    });
    let (refused, answered): (Vec<_>, Vec<_>) = answers.iter().partition(|a| a.status == 429);
    assert!(!refused.is_empty() && answered.len() >= 4, "{answers:?}");
    for answer in refused {
        assert_eq!(answer.json()["type"], "account-share");
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
    }
    let line = gateway.line("An account is refused for its own backlog.");
    assert_eq!(line["kind"], "account-share");
}
