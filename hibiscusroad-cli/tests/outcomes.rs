//! What an operator is told when entries fail in the middle of a command.

mod fake;

use fake::{Deed, Fake, nobody};
use hibiscusroad_cli::{
    args::{Options, Token},
    language,
    session::{Exit, Session},
};
use serde_json::Value;
use std::net::SocketAddr;

const CONFIG: &str = r#"{"rows":[],"lacks":[],"version":4}"#;
const DONE: &str = r#"{"outcome":"done","version":5}"#;
const DOWN: &str = r#"{"outcome":"refused","problem":"store-down","detail":"the table is down"}"#;

struct Told {
    exit: Exit,
    out: String,
    err: String,
}

fn run(options: Options, text: &str) -> Told {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let statements = language::parse(text).unwrap();
    let exit = Session::new(options, &mut out, &mut err)
        .run(&statements)
        .unwrap();
    Told {
        exit,
        out: String::from_utf8(out).unwrap(),
        err: String::from_utf8(err).unwrap(),
    }
}

fn options(entries: &[SocketAddr]) -> Options {
    Options {
        entries: entries.to_vec(),
        user: "jana".to_owned(),
        ..Options::default()
    }
}

fn say(status: u16, body: &str) -> Deed {
    Deed::Say(status, body.to_owned())
}

fn command(fake: &Fake) -> Value {
    let seen = fake.seen.recv().unwrap();
    assert_eq!(seen.path, "/v1/change");
    serde_json::from_str(&seen.body).unwrap()
}

// The first entry takes the command and its answer is lost. The operator sees
// one command done: the second entry is asked under the same id, under which
// the command takes effect at most once.
#[test]
fn lost_answer_is_asked_again_under_its_id() {
    let first = Fake::start(vec![say(200, CONFIG), Deed::Drop]);
    let second = Fake::start(vec![say(200, DONE)]);
    let told = run(options(&[first.address, second.address]), "set note = a");
    assert_eq!(told.exit, Exit::Done);
    assert_eq!(told.out, "done: version 5\n");
    first.seen.recv().unwrap();
    let (one, two) = (command(&first), command(&second));
    assert_eq!(one, two);
    assert_eq!(one["base"], 4);
    assert_eq!(one["who"], "jana");
}

// The first entry's answer is lost, and the second can't reach the table. Its
// "nothing was changed" is true of its own attempt only, so the operator must
// hear "unknown" and the id to ask again with.
#[test]
fn refusal_after_lost_answer_stays_unknown() {
    let first = Fake::start(vec![say(200, CONFIG), Deed::Drop]);
    let second = Fake::start(vec![say(503, DOWN)]);
    let told = run(options(&[first.address, second.address]), "set note = a");
    assert_eq!(told.exit, Exit::Unknown);
    first.seen.recv().unwrap();
    let id = command(&first)["id"].as_str().unwrap().to_owned();
    assert!(
        told.err.contains(&format!("--id {id} --base 4")),
        "{}",
        told.err
    );
    assert!(!told.err.contains("refused"), "{}", told.err);
}

// The operator asks again with the printed id, and the command had taken
// effect: the entry finds its row and says with which version.
#[test]
fn unknown_command_is_asked_again() {
    let entry = Fake::start(vec![say(200, DONE)]);
    let mut options = options(&[entry.address]);
    options.command_id = Some("0a1b".to_owned());
    options.base_version = Some(4);
    let told = run(options, "set note = a");
    assert_eq!(told.exit, Exit::Done);
    let command = command(&entry);
    assert_eq!(command["id"], "0a1b");
    assert_eq!(command["base"], 4);
}

// The first entry can't reach the table and has sent nothing. The second can,
// and the operator sees the command done.
#[test]
fn entry_without_table_is_left_for_the_next() {
    let first = Fake::start(vec![say(200, CONFIG), say(503, DOWN)]);
    let second = Fake::start(vec![say(200, DONE)]);
    let told = run(options(&[first.address, second.address]), "set note = a");
    assert_eq!(told.exit, Exit::Done);
}

// All entries have lost the table, and none has sent anything: the refusal is
// certain, and asking again later can't do harm.
#[test]
fn all_without_table_is_refused() {
    let first = Fake::start(vec![say(200, CONFIG), say(503, DOWN)]);
    let told = run(options(&[first.address]), "set note = a");
    assert_eq!(told.exit, Exit::Refused);
    assert!(told.err.contains("the table is down"), "{}", told.err);
}

// Two operators race, and the other came first. A verdict of one entry is the
// verdict of all, so no other entry is asked.
#[test]
fn conflict_names_the_winner_and_ends() {
    let conflict = r#"{"outcome":"refused","version":5,"detail":"eva came first with version 5"}"#;
    let first = Fake::start(vec![say(200, CONFIG), say(409, conflict)]);
    let second = Fake::start(vec![say(200, DONE)]);
    let told = run(options(&[first.address, second.address]), "set note = a");
    assert_eq!(told.exit, Exit::Refused);
    assert!(told.err.contains("eva came first"), "{}", told.err);
    second.seen.try_recv().unwrap_err();
}

// Nothing listens at the first address; the second entry answers. Then nobody
// does: nothing was sent, and the exit code says so.
#[test]
fn dead_entries_are_passed_over() {
    let entry = Fake::start(vec![say(200, CONFIG), say(200, DONE)]);
    let told = run(options(&[nobody(), entry.address]), "set note = a");
    assert_eq!(told.exit, Exit::Done);
    let told = run(options(&[nobody(), nobody()]), "set note = a; show hosts");
    assert_eq!(told.exit, Exit::Unreachable);
    assert_eq!(told.out, "");
}

// The entry asked for the second command has not heard of the version that the
// first one made. It must not conflict with its own predecessor.
#[test]
fn commands_of_one_file_follow_each_other() {
    let deeds = [CONFIG, DONE, CONFIG, DONE].map(|body| say(200, body));
    let entry = Fake::start(deeds.to_vec());
    let told = run(options(&[entry.address]), "set note = a\nset note = b");
    assert_eq!(told.exit, Exit::Done);
    let seen: Vec<_> = (0..4).map(|_| entry.seen.recv().unwrap()).collect();
    let second: Value = serde_json::from_str(&seen[3].body).unwrap();
    assert_eq!(second["base"], 5);
    let first: Value = serde_json::from_str(&seen[1].body).unwrap();
    assert_ne!(first["id"], second["id"]);
}

#[test]
fn dry_run_shows_edits() {
    let dry = r#"{"outcome":"dry","version":5,"changes":[{"key":"drains.hosts.a","old":null,"new":"yes"}]}"#;
    let entry = Fake::start(vec![say(200, CONFIG), say(200, dry)]);
    let mut options = options(&[entry.address]);
    options.dry_run = true;
    let told = run(options, "set note = a");
    assert_eq!(told.exit, Exit::Done);
    let expected = "dry: version 5\nkey             old  new\ndrains.hosts.a  -    yes\n";
    assert_eq!(told.out, expected);
}

#[test]
fn token_is_sent_and_not_shown() {
    let entry = Fake::start(vec![say(
        401,
        r#"{"outcome":"refused","detail":"wrong token"}"#,
    )]);
    let mut options = options(&[entry.address]);
    options.token = Some(Token("a-secret-of-jana".to_owned()));
    assert!(!format!("{options:?}").contains("secret"));
    let told = run(options, "show hosts");
    assert_eq!(told.exit, Exit::Refused);
    assert!(!told.err.contains("secret"), "{}", told.err);
    let token = entry.seen.recv().unwrap().token;
    assert_eq!(token.as_deref(), Some("Bearer a-secret-of-jana"));
}

#[test]
fn missing_part_of_an_answer_is_told() {
    let body =
        r#"{"rows":[{"host":"a","age_ms":3,"source":"list"}],"lacks":["entry-senec"],"version":4}"#;
    let entry = Fake::start(vec![say(200, body)]);
    let told = run(options(&[entry.address]), "show hosts");
    assert_eq!(told.exit, Exit::Done);
    assert_eq!(told.out, "host  age_ms  source\na     3       list\n");
    assert_eq!(told.err, "this answer lacks: entry-senec\n");
}

// `stop service` drains what still takes work. An endpoint whose side is silent
// may run anything; the operator hears "done" only when all sides said that
// they are drained and run nothing.
#[test]
fn stop_waits_for_work_in_flight() {
    let rows = |state: &str, running: u32| {
        let row = format!(
            r#""service":"hut-desk","endpoint":"hut-desk-1","state":"{state}","running":{running}"#
        );
        say(200, &format!(r#"{{"rows":[{{{row}}}],"version":4}}"#))
    };
    let deeds = vec![
        rows("open", 2),
        say(200, CONFIG),
        say(200, CONFIG),
        say(200, DONE),
        rows("silent", 0),
        rows("drained", 1),
        rows("drained", 0),
    ];
    let entry = Fake::start(deeds);
    let mut options = options(&[entry.address]);
    options.force = true;
    let told = run(options, "stop service hut-desk within 20s");
    assert_eq!(told.exit, Exit::Done, "{}", told.err);
    assert!(
        told.err.contains("1 requests run, 0 endpoints"),
        "{}",
        told.err
    );
    assert!(
        told.out
            .ends_with("done: hut-desk takes no work and runs none\n")
    );
}

// An operator drains the host of the last endpoint that takes work. Nothing is
// sent, and the refusal names the service whose callers would all be refused.
#[test]
fn drain_of_last_endpoint_wants_force() {
    let rows = r#"{"rows":[
        {"service":"hut-desk","endpoint":"hut-desk-1","host":"a","state":"open"},
        {"service":"hut-desk","endpoint":"hut-desk-2","host":"b","state":"silent"},
        {"service":"guide-lm","endpoint":"guide-lm-1","host":"a","state":"open"},
        {"service":"guide-lm","endpoint":"guide-lm-2","host":"b","state":"open"}],"version":4}"#;
    let entry = Fake::start(vec![say(200, rows)]);
    for text in [
        "drain host a",
        "drain endpoint hut-desk-1",
        "stop service hut-desk",
    ] {
        let told = run(options(&[entry.address]), text);
        assert_eq!(told.exit, Exit::Refused, "{text}");
        assert!(
            told.err.contains("no endpoint of hut-desk would"),
            "{}",
            told.err
        );
    }
    assert!(
        entry
            .seen
            .try_iter()
            .all(|seen| seen.path == "/v1/show/endpoints")
    );
    let safe = Fake::start(vec![say(200, rows), say(200, CONFIG), say(200, DONE)]);
    let told = run(options(&[safe.address]), "drain host b");
    assert_eq!(told.exit, Exit::Done, "{}", told.err);
}

// A host names itself with a control sequence. In an operator's terminal it
// must not clear the screen or write over other rows.
#[test]
fn control_characters_are_not_printed() {
    let body = r#"{"rows":[{"host":"a\u001b[2Jb","source":"list"}],"version":4}"#;
    let entry = Fake::start(vec![say(200, body)]);
    let told = run(options(&[entry.address]), "show hosts");
    assert_eq!(told.out, "host    source\na?[2Jb  list\n");
}
