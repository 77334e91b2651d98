//! The answer for each error kind.
//!
//! `tests/data/errors/PROBLEM.toml` holds the answer that callers rely on. A change of the
//! protocol changes the file as well; any other difference fails here.

use hibiscusroad::ErrorKind;
use serde::Deserialize;
use std::{fs, path::Path};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Row {
    kind: String,
    status: u16,
    title: String,
    not_run: bool,
    retry: String,
}

fn answer_matches_file(file: &Path) -> datatest_stable::Result<()> {
    let row: Row = toml::from_str(&fs::read_to_string(file)?)?;
    let problem = file
        .file_stem()
        .and_then(|stem| stem.to_str())
        .unwrap_or_default();
    let kind = ErrorKind::from_problem(problem).ok_or("no kind has this problem")?;
    let answer = kind.answer();
    assert_eq!(format!("{kind:?}"), row.kind);
    assert_eq!(answer.problem, problem);
    assert_eq!(answer.status, row.status);
    assert_eq!(answer.title, row.title);
    assert_eq!(answer.not_run, row.not_run);
    assert_eq!(format!("{:?}", answer.retry), row.retry);
    Ok(())
}

datatest_stable::harness! {
    { test = answer_matches_file, root = "tests/data/errors", pattern = r"\.toml$" },
}
