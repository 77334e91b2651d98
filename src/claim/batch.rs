//! Writing many claims in one transaction.

use crate::claim::{Claim, StoredClaim};
use std::mem;

/// One claim to be written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimWrite {
    /// The row's key.
    pub key: String,
    /// The row's new content.
    pub claim: Claim,
    /// The content that the row must have; none if it must be absent.
    pub expected: Option<Vec<u8>>,
}

/// The table's answer to a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TableAnswer {
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
pub enum ClaimOutcome {
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
    writes: Vec<ClaimWrite>,
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
    pub fn add(&mut self, write: ClaimWrite) -> Option<ClaimWrite> {
        if self.writes.iter().any(|other| other.key == write.key) {
            return Some(write);
        }
        self.writes.push(write);
        None
    }

    /// Returns the undecided claims, which have to be written.
    #[must_use]
    pub fn writes(&self) -> &[ClaimWrite] {
        &self.writes
    }

    /// Applies the table's answer to a transaction with all [`Batch::writes`];
    /// removes and returns the claims that it decides.
    ///
    /// The remaining ones have to be written again. That is safe after
    /// [`TableAnswer::Unknown`] too: if the first write takes effect, the second one
    /// finds the request's own claim.
    pub fn apply(&mut self, answer: TableAnswer) -> Vec<(ClaimWrite, ClaimOutcome)> {
        match answer {
            TableAnswer::Committed => self.decide_all(&ClaimOutcome::Won),
            TableAnswer::Down => self.decide_all(&ClaimOutcome::Down),
            TableAnswer::Unknown => Vec::new(),
            TableAnswer::Conflict(rows) => self.apply_conflict(rows),
        }
    }

    fn decide_all(&mut self, outcome: &ClaimOutcome) -> Vec<(ClaimWrite, ClaimOutcome)> {
        let writes = mem::take(&mut self.writes);
        writes
            .into_iter()
            .map(|write| (write, outcome.clone()))
            .collect()
    }

    fn apply_conflict(
        &mut self,
        mut rows: Vec<(String, Vec<u8>)>,
    ) -> Vec<(ClaimWrite, ClaimOutcome)> {
        let mut decided = Vec::new();
        for write in mem::take(&mut self.writes) {
            let position = rows.iter().position(|(key, _)| *key == write.key);
            let row = position.map(|i| rows.swap_remove(i).1);
            match decide(&write, row) {
                Some(outcome) => decided.push((write, outcome)),
                None => self.writes.push(write),
            }
        }
        decided
    }
}

/// Decides one claim by the row that exists; none if it can still be written.
fn decide(write: &ClaimWrite, row: Option<Vec<u8>>) -> Option<ClaimOutcome> {
    if row == write.expected {
        return None;
    }
    let Some(bytes) = row else {
        return Some(ClaimOutcome::Free);
    };
    let stored = StoredClaim::new(bytes);
    if stored.is_for(write.claim.attempt) {
        return Some(ClaimOutcome::Won);
    }
    Some(ClaimOutcome::Held(stored))
}
