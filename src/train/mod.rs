//! The steps of a trainer: fresh samples, each delivered exactly once.
//!
//! A run is a leased duty ([`crate::lease`]): one process holds it under a
//! fencing number, feeds events into a [`Run`] and carries out the [`Step`]s
//! that come out. Another takes over from the rows in the platform's table.
//!
//! # Design
//!
//! * A step's batch is fixed once, written, and only then handed out. The same
//!   cursor gives the same batch, whoever answers: a fixed batch never changes.
//! * Every write of a holder carries the run's head row and holds only if the
//!   head is as the holder last saw it. A new holder first writes its own
//!   number there and then reads the rows, so nothing that an older one
//!   recorded is overlooked, and the older one's next write fails.
//! * A group is named by its prompt's number and delivered whole. A group that
//!   isn't whole when its step closes is carried over to the next; it is never
//!   dropped for being long. When it can't be carried over any more, the step
//!   waits for it.
//! * What generated a sample is what the engine reported, span by span, across
//!   prefixes that moved from engine to engine.
//!
//! # Trade-offs
//!
//! * The record of delivery is a ledger in the table, not the trainer's cursor
//!   alone. With the cursor alone, steps would go on while the table is down;
//!   but a holder's loss would take every finished sample with it, and a pull
//!   repeated at the next holder would get another batch. With the ledger a
//!   trainer waits out the table's outage after the batch that it has; a minute
//!   of outage costs it most of a minute, but loses nothing.
//! * One transaction at a time for each run. At a few milliseconds each, with
//!   tens of changes gathered, that is far above the samples that engines make.
//! * A batch is fixed when the step before is done, not ahead of it, since the
//!   version may rise with that step. It costs one write of waiting a step.

mod deliver;
mod event;
mod generate;
mod journal;
mod pace;
mod row;
mod run;
mod sample;
mod share;
mod spec;
mod straggle;
mod weights;

pub use self::{
    event::{Answer, Event, Prefix, Step, Ticket},
    journal::RETAINED_BATCHES,
    row::{Batch, Head, Record, Row, RowName, Slot, Span, Write},
    run::{Counts, Run},
    share::shares,
    spec::Spec,
    weights::{FencedOrder, RolloutPlan, Weights},
};

slotmap::new_key_type! {
    /// Names a generation in a [`Run`].
    pub struct GenKey;
}
