//! Writes claims to the platform's table in batches.
//!
//! The writer threads block on the table so that the thread that owns the entry's
//! state never does. [`hibiscusroad::claim`] decides the outcome of a batch.

use crate::{
    entry::event::Event,
    platform::{Backoff, Condition, Op, Outcome, Table, Transaction},
};
use flume::{Receiver, Sender};
use hibiscusroad::{
    RequestId,
    claim::{BATCH_DELAY, Batch, ClaimOutcome, ClaimWrite, MAX_BATCH_CLAIMS, TableAnswer},
};
use std::{
    io, mem, thread,
    time::{Duration, Instant},
};

/// Writer threads. More than one, so that a slow write doesn't block every other
/// claim.
const WRITER_THREADS: usize = 2;

/// Writes that may wait for a writer thread.
const QUEUE_CAPACITY: usize = 1024;

/// Tries of a batch in a row without an answer before the table counts as down.
/// A second try finds the entry's own row if the first answer was lost.
const MAX_TRIES: u32 = 3;

/// Time after which a batch isn't retried, so that an unresponsive table costs a
/// caller one timeout rather than one per try.
const RETRY_TIMEOUT: Duration = Duration::from_secs(1);

/// How long the table then counts as down. Claims are refused at once in this
/// time instead of waiting for another timeout.
const DOWN_PERIOD: Duration = Duration::from_millis(500);

/// Bounds of the backoff between two tries.
const MIN_BACKOFF: Duration = Duration::from_millis(5);
const MAX_BACKOFF: Duration = Duration::from_millis(200);

/// A write to the platform's table.
#[derive(Debug)]
pub enum Write {
    /// Write a claim of this call.
    Claim(RequestId, Box<ClaimWrite>),
    /// Remove the row of this key if it has this content.
    Release(String, Vec<u8>),
}

/// Starts the writer threads and returns their queue.
///
/// # Errors
///
/// Returns the system's error if a thread can't be spawned.
pub fn start(table: &Table, events: &Sender<Event>) -> io::Result<Sender<Write>> {
    let (sender, queue) = flume::bounded(QUEUE_CAPACITY);
    for _ in 0..WRITER_THREADS {
        let writer = Writer {
            table: table.clone(),
            events: events.clone(),
            queue: queue.clone(),
            deferred: Vec::new(),
            down_until: None,
        };
        thread::Builder::new()
            .name("claims".to_owned())
            .spawn(move || writer.run())?;
    }
    Ok(sender)
}

struct Writer {
    table: Table,
    events: Sender<Event>,
    queue: Receiver<Write>,
    /// Writes that did not fit into the last batch.
    deferred: Vec<Write>,
    /// The instant until which the table counts as down.
    down_until: Option<Instant>,
}

impl Writer {
    fn run(mut self) {
        while let Some(writes) = self.collect_batch() {
            self.write(writes);
        }
    }

    /// Waits for a write, then up to [`BATCH_DELAY`] for more.
    fn collect_batch(&mut self) -> Option<Vec<Write>> {
        let mut writes = mem::take(&mut self.deferred);
        if writes.is_empty() {
            writes.push(self.queue.recv().ok()?);
        }
        let until = Instant::now() + BATCH_DELAY;
        while writes.len() < MAX_BATCH_CLAIMS {
            match self.queue.recv_deadline(until) {
                Ok(write) => writes.push(write),
                Err(_) => break,
            }
        }
        Some(writes)
    }

    fn write(&mut self, writes: Vec<Write>) {
        let mut batch = Batch::new();
        let mut calls = Vec::new();
        for write in writes {
            match write {
                Write::Claim(call, write) => {
                    let attempt = write.claim.attempt;
                    match batch.add(*write) {
                        None => calls.push((attempt, call)),
                        Some(write) => self.deferred.push(Write::Claim(call, Box::new(write))),
                    }
                }
                Write::Release(key, bytes) => self.release(key, bytes),
            }
        }
        self.commit_batch(batch, &calls);
    }

    /// Writes a batch until each of its claims has an outcome.
    fn commit_batch(&mut self, mut batch: Batch, calls: &[(RequestId, RequestId)]) {
        let start = Instant::now();
        let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
        let mut tries = 0;
        while !batch.writes().is_empty() {
            tries += 1;
            let timed_out = tries > MAX_TRIES || start.elapsed() > RETRY_TIMEOUT;
            let answer = self.transact(&batch, timed_out);
            if answer != TableAnswer::Unknown {
                tries = 0;
            }
            let unknown = answer == TableAnswer::Unknown;
            for (write, outcome) in batch.apply(answer) {
                self.report_outcome(&write, outcome, calls);
            }
            if unknown {
                thread::sleep(backoff.next_wait(&mut rand::rng()));
            }
        }
    }

    fn transact(&mut self, batch: &Batch, timed_out: bool) -> TableAnswer {
        if self.down_until.is_some_and(|until| Instant::now() < until) {
            return TableAnswer::Down;
        }
        if timed_out {
            log::warn!(target: "calls", "The table does not respond; claims are refused.");
            self.down_until = Some(Instant::now() + DOWN_PERIOD);
            return TableAnswer::Down;
        }
        match self.table.transact(&transaction(batch)) {
            Outcome::Committed(_) => TableAnswer::Committed,
            Outcome::Conflict(rows) => {
                TableAnswer::Conflict(rows.into_iter().map(|r| (r.key, r.value)).collect())
            }
            Outcome::Unknown(error) => {
                log::debug!(target: "calls", "It is unknown whether claims were written: {error}.");
                TableAnswer::Unknown
            }
            Outcome::NotSent(error) => {
                log::warn!(target: "calls", "Claims are refused: {error}.");
                TableAnswer::Down
            }
        }
    }

    fn report_outcome(
        &self,
        write: &ClaimWrite,
        outcome: ClaimOutcome,
        calls: &[(RequestId, RequestId)],
    ) {
        let attempt = write.claim.attempt;
        let call = calls.iter().find(|(other, _)| *other == attempt);
        if let Some((_, call)) = call {
            let event = Event::Claimed(*call, attempt, Box::new(outcome));
            // The receiver closes only when the process ends.
            let _ = self.events.send(event);
        }
    }

    /// Removes a row whose attempt never runs. If that fails, the next request
    /// with the key has the sidecar seal the attempt again.
    fn release(&self, key: String, bytes: Vec<u8>) {
        let transaction = Transaction::new()
            .when(Condition::Value(key.clone(), bytes))
            .then(Op::Delete(key));
        if let Outcome::Unknown(error) | Outcome::NotSent(error) = self.table.transact(&transaction)
        {
            log::debug!(target: "calls", "A claim was not released: {error}.");
        }
    }
}

fn transaction(batch: &Batch) -> Transaction {
    let mut transaction = Transaction::new();
    for write in batch.writes() {
        let key = write.key.clone();
        let condition = match &write.expected {
            None => Condition::Version(key.clone(), 0),
            Some(bytes) => Condition::Value(key.clone(), bytes.clone()),
        };
        transaction = transaction
            .when(condition)
            .or_read(&key)
            .then(Op::Put(key, write.claim.encode()));
    }
    transaction
}
