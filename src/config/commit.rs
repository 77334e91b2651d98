//! Committing a command exactly once.
//!
//! A command has an id chosen by its sender. An [`Attempt`] decides from the rows in the
//! table what to write, or how to answer the operator. It does no I/O, so races can be
//! tested without a table.

use crate::config::{Change, Document, Edit, Refusal};
use serde::{Deserialize, Serialize};

/// A command of an operator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Command {
    /// A random id; repeats have the same one.
    pub id: String,
    /// The version on which the change is based.
    ///
    /// It is required: if a command applied to the newest version, two entries that process
    /// it at once could use different documents, and one could refuse it before the other
    /// accepts it.
    pub base: u64,
    /// The operator.
    #[serde(rename = "who")]
    pub operator: String,
    /// The change.
    pub change: Change,
    /// Whether to return the changes without making them.
    #[serde(default, rename = "dry")]
    pub dry_run: bool,
    /// Whether to make the change even if it is dangerous.
    #[serde(default)]
    pub force: bool,
}

/// An entry of the audit trail, written in one transaction with its change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Audit {
    /// The version with the change.
    pub version: u64,
    /// The id of the command.
    pub command: String,
    /// The operator.
    #[serde(rename = "who")]
    pub operator: String,
    /// The address from which the command was sent.
    pub origin: String,
    /// When the change was planned, in milliseconds since 1970 UTC.
    pub at_ms: u64,
    /// The change.
    pub change: Change,
    /// The values that it replaced.
    pub edits: Vec<Edit>,
}

/// The rows in the table that concern one command.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    /// The document, or the default if there is none.
    pub document: Document,
    /// The version with this command's change, if it has been committed.
    pub committed: Option<u64>,
}

/// The final outcome of a command.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandOutcome {
    /// It was committed as this version.
    Done(u64),
    /// A dry run would make this change.
    DryRun(Box<Audit>),
    /// Another change was committed first, as this version.
    Conflict(u64),
    /// The change was refused.
    Refused(Refusal),
}

/// The next step for a command.
#[derive(Clone, Debug, PartialEq)]
pub enum NextStep {
    /// Write the plan in one transaction with its conditions.
    Write(Box<Plan>),
    /// Answer the operator.
    Answer(CommandOutcome),
    /// Read the rows again later: the base version has not arrived yet. A conflict would
    /// not be final, since another entry may still commit the command on that version.
    Wait,
}

/// The writes for a command, on the conditions that the document still has the base version
/// and the command has no row.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The version that the document must have.
    pub base: u64,
    /// The document to write.
    pub next: Document,
    /// The entry of the audit trail to write.
    pub audit: Audit,
}

/// The attempt to commit one command.
#[derive(Clone, Debug)]
pub struct Attempt {
    command: Command,
    origin: String,
    /// A plan whose write may have taken effect, or may still do so.
    uncertain: Option<Plan>,
}

impl Attempt {
    /// Creates the attempt to commit a command that was sent from the address `origin`.
    #[must_use]
    pub const fn new(command: Command, origin: String) -> Self {
        Self {
            command,
            origin,
            uncertain: None,
        }
    }

    /// Decides the next step from the rows as of `at_ms` (milliseconds since 1970 UTC).
    ///
    /// A write is conditional on its base version. So once the document has a newer version
    /// and the command has no row, a delayed write can't take effect any more and the
    /// conflict is final. While the document has the base version the outcome is unknown,
    /// and the same plan is written again: a new plan could differ from the audit entry
    /// that a delayed write may still add.
    pub fn next_step(&mut self, rows: &Rows, at_ms: u64) -> NextStep {
        if let Some(version) = rows.committed {
            return NextStep::Answer(CommandOutcome::Done(version));
        }
        if rows.document.version < self.command.base {
            return NextStep::Wait;
        }
        if rows.document.version > self.command.base {
            self.uncertain = None;
            return NextStep::Answer(CommandOutcome::Conflict(rows.document.version));
        }
        if let Some(plan) = &self.uncertain {
            return NextStep::Write(Box::new(plan.clone()));
        }
        match self.plan(&rows.document, at_ms) {
            Ok(plan) if self.command.dry_run => {
                NextStep::Answer(CommandOutcome::DryRun(Box::new(plan.audit)))
            }
            Ok(plan) => NextStep::Write(Box::new(plan)),
            Err(outcome) => NextStep::Answer(outcome),
        }
    }

    /// Records that the answer to the write of `plan` was lost.
    pub fn record_lost_answer(&mut self, plan: Plan) {
        self.uncertain = Some(plan);
    }

    /// Returns whether a write may have taken effect, or may still do so.
    ///
    /// If so, the outcome reported to the operator must be unknown.
    #[must_use]
    pub const fn is_uncertain(&self) -> bool {
        self.uncertain.is_some()
    }

    fn plan(&self, base: &Document, at_ms: u64) -> Result<Plan, CommandOutcome> {
        let command = &self.command;
        let next = command
            .change
            .apply(base, command.force)
            .map_err(CommandOutcome::Refused)?;
        let audit = Audit {
            version: next.version,
            command: command.id.clone(),
            operator: command.operator.clone(),
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
