//! Tests the outcomes that operators see when entries fail during a command.

mod fake;

use fake::{Action, FakeEntry, closed_address};
use hibiscusroad_cli::{
    args::{Options, Token},
    language,
    session::{Exit, Session},
};
use serde_json::Value;
use std::net::SocketAddr;

const CONFIG_RESPONSE: &str = r#"{"rows":[],"lacks":[],"version":4}"#;
const DONE_RESPONSE: &str = r#"{"outcome":"done","version":5}"#;
const TABLE_DOWN_RESPONSE: &str =
    r#"{"outcome":"refused","problem":"store-down","detail":"the table is down"}"#;

struct Output {
    exit: Exit,
    stdout: String,
    stderr: String,
}

fn run(options: Options, source: &str) -> Output {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let statements = language::parse(source).unwrap();
    let exit = Session::new(options, &mut out, &mut err)
        .run(&statements)
        .unwrap();
    Output {
        exit,
        stdout: String::from_utf8(out).unwrap(),
        stderr: String::from_utf8(err).unwrap(),
    }
}

fn options(entries: &[SocketAddr]) -> Options {
    Options {
        entries: entries.to_vec(),
        operator: "jana".to_owned(),
        ..Options::default()
    }
}

fn respond(status: u16, body: &str) -> Action {
    Action::Respond(status, body.to_owned())
}

fn receive_command(entry: &FakeEntry) -> Value {
    let request = entry.requests.recv().unwrap();
    assert_eq!(request.path, "/v1/change");
    serde_json::from_str(&request.body).unwrap()
}

// After a lost response, a retry with a new id could apply the command twice.
#[test]
fn lost_response_is_retried_with_same_id() {
    let first = FakeEntry::start(vec![respond(200, CONFIG_RESPONSE), Action::Close]);
    let second = FakeEntry::start(vec![respond(200, DONE_RESPONSE)]);
    let output = run(options(&[first.address, second.address]), "set note = a");
    assert_eq!(output.exit, Exit::Done);
    assert_eq!(output.stdout, "done: version 5\n");
    first.requests.recv().unwrap();
    let (first_command, second_command) = (receive_command(&first), receive_command(&second));
    assert_eq!(first_command, second_command);
    assert_eq!(first_command["base"], 4);
    assert_eq!(first_command["who"], "jana");
}

// A refusal by the second entry doesn't prove that the first one, whose response
// was lost, didn't apply the command.
#[test]
fn refusal_after_lost_response_stays_unknown() {
    let first = FakeEntry::start(vec![respond(200, CONFIG_RESPONSE), Action::Close]);
    let second = FakeEntry::start(vec![respond(503, TABLE_DOWN_RESPONSE)]);
    let output = run(options(&[first.address, second.address]), "set note = a");
    assert_eq!(output.exit, Exit::Unknown);
    first.requests.recv().unwrap();
    let id = receive_command(&first)["id"].as_str().unwrap().to_owned();
    assert!(
        output.stderr.contains(&format!("--id {id} --base 4")),
        "{}",
        output.stderr
    );
    assert!(!output.stderr.contains("refused"), "{}", output.stderr);
}

// A retry with the printed id must send the original id and base version.
#[test]
fn retried_command_keeps_id_and_base() {
    let entry = FakeEntry::start(vec![respond(200, DONE_RESPONSE)]);
    let mut options = options(&[entry.address]);
    options.command_id = Some("0a1b".to_owned());
    options.base_version = Some(4);
    let output = run(options, "set note = a");
    assert_eq!(output.exit, Exit::Done);
    let command = receive_command(&entry);
    assert_eq!(command["id"], "0a1b");
    assert_eq!(command["base"], 4);
}

// The first entry can't reach the table, but the second one can.
#[test]
fn command_fails_over_from_entry_without_table() {
    let first = FakeEntry::start(vec![
        respond(200, CONFIG_RESPONSE),
        respond(503, TABLE_DOWN_RESPONSE),
    ]);
    let second = FakeEntry::start(vec![respond(200, DONE_RESPONSE)]);
    let output = run(options(&[first.address, second.address]), "set note = a");
    assert_eq!(output.exit, Exit::Done);
}

// No entry can have applied the command, so its outcome is not unknown.
#[test]
fn command_is_refused_if_no_entry_reaches_table() {
    let first = FakeEntry::start(vec![
        respond(200, CONFIG_RESPONSE),
        respond(503, TABLE_DOWN_RESPONSE),
    ]);
    let output = run(options(&[first.address]), "set note = a");
    assert_eq!(output.exit, Exit::Refused);
    assert!(
        output.stderr.contains("the table is down"),
        "{}",
        output.stderr
    );
}

// A conflict is final: all entries would give the same verdict.
#[test]
fn conflict_is_not_retried() {
    let conflict = r#"{"outcome":"refused","version":5,"detail":"eva came first with version 5"}"#;
    let first = FakeEntry::start(vec![respond(200, CONFIG_RESPONSE), respond(409, conflict)]);
    let second = FakeEntry::start(vec![respond(200, DONE_RESPONSE)]);
    let output = run(options(&[first.address, second.address]), "set note = a");
    assert_eq!(output.exit, Exit::Refused);
    assert!(
        output.stderr.contains("eva came first"),
        "{}",
        output.stderr
    );
    second.requests.try_recv().unwrap_err();
}

// Entries that refuse connections are skipped; the exit code tells if all do.
#[test]
fn unreachable_entries_are_skipped() {
    let entry = FakeEntry::start(vec![
        respond(200, CONFIG_RESPONSE),
        respond(200, DONE_RESPONSE),
    ]);
    let output = run(options(&[closed_address(), entry.address]), "set note = a");
    assert_eq!(output.exit, Exit::Done);
    let output = run(
        options(&[closed_address(), closed_address()]),
        "set note = a; show hosts",
    );
    assert_eq!(output.exit, Exit::Unreachable);
    assert_eq!(output.stdout, "");
}

// The entry doesn't know the version of the first command yet when the second one
// is based on it. The second command must not conflict with the first.
#[test]
fn second_command_is_based_on_first() {
    let actions = [
        CONFIG_RESPONSE,
        DONE_RESPONSE,
        CONFIG_RESPONSE,
        DONE_RESPONSE,
    ]
    .map(|body| respond(200, body));
    let entry = FakeEntry::start(actions.to_vec());
    let output = run(options(&[entry.address]), "set note = a\nset note = b");
    assert_eq!(output.exit, Exit::Done);
    let requests: Vec<_> = (0..4).map(|_| entry.requests.recv().unwrap()).collect();
    let second: Value = serde_json::from_str(&requests[3].body).unwrap();
    assert_eq!(second["base"], 5);
    let first: Value = serde_json::from_str(&requests[1].body).unwrap();
    assert_ne!(first["id"], second["id"]);
}

#[test]
fn dry_run_prints_edits() {
    let dry = r#"{"outcome":"dry","version":5,"changes":[{"key":"drains.hosts.a","old":null,"new":"yes"}]}"#;
    let entry = FakeEntry::start(vec![respond(200, CONFIG_RESPONSE), respond(200, dry)]);
    let mut options = options(&[entry.address]);
    options.dry_run = true;
    let output = run(options, "set note = a");
    assert_eq!(output.exit, Exit::Done);
    let expected = "dry: version 5\nkey             old  new\ndrains.hosts.a  -    yes\n";
    assert_eq!(output.stdout, expected);
}

#[test]
fn token_is_sent_and_not_printed() {
    let entry = FakeEntry::start(vec![respond(
        401,
        r#"{"outcome":"refused","detail":"wrong token"}"#,
    )]);
    let mut options = options(&[entry.address]);
    options.token = Some(Token("a-secret-of-jana".to_owned()));
    assert!(!format!("{options:?}").contains("secret"));
    let output = run(options, "show hosts");
    assert_eq!(output.exit, Exit::Refused);
    assert!(!output.stderr.contains("secret"), "{}", output.stderr);
    let authorization = entry.requests.recv().unwrap().authorization;
    assert_eq!(authorization.as_deref(), Some("Bearer a-secret-of-jana"));
}

#[test]
fn missing_sources_are_reported() {
    let body =
        r#"{"rows":[{"host":"a","age_ms":3,"source":"list"}],"lacks":["entry-senec"],"version":4}"#;
    let entry = FakeEntry::start(vec![respond(200, body)]);
    let output = run(options(&[entry.address]), "show hosts");
    assert_eq!(output.exit, Exit::Done);
    assert_eq!(output.stdout, "host  age_ms  source\na     3       list\n");
    assert_eq!(output.stderr, "this answer lacks: entry-senec\n");
}

// An endpoint whose sidecar doesn't report may still run requests, so the stop
// must not count as done.
#[test]
fn stop_waits_for_work_in_flight() {
    let rows = |state: &str, running: u32| {
        let row = format!(
            r#""service":"hut-desk","endpoint":"hut-desk-1","state":"{state}","running":{running}"#
        );
        respond(200, &format!(r#"{{"rows":[{{{row}}}],"version":4}}"#))
    };
    let actions = vec![
        rows("open", 2),
        respond(200, CONFIG_RESPONSE),
        respond(200, CONFIG_RESPONSE),
        respond(200, DONE_RESPONSE),
        rows("silent", 0),
        rows("drained", 1),
        rows("drained", 0),
    ];
    let entry = FakeEntry::start(actions);
    let mut options = options(&[entry.address]);
    options.force = true;
    let output = run(options, "stop service hut-desk within 20s");
    assert_eq!(output.exit, Exit::Done, "{}", output.stderr);
    assert!(
        output.stderr.contains("1 requests run, 0 endpoints"),
        "{}",
        output.stderr
    );
    assert!(
        output
            .stdout
            .ends_with("done: hut-desk takes no work and runs none\n")
    );
}

// Without an open endpoint, all callers of a service would be refused.
#[test]
fn drain_of_last_endpoint_requires_force() {
    let rows = r#"{"rows":[
        {"service":"hut-desk","endpoint":"hut-desk-1","host":"a","state":"open"},
        {"service":"hut-desk","endpoint":"hut-desk-2","host":"b","state":"silent"},
        {"service":"guide-lm","endpoint":"guide-lm-1","host":"a","state":"open"},
        {"service":"guide-lm","endpoint":"guide-lm-2","host":"b","state":"open"}],"version":4}"#;
    let entry = FakeEntry::start(vec![respond(200, rows)]);
    for statement in [
        "drain host a",
        "drain endpoint hut-desk-1",
        "stop service hut-desk",
    ] {
        let output = run(options(&[entry.address]), statement);
        assert_eq!(output.exit, Exit::Refused, "{statement}");
        assert!(
            output.stderr.contains("no endpoint of hut-desk would"),
            "{}",
            output.stderr
        );
    }
    assert!(
        entry
            .requests
            .try_iter()
            .all(|request| request.path == "/v1/show/endpoints")
    );
    let safe = FakeEntry::start(vec![
        respond(200, rows),
        respond(200, CONFIG_RESPONSE),
        respond(200, DONE_RESPONSE),
    ]);
    let output = run(options(&[safe.address]), "drain host b");
    assert_eq!(output.exit, Exit::Done, "{}", output.stderr);
}

// Names from other hosts must not control the operator's terminal.
#[test]
fn control_characters_are_not_printed() {
    let body = r#"{"rows":[{"host":"a\u001b[2Jb","source":"list"}],"version":4}"#;
    let entry = FakeEntry::start(vec![respond(200, body)]);
    let output = run(options(&[entry.address]), "show hosts");
    assert_eq!(output.stdout, "host    source\na?[2Jb  list\n");
}
