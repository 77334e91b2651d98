//! Watching and changing the configuration in the platform's table.
//!
//! Row `config/current` holds the document, `command/ID` the version that a
//! command created, `audit/VERSION` an entry of the audit trail. A transaction
//! writes all three if the document is unchanged since the change was planned and
//! the command has no row yet.

use crate::platform::{Backoff, Condition, Op, Outcome, PlatformError, Row, Table, Transaction};
use hibiscusroad::config::{
    Attempt, Audit, Command, CommandOutcome, Document, NextStep, Plan, Rows,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::{
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const DOCUMENT_KEY: &str = "config/current";
const COMMAND_PREFIX: &str = "command/";
const AUDIT_PREFIX: &str = "audit/";

/// Time between two polls of the document's row.
///
/// Short enough for a change to apply everywhere within 2 s, long enough for the
/// polls of all entries to stay within the table's read limit.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum backoff between polls while the table is down.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// How long a command is tried. Afterwards its outcome may be unknown, and it can
/// be repeated with the same id.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// The outcome of a command, as far as this entry knows.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The final outcome, with the document if this call wrote it.
    Decided(CommandOutcome, Option<Box<Document>>),
    /// Nothing was written, because the table is unavailable.
    Down(PlatformError),
    /// The command may or may not have been accepted.
    Unknown(PlatformError),
}

/// Applies a command's change exactly once, retrying for up to
/// [`COMMIT_TIMEOUT`].
#[must_use]
pub fn commit(table: &Table, command: &Command, origin: &str) -> Reply {
    let start = Instant::now();
    let mut backoff = Backoff::new(Duration::from_millis(50), Duration::from_secs(1));
    let mut rng = Pcg64Mcg::from_os_rng();
    let mut attempt = Attempt::new(command.clone(), origin.to_owned());
    loop {
        match step(table, &command.id, &mut attempt) {
            Ok(reply) => return reply,
            Err(error) if start.elapsed() > COMMIT_TIMEOUT => {
                return if attempt.is_uncertain() {
                    Reply::Unknown(error)
                } else {
                    Reply::Down(error)
                };
            }
            Err(_) => thread::sleep(backoff.next_wait(&mut rng)),
        }
    }
}

/// Reads, decides and writes once. An error means that the step may be retried.
fn step(table: &Table, id: &str, attempt: &mut Attempt) -> Result<Reply, PlatformError> {
    let rows = read(table, id)?;
    let plan = match attempt.next_step(&rows, now_ms()) {
        NextStep::Answer(outcome) => return Ok(Reply::Decided(outcome, None)),
        NextStep::Write(plan) => *plan,
        NextStep::Wait => {
            return Err(PlatformError::InvalidResponse(
                "the base version has not come yet".to_owned(),
            ));
        }
    };
    match table.transact(&transaction(&plan)) {
        Outcome::Committed(_) => {
            let outcome = CommandOutcome::Done(plan.next.version);
            Ok(Reply::Decided(outcome, Some(Box::new(plan.next))))
        }
        Outcome::Conflict(_) => Err(PlatformError::InvalidResponse(
            "another change came first".to_owned(),
        )),
        Outcome::NotSent(error) => Err(error),
        Outcome::Unknown(error) => {
            attempt.record_lost_answer(plan);
            Err(error)
        }
    }
}

fn transaction(plan: &Plan) -> Transaction {
    let command = format!("{COMMAND_PREFIX}{}", plan.audit.command);
    let audit = audit_key(plan.audit.version);
    let version = plan.next.version.to_string();
    Transaction::new()
        .when(Condition::Version(DOCUMENT_KEY.to_owned(), plan.base))
        .when(Condition::Version(command.clone(), 0))
        .then(Op::Put(DOCUMENT_KEY.to_owned(), json(&plan.next)))
        .then(Op::Put(command, version.into_bytes()))
        .then(Op::Put(audit, json(&plan.audit)))
}

/// Returns the key of a version's audit entry; keys sort by version.
fn audit_key(version: u64) -> String {
    format!("{AUDIT_PREFIX}{version:020}")
}

fn read(table: &Table, command: &str) -> Result<Rows, PlatformError> {
    let command = format!("{COMMAND_PREFIX}{command}");
    let mut rows = Rows::default();
    for row in table.read(&[DOCUMENT_KEY, &command])? {
        if row.key == DOCUMENT_KEY {
            rows.document = parse(&row)?;
        } else {
            rows.committed = Some(parse(&row)?);
        }
    }
    Ok(rows)
}

/// Reads the newest entries of the audit trail, oldest first.
///
/// # Errors
///
/// Returns a [`PlatformError`] if the table gave no usable answer.
pub fn read_audit(table: &Table) -> Result<Vec<Audit>, PlatformError> {
    table.list(AUDIT_PREFIX, 0)?.iter().map(parse).collect()
}

/// Reads the audit entry of one version.
///
/// # Errors
///
/// Returns a [`PlatformError`] if the table gave no usable answer.
pub fn read_audit_entry(table: &Table, version: u64) -> Result<Option<Audit>, PlatformError> {
    table
        .get(&audit_key(version))?
        .as_ref()
        .map(parse)
        .transpose()
}

/// Polls the document's row until `on_document` returns false.
///
/// `on_document` gets the newest document if it was written since the last poll.
pub fn watch(table: &Table, mut on_document: impl FnMut(Document) -> bool) {
    let mut rng = Pcg64Mcg::from_os_rng();
    let mut backoff = Backoff::new(POLL_INTERVAL, MAX_POLL_INTERVAL);
    let mut revision = 0;
    loop {
        let delay = match poll(table, revision) {
            Ok(found) => {
                backoff.reset();
                if let Some((at, document)) = found {
                    revision = at + 1;
                    if !on_document(document) {
                        return;
                    }
                }
                POLL_INTERVAL
            }
            Err(error) => {
                log::debug!(target: "config", "The configuration can't be read from the table: {error}.");
                backoff.next_wait(&mut rng)
            }
        };
        thread::sleep(delay);
    }
}

fn poll(table: &Table, revision: u64) -> Result<Option<(u64, Document)>, PlatformError> {
    let Some(row) = table.get_since(DOCUMENT_KEY, revision)? else {
        return Ok(None);
    };
    Ok(Some((row.revision, parse(&row)?)))
}

fn parse<T: serde::de::DeserializeOwned>(row: &Row) -> Result<T, PlatformError> {
    serde_json::from_slice(&row.value)
        .map_err(|e| PlatformError::InvalidResponse(format!("row {}: {e}", row.key)))
}

fn json(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("a document has a JSON form")
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
