//! Tests the parser and its error messages.
//!
//! `NAME.hib` is parsed; `NAME.expected` holds one line for each statement, or
//! the error. The examples in docs/LANGUAGE.md and the setup files of the
//! deployments must parse, too.

use hibiscusroad_cli::language;
use std::{fs, path::Path};

const CODE_FENCE: &str = "```";

fn parses(file: &Path) -> datatest_stable::Result<()> {
    let output = match language::parse(&fs::read_to_string(file)?) {
        Ok(statements) => statements.iter().map(|s| format!("{s:?}")).collect(),
        Err(error) => vec![error.to_string()],
    };
    let expected = fs::read_to_string(file.with_extension("expected"))?;
    assert_eq!(output.join("\n"), expected.trim_end());
    Ok(())
}

fn parses_deployment_setup(file: &Path) -> datatest_stable::Result<()> {
    let statements = language::parse(&fs::read_to_string(file)?)?;
    assert_eq!(statements.len(), 2);
    Ok(())
}

fn parses_documented_examples(file: &Path) -> datatest_stable::Result<()> {
    let text = fs::read_to_string(file)?;
    let blocks = text.split(CODE_FENCE).skip(1).step_by(2);
    let mut statement_count = 0;
    for block in blocks.filter_map(|block| block.strip_prefix("hib\n")) {
        let statements = language::parse(block).map_err(|error| format!("{block}\n{error}"))?;
        statement_count += statements.len();
    }
    assert!(statement_count > 20, "{statement_count} examples");
    Ok(())
}

datatest_stable::harness! {
    { test = parses, root = "tests/data/language", pattern = r"\.hib$" },
    { test = parses_deployment_setup, root = "../deploy", pattern = r"\.hib$" },
    { test = parses_documented_examples, root = "../docs", pattern = r"^LANGUAGE\.md$" },
}
