//! Tests of the engine's protocol.

use hibiscusroad_standins::engine::{Engine, Faults, Settings, SwapFault, text};
use serde_json::{Value, json};
use std::{
    io::{BufRead, BufReader},
    time::{Duration, Instant},
};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

fn slow_settings() -> Settings {
    Settings {
        step_time: Duration::from_millis(40),
        sequence_time: Duration::ZERO,
        ..Settings::default()
    }
}

fn complete(
    engine: &Engine,
    request: &Value,
) -> Result<ureq::http::Response<ureq::Body>, ureq::Error> {
    let url = format!("http://{}/v1/completions", engine.addr());
    let call = ureq::post(url)
        .config()
        .timeout_global(Some(REQUEST_TIMEOUT));
    call.build().send(request.to_string())
}

fn send_order(engine: &Engine, version: &str, fence: u64) -> Result<Value, ureq::Error> {
    let url = format!("http://{}/v1/weights", engine.addr());
    let request = json!({ "version": version, "fence": fence });
    let text = ureq::post(url)
        .send(request.to_string())?
        .body_mut()
        .read_to_string()?;
    Ok(serde_json::from_str(&text).unwrap())
}

/// Reads the events of a stream, each with the time of its arrival.
fn read_events(answer: ureq::http::Response<ureq::Body>) -> Vec<(Instant, String)> {
    let lines = BufReader::new(answer.into_body().into_reader()).lines();
    let lines = lines.map(Result::unwrap);
    lines
        .filter_map(|line| Some((Instant::now(), line.strip_prefix("data: ")?.to_owned())))
        .collect()
}

fn concat_texts(events: &[(Instant, String)]) -> String {
    let events = events
        .iter()
        .filter_map(|(_, e)| serde_json::from_str::<Value>(e).ok());
    events
        .map(|e| e["choices"][0]["text"].as_str().unwrap().to_owned())
        .collect()
}

#[test]
fn events_arrive_one_by_one() {
    let engine = Engine::start(slow_settings()).unwrap();
    let request = json!({ "prompt": "a hut", "max_tokens": 5, "stream": true });
    let events = read_events(complete(&engine, &request).unwrap());
    assert_eq!(events.len(), 7);
    assert_eq!(events[6].1, "[DONE]");
    assert_eq!(concat_texts(&events), text::answer("a hut", 0, 5));
    // Buffered events would all arrive within one step.
    let spread = events[4].0 - events[0].0;
    assert!(spread >= Duration::from_millis(100), "{spread:?}");
}

#[test]
fn resumed_stream_continues_at_the_given_token() {
    let engine = Engine::start(Settings::default()).unwrap();
    let mut request = json!({ "prompt": "p", "max_tokens": 9, "request_id": "r", "stream": true });
    request["resume_from"] = json!(4);
    let events = read_events(complete(&engine, &request).unwrap());
    let first: Value = serde_json::from_str(&events[0].1).unwrap();
    assert_eq!(first["offset"], 4);
    assert_eq!(first["id"], "r");
    assert_eq!(concat_texts(&events), text::answer("p", 4, 9));
}

#[test]
fn complete_answer_reports_usage_and_cached_tokens() {
    let engine = Engine::start(Settings::default()).unwrap();
    let prompt = "word ".repeat(40);
    let request = json!({ "prompt": prompt, "max_tokens": 3 });
    let cached: Vec<Value> = [(), ()]
        .iter()
        .map(|()| {
            let text = complete(&engine, &request)
                .unwrap()
                .body_mut()
                .read_to_string()
                .unwrap();
            let answer: Value = serde_json::from_str(&text).unwrap();
            assert_eq!(answer["choices"][0]["text"], text::answer(&prompt, 0, 3));
            assert_eq!(answer["usage"]["completion_tokens"], 3);
            answer["usage"]["prompt_tokens_details"]["cached_tokens"].clone()
        })
        .collect();
    assert_eq!(cached, [0, 32]);
}

/// Guards against work on requests without a stream whose caller has disconnected.
#[test]
fn request_of_a_disconnected_caller_is_cancelled() {
    let engine = Engine::start(slow_settings()).unwrap();
    let url = format!("http://{}/v1/completions", engine.addr());
    let request = json!({ "prompt": "p", "max_tokens": 100_000 }).to_string();
    let timeout = Some(Duration::from_millis(300));
    ureq::post(url)
        .config()
        .timeout_global(timeout)
        .build()
        .send(request)
        .unwrap_err();
    let disconnected = Instant::now();
    while engine.load().running > 0 {
        assert!(disconnected.elapsed() < REQUEST_TIMEOUT);
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn tokens_name_the_weight_version_that_generated_them() {
    let engine = Engine::start(slow_settings()).unwrap();
    let request = json!({ "prompt": "p", "max_tokens": 20, "stream": true });
    let answer = complete(&engine, &request).unwrap();
    let mut lines = BufReader::new(answer.into_body().into_reader()).lines();
    let mut events = vec![lines.next().unwrap().unwrap()];
    assert_eq!(send_order(&engine, "2", 1).unwrap()["version"], "2");
    events.extend(lines.map(Result::unwrap));
    let versions: Vec<String> = events
        .iter()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|event| serde_json::from_str::<Value>(event).ok())
        .map(|e| e["system_fingerprint"].as_str().unwrap().to_owned())
        .collect();
    assert_eq!(versions.first().unwrap(), "1");
    assert_eq!(versions.last().unwrap(), "2");
    assert!(versions.is_sorted());
}

/// An engine may report success but load another version.
#[test]
fn load_report_shows_the_version_that_was_really_loaded() {
    let swap_time = Duration::from_millis(10);
    let engine = Engine::start(Settings {
        swap_time,
        load_lag: swap_time,
        ..Settings::default()
    })
    .unwrap();
    engine.set_faults(Faults {
        swap: SwapFault::Other("0".to_owned()),
        ..Faults::default()
    });
    assert_eq!(send_order(&engine, "2", 1).unwrap()["version"], "2");
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(engine.load().version, "0");
    engine.set_faults(Faults {
        swap: SwapFault::Fail,
        ..Faults::default()
    });
    send_order(&engine, "3", 1).unwrap_err();
}

#[test]
fn outdated_orders_are_refused_only_by_engines_that_check_fencing_tokens() {
    let swap_time = Duration::ZERO;
    for checks_fence in [false, true] {
        let engine = Engine::start(Settings {
            swap_time,
            checks_fence,
            ..Settings::default()
        })
        .unwrap();
        send_order(&engine, "2", 7).unwrap();
        assert_eq!(send_order(&engine, "1", 6).is_err(), checks_fence);
    }
}

/// Guards against truncated answers that look complete after a crash.
#[test]
fn crash_truncates_the_stream() {
    let engine = Engine::start(slow_settings()).unwrap();
    let request = json!({ "prompt": "p", "max_tokens": 1000, "stream": true });
    let answer = complete(&engine, &request).unwrap();
    engine.set_faults(Faults {
        crash: true,
        ..Faults::default()
    });
    let mut body = answer.into_body();
    let start = Instant::now();
    body.read_to_vec().unwrap_err();
    assert!(start.elapsed() < REQUEST_TIMEOUT / 2);
}
