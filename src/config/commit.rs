//! How a command becomes a version, exactly once.
//!
//! A command has an id that its sender drew. An [`Attempt`] is shown what the
//! table holds and says what to write, or what the operator can be told. It does
//! no input or output, so the races can be tested without a table.

use crate::config::{Change, Document, Edit, Refusal};
use serde::{Deserialize, Serialize};

/// What an operator asks for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Command {
    /// Drawn at random by the sender; a repeat carries the same one.
    pub id: String,
    /// The version that the change was written for.
    ///
    /// It is never left open. Were a command tried on whatever version is
    /// newest, two entries that work on one command at once could judge it by
    /// two documents, and one would say "refused" before the other accepts it.
    pub base: u64,
    /// Who asks.
    pub who: String,
    /// The change.
    pub change: Change,
    /// Only show what would change.
    #[serde(default)]
    pub dry: bool,
    /// Do it even if it is dangerous.
    #[serde(default)]
    pub force: bool,
}

/// One line of the audit trail, written with the change that it tells of.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Audit {
    /// The version that the change made.
    pub version: u64,
    /// The command's id.
    pub command: String,
    /// Who asked.
    pub who: String,
    /// The address that the command came from.
    pub origin: String,
    /// When the entry planned it, milliseconds since 1970 UTC.
    pub at_ms: u64,
    /// What was asked.
    pub change: Change,
    /// What it replaced.
    pub edits: Vec<Edit>,
}

/// What the table holds about one command.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    /// The document; the default one if there is none.
    pub document: Document,
    /// The version that this command made, if its row is there.
    pub made: Option<u64>,
}

/// What can be said of a command for good.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It made this version.
    Done(u64),
    /// It would make this change; nothing was written.
    Dry(Box<Audit>),
    /// Another change came first and made this version.
    Conflict(u64),
    /// It can't be made to the document.
    Refused(Refusal),
}

/// What to do next for a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Write this, in one transaction, on its conditions.
    Write(Box<Plan>),
    /// Tell the operator.
    Tell(Verdict),
    /// Look again later: the version that the command was written for has not
    /// come yet. "Conflict" would not be true for good, since it may still come
    /// and another entry then accept the command.
    Wait,
}

/// What to write for a command, if the document still has the base version and
/// the command has no row.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The version that must still stand.
    pub base: u64,
    /// The document to write.
    pub next: Document,
    /// The line of the trail to write.
    pub audit: Audit,
}

/// One command on its way into the table.
#[derive(Clone, Debug)]
pub struct Attempt {
    command: Command,
    origin: String,
    // The plan whose write may have taken effect, or may still do so.
    unsure: Option<Plan>,
}

impl Attempt {
    /// Creates the attempt of a command that came from the address `origin`.
    #[must_use]
    pub const fn new(command: Command, origin: String) -> Self {
        Self {
            command,
            origin,
            unsure: None,
        }
    }

    /// Decides what to do, from what the table holds at `at_ms` (milliseconds
    /// since 1970 UTC).
    ///
    /// A write is conditional on its base version. So once the document has
    /// moved on without this command's row, a copy of the write that is still
    /// under way can't take effect any more, and "another came first" is true
    /// for good. While the base still stands nothing can be said, and the very
    /// same plan is written again: were a new one made, two lines of the trail
    /// could tell of one command.
    pub fn look(&mut self, rows: &Rows, at_ms: u64) -> Next {
        if let Some(version) = rows.made {
            return Next::Tell(Verdict::Done(version));
        }
        if rows.document.version < self.command.base {
            return Next::Wait;
        }
        if rows.document.version > self.command.base {
            self.unsure = None;
            return Next::Tell(Verdict::Conflict(rows.document.version));
        }
        if let Some(plan) = &self.unsure {
            return Next::Write(Box::new(plan.clone()));
        }
        match self.plan(&rows.document, at_ms) {
            Ok(plan) if self.command.dry => Next::Tell(Verdict::Dry(Box::new(plan.audit))),
            Ok(plan) => Next::Write(Box::new(plan)),
            Err(verdict) => Next::Tell(verdict),
        }
    }

    /// Notes that the answer to the write of `plan` was lost.
    pub fn lost(&mut self, plan: Plan) {
        self.unsure = Some(plan);
    }

    /// Says whether a write may have taken effect, or may still do so.
    ///
    /// While it does, an operator must be told that the outcome is unknown.
    #[must_use]
    pub const fn is_unsure(&self) -> bool {
        self.unsure.is_some()
    }

    fn plan(&self, base: &Document, at_ms: u64) -> Result<Plan, Verdict> {
        let command = &self.command;
        let next = command
            .change
            .apply(base, command.force)
            .map_err(Verdict::Refused)?;
        let audit = Audit {
            version: next.version,
            command: command.id.clone(),
            who: command.who.clone(),
            origin: self.origin.clone(),
            at_ms,
            change: command.change.clone(),
            edits: Edit::between(base, &next),
        };
        Ok(Plan {
            base: base.version,
            next,
            audit,
        })
    }
}
