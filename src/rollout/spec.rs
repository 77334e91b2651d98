//! What a trainer submits and what it gets back.

use std::collections::BTreeMap;

/// The request that scores an item's text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Scorer {
    /// The ID of the request.
    pub id: String,
    /// The host that its route is looked up by.
    pub host: String,
    /// The path of the request.
    pub path: String,
    /// The body of the request.
    pub body: Vec<u8>,
}

/// One generation of a batch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// The ID of the request.
    pub id: String,
    /// The path of the request.
    pub path: String,
    /// The headers of the request.
    pub headers: BTreeMap<String, String>,
    /// The body of the request.
    pub body: Vec<u8>,
    /// Tokens of its prompt plus the maximum of its output.
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
    /// The trainer's step number.
    pub step: Option<u64>,
    /// The model that generates.
    pub model: Option<String>,
    /// The oldest weight version that may generate.
    pub min_version: u64,
    /// Number of complete groups that the trainer waits for.
    pub target: Option<usize>,
    /// The generations.
    pub items: Vec<Item>,
}

/// How an item ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Its text is complete and scored.
    Completed {
        /// The data of all its events, joined by line feeds.
        text: String,
        /// All weight versions that generated an event of it.
        versions: Vec<u64>,
        /// The scorer's signature.
        score: Option<String>,
    },
    /// It failed for good.
    Errored,
}

/// The result of an item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemResult {
    /// The ID of the item.
    pub item: String,
    /// How it ended.
    pub outcome: Outcome,
}

/// An order to load weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadOrder {
    /// The engine that the order is for.
    pub endpoint: String,
    /// The model.
    pub model: String,
    /// The version to load.
    pub version: u64,
    /// The holder that gives the order.
    pub holder: String,
    /// The fencing token of the holder's lease.
    pub fencing_token: u64,
    /// Number of orders that the engine must have accepted before.
    pub expected_orders: u64,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The load is in progress.
    Accepted,
    /// The engine already runs that version.
    Holds,
    /// Another order is in progress, or others were accepted since.
    Busy,
    /// A newer holder has given orders.
    Fenced,
    /// Another endpoint has the address now.
    Gone,
    /// The order can't be carried out.
    Refused,
    /// No answer arrived; the order may still be carried out seconds later.
    Unknown,
}
