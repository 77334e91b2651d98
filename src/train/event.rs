//! The events that a run handles, and the actions that it asks for.

use crate::{
    error::ErrorKind,
    train::{
        GenerationKey,
        row::{Batch, Head, Row, Slot, Span, Write},
    },
};

/// Identifies an open request of a caller at the process that holds the run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// An input of a [`Run`](crate::train::Run).
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The head row was read: its version and content, if it exists.
    Head(Option<(u64, Head)>),
    /// All other rows were read.
    Rows(Vec<Row>),
    /// The write took effect.
    Committed,
    /// The write failed on its condition, or a call of the table got no answer.
    /// The run reads the table again before it continues.
    CallFailed,
    /// An engine reported the progress of a generation.
    ///
    /// Positions count from the first token of the sample; the spans begin where the
    /// generation did. The spans must be those that the engine reported, never those
    /// that were ordered.
    Progress {
        /// The generation.
        generation: GenerationKey,
        /// The number of tokens of the sample so far.
        tokens: u32,
        /// The versions that generated them.
        spans: Vec<Span>,
    },
    /// The generation has finished; its last report came before.
    Finished(GenerationKey),
    /// The generation failed; the tokens reported before are kept.
    Failed(GenerationKey),
    /// The sample was stored in the object store and scored.
    Scored {
        /// The generation of the sample.
        generation: GenerationKey,
        /// The score. If it isn't finite, scoring is retried.
        score: f64,
    },
    /// The sample could not be stored or scored; this is retried.
    ScoreFailed(GenerationKey),
    /// The trainer requested the batch of a step.
    Pulled {
        /// The request.
        ticket: Ticket,
        /// The key that the trainer drew when it opened the run.
        owner: u64,
        /// The step, from 0.
        cursor: u64,
    },
    /// The trainer reported a step as done.
    Done {
        /// The request.
        ticket: Ticket,
        /// The key of the trainer.
        owner: u64,
        /// The step, from 0.
        cursor: u64,
        /// The trainer's weight version from now on.
        version: u64,
    },
    /// The number of generations that the run may have on the engines changed.
    LimitChanged(usize),
    /// Time has passed.
    Tick,
}

/// The text that a generation continues.
///
/// Another generation that failed or is slow has produced it. Its KV cache is reused
/// if its engine can still export it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Prefix {
    /// The generation that has the text.
    pub generation: GenerationKey,
    /// The number of tokens of the sample to continue from.
    pub tokens: u32,
}

/// An output of a [`Run`](crate::train::Run), for its holder to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the head row. Answered by [`Event::Head`] or [`Event::CallFailed`].
    ReadHead,
    /// Read all other rows, with all writes so far. Answered by [`Event::Rows`] or
    /// [`Event::CallFailed`].
    ReadRows,
    /// Commit a transaction. Answered by [`Event::Committed`] or [`Event::CallFailed`].
    Write(Box<Write>),
    /// Start a generation with the rollout class.
    Start {
        /// The key of the new generation.
        generation: GenerationKey,
        /// The slot of the sample.
        slot: Slot,
        /// Whether the generation goes before others of its class.
        urgent: bool,
        /// The text to continue, if any.
        prefix: Option<Prefix>,
        /// The oldest weight version that may generate the sample.
        min_version: u64,
    },
    /// Move a generation before others of its class.
    Prioritize(GenerationKey),
    /// Stop a generation and discard its output.
    Cancel(GenerationKey),
    /// Write a finished sample to the object store, then score it.
    Score {
        /// The generation of the sample.
        generation: GenerationKey,
        /// The slot of the sample.
        slot: Slot,
    },
    /// Discard the texts of a sample; no generation will continue them.
    DiscardTexts(Slot),
    /// Answer a request.
    Answer(Ticket, Answer),
}

/// The answer to a request of a trainer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The batch of the step.
    Batch(Batch),
    /// The batch isn't complete; retry with the same cursor.
    NotYet,
    /// The step is recorded as done.
    Recorded,
    /// The request is refused.
    Refused(ErrorKind),
}
