//! Runs the routing decisions in virtual time and measures what callers see.
//!
//! Arrivals go into the real [`Router`](hibiscusroad::route::Router) of each
//! entry; endpoints are simple queues; nothing else is simulated: no network
//! but a delay, no processes, no gates. Two plain policies run on the same
//! arrivals for comparison. A run depends on its seed alone.
//!
//! The trade-off: one thread and one heap of events decide quickly and
//! repeatably, but nothing here shows what threads, sockets and lost frames do
//! to the daemons; the load runs against real processes are for that.

mod balance;
mod driver;
mod endpoint;
mod scenario;
mod score;

pub use self::{
    balance::Policy,
    driver::run_one,
    scenario::{Callers, Scenario, scenarios},
    score::Score,
};

use lexopt::{Arg, Parser, ValueExt};
use std::io::{self, Write};

/// What went wrong with a run.
#[derive(Debug, thiserror::Error)]
pub enum PolicyError {
    /// The arguments can't be understood.
    #[error("bad arguments: {0}")]
    Args(#[from] lexopt::Error),
    /// No scenario has this name.
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
/// Fails if the arguments are wrong or the output can't be written.
pub fn run(mut args: Parser) -> Result<(), PolicyError> {
    let mut seed = 1;
    let mut only: Option<String> = None;
    while let Some(arg) = args.next()? {
        match arg {
            Arg::Long("seed") => seed = args.value()?.parse()?,
            Arg::Long("scenario") => only = Some(args.value()?.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let all = scenarios();
    if let Some(name) = &only
        && !all.iter().any(|scenario| scenario.name == *name)
    {
        return Err(PolicyError::Scenario(name.clone()));
    }
    let mut out = io::stdout().lock();
    writeln!(out, "seed {seed}")?;
    writeln!(out, "{}", Score::header())?;
    for scenario in all {
        if only.as_ref().is_some_and(|name| *name != scenario.name) {
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
