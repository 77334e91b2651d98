//! The story of an id from logs of several processes.

use hibiscusroad_cli::{
    args::{self, Job},
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
    assert_eq!(logs.odd(), 1);
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
    let job = Job::Trace {
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
