//! How a command becomes a version, exactly once.
//!
//! A command has an id that its sender drew. [`Plan::make`] decides, from what
//! the table holds now, what to write; [`Plan::judge`] decides, from what the
//! table holds after an answer was lost, what became of it. Both are plain
//! functions of rows, so the races can be tested without a table.

use crate::config::{Change, Document, Edit, Refusal};
use serde::{Deserialize, Serialize};

/// What an operator asks for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Command {
    /// Drawn at random by the sender; a repeat carries the same one.
    pub id: String,
    /// The version that the change was written for; none means the newest.
    #[serde(default)]
    pub base: Option<u64>,
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

/// What can be said of a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It made this version.
    Done(u64),
    /// Another change came first and made this version.
    Conflict(u64),
    /// It can't be made to the document.
    Refused(Refusal),
    /// Write the same plan again: it has not taken effect, and still may.
    Again,
}

/// What to write for a command, if the document still has the base version.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The version that must still stand.
    pub base: u64,
    /// The document to write.
    pub next: Document,
    /// The line of the trail to write.
    pub audit: Audit,
}

impl Plan {
    /// Plans the write for a command.
    ///
    /// # Errors
    ///
    /// Returns the verdict if nothing is to be written: done before, another
    /// change came first, or refused.
    pub fn make(command: &Command, rows: &Rows, origin: &str, at_ms: u64) -> Result<Self, Verdict> {
        if let Some(version) = rows.made {
            return Err(Verdict::Done(version));
        }
        let base = &rows.document;
        if command.base.is_some_and(|version| version != base.version) {
            return Err(Verdict::Conflict(base.version));
        }
        let next = command
            .change
            .apply(base, command.force)
            .map_err(Verdict::Refused)?;
        let audit = Audit {
            version: next.version,
            command: command.id.clone(),
            who: command.who.clone(),
            origin: origin.to_owned(),
            at_ms,
            change: command.change.clone(),
            edits: Edit::between(base, &next),
        };
        Ok(Self {
            base: base.version,
            next,
            audit,
        })
    }

    /// Says what became of this plan after its answer was lost.
    ///
    /// The write is conditional on the base version. So once the document has
    /// moved on without this command's row, a copy of the write that is still
    /// under way can't take effect any more, and "another came first" is true
    /// for good. While the base still stands nothing can be said, and the same
    /// write is simply made again.
    #[must_use]
    pub const fn judge(&self, rows: &Rows) -> Verdict {
        if let Some(version) = rows.made {
            return Verdict::Done(version);
        }
        if rows.document.version > self.base {
            return Verdict::Conflict(rows.document.version);
        }
        Verdict::Again
    }
}
