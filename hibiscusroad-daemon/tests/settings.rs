//! Settings files and the faults that each must show, all at once.
//!
//! `NAME.toml` is loaded; `NAME.errors` beside it lists the expected faults as
//! the daemon prints them, without the file's name. It is empty for a file
//! without faults.

use hibiscusroad_daemon::settings::Settings;
use std::{fs, path::Path};

fn faults(file: &Path) -> datatest_stable::Result<()> {
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
    { test = faults, root = "tests/data/settings", pattern = r"\.toml$" },
}
