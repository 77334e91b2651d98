//! Batches of generations for trainers, and the weights that they run on.
//!
//! A trainer submits a step as one batch of items, grouped by prompt. It waits for a
//! number of complete groups, trains, and announces the next weight version. The modules
//! here make the decisions and do no input or output:
//!
//! * [`choice`]: chooses the process that runs a new batch.
//! * [`batch`]: the state of a batch: which item starts next and which results are listed.
//! * [`engines`]: chooses the engine for an item.
//! * [`fit`]: fits items to engines of unequal speed.
//! * [`item_kind`]: tells items apart by what they need of an engine.
//! * [`load_plan`]: plans which engine loads which weights next.
//! * [`loading`]: where a load of weights is assumed to be under way.
//! * [`pace`]: the speed of engines, as owners share it.
//! * [`presence`]: detects whether the owner of a batch is alive.
//! * [`shares`]: shares slots between the open steps of one owner.
//! * [`steady_pace`]: the pace of an engine without the changes of a moment.
//! * [`order_records`]: records the last order to each engine, for when the duty changes hands.
//! * [`urgency`]: the priority of an item at its engine.
//! * [`waits`]: accounts for the time that items wait before they run.
//! * [`text`]: the growing text of an item, and the pieces of it that are saved.
//! * [`row`]: the rows of a batch in the store, and the conditions of their writes.
//!
//! # Design
//!
//! Each batch has one owner: usually the process that owns all batches, otherwise the
//! one that accepted it. The store records the owner, and each result is written on the
//! condition that the owner is unchanged. Two processes may both believe that they own a
//! batch, but only one of them can list results. Items may run more than once, so a
//! takeover on mere suspicion costs work but never gives a wrong result. Liveness
//! therefore needs no consensus, only a row that the owner renews.

pub mod batch;
pub mod choice;
pub mod engines;
pub mod fit;
pub mod item_kind;
mod load_goal;
pub mod load_plan;
pub mod loading;
mod model_shares;
pub mod order_records;
pub mod pace;
pub mod presence;
pub mod row;
pub mod shares;
mod spec;
mod start_order;
pub mod steady_pace;
pub mod text;
mod tier;
pub mod urgency;
pub mod waits;

pub use self::spec::{Item, ItemResult, LoadOrder, OrderAnswer, Outcome, Scorer, Submission};
