//! What a run is told, and what it wants done.

use crate::{
    error::ErrorKind,
    train::{
        GenKey,
        row::{Batch, Head, Row, Slot, Span, Write},
    },
};

/// Names a caller's open request at the process that holds the run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// What became known.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The head's row was read: its version and content, if it exists.
    Head(Option<(u64, Head)>),
    /// All other rows were read.
    Rows(Vec<Row>),
    /// The write took effect.
    Committed,
    /// The write failed on its condition, or a call of the table got no answer.
    /// What the table holds is looked at before anything else is said.
    Lost,
    /// The engine reported a generation's tokens and what generated them.
    ///
    /// Both count from the sample's first token; the spans start where the
    /// generation did. What was ordered is never put in their place.
    Progress {
        /// The generation.
        generation: GenKey,
        /// Tokens of the sample so far.
        tokens: u32,
        /// What generated them.
        spans: Vec<Span>,
    },
    /// The last report before this one was the generation's last.
    Finished(GenKey),
    /// The generation broke off; what was reported of it stands.
    Failed(GenKey),
    /// The sample is kept in the object store, and this is its score.
    Scored {
        /// The generation that made it.
        generation: GenKey,
        /// What the scorer gave; what is no number is asked for again.
        score: f64,
    },
    /// The sample could not be kept or scored; it is tried again.
    ScoreLost(GenKey),
    /// The trainer asked for a step's batch.
    Pulled {
        /// Its request.
        ticket: Ticket,
        /// The trainer's own key, drawn when it opened the run.
        owner: u64,
        /// The step, from 0.
        cursor: u64,
    },
    /// The trainer reported a step done.
    Done {
        /// Its request.
        ticket: Ticket,
        /// The trainer's own key.
        owner: u64,
        /// The step.
        cursor: u64,
        /// The trainer's weight version from now on.
        version: u64,
    },
    /// The run may have this many generations on the engines.
    Share(usize),
    /// Time went on.
    Tick,
}

/// The text that a generation goes on from.
///
/// That generation broke off, or is slow: the new one runs elsewhere. Its KV is
/// taken along if its engine can still export it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Prefix {
    /// The generation that has the text.
    pub generation: GenKey,
    /// How many of its sample's tokens to go on from.
    pub tokens: u32,
}

/// What has to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Read the head's row: [`Event::Head`] or [`Event::Lost`].
    ReadHead,
    /// Read all other rows, after everything written before:
    /// [`Event::Rows`] or [`Event::Lost`].
    ReadRows,
    /// Write: [`Event::Committed`] or [`Event::Lost`].
    Write(Box<Write>),
    /// Start a generation at rollout class.
    Start {
        /// Names it from now on.
        generation: GenKey,
        /// The sample.
        slot: Slot,
        /// Whether it goes before others of the class.
        urgent: bool,
        /// What is there already and isn't generated again.
        prefix: Option<Prefix>,
        /// The oldest weight version that may generate it.
        floor: u64,
    },
    /// Put a generation before others of its class.
    Raise(GenKey),
    /// Stop a generation; nothing of it is wanted any more.
    Cancel(GenKey),
    /// Keep the finished sample in the object store, then score it.
    Score {
        /// The generation that made it.
        generation: GenKey,
        /// The sample.
        slot: Slot,
    },
    /// Let go of the texts of a sample; no generation goes on from them.
    Release(Slot),
    /// Answer a request.
    Answer(Ticket, Answer),
}

/// What a trainer is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The step's samples.
    Batch(Batch),
    /// The step's samples aren't all there; ask again with the same cursor.
    NotYet,
    /// The step is recorded as done.
    Noted,
    /// The request is refused.
    Refused(ErrorKind),
}
