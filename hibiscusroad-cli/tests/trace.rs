//! Tests timelines and the analysis of steps from the logs of several processes.

use hibiscusroad_cli::{
    args::{self, Action},
    trace::Logs,
};
use std::{
    path::PathBuf,
    process::{Command, Stdio},
};

const FIRST_LOG: &str = r#"{"time":"2026-01-02T03:04:05.000Z","level":"INFO","part":"process","text":"gateway-1 starts as gateway in senec."}
{"time":"2026-01-02T03:04:05.100Z","level":"INFO","part":"config","text":"A configuration is in force.","version":7,"row":3}
{"time":"2026-01-02T03:04:06.000Z","level":"INFO","part":"batches","text":"A batch is accepted.","batch":"b1","row":5}
{"time":"2026-01-02T03:04:06.500Z","level":"INFO","part":"batches","text":"A run of an item broke off.","batch":"b1","item":"i1","endpoint":"e1","cause":"Lost"}
{"time":"2026-01-02T03:04:06.600Z","level":"INFO","part":"batches","text":"The text of an item is whole.","batch":"b1","item":"i2","endpoint":"e1"}
"#;
/// From a process whose clock is five seconds behind.
const SECOND_LOG: &str = r#"gathered: {"time":"2026-01-02T03:04:00.101Z","level":"INFO","part":"config","text":"A configuration is in force.","version":7,"row":3}
not a line
{"time":"2026-01-02T03:04:03.000Z","level":"INFO","part":"batches","text":"A batch is taken over.","batch":"b1","why":"Silent"}
{"time":"2026-01-02T03:04:04.000Z","level":"INFO","part":"batches","text":"The text of an item is whole.","batch":"b1","item":"i1","endpoint":"e2"}
"#;
const THIRD_LOG: &str = r#"{"time":"2026-01-02T03:04:05.102Z","level":"INFO","part":"config","text":"A configuration is in force.","version":7,"row":3}
"#;

fn logs() -> Logs {
    let mut logs = Logs::new();
    logs.add("one", FIRST_LOG);
    logs.add("two", SECOND_LOG);
    logs.add("three", THIRD_LOG);
    logs
}

// The takeover must follow the first owner's lines, although the second owner's
// clock is five seconds behind.
#[test]
fn item_timeline_is_ordered_despite_clock_offsets() {
    let logs = logs();
    assert_eq!(logs.unparsed(), 1);
    let timeline = logs.timeline("i1").unwrap();
    let lines: Vec<&str> = timeline.lines().collect();
    let expected = [
        "    0.000 s  gateway-1        batches  A batch is accepted. batch=b1 row=5",
        "    0.500 s  gateway-1        batches  A run of an item broke off. batch=b1 cause=Lost endpoint=e1 item=i1",
        "    1.999 s  two              batches  A batch is taken over. batch=b1 why=Silent",
        "    2.999 s  two              batches  The text of an item is whole. batch=b1 endpoint=e2 item=i1",
    ];
    assert_eq!(lines, expected);
}

#[test]
fn batch_timeline_has_all_items() {
    let timeline = logs().timeline("b1").unwrap();
    assert_eq!(timeline.lines().count(), 5);
    assert_eq!(logs().timeline("nothing"), None);
}

#[test]
fn trace_accepts_id_and_logs() {
    let parse = |args: &[&str]| {
        let args = args.iter().map(std::ffi::OsString::from);
        args::parse(args, &|_| None)
    };
    let action = Action::Trace {
        id: "b1".to_owned(),
        logs: vec![PathBuf::from("x.log")],
    };
    assert_eq!(parse(&["trace", "b1", "x.log"]).unwrap(), action);
    let error = parse(&["trace"]).unwrap_err();
    assert!(error.to_string().contains("id"));
}

#[test]
fn unknown_id_and_missing_file_are_reported() {
    let run = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_hibiscusroad"));
        command.args(args).stdin(Stdio::null()).output().unwrap()
    };
    assert_eq!(run(&["trace", "b1"]).status.code(), Some(1));
    let missing = run(&["trace", "b1", "/no/such/log"]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&missing.stderr).contains("/no/such/log"));
}

/// A step with a target of one group whose owner `g1` is lost. Its last awaited item
/// is `a2`.
const STEP_LOG: &str = r#"{"time":"2026-01-02T03:04:05.000Z","text":"g1 starts as gateway in senec.","part":"process"}
{"time":"2026-01-02T03:04:06.000Z","text":"A batch is accepted.","part":"batches","batch":"b1","model":"m","step":4,"items":3,"groups":2,"target":1,"carried":0}
{"time":"2026-01-02T03:04:07.000Z","text":"The text of an item is whole.","part":"batches","batch":"b1","item":"a1","group":"a","endpoint":"e1","before":"None","events":10,"pace_us":40000,"took_ms":600,"waited_ms":390,"weights_ms":390,"room_ms":0}
{"time":"2026-01-02T03:04:07.020Z","text":"The text of an item is scored.","part":"batches","batch":"b1","item":"a1"}
{"time":"2026-01-02T03:04:07.030Z","text":"Results are listed.","part":"batches","batch":"b1","items":"a1"}
{"time":"2026-01-02T03:04:07.100Z","text":"A run of an item broke off.","part":"batches","batch":"b1","item":"a2","endpoint":"e1","cause":"NotRun","before":"None","events":0,"pace_us":0,"took_ms":5,"waited_ms":1095,"weights_ms":400,"room_ms":600}
2 g2 {"time":"2026-01-02T03:04:09.000Z","text":"A batch is taken over.","part":"batches","batch":"b1"}
2 g2 {"time":"2026-01-02T03:04:11.200Z","text":"The text of an item is whole.","part":"batches","batch":"b1","item":"a2","group":"a","endpoint":"e2","before":"Some(10)","events":31,"pace_us":50000,"took_ms":2000,"waited_ms":0,"weights_ms":0,"room_ms":0}
2 g2 {"time":"2026-01-02T03:04:11.300Z","text":"The text of an item is scored.","part":"batches","batch":"b1","item":"a2"}
2 g2 {"time":"2026-01-02T03:04:11.350Z","text":"Results are listed.","part":"batches","batch":"b1","items":"a2"}
2 g2 {"time":"2026-01-02T03:04:11.950Z","text":"A batch is ended.","part":"batches","batch":"b1"}
{"time":"2026-01-02T03:04:12.000Z","text":"A batch is accepted.","part":"batches","batch":"b2","model":"m","step":5,"items":3,"groups":2,"target":1,"carried":0}
"#;

// Each moment of a step must count for exactly one cause.
#[test]
fn step_causes_add_up_to_its_duration() {
    let mut logs = Logs::new();
    logs.add("one", STEP_LOG);
    let table = logs.steps();
    let step = &table.rows[0];
    let seconds_of = |name: &str| step[name].as_f64().unwrap();
    let causes = [
        ("begin", 0.1),
        ("weights", 0.4),
        ("room", 0.6),
        ("refused", 0.0),
        ("decode", 2.0),
        ("owner", 1.59),
        ("queued", 0.5),
        ("scoring", 0.1),
        ("listing", 0.05),
        ("trainer", 0.6),
    ];
    for (name, expected) in causes {
        assert!(
            (seconds_of(name) - expected).abs() < 0.011,
            "{name}: {step:?}"
        );
    }
    let sum: f64 = causes.iter().map(|(name, _)| seconds_of(name)).sum();
    assert!(
        (sum - seconds_of("took")).abs() < 0.05 * seconds_of("took"),
        "{step:?}"
    );
    assert_eq!(step["events"], 41.0);
    assert_eq!(step["state"], "ended");
    assert_eq!(table.rows[1]["state"], "open");
    assert_eq!(table.rows[2]["model"], "all");
}

#[test]
fn trace_steps_accepts_format() {
    let args = ["trace", "--steps", "--format", "csv", "x.log"].map(std::ffi::OsString::from);
    let action = Action::Steps {
        logs: vec![PathBuf::from("x.log")],
        format: hibiscusroad_cli::format::Format::Csv,
    };
    assert_eq!(args::parse(args, &|_| None).unwrap(), action);
}
