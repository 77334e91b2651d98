//! Writing many claims in one transaction.

use crate::claim::{Claim, StoredClaim};
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

/// The table's answer to a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Said {
    /// Everything was written.
    Committed,
    /// Nothing was written; the rows that exist, by key.
    Conflict(Vec<(String, Vec<u8>)>),
    /// The transaction may have been written, or may be later.
    Unknown,
    /// Nothing was written, and the table can't be reached.
    Down,
}

/// The outcome of one claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The row is the request's own claim.
    Won,
    /// The row is another request's claim.
    Held(StoredClaim),
    /// There is no row, though one was expected.
    Free,
    /// The table can't be reached. The row may still become the request's own
    /// claim.
    Down,
}

/// Claims that are written in one transaction. No two have the same key.
#[derive(Debug, Default)]
pub struct Batch {
    jobs: Vec<Job>,
}

impl Batch {
    /// Creates an empty batch.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a claim, or returns it if the batch has one with the same key,
    /// because a transaction may write a row only once.
    #[must_use]
    pub fn add(&mut self, job: Job) -> Option<Job> {
        if self.jobs.iter().any(|other| other.key == job.key) {
            return Some(job);
        }
        self.jobs.push(job);
        None
    }

    /// Returns the undecided claims, which have to be written.
    #[must_use]
    pub fn jobs(&self) -> &[Job] {
        &self.jobs
    }

    /// Applies the table's answer to a transaction with all [`Batch::jobs`];
    /// removes and returns the claims that it decides.
    ///
    /// The remaining ones have to be written again. That is safe after
    /// [`Said::Unknown`] too: if the first write takes effect, the second one
    /// finds the request's own claim.
    pub fn settle(&mut self, said: Said) -> Vec<(Job, Verdict)> {
        match said {
            Said::Committed => self.decide_all(&Verdict::Won),
            Said::Down => self.decide_all(&Verdict::Down),
            Said::Unknown => Vec::new(),
            Said::Conflict(rows) => self.apply_conflict(rows),
        }
    }

    fn decide_all(&mut self, verdict: &Verdict) -> Vec<(Job, Verdict)> {
        let jobs = mem::take(&mut self.jobs);
        jobs.into_iter().map(|j| (j, verdict.clone())).collect()
    }

    fn apply_conflict(&mut self, mut rows: Vec<(String, Vec<u8>)>) -> Vec<(Job, Verdict)> {
        let mut decided = Vec::new();
        for job in mem::take(&mut self.jobs) {
            let position = rows.iter().position(|(key, _)| *key == job.key);
            let row = position.map(|i| rows.swap_remove(i).1);
            match decide(&job, row) {
                Some(verdict) => decided.push((job, verdict)),
                None => self.jobs.push(job),
            }
        }
        decided
    }
}

/// Decides one claim by the row that exists; none if it can still be written.
fn decide(job: &Job, row: Option<Vec<u8>>) -> Option<Verdict> {
    if row == job.expect {
        return None;
    }
    let Some(bytes) = row else {
        return Some(Verdict::Free);
    };
    let stored = StoredClaim::new(bytes);
    if stored.is_for(job.claim.attempt) {
        return Some(Verdict::Won);
    }
    Some(Verdict::Held(stored))
}
