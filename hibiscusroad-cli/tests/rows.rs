//! Tests the filtering, sorting and printing of rows.
//!
//! The query in `NAME.FORMAT.hib` is applied to the rows in `endpoints.json`.
//! `NAME.FORMAT.expected` holds the output, or the error.

use hibiscusroad_cli::{
    format,
    language::{self, Statement},
    rows::{self, Row},
};
use std::{fs, path::Path};

fn prints_query_result(file: &Path) -> datatest_stable::Result<()> {
    let rows: Vec<Row> =
        serde_json::from_str(&fs::read_to_string(file.with_file_name("endpoints.json"))?)?;
    let statements = language::parse(&fs::read_to_string(file)?)?;
    let [Statement::Show(show)] = statements.as_slice() else {
        return Err("one show statement is expected".into());
    };
    let stem = Path::new(file.file_stem().ok_or("no file stem")?);
    let format = stem
        .extension()
        .and_then(|extension| extension.to_str())
        .ok_or("no format")?;
    let mut output = Vec::new();
    match rows::select(show, rows) {
        Ok(table) => format::write(&mut output, format.parse()?, &table)?,
        Err(error) => output.extend(format!("{error}\n").into_bytes()),
    }
    let expected = fs::read_to_string(file.with_extension("expected"))?;
    assert_eq!(String::from_utf8(output)?, expected);
    Ok(())
}

datatest_stable::harness! {
    { test = prints_query_result, root = "tests/data/rows", pattern = r"\.hib$" },
}
