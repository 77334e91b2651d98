//! Tracing a failed request to its cause by its id, with only logs and metrics.

mod gateway_world;

use gateway_world::{WAIT_TIMEOUT, World, ask, submission, until};
use hibiscusroad_cli::trace::Logs;
use hibiscusroad_daemon::gateway::meters;
use hibiscusroad_standins::direct::Behaviour;
use std::{collections::BTreeSet, fs, path::Path, time::Duration};

/// Waits until the trace of an id contains a text, and returns the trace.
fn trace(world: &World, id: &str, text: &str) -> String {
    until(text, || {
        let mut logs = Logs::new();
        for gateway in &world.gateways {
            logs.add(&gateway.name, &fs::read_to_string(&gateway.output).unwrap());
        }
        logs.timeline(id).filter(|trace| trace.contains(text))
    })
}

// The trace of a refused request names the endpoint that refused it, and the cause.
#[test]
fn trace_of_a_refused_request_names_its_endpoint() {
    let (world, desk, _engine) = World::ready("explain-refused", 1);
    desk.set_behaviour(Behaviour::Refusing);
    let answer = world.gateways[0].call("POST", "/once/book", "refused-1", b"");
    assert_eq!(answer.status, 503);
    let trace = trace(&world, "refused-1", "A request is refused.");
    assert!(
        trace.contains("An attempt failed: Too much work"),
        "{trace}"
    );
    assert!(trace.contains("endpoint=i-desk"), "{trace}");
    assert!(trace.contains("kind=saturated"), "{trace}");
}

// The trace of an errored item has its three failed runs, their engine, and the gateway
// that ran the batch.
#[test]
fn trace_of_an_errored_item_names_its_engine() {
    let (world, _desk, engine) = World::ready("explain-errored", 1);
    engine.set_behaviour(Behaviour::Failing);
    let body = submission(1, 1, 1, 1).to_string();
    let answer = world.gateways[0].call("POST", "/lm/step", "b1", body.as_bytes());
    assert_eq!(answer.status, 202);
    until("the item is listed", || {
        let answer = world.gateways[0].call("GET", "/lots/b1?after=0", "reader", b"");
        answer.text().contains("errored").then_some(())
    });
    let trace = until("all runs are logged", || {
        let trace = trace(&world, "item-1-0-0", "A run of an item broke off.");
        (trace.matches("cause=Failed").count() == 3).then_some(trace)
    });
    assert!(trace.contains("endpoint=i-lm"), "{trace}");
    assert!(
        trace.contains("gateway-1        batches  A batch is accepted."),
        "{trace}"
    );
}

// The trace of a batch that was taken over names both owners, the reason, and the engine
// of its last item.
#[test]
fn trace_of_a_late_step_names_its_failed_owner() {
    let (mut world, _desk, engine) = World::ready("explain-late", 2);
    engine.set_work_duration(Duration::from_millis(60));
    engine.set_event_count(30);
    let body = submission(1, 1, 1, 2).to_string();
    let answer = world.gateways[0].call("POST", "/lm/step", "b1", body.as_bytes());
    assert_eq!(answer.status, 202);
    // The first lines are written before the owner dies.
    trace(&world, "b1", "A batch is accepted.");
    world.gateways[0].kill();
    until("all is listed", || {
        let answer = world.gateways[1].call("GET", "/lots/b1?after=1", "reader", b"");
        answer.text().contains("completed").then_some(())
    });
    let trace = trace(&world, "b1", "The text of an item is whole.");
    let lines: Vec<&str> = trace.lines().collect();
    let find = |text: &str| lines.iter().position(|line| line.contains(text)).unwrap();
    let accepted = find("A batch is accepted.");
    let takeover = find("A batch is taken over.");
    let completed = find("The text of an item is whole.");
    assert!(accepted < takeover && takeover < completed, "{trace}");
    assert!(lines[accepted].contains("gateway-1"), "{trace}");
    assert!(lines[takeover].contains("gateway-2"), "{trace}");
    assert!(lines[takeover].contains("why=Silent"), "{trace}");
    assert!(lines[completed].contains("endpoint=i-lm"), "{trace}");
}

// Guards against items that wait without a line although engines have room.
#[test]
fn idle_wait_of_an_item_names_what_keeps_it_from_engines() {
    let (world, _desk, _engine) = World::ready("explain-idle", 1);
    let gateway = &world.gateways[0];
    // No engine loads version 3, since it is not named.
    let body = submission(1, 3, 1, 1).to_string();
    let answer = gateway.call("POST", "/lm/step", "b1", body.as_bytes());
    assert_eq!(answer.status, 202);
    let line = gateway.line("An item waits although engines have room.");
    assert_eq!(line["item"], "item-1-0-0");
    assert_eq!(line["obstacle"], "weights");
    assert_eq!(line["engines"], "eligible=0 weights=1");
    assert!(line["waited_ms"].as_u64().unwrap() >= 2_000, "{line}");
    let answer = ask("GET", gateway.metrics, "/metrics", &[], b"", WAIT_TIMEOUT).unwrap();
    let text = answer.text();
    let counted = "gateway_idle_waits_total{obstacle=\"weights\"}";
    assert!(text.contains(counted), "{text}");
}

// Guards against a slowness that is lost between the header and the choice, and against logs and
// metrics that don't tell why an engine was chosen.
#[test]
fn reported_slowness_is_used_and_explained() {
    let (world, _desk, engine) = World::ready("explain-slowness", 1);
    let gateway = &world.gateways[0];
    let run = |step: u64| {
        let batch = format!("b{step}");
        let body = submission(step, 1, 1, 1).to_string();
        let answer = gateway.call("POST", "/lm/step", &batch, body.as_bytes());
        assert_eq!(answer.status, 202);
        let item = format!("item-{step}-0-0");
        trace(&world, &item, "The text of an item is whole.")
    };
    assert!(!run(1).contains("left_ms="), "contention isn't expected");
    engine.set_slowness(250);
    run(2);
    let first = gateway.line("The engines of a service share their hosts with others.");
    assert_eq!(
        (&first["slowness"], &first["contended"]),
        (&250.into(), &true.into())
    );
    let mut step = 2;
    // A report is used for 600 ms, which a busy machine may exceed between two batches.
    until("a report is used", || {
        step += 1;
        run(step).contains("slowness=250 age_ms=").then_some(())
    });
    let answer = ask("GET", gateway.metrics, "/metrics", &[], b"", WAIT_TIMEOUT).unwrap();
    let text = answer.text();
    let count = format!("gateway_engine_slowness_count {}", step - 1);
    assert!(text.contains(&count), "{text}");
}

// All metrics are listed in `NAMES` and on the operations page, and they count requests.
#[test]
fn served_metrics_match_the_operations_page() {
    let (world, _desk, _engine) = World::ready("metrics", 1);
    let gateway = &world.gateways[0];
    gateway.call("POST", "/desk/x", "m-1", b"");
    let body = submission(1, 1, 1, 1).to_string();
    assert_eq!(
        gateway
            .call("POST", "/lm/step", "b1", body.as_bytes())
            .status,
        202
    );
    let text = until("a result is counted", || {
        let answer = ask("GET", gateway.metrics, "/metrics", &[], b"", WAIT_TIMEOUT)?;
        let text = answer.text();
        text.contains("gateway_results_total 1").then_some(text)
    });
    assert!(text.contains("gateway_config_version 1"), "{text}");
    assert!(
        text.contains("gateway_batches_total{event=\"accepted\"} 1"),
        "{text}"
    );
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let served: BTreeSet<&str> = types.filter_map(|line| line.split(' ').next()).collect();
    let listed: BTreeSet<&str> = meters::NAMES.iter().map(|(name, ..)| *name).collect();
    assert!(served.is_subset(&listed), "{served:?}");
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/OPERATIONS.md");
    let page = fs::read_to_string(page).unwrap();
    for (name, kind, label, meaning) in meters::NAMES {
        let label = if label.is_empty() { "-" } else { label };
        let row = format!("| `{name}` | {kind} | {label} | {meaning} |");
        assert!(page.contains(&row), "{row}");
    }
}
