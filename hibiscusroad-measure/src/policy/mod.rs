//! Simulates routing policies in virtual time and measures the results for callers.
//!
//! Each entry uses the real [`Router`](hibiscusroad::route::Router). Endpoints are
//! simple queues and the network is a fixed delay; processes and gates are not
//! simulated. Baseline policies run on the same scenarios for comparison. The seed
//! determines the results of a run.
//!
//! A single-threaded event loop is fast and reproducible, but doesn't show the effects
//! of threads, sockets and lost frames; load tests against real processes cover these.

mod balance;
mod driver;
mod endpoint;
mod scenario;
mod score;

pub use self::{
    balance::Policy,
    driver::run_one,
    scenario::{RetryPolicy, Scenario, scenarios},
    score::Score,
};

use lexopt::{Arg, Parser, ValueExt};
use std::io::{self, Write};

/// An error of `measure policy`.
#[derive(Debug, thiserror::Error)]
pub enum PolicyError {
    /// The arguments are invalid.
    #[error("bad arguments: {0}")]
    Args(#[from] lexopt::Error),
    /// The named scenario doesn't exist.
    #[error("no such scenario: {0}")]
    Scenario(String),
    /// The table could not be written.
    #[error("can't write: {0}")]
    Write(#[from] io::Error),
}

/// Runs `measure policy [--seed N] [--scenario NAME]` and prints the table.
///
/// # Errors
///
/// Returns an error if the arguments are invalid, the scenario doesn't exist or the
/// output can't be written.
pub fn run(mut args: Parser) -> Result<(), PolicyError> {
    let mut seed = 1;
    let mut selected: Option<String> = None;
    while let Some(arg) = args.next()? {
        match arg {
            Arg::Long("seed") => seed = args.value()?.parse()?,
            Arg::Long("scenario") => selected = Some(args.value()?.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let all = scenarios();
    if let Some(name) = &selected
        && !all.iter().any(|scenario| scenario.name == *name)
    {
        return Err(PolicyError::Scenario(name.clone()));
    }
    let mut out = io::stdout().lock();
    writeln!(out, "seed {seed}")?;
    writeln!(out, "{}", Score::header())?;
    for scenario in all {
        if selected.as_ref().is_some_and(|name| *name != scenario.name) {
            continue;
        }
        for policy in Policy::ALL {
            if policy == Policy::Affinity && !scenario.has_prefixes() {
                continue;
            }
            let score = run_one(&scenario, policy, seed);
            writeln!(out, "{}", score.row(scenario.name, policy))?;
        }
    }
    Ok(())
}
