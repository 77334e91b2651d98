//! The growing text of an item, and the pieces of it that the store keeps.
//!
//! A text is the data of consecutive events. It may come from several runs, each of
//! which continues after the last event of the one before. Pieces are saved as the text
//! grows and give it back when they are joined.
//!
//! A write of pieces whose answer is lost may be executed late, after newer ones. So a
//! piece never changes: its tenure, round and events determine its content, and its row is
//! named by them. A save after a lost answer adds a longer piece beside the first.
//! Only pieces of one tenure and round belong to one text. A text that continues that of
//! a former owner names the tenure whose text it continues.

use serde::{Deserialize, Serialize};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
};

/// The text of an item as far as it has been generated.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Text {
    /// The number of the last event in `data`; `None` before the first.
    last: Option<u64>,
    /// The data of all events so far, joined by line feeds.
    data: String,
    /// The weight versions that generated them.
    versions: Vec<u64>,
    /// The last event that is saved in the store.
    saved: Option<u64>,
    /// The length of the saved data.
    saved_len: usize,
    /// The former tenure in which the saved data was written; `None` if that is this one.
    base: Option<Tenure>,
}

/// Identifies an uninterrupted period in which one process runs a batch.
///
/// It differs for each time that a process loads the batch, also with the same head row: a text
/// of an earlier load may have events that were never saved.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Tenure(u64);

impl Tenure {
    /// The tenure of pieces that earlier versions of this program saved without one.
    pub const UNKNOWN: Self = Self(0);

    /// Number of low bits that hold the number of the load.
    const LOAD_BITS: u32 = 16;

    /// Creates a tenure from the version of the head row with which the process became the owner
    /// and the number of loads of batches in the process, which is counted modulo 65,536.
    #[must_use]
    pub const fn new(version: u64, load: u64) -> Self {
        Self(version << Self::LOAD_BITS | load & ((1 << Self::LOAD_BITS) - 1))
    }

    /// Returns the tenure as a number.
    #[must_use]
    pub const fn to_bits(self) -> u64 {
        self.0
    }

    /// Creates a tenure from its number.
    #[must_use]
    pub const fn from_bits(bits: u64) -> Self {
        Self(bits)
    }
}

/// A part of an item's text, saved for the next owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Piece {
    /// Number of times the text was restarted before.
    pub round: u32,
    /// The tenure whose text this piece continues, if it is not the piece's own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Tenure>,
    /// The last event before this piece; `None` at the beginning.
    pub after: Option<u64>,
    /// The last event of this piece.
    pub last: u64,
    /// The weight versions of the text up to the end of this piece.
    pub versions: Vec<u64>,
    /// The data of its events, joined by line feeds.
    pub text: String,
}

/// A text that was joined from saved pieces.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SavedText {
    /// Number of times the text was restarted before.
    pub round: u32,
    /// The text.
    pub text: Text,
}

/// The saved pieces of one item.
#[derive(Clone, Debug, Default)]
pub struct SavedPieces {
    pieces: Vec<(Tenure, Piece)>,
}

/// The end of a part of a text: its tenure and its last event.
type TextEnd = (Tenure, u64);

impl SavedPieces {
    /// Creates an empty collection.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a piece that was saved in a tenure.
    ///
    /// Of pieces without a known tenure only those at the beginning of a text are used: nothing
    /// tells to which text the others belong.
    pub fn add(&mut self, tenure: Tenure, piece: Piece) {
        let is_known = tenure != Tenure::UNKNOWN || piece.after.is_none();
        if is_known && piece.after < Some(piece.last) {
            self.pieces.push((tenure, piece));
        }
    }

    /// Returns the longest text of each tenure in the last round, the longest first.
    #[must_use]
    pub fn texts(&self) -> Vec<SavedText> {
        let Some(round) = self.pieces.iter().map(|(_, piece)| piece.round).max() else {
            return Vec::new();
        };
        let joined = self.join(round);
        let mut ends: BTreeMap<Tenure, u64> = BTreeMap::new();
        for (tenure, last) in joined.keys() {
            let end = ends.entry(*tenure).or_default();
            *end = (*end).max(*last);
        }
        let texts = ends.into_iter().map(|end| SavedText {
            round,
            text: Text::from_pieces(end.0, &pieces_up_to(&joined, end)),
        });
        let mut texts: Vec<SavedText> = texts.collect();
        texts.sort_by_key(|saved| Reverse(saved.text.last));
        texts
    }

    /// Returns the last piece of each part of a text that can be joined from its first event on.
    fn join(&self, round: u32) -> HashMap<TextEnd, &Piece> {
        let pieces = self.pieces.iter().filter(|(_, piece)| piece.round == round);
        let mut pieces: Vec<&(Tenure, Piece)> = pieces.collect();
        // The pieces that a piece may continue begin before it.
        pieces.sort_by_key(|(_, piece)| piece.after);
        let mut joined = HashMap::new();
        for (tenure, piece) in pieces {
            let continued = piece.continued(*tenure);
            if continued.is_none_or(|end| joined.contains_key(&end)) {
                joined.entry((*tenure, piece.last)).or_insert(piece);
            }
        }
        joined
    }
}

/// Returns the pieces of a text from its first event up to `end`.
fn pieces_up_to<'a>(joined: &HashMap<TextEnd, &'a Piece>, end: TextEnd) -> Vec<&'a Piece> {
    let mut pieces = Vec::new();
    let mut next = Some(end);
    while let Some((end, piece)) = next.and_then(|end| Some((end, joined.get(&end)?))) {
        pieces.push(*piece);
        next = piece.continued(end.0);
    }
    pieces.reverse();
    pieces
}

impl Piece {
    /// Returns the end of the text that this piece of a tenure continues; `None` at the beginning.
    fn continued(&self, tenure: Tenure) -> Option<TextEnd> {
        let after = self.after?;
        Some((self.base.unwrap_or(tenure), after))
    }
}

impl Text {
    /// Returns the number of the last event.
    #[must_use]
    pub const fn last_event(&self) -> Option<u64> {
        self.last
    }

    /// Returns the weight versions that generated the text, in the order of their events.
    #[must_use]
    pub fn versions(&self) -> &[u64] {
        &self.versions
    }

    /// Returns the data and the versions.
    #[must_use]
    pub fn into_parts(self) -> (String, Vec<u64>) {
        (self.data, self.versions)
    }

    /// Appends an event that `version` generated; returns `false` if it doesn't follow
    /// the last one.
    pub fn append_event(&mut self, number: u64, data: &str, version: Option<u64>) -> bool {
        if self.last.is_some_and(|last| number != last + 1) {
            return false;
        }
        self.append_data(data);
        self.last = Some(number);
        if let Some(version) = version
            && !self.versions.contains(&version)
        {
            self.versions.push(version);
        }
        true
    }

    /// Joins the pieces of a text that a former owner saved in a tenure.
    fn from_pieces(tenure: Tenure, pieces: &[&Piece]) -> Self {
        let mut text = Self::default();
        for piece in pieces {
            text.append_data(&piece.text);
            text.last = Some(piece.last);
            text.versions.clone_from(&piece.versions);
        }
        text.saved = text.last;
        text.saved_len = text.data.len();
        text.base = Some(tenure);
        text
    }

    fn append_data(&mut self, data: &str) {
        if self.last.is_some() {
            self.data.push('\n');
        }
        self.data.push_str(data);
    }

    /// Returns the part that is not saved yet, if there is one.
    #[must_use]
    pub fn unsaved_piece(&self, round: u32) -> Option<Piece> {
        let last = self.last.filter(|last| Some(*last) != self.saved)?;
        // Skips the line feed after the saved data: `append` restores it.
        let start = self.saved_len + usize::from(self.saved.is_some());
        Some(Piece {
            round,
            base: self.base,
            after: self.saved,
            last,
            versions: self.versions.clone(),
            text: self.data[start..].to_owned(),
        })
    }

    /// Records that a piece is saved.
    pub fn mark_saved(&mut self, piece: &Piece) {
        if self.saved == piece.after {
            self.saved_len += usize::from(self.saved.is_some()) + piece.text.len();
            self.saved = Some(piece.last);
            self.base = None;
        }
    }

    /// Marks the whole text as not saved, because its saved pieces belong to another
    /// batch.
    pub fn clear_saved(&mut self) {
        self.saved = None;
        self.saved_len = 0;
        self.base = None;
    }

    /// Returns whether no part was generated by a version older than `floor` and, with
    /// `single`, at most one version generated the text.
    #[must_use]
    pub fn is_usable(&self, floor: u64, single: bool) -> bool {
        let outdated = self.versions.iter().any(|version| *version < floor);
        let mixed = single && self.versions.len() > 1;
        !outdated && !mixed
    }
}
