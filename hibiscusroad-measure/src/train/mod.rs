//! Runs the training decisions in virtual time and measures idle trainers and
//! stale samples.
//!
//! Two trainers, each with its own [`Run`](hibiscusroad::train::Run), share
//! simulated engines. A plain policy runs on the same load for comparison. The
//! simulation uses no network or processes and depends only on its seed.
//!
//! Engines have lanes of one speed and the table answers in a fixed time, so the
//! figures compare policies but don't predict those of a deployment.

mod driver;
mod engine;
mod holder;
mod load;
mod plain;
mod score;
mod trainer;

pub use self::{
    driver::run_one,
    load::{Load, Policy},
    score::Score,
};

use lexopt::{Arg, Parser, ValueExt};
use std::io::{self, Write};

/// An error of the `train` command.
#[derive(Debug, thiserror::Error)]
pub enum TrainError {
    /// The arguments are invalid.
    #[error("bad arguments: {0}")]
    Args(#[from] lexopt::Error),
    /// There is no deployment with this name.
    #[error("no deployment {0:?}; pobrezie or lakeshore")]
    Deployment(String),
    /// The table could not be written.
    #[error("can't write: {0}")]
    Write(#[from] io::Error),
}

/// Runs `measure train --deployment NAME [--seed N] [--outage SECONDS]` and prints the table.
///
/// # Errors
///
/// Fails if the arguments are wrong or the output can't be written.
pub fn run(mut args: Parser) -> Result<(), TrainError> {
    let mut seed = 1;
    let mut outage = 0.0;
    let mut name = "pobrezie".to_owned();
    while let Some(arg) = args.next()? {
        match arg {
            Arg::Long("seed") => seed = args.value()?.parse()?,
            Arg::Long("outage") => outage = args.value()?.parse()?,
            Arg::Long("deployment") => name = args.value()?.string()?,
            other => return Err(other.unexpected().into()),
        }
    }
    let mut load = match name.as_str() {
        "pobrezie" => Load::pobrezie(),
        "lakeshore" => Load::lakeshore(),
        _ => return Err(TrainError::Deployment(name)),
    };
    load.outage = outage;
    let mut out = io::stdout().lock();
    writeln!(out, "deployment {name}, seed {seed}")?;
    writeln!(out, "{}", Score::header())?;
    for policy in Policy::ALL {
        let score = run_one(&load, policy, seed);
        writeln!(out, "{}", score.row(policy))?;
    }
    Ok(())
}
