//! Batches of trainers: results, duplicates, weights and drafts when processes fail.

mod gateway_world;

use gateway_world::{
    Gateway, WAIT_TIMEOUT, World, ask,
    batches::{check_whole, read, results, submit, text, with_settings},
    submission, until,
};
use hibiscusroad_standins::direct::{Behaviour, Endpoint, Faults, Store};
use std::{
    collections::{BTreeSet, HashSet},
    time::{Duration, Instant},
};

/// How long engines read a long prompt.
const LONG_PROMPT_DURATION: Duration = Duration::from_millis(800);
/// Limit on the time until an item with a long prompt is listed.
const MAX_PROMPT_TIME: Duration = Duration::from_secs(5);

#[test]
fn batch_is_run_scored_and_read_at_every_gateway() {
    let (world, desk, engine) = World::ready("batch", 2);
    let step = submission(1, 1, 2, 3);
    assert_eq!(submit(&world, 0, "b1", &step).status, 202);
    for n in 0..2 {
        let found = results(&world, n, "b1", 6);
        check_whole(&found, 8);
        assert!(
            found
                .iter()
                .all(|result| result["versions"] == serde_json::json!([1]))
        );
    }
    // Positions are the same at every gateway.
    let (here, there) = (read(&world, 0, "b1", 2), read(&world, 1, "b1", 2));
    assert_eq!(here.json(), there.json());
    assert_eq!(here.json()["next"], 6);
    // A repeated submission at another gateway is accepted and runs nothing.
    assert_eq!(submit(&world, 1, "b1", &step).status, 202);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(engine.runs().len(), 6);
    let scored = desk
        .runs()
        .iter()
        .filter(|ran| ran.id.starts_with("score-"))
        .count();
    assert_eq!(scored, 6);
}

#[test]
fn item_bodies_are_readable_until_the_batch_ends() {
    let (world, _desk, engine) = World::ready("bodies", 2);
    engine.set_work_duration(Duration::from_millis(200));
    assert_eq!(submit(&world, 0, "b1", &submission(1, 1, 1, 2)).status, 202);
    for n in 0..2 {
        let gateway = &world.gateways[n];
        let answer = gateway.call("GET", "/items/b1?id=item-1-0-1", "reader", b"");
        assert_eq!((answer.status, answer.body), (200, vec![0xab, 0xcd, 0xef]));
        let answer = gateway.call("GET", "/items/b1?id=item-9", "reader", b"");
        assert_eq!(answer.status, 404);
        assert_eq!(read(&world, n, "no-such", 0).status, 404);
    }
    assert_eq!(
        world.gateways[1]
            .call("DELETE", "/lots/b1", "end", b"")
            .status,
        200
    );
    assert_eq!(
        world.gateways[0]
            .call("DELETE", "/lots/b1", "end", b"")
            .status,
        200
    );
    let answer = world.gateways[0].call("GET", "/items/b1?id=item-1-0-1", "reader", b"");
    assert_eq!(answer.status, 404);
    assert_eq!(read(&world, 0, "b1", 0).status, 200);
}

// A batch that is ended at another process is cancelled by its owner.
#[test]
fn ended_batch_is_cancelled_at_its_engine() {
    let (world, _desk, engine) = World::ready("ended", 2);
    engine.set_work_duration(Duration::from_millis(400));
    assert_eq!(submit(&world, 0, "b1", &submission(1, 1, 1, 3)).status, 202);
    until("items run", || (engine.runs().len() == 3).then_some(()));
    assert_eq!(
        world.gateways[1]
            .call("DELETE", "/lots/b1", "end", b"")
            .status,
        200
    );
    std::thread::sleep(Duration::from_millis(800));
    let runs = engine.runs().len();
    std::thread::sleep(Duration::from_secs(3));
    let ran = engine.runs();
    assert_eq!(ran.len(), runs, "items were started after the end");
    assert!(
        ran.iter().all(|ran| !ran.is_complete),
        "the engine was not cancelled"
    );
}

// The store carries writes out and loses the answers. Each item must be listed once, and
// the batch accepted once.
#[test]
fn lost_store_answers_cause_no_duplicates() {
    for late in [Duration::ZERO, Duration::from_millis(700)] {
        let (world, _desk, _engine) = World::ready(&format!("lost-{}", late.as_millis()), 2);
        world.store.set_faults(Faults {
            lose: 3,
            late,
            ..Faults::default()
        });
        let step = submission(1, 1, 3, 3);
        until("the batch is accepted", || {
            (submit(&world, 0, "b1", &step).status == 202).then_some(())
        });
        world.store.set_faults(Faults {
            lose: 3,
            late,
            ..Faults::default()
        });
        check_whole(&results(&world, 1, "b1", 9), 8);
        std::thread::sleep(late + Duration::from_millis(300));
        check_whole(&results(&world, 0, "b1", 9), 8);
        assert_eq!(read(&world, 0, "b1", 0).json()["total"], 9);
    }
}

// If the store refuses every write, the batch is refused and must not run.
#[test]
fn refused_batch_never_runs() {
    let (world, _desk, engine) = World::ready("refused", 1);
    world.store.set_faults(Faults {
        busy: true,
        ..Faults::default()
    });
    let answer = submit(&world, 0, "b1", &submission(1, 1, 1, 2));
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(
        read(&world, 0, "b1", 0).status,
        503,
        "the outcome is unknown"
    );
    world.store.set_faults(Faults::default());
    std::thread::sleep(Duration::from_millis(800));
    assert!(engine.runs().is_empty());
    assert_eq!(read(&world, 0, "b1", 0).status, 404);
}

#[test]
fn malformed_batch_is_refused() {
    let (world, _desk, _engine) = World::ready("malformed", 1);
    let gateway = &world.gateways[0];
    assert_eq!(
        gateway
            .call("POST", "/lm/step", "b1", b"{\"requests\":7}")
            .status,
        400
    );
    let mut twice = submission(1, 1, 1, 2);
    twice["requests"][1]["id"] = twice["requests"][0]["id"].clone();
    assert_eq!(submit(&world, 0, "b2", &twice).status, 400);
    assert_eq!(read(&world, 0, "b1", 0).status, 404);
}

// The item is errored after its route's maximum of runs, so that the batch can complete.
#[test]
fn item_that_always_fails_is_errored() {
    let (world, _desk, engine) = World::ready("errored", 1);
    engine.set_behaviour(Behaviour::Failing);
    assert_eq!(submit(&world, 0, "b1", &submission(1, 1, 1, 1)).status, 202);
    let found = results(&world, 0, "b1", 1);
    assert_eq!(found[0]["state"], "errored");
    assert_eq!(engine.runs().len(), 3);
}

// Items must not run with weights below the minimum version of their batch. The load of
// the named version is ordered by one process, once.
#[test]
fn items_wait_for_their_minimum_version() {
    let (world, _desk, engine) = World::ready("weights", 3);
    assert_eq!(submit(&world, 0, "b1", &submission(2, 2, 1, 2)).status, 202);
    std::thread::sleep(Duration::from_millis(600));
    assert!(engine.runs().is_empty());
    let named = serde_json::json!({ "model": "guide", "version": 2 });
    world.store.put_json("op", "version/guide", &named);
    let found = results(&world, 1, "b1", 2);
    assert!(
        found
            .iter()
            .all(|result| result["versions"] == serde_json::json!([2]))
    );
    assert_eq!(engine.version("guide"), 2);
    assert_eq!(
        engine.order_holders().len(),
        1,
        "{:?}",
        engine.order_holders()
    );
}

// The new holder has a higher fencing token; no engine sees one token from two holders.
#[test]
fn weights_duty_of_a_killed_holder_is_taken_over() {
    let (mut world, _desk, engine) = World::ready("holder", 2);
    for version in 2..=3 {
        let named = serde_json::json!({ "model": "guide", "version": version });
        world.store.put_json("op", "version/guide", &named);
        until("the engine has loaded the version", || {
            (engine.version("guide") == version).then_some(())
        });
        if version == 2 {
            let holder = engine.order_holders()[0].0.clone();
            let n = usize::from(!holder.starts_with("gateway-1"));
            world.gateways[n].kill();
        }
    }
    let holders = engine.order_holders();
    assert_eq!(holders.len(), 2);
    assert_ne!(holders[0].0, holders[1].0);
    assert!(holders[0].1 < holders[1].1, "{holders:?}");
}

// Missing heartbeats show that the holder is gone, so that the others don't wait for the
// lease to end. No order is in flight that could conflict.
#[test]
fn weights_duty_is_taken_over_before_the_lease_ends() {
    let (mut world, [_desk, engine]) = with_settings("follow", 2, "lease_ms = 4000\n");
    let name_version = |store: &Store, version: u64| {
        let named = serde_json::json!({ "model": "guide", "version": version });
        store.put_json("op", "version/guide", &named);
        until("the engine has loaded the version", || {
            (engine.version("guide") == version).then_some(())
        });
    };
    name_version(&world.store, 2);
    std::thread::sleep(Duration::from_secs(5));
    let holder = engine.order_holders()[0].0.clone();
    let n = usize::from(!holder.starts_with("gateway-1"));
    assert_eq!(submit(&world, n, "b1", &submission(3, 3, 1, 2)).status, 202);
    std::thread::sleep(Duration::from_millis(600));
    world.gateways[n].kill();
    let killed_at = Instant::now();
    name_version(&world.store, 3);
    let elapsed = killed_at.elapsed();
    assert!(elapsed < Duration::from_millis(3_500), "{elapsed:?}");
    assert_eq!(results(&world, 1 - n, "b1", 2).len(), 2);
}

// A process that learns of a batch before its configuration must wait for the route, and
// not give the items up.
#[test]
fn batch_waits_for_a_configuration() {
    let (mut world, _desk, engine) = World::ready("no-config", 1);
    engine.set_work_duration(Duration::from_millis(100));
    assert_eq!(submit(&world, 0, "b1", &submission(1, 1, 1, 3)).status, 202);
    world.gateways[0].kill();
    world.gateways.clear();
    world.store.remove("op", "config");
    world.gateway();
    world.gateways[0].line("A batch is taken over.");
    std::thread::sleep(Duration::from_millis(500));
    assert!(
        world.store.rows("results").is_empty(),
        "something was listed"
    );
    world.configure(2, &[]);
    check_whole(&results(&world, 0, "b1", 3), 8);
}

// A result that is too long for a row is readable at the owner and at another process.
#[test]
fn result_longer_than_a_row_is_read_whole() {
    let (world, [_desk, engine]) = with_settings("long", 2, "row_bytes = 1024\n");
    engine.set_work_duration(Duration::from_millis(1));
    engine.set_event_count(200);
    assert_eq!(submit(&world, 0, "b1", &submission(1, 1, 1, 3)).status, 202);
    for n in 0..2 {
        check_whole(&results(&world, n, "b1", 3), 200);
    }
    assert!(
        world
            .store
            .rows("results")
            .iter()
            .all(|(_, _, value)| value.len() <= 1024)
    );
}

// Everything that the store holds of a batch must be removed after its retention.
#[test]
fn expired_batch_is_swept() {
    let (world, [_desk, _engine]) = with_settings("swept", 2, "keep_s = 1\n");
    assert_eq!(submit(&world, 0, "b1", &submission(1, 1, 1, 2)).status, 202);
    check_whole(&results(&world, 1, "b1", 2), 8);
    assert_eq!(
        world.gateways[1]
            .call("DELETE", "/lots/b1", "end", b"")
            .status,
        200
    );
    std::thread::sleep(Duration::from_secs(3));
    assert_eq!(
        read(&world, 0, "b1", 0).status,
        200,
        "it was swept too early"
    );
    until("the batch is swept", || {
        let row_counts =
            ["batches", "results", "pieces"].map(|table| world.store.rows(table).len());
        (row_counts == [0; 3]).then_some(())
    });
    until("the batch is unknown", || {
        (read(&world, 1, "b1", 0).status == 404).then_some(())
    });
}

// The last holder's fencing token is unknown, so the next must exceed all that can have
// been used.
#[test]
fn undecodable_lease_is_taken_over_with_a_higher_fencing_token() {
    let (world, _desk, engine) = World::ready("lease", 1);
    for _ in 0..5 {
        world.store.put_bytes("duties", "weights", b"broken");
    }
    let named = serde_json::json!({ "model": "guide", "version": 2 });
    world.store.put_json("op", "version/guide", &named);
    until("the engine has loaded the version", || {
        (engine.version("guide") == 2).then_some(())
    });
    assert!(
        engine.order_holders()[0].1 > 5,
        "{:?}",
        engine.order_holders()
    );
}

// The engine loads new weights between two events of a run on a single-version route. The
// text must be generated again from its beginning, not lose it.
#[test]
fn single_version_text_is_generated_again_after_a_load() {
    let (world, _desk, engine) = World::ready("single", 1);
    let route = serde_json::json!({ "name": "single", "hostname": gateway_world::HOST,
        "prefix": "/lm/one/", "type": "rollout", "timeoutMs": 10000, "priority": 0,
        "service": "guide-lm", "maxAttempts": 3, "dueMs": 7500, "itemTtlS": 30,
        "singleVersion": true });
    world.configure(2, &[route]);
    engine.set_work_duration(Duration::from_millis(450));
    engine.set_event_count(8);
    let body = submission(1, 1, 1, 2).to_string();
    let gateway = &world.gateways[0];
    std::thread::sleep(Duration::from_millis(300));
    let answer = gateway.call("POST", "/lm/one/step", "b1", body.as_bytes());
    assert_eq!(answer.status, 202);
    until("items run", || (engine.runs().len() == 2).then_some(()));
    std::thread::sleep(Duration::from_millis(900));
    let named = serde_json::json!({ "model": "guide", "version": 2 });
    world.store.put_json("op", "version/guide", &named);
    let found = results(&world, 0, "b1", 2);
    check_whole(&found, 8);
    assert!(
        found
            .iter()
            .all(|result| result["versions"] == serde_json::json!([2]))
    );
}

// A long item of a carried group is drafted under newer weights while the first step runs,
// and the later step resumes its draft.
#[test]
fn carried_group_resumes_from_its_draft() {
    let (world, _desk, engine) = World::ready("draft", 1);
    let name_version = |version: u64| {
        let named = serde_json::json!({ "model": "guide", "version": version });
        world.store.put_json("op", "version/guide", &named);
        until("the engine has loaded", || {
            (engine.version("guide") == version).then_some(())
        });
    };
    let long = "item-1-1-1";
    let runs = || {
        let ran = engine.runs();
        let matching = ran.into_iter().filter(|ran| ran.id == long);
        matching.map(|ran| ran.last_event_id).collect::<Vec<_>>()
    };
    name_version(2);
    engine.set_work_duration(Duration::from_millis(30));
    engine.set_item_event_count(long, 120);
    let mut step = submission(1, 1, 2, 2);
    step["targetGroups"] = 1.into();
    assert_eq!(submit(&world, 0, "b1", &step).status, 202);
    until("the long item runs", || (runs().len() == 1).then_some(()));
    results(&world, 0, "b1", 3);
    name_version(3);
    until("a draft runs", || (runs().len() == 2).then_some(()));
    std::thread::sleep(Duration::from_secs(1));
    let gateway = &world.gateways[0];
    assert_eq!(gateway.call("DELETE", "/lots/b1", "end", b"").status, 200);
    name_version(4);
    step["minVersion"] = 3.into();
    step["step"] = 3.into();
    assert_eq!(submit(&world, 0, "b2", &step).status, 202);
    let found = results(&world, 0, "b2", 4);
    let result = found.iter().find(|result| result["id"] == long).unwrap();
    assert_eq!(result["text"], text(long, 120));
    let versions = result["versions"].as_array().unwrap();
    assert!(versions.iter().all(|version| version.as_u64() >= Some(3)));
    let runs = runs();
    assert_eq!(runs[..2], [None, None]);
    assert!(runs.len() == 3 && runs[2] > Some(9), "{runs:?}");
}

// Guards against an item without a draft after a load that becomes known before its version.
#[test]
fn draft_starts_if_its_version_is_named_after_the_load() {
    let (world, _desk, engine) = World::ready("draft-late", 1);
    let name_version = |version: u64| {
        let named = serde_json::json!({ "model": "guide", "version": version });
        world.store.put_json("op", "version/guide", &named);
    };
    let known_count = || {
        let lines = world.gateways[0].lines().into_iter();
        let known = lines.filter(|line| line["text"] == "An endpoint is known.");
        known.filter(|line| line["endpoint"] == "i-lm").count()
    };
    let long = "item-1-1-1";
    name_version(2);
    until("the engine has loaded", || {
        (engine.version("guide") == 2).then_some(())
    });
    until("the load is known", || (known_count() == 2).then_some(()));
    engine.set_work_duration(Duration::from_millis(30));
    engine.set_item_event_count(long, 120);
    let mut step = submission(1, 1, 2, 2);
    step["targetGroups"] = 1.into();
    assert_eq!(submit(&world, 0, "b1", &step).status, 202);
    results(&world, 0, "b1", 3);
    engine.load("guide", 3);
    until("the load is known", || (known_count() == 3).then_some(()));
    name_version(3);
    until("a draft runs", || {
        let runs = engine.runs();
        (runs.iter().filter(|ran| ran.id == long).count() == 2).then_some(())
    });
}

/// Submits two steps at a gateway with these settings, and waits for all results. The second
/// is submitted once the items of the first can start.
fn run_two_steps(test: &str, event: Duration, extra_settings: &str) -> (World, Endpoint) {
    let (world, [_desk, engine]) = with_settings(test, 1, extra_settings);
    engine.set_work_duration(event);
    let step = |n: u64| submission(n, 1, 8, 4);
    until("the first step is accepted", || {
        (submit(&world, 0, "b1", &step(1)).status == 202).then_some(())
    });
    // An accepted batch has no item that waits until the gateway has read the store.
    world.gateways[0].line("A batch is run here.");
    assert_eq!(submit(&world, 0, "b2", &step(2)).status, 202);
    for batch in ["b1", "b2"] {
        check_whole(&results(&world, 0, batch, 32), 8);
    }
    (world, engine)
}

/// Returns the number of items of the second step that come before the last of the first.
///
/// Repeats of an item are ignored: one that was interrupted comes again behind others.
fn second_step_items_among_first(items: &[String]) -> usize {
    let mut known = HashSet::new();
    let first_times = items.iter().filter(|item| known.insert(item.as_str()));
    let is_second: Vec<bool> = first_times
        .map(|item| item.starts_with("item-2-"))
        .collect();
    let last = is_second.iter().rposition(|second| !second).unwrap();
    is_second[..last].iter().filter(|second| **second).count()
}

/// Returns the items that an engine ran, in the order in which it began them.
fn items_run(engine: &Endpoint) -> Vec<String> {
    engine.runs().into_iter().map(|ran| ran.id).collect()
}

/// Returns the items that a gateway sent to engines, in this order, by its log at level debug.
fn items_sent(gateway: &Gateway) -> Vec<String> {
    let lines = gateway.lines().into_iter();
    let sent = lines.filter(|line| line["text"] == "An item is sent to an engine.");
    sent.map(|line| line["item"].as_str().unwrap().to_owned())
        .collect()
}

// Guards against a trainer that gets no slot until the step of another has none waiting.
#[test]
fn competing_trainers_share_engines() {
    let (world, engine) = run_two_steps(
        "shared",
        Duration::from_millis(120),
        "contention = \"on\"\n",
    );
    let count = second_step_items_among_first(&items_run(&engine));
    assert!(count >= 16, "{count} items of the second step");
    let line = world.gateways[0].line("The state of a step has changed.");
    assert_eq!(line["state"], "needed");
    assert_eq!(line["before"], "new");
    assert!(line["capacity"].as_u64() > Some(0), "{line}");
    let gateway = &world.gateways[0];
    let steps = |count: &str| {
        until("the steps are counted", || {
            let answer = ask("GET", gateway.metrics, "/", &[], b"", WAIT_TIMEOUT)?;
            let text = answer.text();
            let steps = format!("gateway_steps{{state=\"surplus\"}} {count}");
            let slots = "gateway_slots{priority=\"0\"} 0";
            (text.contains(&steps) && text.contains(slots)).then_some(())
        });
    };
    steps("2");
    assert_eq!(gateway.call("DELETE", "/lots/b1", "end", b"").status, 200);
    steps("1");
}

// Without contention, the step that is due first must be served first, as ever.
//
// This holds for the order in which the gateway sends items. An engine may begin requests of
// different connections in another order.
#[test]
fn steps_are_served_in_turn_without_contention() {
    for (test, contention) in [("turn-auto", ""), ("turn-off", "contention = \"off\"\n")] {
        let settings = format!("{contention}\n[log]\nlevel = \"debug\"\n");
        let (world, engine) = run_two_steps(test, Duration::from_millis(40), &settings);
        let sent = items_sent(&world.gateways[0]);
        let ran: BTreeSet<String> = items_run(&engine).into_iter().collect();
        assert_eq!(ran.len(), 64, "{test}");
        assert_eq!(sent.iter().cloned().collect::<BTreeSet<_>>(), ran, "{test}");
        let count = second_step_items_among_first(&sent);
        assert_eq!(count, 0, "{test}: {sent:?}");
        let lines = world.gateways[0].lines();
        let changes = lines
            .iter()
            .filter(|line| line["text"] == "The state of a step has changed.");
        assert_eq!(changes.count(), 0, "{test}");
    }
}

// Guards against an item that is moved from engine to engine and generates nothing, since each
// engine reads its prompt for longer than engines usually take for a few events.
#[test]
fn item_with_a_long_prompt_stays_at_an_engine() {
    let mut world = World::start("prompt");
    world.configure(1, &[]);
    let _desk = world.endpoint("hut-desk", "i-desk", &[]);
    let engines = ["i-1", "i-2", "i-3", "i-4"].map(|id| world.endpoint("guide-lm", id, &["guide"]));
    world.gateway();
    world.wait_ready(0);
    // Makes the pace of engines known.
    assert_eq!(submit(&world, 0, "b1", &submission(1, 1, 4, 4)).status, 202);
    check_whole(&results(&world, 0, "b1", 16), 8);
    for engine in &engines {
        engine.set_prompt_duration(|_| LONG_PROMPT_DURATION);
    }
    assert_eq!(submit(&world, 0, "b2", &submission(2, 1, 1, 1)).status, 202);
    let start = Instant::now();
    while read(&world, 0, "b2", 0).json()["results"]
        .as_array()
        .is_none_or(Vec::is_empty)
    {
        let runs = engines.iter().flat_map(Endpoint::runs);
        let runs = runs.filter(|run| run.id == "item-2-0-0").count();
        assert!(
            start.elapsed() < MAX_PROMPT_TIME,
            "nothing after {runs} runs"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}
