//! Writing many claims in one transaction.

use crate::claim::{Claim, Seen};
use std::mem;

/// One claim to be written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Job {
    /// The row's key.
    pub key: String,
    /// The row's new content.
    pub claim: Claim,
    /// The content that the row must have; none if it must be absent.
    pub expect: Option<Vec<u8>>,
}

/// What the table said to a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Said {
    /// All was written.
    Committed,
    /// Nothing was written; the rows that exist, by key.
    Conflict(Vec<(String, Vec<u8>)>),
    /// Nobody knows whether it was written, or will be.
    Unknown,
    /// Nothing was written, and the table can't be asked.
    Down,
}

/// What became of one claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The row is the own claim.
    Won,
    /// The row is another's.
    Held(Seen),
    /// There is no row, where one was expected.
    Free,
    /// The table can't be asked. The row may turn out to be the own claim.
    Down,
}

/// Claims that are written together. No two have the same key.
#[derive(Debug, Default)]
pub struct Batch {
    jobs: Vec<Job>,
}

impl Batch {
    /// Creates a batch without claims.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a claim, or gives it back if the batch has one of the same key: a
    /// transaction may write a row once only.
    #[must_use]
    pub fn add(&mut self, job: Job) -> Option<Job> {
        if self.jobs.iter().any(|other| other.key == job.key) {
            return Some(job);
        }
        self.jobs.push(job);
        None
    }

    /// Returns the claims that are not decided yet, to be written.
    #[must_use]
    pub fn jobs(&self) -> &[Job] {
        &self.jobs
    }

    /// Takes in what the table said to a transaction with all [`Batch::jobs`],
    /// and takes out the claims that it decides.
    ///
    /// What stays is to be written again. That is safe after
    /// [`Said::Unknown`] too: if the first write took effect, or does so later,
    /// the second finds the own claim.
    pub fn settle(&mut self, said: Said) -> Vec<(Job, Verdict)> {
        match said {
            Said::Committed => self.all(&Verdict::Won),
            Said::Down => self.all(&Verdict::Down),
            Said::Unknown => Vec::new(),
            Said::Conflict(rows) => self.conflict(rows),
        }
    }

    fn all(&mut self, verdict: &Verdict) -> Vec<(Job, Verdict)> {
        let jobs = mem::take(&mut self.jobs);
        jobs.into_iter().map(|j| (j, verdict.clone())).collect()
    }

    fn conflict(&mut self, mut rows: Vec<(String, Vec<u8>)>) -> Vec<(Job, Verdict)> {
        let mut decided = Vec::new();
        for job in mem::take(&mut self.jobs) {
            let found = rows.iter().position(|(key, _)| *key == job.key);
            let row = found.map(|i| rows.swap_remove(i).1);
            match judge(&job, row) {
                Some(verdict) => decided.push((job, verdict)),
                None => self.jobs.push(job),
            }
        }
        decided
    }
}

/// Decides one claim by the row that exists; none if it can still be written.
fn judge(job: &Job, row: Option<Vec<u8>>) -> Option<Verdict> {
    if row == job.expect {
        return None;
    }
    let Some(bytes) = row else {
        return Some(Verdict::Free);
    };
    let seen = Seen::new(bytes);
    if seen.is_of(job.claim.attempt) {
        return Some(Verdict::Won);
    }
    Some(Verdict::Held(seen))
}
