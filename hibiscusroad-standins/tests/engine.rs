//! The engine's protocol, as sides and checkers lean on it.

use hibiscusroad_standins::engine::{Engine, Faults, Settings, SwapFault, text};
use serde_json::{Value, json};
use std::{
    io::{BufRead, BufReader},
    time::{Duration, Instant},
};

const PATIENCE: Duration = Duration::from_secs(10);

fn slow() -> Settings {
    Settings {
        step: Duration::from_millis(40),
        sequence: Duration::ZERO,
        ..Settings::default()
    }
}

fn complete(engine: &Engine, ask: &Value) -> Result<ureq::http::Response<ureq::Body>, ureq::Error> {
    let url = format!("http://{}/v1/completions", engine.addr());
    let call = ureq::post(url).config().timeout_global(Some(PATIENCE));
    call.build().send(ask.to_string())
}

fn order(engine: &Engine, version: &str, fence: u64) -> Result<Value, ureq::Error> {
    let url = format!("http://{}/v1/weights", engine.addr());
    let ask = json!({ "version": version, "fence": fence });
    let text = ureq::post(url)
        .send(ask.to_string())?
        .body_mut()
        .read_to_string()?;
    Ok(serde_json::from_str(&text).unwrap())
}

/// Reads the events of a stream, each with the time of its arrival.
fn events(answer: ureq::http::Response<ureq::Body>) -> Vec<(Instant, String)> {
    let lines = BufReader::new(answer.into_body().into_reader()).lines();
    let lines = lines.map(Result::unwrap);
    lines
        .filter_map(|line| Some((Instant::now(), line.strip_prefix("data: ")?.to_owned())))
        .collect()
}

fn texts(events: &[(Instant, String)]) -> String {
    let events = events
        .iter()
        .filter_map(|(_, e)| serde_json::from_str::<Value>(e).ok());
    events
        .map(|e| e["choices"][0]["text"].as_str().unwrap().to_owned())
        .collect()
}

#[test]
fn events_arrive_one_by_one() {
    let engine = Engine::start(slow()).unwrap();
    let ask = json!({ "prompt": "a hut", "max_tokens": 5, "stream": true });
    let events = events(complete(&engine, &ask).unwrap());
    assert_eq!(events.len(), 7);
    assert_eq!(events[6].1, "[DONE]");
    assert_eq!(texts(&events), text::answer("a hut", 0, 5));
    // Held back to the end, all would come within a step.
    let spread = events[4].0 - events[0].0;
    assert!(spread >= Duration::from_millis(100), "{spread:?}");
}

#[test]
fn resumed_stream_goes_on_where_the_other_stopped() {
    let engine = Engine::start(Settings::default()).unwrap();
    let mut ask = json!({ "prompt": "p", "max_tokens": 9, "request_id": "r", "stream": true });
    ask["resume_from"] = json!(4);
    let events = events(complete(&engine, &ask).unwrap());
    let first: Value = serde_json::from_str(&events[0].1).unwrap();
    assert_eq!(first["offset"], 4);
    assert_eq!(first["id"], "r");
    assert_eq!(texts(&events), text::answer("p", 4, 9));
}

#[test]
fn whole_answer_reports_use_and_cache() {
    let engine = Engine::start(Settings::default()).unwrap();
    let prompt = "word ".repeat(40);
    let ask = json!({ "prompt": prompt, "max_tokens": 3 });
    let cached: Vec<Value> = [(), ()]
        .iter()
        .map(|()| {
            let text = complete(&engine, &ask)
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

/// A caller leaves a long request that gives it nothing to fail on, and the
/// engine stops working on it, as its load report shows a little later.
#[test]
fn request_of_a_caller_that_left_is_cancelled() {
    let engine = Engine::start(slow()).unwrap();
    let url = format!("http://{}/v1/completions", engine.addr());
    let ask = json!({ "prompt": "p", "max_tokens": 100_000 }).to_string();
    let brief = Some(Duration::from_millis(300));
    ureq::post(url)
        .config()
        .timeout_global(brief)
        .build()
        .send(ask)
        .unwrap_err();
    let left = Instant::now();
    while engine.load().running > 0 {
        assert!(left.elapsed() < PATIENCE);
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn tokens_name_the_version_that_made_them() {
    let engine = Engine::start(slow()).unwrap();
    let ask = json!({ "prompt": "p", "max_tokens": 20, "stream": true });
    let answer = complete(&engine, &ask).unwrap();
    let mut lines = BufReader::new(answer.into_body().into_reader()).lines();
    let mut events = vec![lines.next().unwrap().unwrap()];
    assert_eq!(order(&engine, "2", 1).unwrap()["version"], "2");
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

/// An order is said to be done, yet another version runs. Only the reports
/// and the tokens tell.
#[test]
fn failed_swap_shows_in_reports_only() {
    let swap = Duration::from_millis(10);
    let engine = Engine::start(Settings {
        swap,
        lag: swap,
        ..Settings::default()
    })
    .unwrap();
    engine.set_faults(Faults {
        swap: SwapFault::Other("0".to_owned()),
        ..Faults::default()
    });
    assert_eq!(order(&engine, "2", 1).unwrap()["version"], "2");
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(engine.load().version, "0");
    engine.set_faults(Faults {
        swap: SwapFault::Fail,
        ..Faults::default()
    });
    order(&engine, "3", 1).unwrap_err();
}

#[test]
fn old_orders_are_refused_only_by_engines_that_check() {
    let swap = Duration::ZERO;
    for fences in [false, true] {
        let engine = Engine::start(Settings {
            swap,
            fences,
            ..Settings::default()
        })
        .unwrap();
        order(&engine, "2", 7).unwrap();
        assert_eq!(order(&engine, "1", 6).is_err(), fences);
    }
}

/// The engine crashes in the middle of a stream: the caller sees an answer
/// that ends without its declared end, never a short one that looks whole.
#[test]
fn crash_breaks_the_stream() {
    let engine = Engine::start(slow()).unwrap();
    let ask = json!({ "prompt": "p", "max_tokens": 1000, "stream": true });
    let answer = complete(&engine, &ask).unwrap();
    engine.set_faults(Faults {
        crash: true,
        ..Faults::default()
    });
    let mut body = answer.into_body();
    let start = Instant::now();
    body.read_to_vec().unwrap_err();
    assert!(start.elapsed() < PATIENCE / 2);
}
