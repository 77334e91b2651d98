//! The command line, the environment and the settings file, in this order.

use hibiscusroad_cli::{
    args::{self, Action, Error, Options, Source},
    format::Format,
};
use std::{ffi::OsString, fs, path::PathBuf};

type Env<'a> = &'a [(&'a str, &'a str)];

fn parse(line: &str, env: Env<'_>) -> Result<Action, Error> {
    let args = line.split_whitespace().map(OsString::from);
    let env = |name: &str| {
        let found = env.iter().find(|(known, _)| *known == name);
        found.map(|(_, value)| (*value).to_owned())
    };
    args::parse(args, &env)
}

fn options(line: &str, env: Env<'_>) -> Options {
    match parse(line, env).unwrap() {
        Action::Run(options) => *options,
        other => panic!("{other:?}"),
    }
}

fn file(name: &str, text: &str) -> PathBuf {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&file, text).unwrap();
    file
}

#[test]
fn flags_go_before_environment_and_file() {
    let token = file("token", "a-secret\n");
    let text = format!(
        "entries = [\"127.0.0.1:3\"]\ntoken_file = {token:?}\nformat = \"csv\"\nwho = \"eva\"\n"
    );
    let config = file("cli.toml", &text);
    let config = ("HIBISCUSROAD_CONFIG", config.to_str().unwrap());
    let entry = ("HIBISCUSROAD_ENTRY", "127.0.0.1:1, 127.0.0.1:2");

    let all = options(
        "--entry 127.0.0.1:9 --as jana --format json show hosts",
        &[config, entry],
    );
    assert_eq!(all.entries, ["127.0.0.1:9".parse().unwrap()]);
    assert_eq!((all.user.as_str(), all.format), ("jana", Format::Json));
    assert_eq!(all.source, Source::Text("show hosts".to_owned()));
    assert_eq!(all.token.unwrap().0, "a-secret");

    let env = options("-f x.hib", &[config, entry]);
    assert_eq!(env.entries.len(), 2);
    assert_eq!(env.source, Source::File("x.hib".into()));

    let file = options("", &[config, ("USER", "root")]);
    assert_eq!(file.entries, ["127.0.0.1:3".parse().unwrap()]);
    assert_eq!((file.user.as_str(), file.format), ("eva", Format::Csv));
    assert_eq!(file.source, Source::Prompt);
}

#[test]
fn wrong_lines_say_what_to_do() {
    let entry = [("HIBISCUSROAD_ENTRY", "127.0.0.1:1")];
    let missing = [("HIBISCUSROAD_CONFIG", "/nonexistent.toml")];
    let cases: [(&str, Env<'_>, &str); 8] = [
        ("show hosts", &[], "give --entry IP:PORT"),
        ("--entry localhost show", &[], "\"localhost\" is no IP:PORT"),
        ("--format xml show", &entry, "table, json, csv"),
        ("--colour show", &entry, "--help"),
        ("--base x drop", &entry, "--help"),
        ("--id 7 show", &entry, "--base VERSION"),
        ("--token-file /nonexistent show", &entry, "/nonexistent"),
        ("show", &missing, "/nonexistent.toml"),
    ];
    for (line, env, expected) in cases {
        let error = parse(line, env).unwrap_err().to_string();
        assert!(error.contains(expected), "{line}: {error}");
    }
}

#[test]
fn help_and_version_need_no_entry() {
    assert_eq!(parse("--help", &[]).unwrap(), Action::Help);
    assert_eq!(parse("-V", &[]).unwrap(), Action::Version);
}
