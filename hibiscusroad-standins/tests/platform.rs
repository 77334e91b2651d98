//! Tests of the platform's protocols.

use base64::{Engine as _, engine::general_purpose::STANDARD};
use hibiscusroad_standins::platform::{Faults, Loss, Platform, Settings};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

fn post(platform: &Platform, path: &str, body: &Value) -> Result<Value, ureq::Error> {
    let url = format!("{}{path}", platform.url());
    let mut answer = ureq::post(url).send(body.to_string())?;
    let text = answer.body_mut().read_to_string()?;
    Ok(serde_json::from_str(&text).expect("the answer is JSON"))
}

fn put_if_absent(key: &str, value: &str) -> Value {
    let (key, value) = (STANDARD.encode(key), STANDARD.encode(value));
    json!({
        "compare": [{ "key": key, "target": "VERSION", "result": "EQUAL", "version": 0 }],
        "success": [{ "request_put": { "key": key, "value": value } }],
        "failure": [{ "request_range": { "key": key } }],
    })
}

#[test]
fn failed_insert_returns_the_existing_row() {
    let platform = Platform::start(&Settings::default()).unwrap();
    let first = post(&platform, "/v3/kv/txn", &put_if_absent("a", "1")).unwrap();
    assert_eq!(first["succeeded"], true);
    assert_eq!(first["header"]["revision"], "2");

    let second = post(&platform, "/v3/kv/txn", &put_if_absent("a", "2")).unwrap();
    assert_eq!(second["succeeded"], false);
    let row = &second["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(row["value"], STANDARD.encode("1"));
    assert_eq!(row["mod_revision"], "2");
    assert_eq!(row["version"], "1");
}

#[test]
fn conditional_write_requires_the_current_revision() {
    let platform = Platform::start(&Settings::default()).unwrap();
    post(&platform, "/v3/kv/txn", &put_if_absent("a", "1")).unwrap();
    let key = STANDARD.encode("a");
    let write = |revision: &str| {
        json!({
            "compare": [{ "key": key, "target": "MOD", "mod_revision": revision }],
            "success": [{ "requestPut": { "key": key, "value": key } }],
        })
    };
    let current = post(&platform, "/v3/kv/txn", &write("2")).unwrap();
    assert_eq!(current["succeeded"], true);
    let stale = post(&platform, "/v3/kv/txn", &write("2")).unwrap();
    assert_eq!(stale["succeeded"], false);
    assert_eq!(platform.history().counts.writes, 2);
}

#[test]
fn range_is_limited_and_counted() {
    let platform = Platform::start(&Settings::default()).unwrap();
    for key in ["p/1", "p/2", "p/3", "q"] {
        post(&platform, "/v3/kv/txn", &put_if_absent(key, "")).unwrap();
    }
    let (key, end) = (STANDARD.encode("p/"), STANDARD.encode("p0"));
    let request = json!({ "key": key, "range_end": end, "limit": 2 });
    let answer = post(&platform, "/v3/kv/range", &request).unwrap();
    assert_eq!(answer["kvs"].as_array().unwrap().len(), 2);
    assert_eq!(answer["count"], "3");
    assert_eq!(answer["more"], true);
    let recent = json!({ "key": key, "range_end": end, "min_mod_revision": "4" });
    let answer = post(&platform, "/v3/kv/range", &recent).unwrap();
    assert_eq!(answer["kvs"].as_array().unwrap().len(), 1);
    let backwards = json!({ "key": end, "range_end": key });
    let none = post(&platform, "/v3/kv/range", &backwards).unwrap();
    assert_eq!(none["count"], "0");
}

/// Guards the fault that makes the outcome of a write unknown to the writer: the
/// connection closes, but the row is written.
#[test]
fn write_takes_effect_although_its_answer_is_lost() {
    let platform = Platform::start(&Settings::default()).unwrap();
    platform.set_faults(Faults {
        lose_answers: Loss::Every(2),
        ..Faults::default()
    });
    post(&platform, "/v3/kv/txn", &put_if_absent("a", "1")).unwrap();
    post(&platform, "/v3/kv/txn", &put_if_absent("b", "1")).unwrap_err();
    let request = json!({ "key": STANDARD.encode("b") });
    let row = post(&platform, "/v3/kv/range", &request).unwrap();
    assert_eq!(row["count"], "1");
    let answered: Vec<_> = platform
        .history()
        .writes
        .iter()
        .map(|w| w.answered)
        .collect();
    assert_eq!(answered, [true, false]);
}

/// A platform that is down writes nothing, but still serves `/control`.
#[test]
fn down_platform_writes_nothing() {
    let platform = Platform::start(&Settings::default()).unwrap();
    post(&platform, "/control", &json!({ "down": true })).unwrap();
    post(&platform, "/v3/kv/txn", &put_if_absent("a", "1")).unwrap_err();
    post(&platform, "/control", &json!({})).unwrap();
    let first = post(&platform, "/v3/kv/txn", &put_if_absent("a", "1")).unwrap();
    assert_eq!(first["succeeded"], true);
}

#[test]
fn host_list_is_visible_after_the_lag() {
    let lag = Duration::from_millis(300);
    let settings = Settings {
        lag,
        ..Settings::default()
    };
    let platform = Platform::start(&settings).unwrap();
    let url = format!("{}/hosts", platform.url());
    let list = json!([{ "targets": ["127.0.0.1:1"], "labels": { "state": "live" } }]).to_string();
    let read = || {
        ureq::get(&url)
            .call()
            .unwrap()
            .body_mut()
            .read_to_string()
            .unwrap()
    };
    let published = Instant::now();
    ureq::put(&url).send(&list).unwrap();
    assert_eq!(read(), "[]");
    while read() == "[]" {
        assert!(published.elapsed() < lag * 10);
    }
    assert!(published.elapsed() >= lag);
    let seen: Value = serde_json::from_str(&read()).unwrap();
    assert_eq!(seen[0]["targets"][0], "127.0.0.1:1");
}

#[test]
fn weight_store_refuses_over_its_rate() {
    let settings = Settings {
        rate: 0.5,
        ..Settings::default()
    };
    let platform = Platform::start(&settings).unwrap();
    let url = format!("{}/weights/7", platform.url());
    ureq::get(&url).call().unwrap();
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let refused = agent.get(&url).call().unwrap();
    assert_eq!(refused.status(), 429);
    assert_eq!(refused.headers()["Retry-After"], "2");
}

#[test]
fn objects_are_stored_and_listed() {
    let platform = Platform::start(&Settings::default()).unwrap();
    let url = |path: &str| format!("{}/{path}", platform.url());
    ureq::put(url("runs/a/1")).send("one").unwrap();
    ureq::put(url("runs/b/1")).send("two").unwrap();
    let create = ureq::put(url("runs/a/1")).header("If-None-Match", "*");
    create.send("three").unwrap_err();
    let mut read = ureq::get(url("runs/a/1")).call().unwrap();
    assert_eq!(read.body_mut().read_to_string().unwrap(), "one");
    let mut list = ureq::get(url("runs?prefix=a/")).call().unwrap();
    let list = list.body_mut().read_to_string().unwrap();
    assert!(list.contains("<Key>a/1</Key>"), "{list}");
    assert!(!list.contains("b/1"), "{list}");
}
