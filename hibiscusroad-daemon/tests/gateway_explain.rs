//! From the id of a failed request to its cause, by logs and metrics alone, in
//! the steps of the operations page.

mod gateway_world;

use gateway_world::{PATIENCE, World, ask, submission, until};
use hibiscusroad_cli::trace::Logs;
use hibiscusroad_daemon::gateway::meters;
use hibiscusroad_standins::direct::Manner;
use std::{collections::BTreeSet, fs, path::Path, time::Duration};

/// Tells the story of an id once it has this sentence.
fn story(world: &World, id: &str, sentence: &str) -> String {
    until(sentence, || {
        let mut logs = Logs::new();
        for gateway in &world.gateways {
            logs.add(&gateway.name, &fs::read_to_string(&gateway.output).unwrap());
        }
        logs.timeline(id).filter(|story| story.contains(sentence))
    })
}

// The caller got a refusal. Its story names the endpoint that turned it away,
// as often as it was tried, and why the router gave up.
#[test]
fn refused_request_leads_to_its_endpoint() {
    let (world, desk, _engine) = World::ready("explain-refused", 1);
    desk.behave(Manner::Refusing);
    let answer = world.gateways[0].call("POST", "/once/book", "refused-1", b"");
    assert_eq!(answer.status, 503);
    let story = story(&world, "refused-1", "A request is refused.");
    assert!(
        story.contains("An attempt failed: Too much work"),
        "{story}"
    );
    assert!(story.contains("endpoint=i-desk"), "{story}");
    assert!(story.contains("kind=saturated"), "{story}");
}

// The trainer got an errored item. Its story has the three runs that its engine
// failed, and who ran the batch.
#[test]
fn errored_item_leads_to_its_engine() {
    let (world, _desk, engine) = World::ready("explain-errored", 1);
    engine.behave(Manner::Failing);
    let body = submission(1, 1, 1, 1).to_string();
    let answer = world.gateways[0].call("POST", "/lm/step", "b1", body.as_bytes());
    assert_eq!(answer.status, 202);
    until("the item is listed", || {
        let answer = world.gateways[0].call("GET", "/lots/b1?after=0", "reader", b"");
        answer.text().contains("errored").then_some(())
    });
    let story = until("all runs are told", || {
        let story = story(&world, "item-1-0-0", "A run of an item broke off.");
        (story.matches("cause=Failed").count() == 3).then_some(story)
    });
    assert!(story.contains("endpoint=i-lm"), "{story}");
    assert!(
        story.contains("gateway-1        batches  A batch is accepted."),
        "{story}"
    );
}

// The step was late. Its story names the owner that fell silent, the one that
// took over, and the engine of the item that ended it.
#[test]
fn late_step_leads_to_its_lost_owner() {
    let (mut world, _desk, engine) = World::ready("explain-late", 2);
    engine.work(Duration::from_millis(60));
    engine.events(30);
    let body = submission(1, 1, 1, 2).to_string();
    let answer = world.gateways[0].call("POST", "/lm/step", "b1", body.as_bytes());
    assert_eq!(answer.status, 202);
    // The first lines are written before the owner dies.
    story(&world, "b1", "A batch is accepted.");
    world.gateways[0].kill();
    until("all is listed", || {
        let answer = world.gateways[1].call("GET", "/lots/b1?after=1", "reader", b"");
        answer.text().contains("completed").then_some(())
    });
    let story = story(&world, "b1", "The text of an item is whole.");
    let lines: Vec<&str> = story.lines().collect();
    let find = |text: &str| lines.iter().position(|line| line.contains(text)).unwrap();
    let accepted = find("A batch is accepted.");
    let taken = find("A batch is taken over.");
    let whole = find("The text of an item is whole.");
    assert!(accepted < taken && taken < whole, "{story}");
    assert!(lines[accepted].contains("gateway-1"), "{story}");
    assert!(lines[taken].contains("gateway-2"), "{story}");
    assert!(lines[taken].contains("why=Silent"), "{story}");
    assert!(lines[whole].contains("endpoint=i-lm"), "{story}");
}

// Every metric that is served is on the operations page and in the list, and
// the metrics tell of what has just happened.
#[test]
fn metrics_are_served_as_the_page_lists_them() {
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
        let answer = ask("GET", gateway.metrics, "/metrics", &[], b"", PATIENCE)?;
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
