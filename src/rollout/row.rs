//! The rows of batches in the store.
//!
//! | table | part | key | value | condition of a write |
//! |---|---|---|---|---|
//! | `batches` | bucket | batch | [`Head`] | absent at acceptance, later its version |
//! | `submissions` | bucket | batch/number | a part of the submission | with the head |
//! | `results` | bucket | batch/position | one result | absent, and the head's version |
//! | `pieces` | bucket | batch/item/text-tenure/round/events | [`Piece`] of a text | the head's version |
//! | `pieces` | bucket | batch/item/draft-tenure/round/events | [`Piece`] of a draft | the head's version |
//! | `paces` | | service | [`Paces`] of its engines | its version |
//! | `entries` | | process | [`OwnerRow`], the heartbeat of a process that owns something | none: only the process writes it |
//! | `members` | member part | process | [`Presence`] of every process | none: only the process writes it |
//!
//! [`Paces`]: crate::rollout::pace::Paces
//! [`Piece`]: crate::rollout::text::Piece
//!
//! A submission that is too long for the transaction of its head is an object named after the
//! batch. The bucket is a hash of the batch ID: all rows of a batch must share a part of the
//! store, and a part takes only a few hundred transactions per second. For the same reason the
//! rows of all processes are kept apart from the heartbeats of the few that own something: after
//! a common start, the former take seconds to write, and every poll reads all of the latter.
//!
//! A result is written only if its position has no row, so of two writes to one position
//! only the first succeeds. The head's version fences off a former owner, and its `ended`
//! flag ends the listing.

use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    rollout::text::{Piece, Tenure},
    table::RowId,
    usage::Offset,
};

/// The table of the heads of batches.
pub const BATCHES: &str = "batches";
/// The table of submissions that are small enough for rows, by batch.
pub const SUBMISSIONS: &str = "submissions";
/// The table of results, by batch and position.
pub const RESULTS: &str = "results";
/// The table of pieces of unfinished texts, by batch and item.
pub const PIECES: &str = "pieces";
/// The table of the heartbeats of processes that own batches or a duty.
pub const ENTRIES: &str = "entries";
/// The part of heartbeats, which the duties and paces share.
pub const HEARTBEAT_PART: &str = "";
/// The table of all processes.
pub const MEMBERS: &str = "members";
/// The table of the paces of engines, by service.
pub const PACES: &str = "paces";

/// The newest form of rows that this version reads. From form 1 on, counts of usage are in parts
/// of their own, and small submissions are rows.
pub const ROW_FORM: u32 = 1;

/// Number of buckets over which batches are spread. So many parts take more transactions
/// than the whole store does.
const BUCKET_COUNT: u64 = 16;

/// Number of parts over which the rows of all processes are spread.
pub const MEMBER_PARTS: u64 = 4;

/// Separates the item from the tenure in the keys of texts.
const TEXT_SEPARATOR: &str = "/text-";
/// Separates the item from the tenure in the keys of drafts.
const DRAFT_SEPARATOR: &str = "/draft-";

/// The state of a batch that every process knows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The host that its route is looked up by.
    pub host: String,
    /// The path that it was submitted to.
    pub path: String,
    /// The store's steady clock when it was accepted, in milliseconds.
    pub accepted: u64,
    /// The store's steady clock at which its items stop running, in milliseconds.
    #[serde(rename = "until")]
    pub runs_until: u64,
    /// The process that runs it: the name and the incarnation, separated by a slash.
    pub owner: String,
    /// Number of items.
    pub total: usize,
    /// Whether the trainer has ended it.
    pub ended: bool,
    /// The client account that it is for; `None` where callers use no keys.
    #[serde(default)]
    pub account: Option<String>,
    /// The model that generates.
    pub model: Option<String>,
    /// Number of versions between its oldest allowed one and the newest at submission.
    pub lag: u64,
    /// Total tokens of its items.
    pub work: u64,
    /// The rank of its route, 0 being the highest.
    pub priority: u8,
    /// Hashes of its groups; a group that an earlier batch had is carried over.
    pub groups: Vec<u32>,
    /// Number of groups at the beginning that are carried over.
    pub carried: usize,
    /// The regions in which it may be run and held; `None` for all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub regions: Option<Vec<String>>,
    /// The region of the process that accepted it, if its regions are limited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<String>,
}

impl Head {
    /// Encodes the head.
    ///
    /// # Panics
    ///
    /// Never: strings and numbers can always be encoded as JSON.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("strings and numbers can be encoded as JSON")
    }

    /// Decodes a head; returns `None` if `value` is not a valid one.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// Returns whether a caller with this client account may access the batch. A batch
    /// without an account is on a public route or in a deployment without keys.
    #[must_use]
    pub fn is_accessible_to(&self, account: Option<&str>) -> bool {
        self.account.is_none() || self.account.as_deref() == account
    }

    /// Returns whether groups and texts of another batch may be carried over to this one:
    /// both have the same client account and model, and are limited to the same regions. Callers
    /// choose the IDs of items and groups, and guessing another caller's ID must not give access
    /// to its texts.
    #[must_use]
    pub fn shares_texts_with(&self, other: &Self) -> bool {
        let has_same_regions = self.regions == other.regions;
        self.account == other.account && self.model == other.model && has_same_regions
    }

    /// Returns whether a process in `region` may own the batch and hold its data ([`may_hold`]).
    #[must_use]
    pub fn may_be_held_in(&self, region: Option<&str>) -> bool {
        may_hold(self.regions.as_deref(), self.origin.as_deref(), region)
    }

    /// Returns the time since its acceptance, at the store's time `store`.
    #[must_use]
    pub fn age(&self, store: Duration) -> Duration {
        store.saturating_sub(Duration::from_millis(self.accepted))
    }
}

/// Returns whether a process in `region` may hold the data of a batch with these allowed regions
/// that was accepted in the region `origin`.
///
/// It may in an allowed region, and in that of the acceptance, where the data has been anyway. A
/// process whose region isn't known may only hold batches that are not limited.
#[must_use]
pub fn may_hold(allowed: Option<&[String]>, origin: Option<&str>, region: Option<&str>) -> bool {
    let Some(allowed) = allowed else {
        return true;
    };
    region.is_some_and(|region| origin == Some(region) || allowed.iter().any(|it| it == region))
}

/// The row of a process; each write changes the row's version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Presence {
    /// The incarnation of the process.
    #[serde(rename = "life")]
    pub incarnation: String,
    /// The address at which it relays other processes' calls to the store, if it does.
    #[serde(default)]
    pub peer: Option<SocketAddr>,
    /// The store's steady clock when it was written, in milliseconds.
    #[serde(default)]
    pub renewed: u64,
    /// Megabytes that the process may use.
    #[serde(default)]
    pub memory: u32,
    /// The difference between its host's time of day and the store's clock.
    #[serde(default)]
    pub offset: Option<Offset>,
    /// The region of the process; absent in rows of earlier versions.
    #[serde(default)]
    pub region: Option<String>,
    /// The newest form of rows that it reads, up to [`ROW_FORM`]. A newer form is written only
    /// once all processes read it.
    #[serde(default)]
    pub row_form: u32,
    /// The pause until its next heartbeat, in milliseconds.
    #[serde(default)]
    pub pause: u64,
}

/// The heartbeat row of a process that owns something.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerRow {
    /// The process.
    #[serde(flatten)]
    pub presence: Presence,
    /// The batches that it owns, as far as it knows itself.
    #[serde(default)]
    pub load: OwnerLoad,
}

/// The batches that one process owns.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerLoad {
    /// Number of items in its open batches.
    pub open_items: usize,
    /// When its last batch was accepted, by the store's steady clock in milliseconds; 0 if it
    /// owns none.
    pub last_batch: u64,
}

/// Returns the bucket of a batch, which names a part of the store.
#[must_use]
pub fn bucket(batch: &str) -> String {
    format!("{:x}", xxh3_64(batch.as_bytes()) % BUCKET_COUNT)
}

/// Returns all buckets.
pub fn buckets() -> impl Iterator<Item = String> {
    (0..BUCKET_COUNT).map(|bucket| format!("{bucket:x}"))
}

/// Returns the hash of a group's name that heads contain. A collision only makes a group
/// start earlier than necessary.
#[must_use]
pub fn group_hash(group: &str) -> u32 {
    let [a, b, c, d, ..] = xxh3_64(group.as_bytes()).to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}

/// Returns the ID of the head row of a batch.
#[must_use]
pub fn head(batch: &str) -> RowId {
    RowId::new(BATCHES, &bucket(batch), batch)
}

/// Returns the ID of a row of a batch's submission; the rows sort by number.
#[must_use]
pub fn submission(batch: &str, number: usize) -> RowId {
    RowId::new(SUBMISSIONS, &bucket(batch), &format!("{batch}/{number:04}"))
}

/// Returns the ID of the result row at a position of a batch.
#[must_use]
pub fn result(batch: &str, position: usize) -> RowId {
    RowId::new(RESULTS, &bucket(batch), &result_key(batch, position))
}

/// Returns the key of the result at a position; keys sort by position.
#[must_use]
pub fn result_key(batch: &str, position: usize) -> String {
    format!("{batch}/{position:06}")
}

/// Returns the ID of the row of a piece of an item's text that was saved in `tenure`.
///
/// The key determines the content, so a write that is executed late changes no newer row. Keys
/// sort by item, and those of a tenure by round and first event.
#[must_use]
pub fn piece(batch: &str, item: &str, tenure: Tenure, piece: &Piece) -> RowId {
    piece_of(batch, item, TEXT_SEPARATOR, tenure, piece)
}

/// Returns the ID of the row of a piece of a draft, a second text of an item.
#[must_use]
pub fn draft_piece(batch: &str, item: &str, tenure: Tenure, draft_piece: &Piece) -> RowId {
    piece_of(batch, item, DRAFT_SEPARATOR, tenure, draft_piece)
}

fn piece_of(batch: &str, item: &str, separator: &str, tenure: Tenure, piece: &Piece) -> RowId {
    let Piece { round, last, .. } = piece;
    let first = piece.after.map_or(0, |after| after + 1);
    let tenure = tenure.to_bits();
    let key = format!("{batch}/{item}{separator}{tenure:x}/{round:04}/{first:08}-{last:08}");
    RowId::new(PIECES, &bucket(batch), &key)
}

/// The parts of the key of a piece.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PieceKey<'a> {
    /// The item.
    pub item: &'a str,
    /// The tenure in which the piece was saved; [`Tenure::UNKNOWN`] in rows of earlier versions.
    pub tenure: Tenure,
    /// Whether the piece belongs to a draft.
    pub is_draft: bool,
}

impl<'a> PieceKey<'a> {
    /// Parses the key of a piece; returns `None` if it is not one of `batch`.
    ///
    /// In rows of earlier versions the last part has no end, and only drafts have a tenure.
    #[must_use]
    pub fn parse(batch: &str, key: &'a str) -> Option<Self> {
        let rest = key.strip_prefix(batch)?.strip_prefix('/')?;
        let mut parts = rest.rsplitn(3, '/');
        let has_end = parts.next()?.contains('-');
        let text = parts.nth(1)?;
        let (item, tenure, is_draft) = match text.rsplit_once(DRAFT_SEPARATOR) {
            Some((item, tenure)) => (item, tenure, true),
            None if has_end => {
                let (item, tenure) = text.rsplit_once(TEXT_SEPARATOR)?;
                (item, tenure, false)
            }
            None => (text, "", false),
        };
        let tenure = match tenure {
            "" => Tenure::UNKNOWN,
            digits => Tenure::from_bits(u64::from_str_radix(digits, 16).ok()?),
        };
        Some(Self {
            item,
            tenure,
            is_draft,
        })
    }
}

/// Returns the ID of the heartbeat row of a process.
#[must_use]
pub fn heartbeat(name: &str) -> RowId {
    RowId::new(ENTRIES, HEARTBEAT_PART, name)
}

/// Returns the ID of the row of a process among all processes.
#[must_use]
pub fn member(name: &str) -> RowId {
    let part = xxh3_64(name.as_bytes()) % MEMBER_PARTS;
    RowId::new(MEMBERS, &part.to_string(), name)
}

/// Returns the ID of the row with the paces of a service's engines.
#[must_use]
pub fn paces(service: &str) -> RowId {
    RowId::new(PACES, HEARTBEAT_PART, service)
}

/// Returns the name of the object that holds a batch's submission.
#[must_use]
pub fn submission_object(batch: &str) -> String {
    format!("batch-{batch}")
}
