//! A session that runs statements and reports their outcomes.

use crate::{
    args::Options,
    client::{Client, Error, Outcome},
    drain_check,
    format::{self, Format},
    language::{About, Show, Statement},
    rows::{self, Row, Table},
};
use hibiscusroad::config::{Change, Command, Edit};
use serde_json::json;
use std::{
    fmt,
    io::{self, Write},
    thread,
    time::Duration,
};

const UNREACHABLE_HINT: &str = "check the addresses and whether the entries are running";

/// The result of a statement; the discriminant is the exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// The change was applied, or the query was answered.
    Done = 0,
    /// The statement was refused and has no effect.
    Refused = 1,
    /// The command line or a statement is invalid.
    Usage = 2,
    /// It is unknown whether the change was applied.
    Unknown = 3,
    /// No entry was reached.
    Unreachable = 4,
}

/// A session of one operator with one set of entries.
pub struct Session<'a> {
    pub(crate) client: Client,
    pub(crate) out: &'a mut dyn Write,
    pub(crate) err: &'a mut dyn Write,
    options: Options,
    // The newest configuration version seen. Another entry may not know it yet;
    // without it, the second command of a file would be based on an older
    // version and conflict with the first.
    newest_version: u64,
}

impl fmt::Debug for Session<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Session").finish_non_exhaustive()
    }
}

impl<'a> Session<'a> {
    /// Creates a session that writes results to `out` and diagnostics to `err`.
    pub fn new(options: Options, out: &'a mut dyn Write, err: &'a mut dyn Write) -> Self {
        Self {
            client: Client::new(options.entries.clone(), options.token.clone()),
            out,
            err,
            options,
            newest_version: 0,
        }
    }

    pub(crate) const fn is_dry_run(&self) -> bool {
        self.options.dry_run
    }

    pub(crate) const fn is_forced(&self) -> bool {
        self.options.force
    }

    /// Runs statements until one doesn't end with [`Exit::Done`].
    ///
    /// # Errors
    ///
    /// Returns an error if writing to an output fails.
    pub fn run(&mut self, statements: &[Statement]) -> io::Result<Exit> {
        let is_command =
            |s: &&Statement| !matches!(s, Statement::Show(_) | Statement::Explain { .. });
        if self.options.command_id.is_some() && statements.iter().filter(is_command).count() != 1 {
            writeln!(self.err, "--id requires exactly one command")?;
            return Ok(Exit::Usage);
        }
        for statement in statements {
            let exit = self.run_statement(statement)?;
            if exit != Exit::Done {
                return Ok(exit);
            }
        }
        Ok(Exit::Done)
    }

    fn run_statement(&mut self, statement: &Statement) -> io::Result<Exit> {
        match statement {
            Statement::Show(show) => self.show(show),
            Statement::Watch { every, show } => self.watch(*every, show),
            Statement::Explain { about, name } => self.explain(*about, name),
            Statement::Change(change) => self.submit_checked(change),
            Statement::Stop { service, within } => self.stop(service, *within),
            Statement::Promote { .. } => {
                writeln!(self.err, "refused: entries don't support promote yet")?;
                Ok(Exit::Refused)
            }
        }
    }

    fn watch(&mut self, every: Duration, show: &Show) -> io::Result<Exit> {
        loop {
            let exit = self.show(show)?;
            // Keeps polling while no entry is reachable.
            if !matches!(exit, Exit::Done | Exit::Unreachable) {
                return Ok(exit);
            }
            self.out.flush()?;
            thread::sleep(every);
        }
    }

    fn show(&mut self, show: &Show) -> io::Result<Exit> {
        let rows = match self.query(&format!("show/{}", show.subject))? {
            Ok(rows) => rows,
            Err(exit) => return Ok(exit),
        };
        match rows::select(show, rows) {
            Ok(table) => self.print_table(&table),
            Err(error) => {
                writeln!(self.err, "{error}")?;
                Ok(Exit::Usage)
            }
        }
    }

    fn explain(&mut self, about: About, name: &str) -> io::Result<Exit> {
        let kind = match about {
            About::Request => "request",
            About::Endpoint => "endpoint",
        };
        match self.query(&format!("explain/{kind}/{name}"))? {
            Ok(rows) => self.print_table(&rows::to_table(rows)),
            Err(exit) => Ok(exit),
        }
    }

    fn print_table(&mut self, table: &Table) -> io::Result<Exit> {
        format::write(self.out, self.options.format, table)?;
        Ok(Exit::Done)
    }

    /// Returns the rows at `path`, and reports missing sources or an error.
    pub(crate) fn query(&mut self, path: &str) -> io::Result<Result<Vec<Row>, Exit>> {
        match self.client.query(path) {
            Ok(response) => {
                self.newest_version = self.newest_version.max(response.version);
                if !response.missing_sources.is_empty() {
                    let sources = response.missing_sources.join(", ");
                    writeln!(self.err, "this answer lacks: {sources}")?;
                }
                Ok(Ok(response.rows))
            }
            Err(error @ Error::Refused(_)) => {
                writeln!(self.err, "refused: {error}")?;
                Ok(Err(Exit::Refused))
            }
            Err(error @ Error::Unreachable(_)) => {
                writeln!(self.err, "{error}; {UNREACHABLE_HINT}")?;
                Ok(Err(Exit::Unreachable))
            }
        }
    }

    /// Submits a change, unless it is a drain that requires `--force`.
    fn submit_checked(&mut self, change: &Change) -> io::Result<Exit> {
        // A retried command may have been applied already, so it must not be
        // reported as refused by this check.
        let is_drain = matches!(change, Change::Drain { .. });
        if !is_drain || self.options.force || self.options.command_id.is_some() {
            return self.submit(change);
        }
        let rows = match self.query("show/endpoints")? {
            Ok(rows) => rows,
            Err(exit) => return Ok(exit),
        };
        let services = drain_check::services_without_endpoint(change, &rows);
        if services.is_empty() {
            return self.submit(change);
        }
        self.refuse_without_force(&services.join(", "))
    }

    /// Reports a change refused because it leaves `services` without an open
    /// endpoint.
    pub(crate) fn refuse_without_force(&mut self, services: &str) -> io::Result<Exit> {
        writeln!(
            self.err,
            "refused: no endpoint of {services} would take work; repeat with --force to proceed"
        )?;
        Ok(Exit::Refused)
    }

    /// Submits a change and reports its outcome.
    pub(crate) fn submit(&mut self, change: &Change) -> io::Result<Exit> {
        let base = match self.base_version()? {
            Ok(base) => base,
            Err(exit) => return Ok(exit),
        };
        let id = self.options.command_id.clone();
        let command = Command {
            id: id.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>())),
            base,
            operator: self.options.operator.clone(),
            change: change.clone(),
            dry_run: self.options.dry_run,
            force: self.options.force,
        };
        let outcome = self.client.submit(&command);
        self.report_outcome(&command, outcome)
    }

    /// Returns the version on which a command is based.
    fn base_version(&mut self) -> io::Result<Result<u64, Exit>> {
        if let Some(base) = self.options.base_version {
            return Ok(Ok(base));
        }
        Ok(self.query("show/config")?.map(|_| self.newest_version))
    }

    fn report_outcome(&mut self, command: &Command, outcome: Outcome) -> io::Result<Exit> {
        match outcome {
            Outcome::Done(version) => {
                self.newest_version = self.newest_version.max(version);
                self.print_outcome("done", version, &[])?;
                Ok(Exit::Done)
            }
            Outcome::DryRun(version, edits) => {
                self.print_outcome("dry", version, &edits)?;
                Ok(Exit::Done)
            }
            Outcome::Refused(reason) => {
                writeln!(self.err, "refused: {reason}")?;
                Ok(Exit::Refused)
            }
            Outcome::Unknown(problems) => {
                let Command { id, base, .. } = command;
                writeln!(self.err, "unknown: {}", problems.join("; "))?;
                writeln!(
                    self.err,
                    "repeat the same statement with --id {id} --base {base}"
                )?;
                Ok(Exit::Unknown)
            }
            Outcome::Unreachable(problems) => {
                writeln!(
                    self.err,
                    "nothing was sent: {}; {UNREACHABLE_HINT}",
                    problems.join("; ")
                )?;
                Ok(Exit::Unreachable)
            }
        }
    }

    fn print_outcome(&mut self, outcome: &str, version: u64, edits: &[Edit]) -> io::Result<()> {
        if self.options.format == Format::Json {
            let line = json!({ "outcome": outcome, "version": version, "changes": edits });
            return writeln!(self.out, "{line}");
        }
        writeln!(self.out, "{outcome}: version {version}")?;
        if edits.is_empty() {
            return Ok(());
        }
        format::write(self.out, self.options.format, &rows::edits_table(edits))
    }
}
