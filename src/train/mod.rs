//! Training runs: batches of recent samples, each delivered exactly once.
//!
//! A run is a leased duty ([`crate::lease`]). One process holds it under a fencing
//! number, passes events to a [`Run`] and carries out the resulting [`Action`]s. Another
//! process can take over from the rows in the platform's table.
//!
//! # Design
//!
//! * A batch is written to the table before it is delivered, and never changes. The same
//!   cursor returns the same batch from any holder.
//! * Each write is conditional on the version of the run's head row. A new holder writes
//!   its fencing token to the head before it reads the other rows, so it sees all that
//!   older holders recorded, and their next write fails.
//! * Samples are delivered in whole groups, one group per prompt. A group that is
//!   incomplete when its step closes is carried over, not dropped for its length. If the
//!   staleness bound rules that out, the step waits for the group.
//! * The versions of a sample are those that engines reported, span by span, also across
//!   engines.
//!
//! # Trade-offs
//!
//! * Delivery is recorded in the table, not only by the trainer's cursor. A trainer
//!   therefore waits through an outage of the table, but a lost holder costs no finished
//!   sample, and a repeated pull returns the same batch.
//! * One transaction per run is in flight at a time, with up to tens of changes, which is
//!   faster than engines produce samples.
//! * A batch is assembled when the step before is done, not ahead, since that step may
//!   raise the version. This costs each step the latency of one write.

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
    event::{Action, Answer, Event, Prefix, Ticket},
    journal::RETAINED_BATCHES,
    row::{Batch, Head, Record, Row, RowName, Slot, Span, Write},
    run::{Counts, Run},
    share::fair_shares,
    spec::Spec,
    weights::{FencedOrder, RolloutPlan, Weights},
};

slotmap::new_key_type! {
    /// The key of a generation in a [`Run`].
    pub struct GenerationKey;
}
