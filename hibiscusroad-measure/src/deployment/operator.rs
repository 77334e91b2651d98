//! Asking and acting through the operators' command line.

use super::{Deployment, Error};
use serde_json::{Map, Value};
use std::{
    io,
    path::{Path, PathBuf},
    process::{Command, Output},
    thread,
    time::{Duration, Instant},
};

const POLL: Duration = Duration::from_millis(20);

/// One row of an answer.
pub type Row = Map<String, Value>;

/// An operator who may act from any thread.
#[derive(Clone, Debug)]
pub struct Operator {
    client: PathBuf,
    entries: Vec<String>,
}

impl Operator {
    /// Runs a statement and returns what was printed, be it done or refused.
    #[must_use]
    pub fn run_statement(&self, statement: &str) -> String {
        let entries = self.entries.iter().flat_map(|e| ["--entry", e]);
        let args: Vec<&str> = entries.chain([statement]).collect();
        let output = match run(&self.client, &args) {
            Ok(output) => output,
            Err(error) => return error.to_string(),
        };
        let out = String::from_utf8_lossy(&output.stdout).trim().to_owned();
        let err = String::from_utf8_lossy(&output.stderr).trim().to_owned();
        format!("{out}{err}")
    }
}

impl Deployment {
    /// Runs a statement through one entry, and returns what was printed.
    ///
    /// # Errors
    ///
    /// Returns an error if the command line exits with another code than 0.
    pub fn operate(&self, entry: usize, statement: &str) -> Result<String, Error> {
        let output = self.statement(entry, statement, &[])?;
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    }

    /// Asks one entry and returns the rows.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry gives none.
    pub fn show(&self, entry: usize, statement: &str) -> Result<Vec<Row>, Error> {
        let output = self.statement(entry, statement, &["--format", "json"])?;
        let rows = serde_json::from_slice(&output.stdout);
        rows.map_err(|error| Error::Statement(statement.to_owned(), error.to_string()))
    }

    /// Returns an operator who asks whatever entry answers.
    #[must_use]
    pub fn operator(&self) -> Operator {
        let entries = self.entries.iter();
        Operator {
            client: self.bins.client.clone(),
            entries: entries.map(|e| e.daemon.operators.to_string()).collect(),
        }
    }

    fn statement(&self, entry: usize, statement: &str, more: &[&str]) -> Result<Output, Error> {
        let address = self.entries[entry].daemon.operators.to_string();
        let args = ["--entry", &address, statement];
        let output = run(&self.bins.client, &[&args, more].concat())?;
        if output.status.success() {
            return Ok(output);
        }
        let said = String::from_utf8_lossy(&output.stderr).trim().to_owned();
        Err(Error::Statement(statement.to_owned(), said))
    }

    /// Waits until every entry shows every endpoint with a configuration of at
    /// least `version`, and returns how long that took.
    ///
    /// # Errors
    ///
    /// Returns an error that says who lacks it after `limit`.
    pub fn wait_version(&self, version: u64, limit: Duration) -> Result<Duration, Error> {
        let start = Instant::now();
        loop {
            let behind = self.entries_without(version);
            if behind.is_empty() {
                return Ok(start.elapsed());
            }
            if start.elapsed() > limit {
                return Err(Error::Version(version, behind.join("; ")));
            }
            if self.interrupt.is_requested() {
                return Err(Error::Interrupted);
            }
            thread::sleep(POLL);
        }
    }

    /// Returns the entries that don't show a configuration of at least `version` yet, and why.
    #[must_use]
    pub fn entries_without(&self, version: u64) -> Vec<String> {
        let mut behind = Vec::new();
        for (number, entry) in self.entries.iter().enumerate() {
            if let Err(who) = self.has_version(number, version) {
                behind.push(format!("{}: {who}", entry.daemon.name));
            }
        }
        behind
    }

    /// Queries one entry for its own rows, without those of other entries: polled
    /// many times a second, its queries to them would be the greater part of the load.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry gives no answer.
    pub fn query_local(&self, entry: usize, subject: &str) -> Result<Vec<Row>, Error> {
        let address = self.entries[entry].daemon.operators;
        let url = format!("http://{address}/v1/show/{subject}?only=self");
        let text = ureq::get(url).call()?.body_mut().read_to_string()?;
        let answer: Value = serde_json::from_str(&text).map_err(io::Error::other)?;
        let rows = answer["rows"].as_array().into_iter().flatten();
        Ok(rows.filter_map(Value::as_object).cloned().collect())
    }

    fn has_version(&self, entry: usize, version: u64) -> Result<(), String> {
        let endpoints = self
            .query_local(entry, "endpoints")
            .map_err(|e| e.to_string())?;
        if endpoints.len() < self.spec.endpoints() {
            return Err(format!("shows {} endpoints", endpoints.len()));
        }
        let entries = self
            .query_local(entry, "entries")
            .map_err(|e| e.to_string())?;
        match endpoints
            .iter()
            .chain(&entries)
            .find(|row| !is_new(row, version))
        {
            Some(row) => Err(format!("still old: {}", Value::Object(row.clone()))),
            None => Ok(()),
        }
    }
}

fn is_new(row: &Row, version: u64) -> bool {
    row.get(VERSION)
        .and_then(Value::as_u64)
        .is_some_and(|seen| seen >= version)
}

// The column of `show` that holds a process's configuration version.
const VERSION: &str = "config";

fn run(program: &Path, args: &[&str]) -> Result<Output, Error> {
    let output = Command::new(program).args(args).output();
    output.map_err(|error| Error::NotStarted(program.to_owned(), error))
}
