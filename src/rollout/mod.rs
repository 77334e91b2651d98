//! Batches of generations for trainers, and the weights they run on.
//!
//! A trainer submits a step as one batch: groups of items that share a prompt.
//! It waits for a number of whole groups, trains, and names the next weight
//! version. What decides here does no input or output:
//!
//! * [`choice`]: which process runs a new batch.
//! * [`batch`]: which item of a batch starts next and what is listed when.
//! * [`engines`]: which engine an item goes to.
//! * [`wave`]: which engine loads which weights next.
//! * [`pace`]: how fast engines are, as owners tell each other.
//! * [`presence`]: whether the owner of a batch still lives.
//! * [`turns`]: which engines were ordered lately, when the duty changes hands.
//! * [`urgency`]: which items engines are to admit first.
//! * [`waits`]: what items wait for before they run.
//! * [`text`]: an item's text as it grows, and the parts of it that are kept.
//! * [`row`]: what the store keeps of a batch, and under which conditions.
//!
//! # Design
//!
//! One process runs a batch: as a rule the one that runs all of them, else the one
//! that accepted it. The store holds who that is, and each result is written under
//! the condition that it still is; so
//! there may be two that believe it at the worst, of which one can list
//! nothing. Items may run more than once, which makes a takeover on a mere
//! suspicion safe: it costs work, never a wrong result. That is why liveness
//! needs no agreement, only a row that the owner renews.

pub mod batch;
pub mod choice;
pub mod engines;
mod order;
pub mod pace;
pub mod presence;
pub mod row;
mod spec;
pub mod text;
mod tier;
pub mod turns;
pub mod urgency;
pub mod waits;
pub mod wave;

pub use self::spec::{Item, ItemResult, Order, OrderAnswer, Outcome, Scorer, Submission};
