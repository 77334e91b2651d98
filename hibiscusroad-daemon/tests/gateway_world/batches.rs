//! Submitting, reading and checking batches.

use super::{Answer, World, until};
use hibiscusroad_standins::direct::Endpoint;
use serde_json::Value;
use std::collections::BTreeSet;

/// Submits a batch at a gateway.
pub fn submit(world: &World, n: usize, id: &str, body: &Value) -> Answer {
    world.gateways[n].call("POST", "/lm/step", id, body.to_string().as_bytes())
}

/// Reads the results of a batch from a position on.
pub fn read(world: &World, n: usize, id: &str, after: usize) -> Answer {
    world.gateways[n].call("GET", &format!("/lots/{id}?after={after}"), "reader", b"")
}

/// Waits until a batch has at least `count` results and returns them.
pub fn results(world: &World, n: usize, id: &str, count: usize) -> Vec<Value> {
    until("all results are listed", || {
        let answer = read(world, n, id, 0);
        if answer.status != 200 {
            return None;
        }
        let found = answer.json()["results"].as_array().unwrap().clone();
        (found.len() >= count).then_some(found)
    })
}

/// Returns the text that the stand-in engine generates for an item.
pub fn text(item: &str, events: u64) -> String {
    let lines: Vec<String> = (1..=events).map(|n| format!("{item}-{n}")).collect();
    lines.join("\n")
}

/// Checks that each item is completed once, with its complete text and score.
pub fn check_whole(results: &[Value], events: u64) {
    let ids: BTreeSet<&str> = results.iter().map(|r| r["id"].as_str().unwrap()).collect();
    assert_eq!(ids.len(), results.len(), "an item is listed twice");
    for result in results {
        let id = result["id"].as_str().unwrap();
        assert_eq!(result["state"], "completed");
        assert_eq!(result["text"], text(id, events));
        assert_eq!(result["score"], format!("stamp-score-{id}"));
    }
}

/// Returns the batches that a gateway has run, by its log.
pub fn batches_run_by(world: &World, n: usize) -> Vec<String> {
    let lines = world.gateways[n].lines();
    let runs = lines
        .iter()
        .filter(|line| line["text"] == "A batch is run here.");
    runs.map(|line| line["batch"].as_str().unwrap().to_owned())
        .collect()
}

/// Starts a world of gateways with lines added to their settings.
pub fn with_settings(test: &str, gateways: usize, extra_settings: &str) -> (World, [Endpoint; 2]) {
    let mut world = World::start(test);
    world.configure(1, &[]);
    let endpoints = [
        world.endpoint("hut-desk", "i-desk", &[]),
        world.endpoint("guide-lm", "i-lm", &["guide"]),
    ];
    for n in 0..gateways {
        world.gateway_with(extra_settings);
        world.wait_ready(n);
    }
    (world, endpoints)
}
