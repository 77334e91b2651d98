//! Choosing, ordering and printing rows.
//!
//! `NAME.FORMAT.hib` is asked of the rows in `endpoints.json`, and
//! `NAME.FORMAT.expected` is what is printed, or the error.

use hibiscusroad_cli::{
    format,
    language::{self, Statement},
    rows::{self, Row},
};
use std::{fs, path::Path};

fn prints(file: &Path) -> datatest_stable::Result<()> {
    let rows: Vec<Row> =
        serde_json::from_str(&fs::read_to_string(file.with_file_name("endpoints.json"))?)?;
    let statements = language::parse(&fs::read_to_string(file)?)?;
    let [Statement::Show(show)] = statements.as_slice() else {
        return Err("one question is expected".into());
    };
    let stem = Path::new(file.file_stem().ok_or("no name")?);
    let word = stem
        .extension()
        .and_then(|word| word.to_str())
        .ok_or("no format")?;
    let mut found = Vec::new();
    match rows::select(show, rows) {
        Ok(table) => format::write(&mut found, word.parse()?, &table)?,
        Err(error) => found.extend(format!("{error}\n").into_bytes()),
    }
    let expected = fs::read_to_string(file.with_extension("expected"))?;
    assert_eq!(String::from_utf8(found)?, expected);
    Ok(())
}

datatest_stable::harness! {
    { test = prints, root = "tests/data/rows", pattern = r"\.hib$" },
}
