//! The story of an id from logs of several processes.

use hibiscusroad_cli::{
    args::{self, Action},
    trace::Logs,
};
use std::{
    path::PathBuf,
    process::{Command, Stdio},
};

const ONE: &str = r#"{"time":"2026-01-02T03:04:05.000Z","level":"INFO","part":"process","text":"gateway-1 starts as gateway in senec."}
{"time":"2026-01-02T03:04:05.100Z","level":"INFO","part":"config","text":"A configuration is in force.","version":7,"row":3}
{"time":"2026-01-02T03:04:06.000Z","level":"INFO","part":"batches","text":"A batch is accepted.","batch":"b1","row":5}
{"time":"2026-01-02T03:04:06.500Z","level":"INFO","part":"batches","text":"A run of an item broke off.","batch":"b1","item":"i1","endpoint":"e1","cause":"Lost"}
{"time":"2026-01-02T03:04:06.600Z","level":"INFO","part":"batches","text":"The text of an item is whole.","batch":"b1","item":"i2","endpoint":"e1"}
"#;
/// Its clock is five seconds behind.
const TWO: &str = r#"gathered: {"time":"2026-01-02T03:04:00.101Z","level":"INFO","part":"config","text":"A configuration is in force.","version":7,"row":3}
not a line
{"time":"2026-01-02T03:04:03.000Z","level":"INFO","part":"batches","text":"A batch is taken over.","batch":"b1","why":"Silent"}
{"time":"2026-01-02T03:04:04.000Z","level":"INFO","part":"batches","text":"The text of an item is whole.","batch":"b1","item":"i1","endpoint":"e2"}
"#;
const THREE: &str = r#"{"time":"2026-01-02T03:04:05.102Z","level":"INFO","part":"config","text":"A configuration is in force.","version":7,"row":3}
"#;

fn logs() -> Logs {
    let mut logs = Logs::new();
    logs.add("one", ONE);
    logs.add("two", TWO);
    logs.add("three", THREE);
    logs
}

// An engineer asks why an item was late. Its first owner's run was lost and the
// owner went silent; the second owner's clock is five seconds behind, and its
// lines must still come after those of the first.
#[test]
fn items_story_is_in_order_though_clocks_differ() {
    let logs = logs();
    assert_eq!(logs.unparsed(), 1);
    let story = logs.story("i1").unwrap();
    let lines: Vec<&str> = story.lines().collect();
    let expected = [
        "    0.000 s  gateway-1        batches  A batch is accepted. batch=b1 row=5",
        "    0.500 s  gateway-1        batches  A run of an item broke off. batch=b1 cause=Lost endpoint=e1 item=i1",
        "    1.999 s  two              batches  A batch is taken over. batch=b1 why=Silent",
        "    2.999 s  two              batches  The text of an item is whole. batch=b1 endpoint=e2 item=i1",
    ];
    assert_eq!(lines, expected);
}

#[test]
fn batchs_story_has_all_its_items() {
    let story = logs().story("b1").unwrap();
    assert_eq!(story.lines().count(), 5);
    assert_eq!(logs().story("nothing"), None);
}

#[test]
fn command_line_takes_an_id_and_logs() {
    let parse = |words: &[&str]| {
        let args = words.iter().map(std::ffi::OsString::from);
        args::parse(args, &|_| None)
    };
    let job = Action::Trace {
        id: "b1".to_owned(),
        logs: vec![PathBuf::from("x.log")],
    };
    assert_eq!(parse(&["trace", "b1", "x.log"]).unwrap(), job);
    let error = parse(&["trace"]).unwrap_err();
    assert!(error.to_string().contains("id"));
}

#[test]
fn unknown_id_and_missing_file_are_told() {
    let run = |words: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_hibiscusroad"));
        command.args(words).stdin(Stdio::null()).output().unwrap()
    };
    assert_eq!(run(&["trace", "b1"]).status.code(), Some(1));
    let missing = run(&["trace", "b1", "/no/such/log"]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&missing.stderr).contains("/no/such/log"));
}

/// Two gateways, of which the first is lost: a step of two groups whose trainer
/// waits for one. The item that it waits for last is `a2`.
const STEP: &str = r#"{"time":"2026-01-02T03:04:05.000Z","text":"g1 starts as gateway in senec.","part":"process"}
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

// An engineer asks why a step took six seconds. Its last item waited for weights and
// room, was refused, lost its owner, and ran on for two seconds at another; each
// moment counts for one cause, so that the causes add up to what the step took.
#[test]
fn causes_of_a_step_add_up_to_its_time() {
    let mut logs = Logs::new();
    logs.add("one", STEP);
    let table = logs.steps();
    let step = &table.rows[0];
    let cell = |name: &str| step[name].as_f64().unwrap();
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
    for (name, seconds) in causes {
        assert!((cell(name) - seconds).abs() < 0.011, "{name}: {step:?}");
    }
    let sum: f64 = causes.iter().map(|(name, _)| cell(name)).sum();
    assert!((sum - cell("took")).abs() < 0.05 * cell("took"), "{step:?}");
    assert_eq!(step["events"], 41.0);
    assert_eq!(step["state"], "ended");
    assert_eq!(table.rows[1]["state"], "open");
    assert_eq!(table.rows[2]["model"], "all");
}

#[test]
fn command_line_takes_steps_and_a_format() {
    let args = ["trace", "--steps", "--format", "csv", "x.log"].map(std::ffi::OsString::from);
    let job = Action::Steps {
        logs: vec![PathBuf::from("x.log")],
        format: hibiscusroad_cli::format::Format::Csv,
    };
    assert_eq!(args::parse(args, &|_| None).unwrap(), job);
}
