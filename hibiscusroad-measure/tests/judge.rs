//! The judgement of a load: what it must not let pass.

use hibiscusroad::Class;
use hibiscusroad_measure::{
    caller::{Call, Caller, Ending, GRACE, Outcome, Work},
    judge::judge,
    load::{CompletedCall, arrivals},
    report::Report,
};
use hibiscusroad_standins::{
    engine::{self, Engine},
    http::{ANY_LOOPBACK_PORT, Exchange, Server},
    plain::{LogEntry, Plain, Settings},
};
use std::time::{Duration, Instant};

const DEADLINE: Duration = Duration::from_secs(1);

fn call(base: &str, work: Work) -> Call {
    Call {
        at: Duration::ZERO,
        base: base.to_owned(),
        path: "/a".to_owned(),
        work,
        request: "r1".to_owned(),
        class: Class::Interactive,
        deadline: DEADLINE,
        size: 100,
    }
}

fn completed(ending: Ending, wait: Duration) -> CompletedCall {
    CompletedCall {
        call: call("", Work::Get),
        outcome: Outcome {
            ending,
            latency: wait,
            wait,
            first: None,
            tokens: 0,
        },
    }
}

fn ran(key: Option<&str>, request: &str) -> LogEntry {
    LogEntry {
        seq: 1,
        method: "POST".to_owned(),
        path: "/a".to_owned(),
        request: Some(request.to_owned()),
        key: key.map(str::to_owned),
        body_hash: 0,
        at_ms: 0,
    }
}

#[test]
fn refusals_too_have_to_come_in_time() {
    let refused = || Ending::Refused(503, "saturated".to_owned());
    let late = DEADLINE + GRACE * 2;
    let all = [
        completed(Ending::Answered, DEADLINE),
        completed(Ending::Answered, late),
        completed(refused(), DEADLINE),
        completed(refused(), late),
        completed(Ending::Lost("closed".to_owned()), Duration::ZERO),
    ];
    let verdict = judge(&all, &[]);
    assert_eq!((verdict.answered, verdict.refused, verdict.late), (2, 2, 3));
    assert!(!verdict.is_clean());
}

/// A request that ran at two endpoints, and one that ran twice at the same, are
/// both doubled, with or without a key. Reads may be repeated.
#[test]
fn runs_are_counted_over_all_endpoints() {
    let mut read = ran(None, "r3");
    read.method = "GET".to_owned();
    let logs = [
        vec![ran(Some("k1"), "r1"), ran(None, "r2"), ran(None, "r2")],
        vec![ran(None, "r1"), ran(Some("k2"), "r4")],
        vec![read.clone(), read],
    ];
    assert_eq!(judge(&[], &logs).doubled, 2);
}

#[test]
fn answered_writes_have_to_have_run() {
    let mut write = completed(Ending::Answered, DEADLINE);
    write.call.work = Work::Post {
        key: "k1".to_owned(),
    };
    let all = [write];
    assert_eq!(judge(&all, &[vec![ran(None, "r1")]]).short, 0);
    assert_eq!(judge(&all, &[vec![ran(None, "r2")]]).short, 1);
}

#[test]
fn whole_answers_are_told_from_others() {
    let plain = Plain::start(Settings::default()).unwrap();
    let engine = Engine::start(engine::Settings::default()).unwrap();
    // Answers everybody as if it were request r0.
    let other = Server::start(ANY_LOOPBACK_PORT, |exchange: Exchange| {
        exchange.answer(
            200,
            &serde_json::json!({
                "seq": 1, "method": "GET", "path": "/a", "request": "r0", "body": "", "pad": "",
            }),
        );
    });
    let caller = Caller::default();
    let now = Instant::now();
    let complete = |stream| Work::Complete {
        prompt: "p".to_owned(),
        tokens: 5,
        stream,
    };
    let whole = [
        call(&format!("http://{}", plain.addr()), Work::Get),
        call(
            &format!("http://{}", plain.addr()),
            Work::Post {
                key: "k".to_owned(),
            },
        ),
        Call {
            path: "/v1/completions".to_owned(),
            ..call(&format!("http://{}", engine.addr()), complete(true))
        },
        Call {
            path: "/v1/completions".to_owned(),
            ..call(&format!("http://{}", engine.addr()), complete(false))
        },
    ];
    for call in whole {
        assert_eq!(caller.run(&call, now).ending, Ending::Answered, "{call:?}");
    }
    let other = other.unwrap();
    let stray = call(&format!("http://{}", other.addr()), Work::Get);
    let ending = caller.run(&stray, now).ending;
    assert!(matches!(ending, Ending::Short(_)), "{ending:?}");
}

#[test]
fn arrivals_have_the_rate_and_repeat() {
    let time = Duration::from_secs(100);
    let times = arrivals(50.0, time, 7);
    assert_eq!(times, arrivals(50.0, time, 7));
    assert!(times.is_sorted());
    assert!((4500..5500).contains(&times.len()), "{}", times.len());
}

#[test]
fn report_names_units() {
    let mut report = Report::default();
    report.add("added_p50", 0.123_456, "ms");
    report.add("failed", 0.0, "");
    assert_eq!(report.text(), "added_p50=0.123 ms\nfailed=0\n");
    assert!(report.json().contains(r#""unit":"ms""#));
}
