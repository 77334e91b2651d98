//! What a trainer submits and what it gets back.

use std::collections::BTreeMap;

/// The request that scores an item's text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Scorer {
    /// The id of the request.
    pub id: String,
    /// The host that its route is found by.
    pub host: String,
    /// Its path.
    pub path: String,
    /// Its body.
    pub body: Vec<u8>,
}

/// One generation of a batch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// The id of the request.
    pub id: String,
    /// Its path.
    pub path: String,
    /// Its headers.
    pub headers: BTreeMap<String, String>,
    /// Its body.
    pub body: Vec<u8>,
    /// Tokens of its prompt and at most of its output.
    pub tokens: u32,
    /// The trainer's estimate of its output tokens.
    pub hint: Option<u32>,
    /// The group that it belongs to.
    pub group: String,
    /// The request that scores its text.
    pub scorer: Option<Scorer>,
}

/// One step of a trainer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Submission {
    /// The trainer's step.
    pub step: Option<u64>,
    /// The model that generates.
    pub model: Option<String>,
    /// The oldest weight version that may generate.
    pub floor: u64,
    /// Whole groups that the trainer waits for.
    pub target: Option<usize>,
    /// The generations.
    pub items: Vec<Item>,
}

/// How an item ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Its text is whole and scored.
    Completed {
        /// The data of all its events, joined by line feeds.
        text: String,
        /// All weight versions that made an event of it.
        versions: Vec<u64>,
        /// The scorer's signature.
        score: Option<String>,
    },
    /// It can't be done.
    Errored,
}

/// The result of an item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemResult {
    /// The item.
    pub item: String,
    /// How it ended.
    pub outcome: Outcome,
}

/// An order to load weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The engine that is meant.
    pub endpoint: String,
    /// The model.
    pub model: String,
    /// The version to load.
    pub version: u64,
    /// Who orders.
    pub holder: String,
    /// The fencing number of the lease it is given under.
    pub fence: u64,
    /// How many orders the engine must have accepted before.
    pub expected: u64,
}

/// What an engine says to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// It is being carried out.
    Accepted,
    /// The engine already runs that version.
    Holds,
    /// Another order is in progress, or others were accepted meanwhile.
    Busy,
    /// A newer holder gave orders.
    Fenced,
    /// Another endpoint has the address.
    Gone,
    /// The order can't be carried out.
    Refused,
    /// No answer: it may be carried out, even seconds later.
    Unknown,
}
