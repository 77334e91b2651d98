//! Problems reported for settings files.
//!
//! For each `NAME.toml`, `NAME.errors` lists the expected problems as the daemon prints
//! them, without the file name. It is empty for a valid file.

use hibiscusroad_daemon::settings::Settings;
use std::{fs, path::Path};

fn problems(file: &Path) -> datatest_stable::Result<()> {
    let text = fs::read_to_string(file)?;
    let expected = fs::read_to_string(file.with_extension("errors"))?;
    let found = match Settings::parse(&text) {
        Ok(_) => String::new(),
        Err(problems) => problems.iter().map(|p| p.to_string() + "\n").collect(),
    };
    assert_eq!(found, expected);
    Ok(())
}

datatest_stable::harness! {
    { test = problems, root = "tests/data/settings", pattern = r"\.toml$" },
}
