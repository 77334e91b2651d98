//! What the store keeps of batches.
//!
//! | table | part | key | holds | written under the condition |
//! |---|---|---|---|---|
//! | `batches` | bucket | batch | [`Head`] | absent at acceptance; else its version |
//! | `results` | bucket | batch/position | one result | absent, and the head's version |
//! | `pieces` | bucket | batch/item/round/event | a part of a text, [`Piece`] | the head's version |
//! | `pieces` | bucket | batch/item/draft-tenure/round/event | a part of a draft | the head's version |
//! | `paces` | | service | how fast its engines are, [`Paces`] | its version |
//! | `entries` | | process | [`Presence`] | none: only the process writes it |
//!
//! [`Paces`]: crate::rollout::pace::Paces
//! [`Piece`]: crate::rollout::text::Piece
//!
//! The submission itself is an object named after the batch. The bucket is a
//! hash of the batch: a part of the store takes a few hundred transactions a
//! second one after another, and all rows of a batch must share one.
//!
//! Positions are decided by the row's absence: two writers of one position, or
//! one whose first write comes late, can't both succeed. The head's version
//! fences off a former owner, and its `ended` flag ends the listing.

use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

use crate::{rollout::text::Piece, table::RowId, usage::Offset};

/// Heads of batches.
pub const BATCHES: &str = "batches";
/// Results by batch and position.
pub const RESULTS: &str = "results";
/// Parts of unfinished texts by batch and item.
pub const PIECES: &str = "pieces";
/// Processes that own batches.
pub const ENTRIES: &str = "entries";

/// How fast the engines of each service are.
pub const PACES: &str = "paces";

/// Parts over which batches are spread. Sixteen parts of 300 transactions a
/// second each are above what the whole store takes.
const BUCKETS: u64 = 16;

/// What stands behind the item in the keys of its draft.
const DRAFT: &str = "/draft-";

/// What every entry knows of a batch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The host that its route is found by.
    pub host: String,
    /// The path that it was submitted to.
    pub path: String,
    /// The store's steady clock when it was accepted, in milliseconds.
    pub accepted: u64,
    /// The store's steady clock when nothing of it runs any more.
    pub until: u64,
    /// The life of the process that runs it, behind the process's name.
    pub owner: String,
    /// How many items it has.
    pub total: usize,
    /// Whether its trainer has ended it.
    pub ended: bool,
    /// The account that it is for; none where callers show no keys.
    #[serde(default)]
    pub account: Option<String>,
    /// The model that generates.
    pub model: Option<String>,
    /// By how many versions its floor was behind the newest named one.
    pub lag: u64,
    /// Tokens of all its items.
    pub work: u64,
    /// The rank of its route; 0 is the highest.
    pub priority: u8,
    /// Hashes of its groups: one that was in an earlier batch is carried over.
    pub groups: Vec<u32>,
    /// How many groups at its beginning are carried over.
    pub carried: usize,
}

impl Head {
    /// Encodes the head.
    ///
    /// # Panics
    ///
    /// Never: texts and numbers always become JSON.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("texts and numbers become JSON")
    }

    /// Decodes a head; `None` if it isn't one.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// Says whether a caller of an account may know of it. A batch of no account is of
    /// a public route, or of a deployment whose callers show no keys.
    #[must_use]
    pub fn is_of(&self, account: Option<&str>) -> bool {
        self.account.is_none() || self.account.as_deref() == account
    }

    /// Says whether groups and texts of another batch may come again in this one: both
    /// are for one account and one model. Ids of items and groups are callers' own, and
    /// one that guesses another's must not get its texts.
    #[must_use]
    pub fn is_kin(&self, other: &Self) -> bool {
        self.account == other.account && self.model == other.model
    }

    /// Returns how long ago it was accepted by the store's clock.
    #[must_use]
    pub fn age(&self, store: Duration) -> Duration {
        store.saturating_sub(Duration::from_millis(self.accepted))
    }
}

/// That a process lives; each write changes the row's version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Presence {
    /// The life of the process.
    pub life: String,
    /// Where it carries calls of others to the store, if it does.
    #[serde(default)]
    pub peer: Option<SocketAddr>,
    /// The store's steady clock when it was written, in milliseconds.
    #[serde(default)]
    pub renewed: u64,
    /// Megabytes that the process may use.
    #[serde(default)]
    pub memory: u32,
    /// How far its host's time of day is from the store's clock.
    #[serde(default)]
    pub offset: Option<Offset>,
}

/// Returns the part of the store that holds a batch.
#[must_use]
pub fn bucket(batch: &str) -> String {
    format!("{:x}", xxh3_64(batch.as_bytes()) % BUCKETS)
}

/// Returns all parts that hold batches.
pub fn buckets() -> impl Iterator<Item = String> {
    (0..BUCKETS).map(|n| format!("{n:x}"))
}

/// Returns the hash of a group's name, as heads hold it. Two groups that share
/// one by chance make a group start earlier than it has to.
#[must_use]
pub fn group_hash(group: &str) -> u32 {
    let [a, b, c, d, ..] = xxh3_64(group.as_bytes()).to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}

/// Names the head of a batch.
#[must_use]
pub fn head(batch: &str) -> RowId {
    RowId::new(BATCHES, &bucket(batch), batch)
}

/// Names the result at a position of a batch.
#[must_use]
pub fn result(batch: &str, position: usize) -> RowId {
    RowId::new(RESULTS, &bucket(batch), &result_key(batch, position))
}

/// Returns the key of the result at a position; keys sort by position.
#[must_use]
pub fn result_key(batch: &str, position: usize) -> String {
    format!("{batch}/{position:06}")
}

/// Names the row of a part of an item's text.
///
/// Keys sort by item and, within an item, in the order in which it grew.
#[must_use]
pub fn piece(batch: &str, item: &str, piece: &Piece) -> RowId {
    let from = piece.after.map_or(0, |after| after + 1);
    let key = format!("{batch}/{item}/{:04}/{from:08}", piece.round);
    RowId::new(PIECES, &bucket(batch), &key)
}

/// Names the row of a part of a draft, which is a second text of an item.
///
/// `tenure` is the version of the head from which on its owner has the batch. An
/// owner that takes a batch over drafts anew, and parts of its draft must not join
/// with those of the owner before: they are of two runs, of which the second knows
/// nothing of the first, even where one ends at the event that the other goes on at.
#[must_use]
pub fn draft(batch: &str, item: &str, tenure: u64, part: &Piece) -> RowId {
    let item = format!("{item}{DRAFT}{tenure:016x}");
    piece(batch, &item, part)
}

/// Returns the item that the key of a part of a text names, and the tenure in which
/// it was drafted; that is empty for the item's own text.
#[must_use]
pub fn piece_item<'a>(batch: &str, key: &'a str) -> Option<(&'a str, &'a str)> {
    let rest = key.strip_prefix(batch)?.strip_prefix('/')?;
    let item = rest.rsplitn(3, '/').nth(2)?;
    Some(item.split_once(DRAFT).unwrap_or((item, "")))
}

/// Names the row of a process.
#[must_use]
pub fn entry(name: &str) -> RowId {
    RowId::new(ENTRIES, "", name)
}

/// Names the row of the paces of a service's engines.
#[must_use]
pub fn paces(service: &str) -> RowId {
    RowId::new(PACES, "", service)
}

/// Names the object that holds a batch's submission.
#[must_use]
pub fn object(batch: &str) -> String {
    format!("batch-{batch}")
}
