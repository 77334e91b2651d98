//! Regions: where real gateways serve requests, and where batches may live.

mod gateway_world;

use gateway_world::{
    Answer, Gateway, HOST, WAIT_TIMEOUT, World, ask,
    batches::{batches_run_by, check_whole, read, results},
    config, submission, until,
};
use hibiscusroad_standins::{
    direct::{Endpoint, ExecutedRequest},
    relay::Relay,
};
use rustix::process::Signal;
use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

const WEST: &str = "senec";
const EAST: &str = "kosice";
/// Time in which a lost owner is noticed and its batch is taken over, with a margin.
const TAKEOVER_TIME: Duration = Duration::from_secs(4);

fn location(place: &str) -> String {
    let region = if place == WEST { "zapad" } else { "vychod" };
    format!(
        "place = \"{place}\"\nregion = \"{region}\"\n\
         regions = {{ {WEST} = \"zapad\", {EAST} = \"vychod\" }}\n"
    )
}

/// A plain endpoint and an engine in each region.
struct Fleet {
    desks: [Endpoint; 2],
    engines: [Endpoint; 2],
}

/// Returns a configuration with routes that are limited to regions.
fn regional_config() -> Value {
    let plain = |name: &str, regions: Value| {
        json!({ "name": name, "hostname": HOST, "prefix": format!("/{name}/"),
            "type": "idempotent", "timeoutMs": 3000, "service": "hut-desk", "maxAttempts": 2,
            "public": true, "allowedRegions": regions })
    };
    let batches = |name: &str, regions: Value| {
        json!({ "name": name, "hostname": HOST, "prefix": format!("/{name}/"),
            "type": "rollout", "timeoutMs": 10000, "service": "guide-lm", "priority": 0,
            "maxAttempts": 3, "dueMs": 7500, "itemTtlS": 30, "allowedRegions": regions })
    };
    config(
        1,
        &[
            plain("west", json!(["zapad"])),
            plain("nowhere", json!(["stred"])),
            batches("lm-west", json!(["zapad"])),
            batches("lm-east", json!(["vychod"])),
            batches("lm-both", json!(["vychod", "zapad"])),
            batches("lm-nowhere", json!(["stred"])),
        ],
    )
}

/// Starts a store and endpoints in both regions.
fn start_world(test: &str, config: &Value) -> (World, Fleet) {
    let world = World::start(test);
    world.store.put_json("op", "config", config);
    let start = |service: &str, models: &[&str]| {
        [WEST, EAST].map(|place| {
            let endpoint = world.endpoint(service, &format!("i-{service}-{place}"), models);
            endpoint.set_data_centre(place);
            endpoint
        })
    };
    let fleet = Fleet {
        desks: start("hut-desk", &[]),
        engines: start("guide-lm", &["guide"]),
    };
    (world, fleet)
}

/// Starts a ready gateway that reaches the store at `store` and knows all endpoints.
fn add_gateway(world: &mut World, place: &str, store: SocketAddr) {
    let n = world.gateways.len();
    let name = format!("gateway-{}", n + 1);
    let gateway = Gateway::start_in(&world.dir, &name, store, &location(place), "");
    world.gateways.push(gateway);
    world.wait_ready(n);
    until("all endpoints are known", || {
        let lines = world.gateways[n].lines();
        let known = lines
            .iter()
            .filter(|line| line["text"] == "An endpoint is known.");
        (known.count() >= 4).then_some(())
    });
}

/// Starts gateways in these data centres.
fn start_gateways(test: &str, places: &[&str]) -> (World, Fleet) {
    let (mut world, fleet) = start_world(test, &regional_config());
    for place in places {
        let store = world.store.addr();
        add_gateway(&mut world, place, store);
    }
    (world, fleet)
}

fn call(gateway: &Gateway, path: &str, id: &str, key: &str) -> Answer {
    let headers = [
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "5000"),
        ("Authorization", key),
    ];
    ask("POST", gateway.callers, path, &headers, b"", WAIT_TIMEOUT).expect("an answer")
}

fn submit(world: &World, n: usize, path: &str, id: &str) -> Answer {
    let body = submission(1, 1, 2, 2).to_string();
    world.gateways[n].call("POST", path, id, body.as_bytes())
}

/// Returns the ids of the requests with this prefix that ran at an endpoint.
fn ran(endpoint: &Endpoint, prefix: &str) -> Vec<String> {
    let ids = endpoint
        .runs()
        .into_iter()
        .map(|run: ExecutedRequest| run.id);
    ids.filter(|id| id.starts_with(prefix)).collect()
}

fn owner(gateway: &Gateway, batch: &str) -> String {
    until("the batch is accepted", || {
        let lines = gateway.lines();
        let mut accepted = lines
            .iter()
            .filter(|line| line["text"] == "A batch is accepted.");
        let line = accepted.find(|line| line["batch"] == batch)?;
        line["owner"].as_str().map(str::to_owned)
    })
}

fn has_logged(gateway: &Gateway, text: &str) -> bool {
    let lines = gateway.lines();
    lines.iter().any(|line| line["text"] == text)
}

// Guards against a request that reaches an endpoint outside the regions of its route or of its
// account, and against one that leaves its region without need.
#[test]
fn route_and_account_both_bind_calls() {
    let mut config = regional_config();
    config["tenants"] = json!([
        { "name": "charity", "apiKeys": ["east-key"], "allowedRegions": ["vychod"] },
        { "name": "school", "apiKeys": ["any-key"] },
    ]);
    let (mut world, fleet) = start_world("regions-calls", &config);
    let store = world.store.addr();
    add_gateway(&mut world, WEST, store);
    let gateway = &world.gateways[0];
    for n in 0..8 {
        let calls = [
            (format!("any-{n}"), "/desk/x", "Bearer any-key"),
            (format!("route-{n}"), "/west/x", "Bearer any-key"),
            (format!("account-{n}"), "/desk/x", "Bearer east-key"),
        ];
        for (id, path, key) in calls {
            assert_eq!(call(gateway, path, &id, key).status, 200, "{id}");
        }
    }
    let [west, east] = &fleet.desks;
    assert_eq!(ran(east, "route"), Vec::<String>::new());
    // A call whose near endpoint does not answer in time is hedged in the other region.
    let near = ran(west, "any");
    let unhedged: Vec<String> = ran(east, "any")
        .into_iter()
        .filter(|id| !near.contains(id))
        .collect();
    assert_eq!(unhedged, Vec::<String>::new());
    assert_eq!(ran(west, "account").len(), 0);
    assert_eq!(ran(east, "account").len(), 8);
    let left = gateway.line("A request leaves its region.");
    assert_eq!(
        (&left["near"], &left["region"]),
        (&json!("not-allowed"), &json!("vychod"))
    );
    for (id, path) in [("refused-1", "/west/x"), ("refused-2", "/nowhere/x")] {
        let start = Instant::now();
        let answer = call(gateway, path, id, "Bearer east-key");
        assert_eq!(answer.status, 503);
        assert!(
            answer.text().contains("no-endpoint-in-region"),
            "{answer:?}"
        );
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
        assert!(start.elapsed() < Duration::from_secs(1));
    }
    assert_eq!(ran(west, "refused").len() + ran(east, "refused").len(), 0);
    gateway.line("A request is refused: no endpoint in its regions takes it.");
    let metrics = ask("GET", gateway.metrics, "/metrics", &[], b"", WAIT_TIMEOUT).unwrap();
    let metrics = metrics.text();
    for metric in [
        "gateway_sent_total{distance=\"own-data-centre\"} 16",
        "gateway_region_refusals_total 2",
    ] {
        assert!(metrics.contains(metric), "{metric} is not in {metrics}");
    }
    // Hedges count, also those that were cancelled before the endpoint began.
    let far = metrics
        .lines()
        .find_map(|line| line.strip_prefix("gateway_sent_total{distance=\"other-region\"} "));
    let far: usize = far.unwrap().parse().unwrap();
    assert!((8..=16).contains(&far), "{far}");
}

// Guards against calls that wait for near endpoints that are gone.
#[test]
fn calls_leave_a_region_without_endpoints() {
    let (world, fleet) = start_gateways("regions-away", &[WEST]);
    let gateway = &world.gateways[0];
    fleet.desks[0].register("draining");
    until("the near endpoint is known to leave", || {
        has_logged(gateway, "An endpoint is known.").then_some(())?;
        call(gateway, "/desk/x", "away", "")
            .status
            .eq(&200)
            .then_some(())?;
        (!ran(&fleet.desks[1], "away").is_empty()).then_some(())
    });
    let left = gateway.line("A request leaves its region.");
    assert_eq!(left["near"], "evacuated");
    assert_eq!(call(gateway, "/west/x", "bound", "").status, 503);
    assert_eq!(ran(&fleet.desks[1], "bound").len(), 0);
}

// Guards against a batch that goes to the owner of others although that is in a region that
// must not have it, and against items outside its regions.
#[test]
fn limited_batch_stays_in_its_regions() {
    let (world, fleet) = start_gateways("regions-batch", &[WEST, EAST]);
    assert_eq!(submit(&world, 0, "/lm/step", "b0").status, 202);
    assert!(owner(&world.gateways[0], "b0").starts_with("gateway-1/"));
    check_whole(&results(&world, 0, "b0", 4), 8);
    let before = ran(&fleet.engines[0], "item").len();
    assert_eq!(submit(&world, 1, "/lm-east/step", "b1").status, 202);
    assert!(owner(&world.gateways[1], "b1").starts_with("gateway-2/"));
    // The gateway that its caller is connected to reads it from the store.
    check_whole(&results(&world, 0, "b1", 4), 8);
    // It keeps no copy of the submission, so each read asks the store.
    let submission_reads = || world.store.read_count("submissions");
    for n in 1..=2 {
        let reads = submission_reads();
        let body = world.gateways[0].call("GET", "/items/b1?id=item-1-0-0", "reader", b"");
        assert_eq!(body.status, 200);
        assert_eq!(submission_reads(), reads + 1, "read {n}");
    }
    assert_eq!(ran(&fleet.engines[0], "item").len(), before);
    // Without a limit, one owner runs the batches of both regions.
    assert_eq!(submit(&world, 1, "/lm-both/step", "b2").status, 202);
    check_whole(&results(&world, 1, "b2", 4), 8);
    assert!(!batches_run_by(&world, 0).contains(&"b1".to_owned()));
    let head = world.store.rows("batches");
    let (_, _, head) = head.iter().find(|(_, key, _)| key == "b1").unwrap();
    let head: Value = serde_json::from_slice(head).unwrap();
    assert_eq!(
        (&head["regions"], &head["origin"]),
        (&json!(["vychod"]), &json!("vychod"))
    );
}

// Guards against items and scores of a limited account at endpoints outside its regions, though
// the routes of both are not limited.
#[test]
fn account_binds_items_and_scorers() {
    let mut config = regional_config();
    config["tenants"] = json!([
        { "name": "charity", "apiKeys": ["east-key"], "allowedRegions": ["vychod"] },
    ]);
    let (mut world, fleet) = start_world("regions-account", &config);
    let store = world.store.addr();
    add_gateway(&mut world, WEST, store);
    let gateway = &world.gateways[0];
    let ask = |method: &str, path: &str, body: &str| {
        let headers = [("X-Request-Id", "b1"), ("Authorization", "Bearer east-key")];
        let body = body.as_bytes();
        ask(method, gateway.callers, path, &headers, body, WAIT_TIMEOUT).expect("an answer")
    };
    let body = submission(1, 1, 2, 2).to_string();
    assert_eq!(ask("POST", "/lm/step", &body).status, 202);
    until("all results are listed", || {
        let answer = ask("GET", "/lots/b1?after=0", "");
        (answer.json()["results"].as_array()?.len() == 4).then_some(())
    });
    let [west, east] = &fleet.engines;
    assert_eq!((ran(west, "item").len(), ran(east, "item").len()), (0, 4));
    let [west, east] = &fleet.desks;
    assert_eq!((ran(west, "score").len(), ran(east, "score").len()), (0, 4));
}

// Guards against a batch that is owned near its engines instead of where it was accepted, if
// nobody else may own it: its data then goes no further.
#[test]
fn batch_without_an_owner_in_its_regions_is_run_by_the_accepting_gateway() {
    let (world, fleet) = start_gateways("regions-origin", &[WEST]);
    assert_eq!(submit(&world, 0, "/lm-east/step", "b1").status, 202);
    check_whole(&results(&world, 0, "b1", 4), 8);
    assert_eq!(ran(&fleet.engines[0], "item").len(), 0);
    assert_eq!(ran(&fleet.engines[1], "item").len(), 4);
}

// Guards against a batch that is accepted although it can never run.
#[test]
fn batch_whose_regions_have_no_data_centre_is_refused() {
    let (world, _fleet) = start_gateways("regions-nowhere", &[WEST]);
    let answer = submit(&world, 0, "/lm-nowhere/step", "b1");
    assert_eq!(answer.status, 503);
    assert!(
        answer.text().contains("no-endpoint-in-region"),
        "{answer:?}"
    );
    world.gateways[0].line("A batch is refused: its regions have no data centre.");
    assert_eq!(world.store.rows("batches"), []);
}

// Guards against a takeover by a gateway in a region that must not have the batch.
#[test]
fn limited_batch_is_not_taken_over_elsewhere() {
    let (mut world, fleet) = start_gateways("regions-takeover", &[EAST, WEST]);
    fleet.engines[1].set_work_duration(Duration::from_millis(100));
    fleet.engines[1].set_event_count(30);
    assert_eq!(submit(&world, 0, "/lm-east/step", "b1").status, 202);
    until("items run", || {
        (ran(&fleet.engines[1], "item").len() == 4).then_some(())
    });
    world.gateways[0].kill();
    thread::sleep(TAKEOVER_TIME);
    assert_eq!(read(&world, 1, "b1", 0).status, 200);
    assert!(batches_run_by(&world, 1).is_empty());
    let store = world.store.addr();
    add_gateway(&mut world, EAST, store);
    check_whole(&results(&world, 1, "b1", 4), 30);
    world.gateways[2].line("A batch is taken over.");
    assert!(batches_run_by(&world, 1).is_empty());
    assert_eq!(ran(&fleet.engines[0], "item").len(), 0);
}

// Guards against a stopping owner that hands a batch to a gateway that must not have it.
#[test]
fn limited_batch_is_not_handed_over_elsewhere() {
    let (world, fleet) = start_gateways("regions-handover", &[EAST, WEST]);
    fleet.engines[1].set_work_duration(Duration::from_millis(100));
    fleet.engines[1].set_event_count(30);
    assert_eq!(submit(&world, 0, "/lm-east/step", "b1").status, 202);
    until("items run", || {
        (ran(&fleet.engines[1], "item").len() == 4).then_some(())
    });
    world.gateways[0].signal(Signal::TERM);
    world.gateways[0].line("No process is known that a batch may be handed to");
    thread::sleep(TAKEOVER_TIME);
    assert!(batches_run_by(&world, 1).is_empty());
}

// Guards against a batch that a gateway of an earlier version, which knows no regions, has
// given to a gateway that must not have it.
#[test]
fn batch_given_to_a_gateway_elsewhere_is_handed_on() {
    let (world, fleet) = start_gateways("regions-stray", &[EAST, WEST]);
    fleet.engines[1].set_work_duration(Duration::from_millis(100));
    fleet.engines[1].set_event_count(30);
    assert_eq!(submit(&world, 0, "/lm-east/step", "b1").status, 202);
    until("items run", || {
        (ran(&fleet.engines[1], "item").len() == 4).then_some(())
    });
    let other = until("the gateways are known", || {
        let rows = world.store.rows("members");
        let (_, _, row) = rows.iter().find(|(_, key, _)| key == "gateway-2")?;
        let row: Value = serde_json::from_slice(row).unwrap();
        (rows.len() == 2).then(|| row["life"].clone())
    });
    let rows = world.store.rows("batches");
    let (part, _, head) = rows.iter().find(|(_, key, _)| key == "b1").unwrap();
    let mut head: Value = serde_json::from_slice(head).unwrap();
    head["owner"] = other;
    world.store.put_in_part("batches", part, "b1", &head);
    world.gateways[1].line("A batch was given to this process, in a region that may not hold it.");
    check_whole(&results(&world, 1, "b1", 4), 30);
    assert!(batches_run_by(&world, 1).is_empty());
}

// Guards against a region that serves no calls while it is cut off from the store, and against
// its batches standing still meanwhile.
#[test]
fn region_that_is_cut_off_from_the_store_serves_calls_and_loses_its_batches() {
    let (mut world, fleet) = start_world("regions-cut", &regional_config());
    let relay = Relay::start("127.0.0.1:0".parse().unwrap(), world.store.addr()).unwrap();
    let store = world.store.addr();
    add_gateway(&mut world, EAST, relay.addr());
    add_gateway(&mut world, WEST, store);
    for engine in &fleet.engines {
        engine.set_work_duration(Duration::from_millis(100));
        engine.set_event_count(40);
    }
    assert_eq!(submit(&world, 0, "/lm-both/step", "b1").status, 202);
    assert!(owner(&world.gateways[0], "b1").starts_with("gateway-1/"));
    until("texts are saved", || {
        (world.store.rows("pieces").len() >= 4).then_some(())
    });
    relay.stop();
    world.gateways[1].line("A batch is taken over.");
    let before = ran(&fleet.desks[1], "cut").len();
    for n in 0..4 {
        let id = format!("cut-{n}");
        assert_eq!(call(&world.gateways[0], "/desk/x", &id, "").status, 200);
    }
    assert_eq!(ran(&fleet.desks[1], "cut").len(), before + 4);
    check_whole(&results(&world, 1, "b1", 4), 40);
    // No other gateway carried its calls to the store, which have the data of batches.
    let metrics = ask(
        "GET",
        world.gateways[0].metrics,
        "/",
        &[],
        b"",
        WAIT_TIMEOUT,
    )
    .unwrap();
    assert!(!metrics.text().contains("gateway_detours_total{"));
}
