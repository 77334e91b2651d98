//! Tests the precedence of command line, environment and settings file, and errors.

use hibiscusroad_cli::{
    args::{self, Action, Error, Options, Source},
    format::Format,
};
use std::{ffi::OsString, fs, path::PathBuf};

type Env<'a> = &'a [(&'a str, &'a str)];

fn parse(line: &str, env: Env<'_>) -> Result<Action, Error> {
    let args = line.split_whitespace().map(OsString::from);
    let env = |name: &str| {
        let variable = env.iter().find(|(key, _)| *key == name);
        variable.map(|(_, value)| (*value).to_owned())
    };
    args::parse(args, &env)
}

fn options(line: &str, env: Env<'_>) -> Options {
    match parse(line, env).unwrap() {
        Action::Run(options) => *options,
        other => panic!("{other:?}"),
    }
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

#[test]
fn flags_override_environment_and_file() {
    let token = write_file("token", "a-secret\n");
    let text = format!(
        "entries = [\"127.0.0.1:3\"]\ntoken_file = {token:?}\nformat = \"csv\"\nwho = \"eva\"\n"
    );
    let config = write_file("cli.toml", &text);
    let config = ("HIBISCUSROAD_CONFIG", config.to_str().unwrap());
    let entry = ("HIBISCUSROAD_ENTRY", "127.0.0.1:1, 127.0.0.1:2");

    let from_flags = options(
        "--entry 127.0.0.1:9 --as jana --format json show hosts",
        &[config, entry],
    );
    assert_eq!(from_flags.entries, ["127.0.0.1:9".parse().unwrap()]);
    assert_eq!(
        (from_flags.operator.as_str(), from_flags.format),
        ("jana", Format::Json)
    );
    assert_eq!(from_flags.source, Source::Text("show hosts".to_owned()));
    assert_eq!(from_flags.token.unwrap().0, "a-secret");

    let from_env = options("-f x.hib", &[config, entry]);
    assert_eq!(from_env.entries.len(), 2);
    assert_eq!(from_env.source, Source::File("x.hib".into()));

    let from_file = options("", &[config, ("USER", "root")]);
    assert_eq!(from_file.entries, ["127.0.0.1:3".parse().unwrap()]);
    assert_eq!(
        (from_file.operator.as_str(), from_file.format),
        ("eva", Format::Csv)
    );
    assert_eq!(from_file.source, Source::Prompt);
}

#[test]
fn errors_name_the_remedy() {
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
