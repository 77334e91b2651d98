//! Running statements one after another and telling what became of them.

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

const NEXT_NOBODY: &str = "check the addresses and that entries run";

/// How a statement ended; the discriminant is the exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// Done, or answered.
    Done = 0,
    /// Refused: it surely has no effect.
    Refused = 1,
    /// The command line or a statement is wrong.
    Usage = 2,
    /// Nobody can say yet whether it has an effect.
    Unknown = 3,
    /// No entry was reached.
    Nobody = 4,
}

/// Statements of one operator to one set of entries.
pub struct Session<'a> {
    pub(crate) client: Client,
    pub(crate) out: &'a mut dyn Write,
    pub(crate) err: &'a mut dyn Write,
    options: Options,
    // The newest version known to exist. An entry that has not heard of it yet
    // would otherwise name an older one, and a file's second command would
    // conflict with its first.
    newest: u64,
}

impl fmt::Debug for Session<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Session").finish_non_exhaustive()
    }
}

impl<'a> Session<'a> {
    /// Creates a session that answers on `out` and explains on `err`.
    pub fn new(options: Options, out: &'a mut dyn Write, err: &'a mut dyn Write) -> Self {
        Self {
            client: Client::new(options.entries.clone(), options.token.clone()),
            out,
            err,
            options,
            newest: 0,
        }
    }

    pub(crate) const fn is_dry(&self) -> bool {
        self.options.dry_run
    }

    pub(crate) const fn is_forced(&self) -> bool {
        self.options.force
    }

    /// Runs statements until one is not done.
    ///
    /// # Errors
    ///
    /// Returns the output's error.
    pub fn run(&mut self, statements: &[Statement]) -> io::Result<Exit> {
        let changes = |s: &&Statement| !matches!(s, Statement::Show(_) | Statement::Explain { .. });
        if self.options.command_id.is_some() && statements.iter().filter(changes).count() != 1 {
            writeln!(self.err, "--id goes with exactly one command")?;
            return Ok(Exit::Usage);
        }
        for statement in statements {
            let exit = self.one(statement)?;
            if exit != Exit::Done {
                return Ok(exit);
            }
        }
        Ok(Exit::Done)
    }

    fn one(&mut self, statement: &Statement) -> io::Result<Exit> {
        match statement {
            Statement::Show(show) => self.show(show),
            Statement::Watch { every, show } => self.watch(*every, show),
            Statement::Explain { about, name } => self.explain(*about, name),
            Statement::Change(change) => self.guarded(change),
            Statement::Stop { service, within } => self.stop(service, *within),
            Statement::Promote { .. } => {
                writeln!(self.err, "refused: entries don't take promote yet")?;
                Ok(Exit::Refused)
            }
        }
    }

    fn watch(&mut self, every: Duration, show: &Show) -> io::Result<Exit> {
        loop {
            let exit = self.show(show)?;
            // Nobody to ask is a state that an operator watches out for, too.
            if !matches!(exit, Exit::Done | Exit::Nobody) {
                return Ok(exit);
            }
            self.out.flush()?;
            thread::sleep(every);
        }
    }

    fn show(&mut self, show: &Show) -> io::Result<Exit> {
        let rows = match self.ask(&format!("show/{}", show.subject))? {
            Ok(rows) => rows,
            Err(exit) => return Ok(exit),
        };
        match rows::select(show, rows) {
            Ok(table) => self.print(&table),
            Err(error) => {
                writeln!(self.err, "{error}")?;
                Ok(Exit::Usage)
            }
        }
    }

    fn explain(&mut self, about: About, name: &str) -> io::Result<Exit> {
        let about = match about {
            About::Request => "request",
            About::Endpoint => "endpoint",
        };
        match self.ask(&format!("explain/{about}/{name}"))? {
            Ok(rows) => self.print(&rows::to_table(rows)),
            Err(exit) => Ok(exit),
        }
    }

    fn print(&mut self, table: &Table) -> io::Result<Exit> {
        format::write(self.out, self.options.format, table)?;
        Ok(Exit::Done)
    }

    /// Asks, and tells whom the answer lacks or why there is none.
    pub(crate) fn ask(&mut self, path: &str) -> io::Result<Result<Vec<Row>, Exit>> {
        match self.client.query(path) {
            Ok(response) => {
                self.newest = self.newest.max(response.version);
                if !response.unreachable.is_empty() {
                    let unreachable = response.unreachable.join(", ");
                    writeln!(self.err, "this answer lacks: {unreachable}")?;
                }
                Ok(Ok(response.rows))
            }
            Err(error @ Error::Refused(_)) => {
                writeln!(self.err, "refused: {error}")?;
                Ok(Err(Exit::Refused))
            }
            Err(error @ Error::Unreachable(_)) => {
                writeln!(self.err, "{error}; {NEXT_NOBODY}")?;
                Ok(Err(Exit::Nobody))
            }
        }
    }

    /// Sends a change, unless it is dangerous, and tells its outcome.
    fn guarded(&mut self, change: &Change) -> io::Result<Exit> {
        // A command that is asked again may have taken effect; "refused" from
        // here would not be true of it.
        let drain = matches!(change, Change::Drain { .. });
        if !drain || self.options.force || self.options.command_id.is_some() {
            return self.change(change);
        }
        let rows = match self.ask("show/endpoints")? {
            Ok(rows) => rows,
            Err(exit) => return Ok(exit),
        };
        let services = drain_check::services_without_endpoint(change, &rows);
        if services.is_empty() {
            return self.change(change);
        }
        self.want_force(&services.join(", "))
    }

    /// Refuses what leaves `services` without an endpoint that takes work.
    pub(crate) fn want_force(&mut self, services: &str) -> io::Result<Exit> {
        writeln!(
            self.err,
            "refused: no endpoint of {services} would take work; repeat with --force if this is meant"
        )?;
        Ok(Exit::Refused)
    }

    /// Sends a change and tells its outcome.
    pub(crate) fn change(&mut self, change: &Change) -> io::Result<Exit> {
        let base = match self.base()? {
            Ok(base) => base,
            Err(exit) => return Ok(exit),
        };
        let id = self.options.command_id.clone();
        let command = Command {
            id: id.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>())),
            base,
            who: self.options.user.clone(),
            change: change.clone(),
            dry: self.options.dry_run,
            force: self.options.force,
        };
        let outcome = self.client.submit(&command);
        self.tell(&command, outcome)
    }

    /// Returns the version that a command is written for.
    fn base(&mut self) -> io::Result<Result<u64, Exit>> {
        if let Some(base) = self.options.base_version {
            return Ok(Ok(base));
        }
        Ok(self.ask("show/config")?.map(|_| self.newest))
    }

    fn tell(&mut self, command: &Command, outcome: Outcome) -> io::Result<Exit> {
        match outcome {
            Outcome::Done(version) => {
                self.newest = self.newest.max(version);
                self.say("done", version, &[])?;
                Ok(Exit::Done)
            }
            Outcome::DryRun(version, edits) => {
                self.say("dry", version, &edits)?;
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
                    "ask again with the same statement and --id {id} --base {base}"
                )?;
                Ok(Exit::Unknown)
            }
            Outcome::Unreachable(problems) => {
                writeln!(
                    self.err,
                    "nothing was sent: {}; {NEXT_NOBODY}",
                    problems.join("; ")
                )?;
                Ok(Exit::Nobody)
            }
        }
    }

    fn say(&mut self, outcome: &str, version: u64, edits: &[Edit]) -> io::Result<()> {
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
