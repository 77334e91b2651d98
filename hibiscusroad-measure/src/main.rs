//! `measure`: load, experiments and the demonstration.

use hibiscusroad_measure::policy;
use lexopt::{Arg, Parser};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut args = Parser::from_env();
    let result = match args.next() {
        Ok(Some(Arg::Value(name))) if name == "policy" => policy::run(args),
        _ => {
            eprintln!("usage: measure policy [--seed N] [--scenario NAME]");
            return ExitCode::from(2);
        }
    };
    if let Err(error) = result {
        eprintln!("measure: {error}");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
