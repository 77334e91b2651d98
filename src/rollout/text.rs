//! The text of an item as it grows, and the parts of it that a store keeps.
//!
//! A text is the data of events in order. Several runs may make it, each of which
//! goes on behind the last event of the one before. Parts are kept as they grow;
//! put together in their order they give the text back, and a part that doesn't
//! follow the one before is left out, since it belongs to another run.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What of an item's text is there.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Text {
    /// The number of the last event in `data`; `None` before the first.
    last: Option<u64>,
    /// The data of all events so far, joined by line feeds.
    data: String,
    /// The weight versions that made them.
    versions: Vec<u64>,
    /// The last event that is kept in the store, and the length of its text.
    kept: Option<u64>,
    kept_bytes: usize,
}

/// A part of an item's text, as it is kept for a next owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Piece {
    /// How often the text began anew before.
    pub round: u32,
    /// The last event before it; `None` at the beginning.
    pub after: Option<u64>,
    /// Its last event.
    pub last: u64,
    /// The weight versions of the text up to here.
    pub versions: Vec<u64>,
    /// The data of its events, joined by line feeds.
    pub text: String,
}

/// Puts kept parts together to texts, one for each tag; they come in the order of
/// their rows. A part that doesn't follow the one before belongs to another run.
#[must_use]
pub fn assemble<'a>(parts: impl IntoIterator<Item = (&'a str, Piece)>) -> Vec<Text> {
    let mut texts: BTreeMap<&str, (u32, Text)> = BTreeMap::new();
    for (tag, piece) in parts {
        let (round, text) = texts.entry(tag).or_default();
        if piece.round > *round {
            *round = piece.round;
            *text = Text::default();
        }
        if piece.round == *round {
            text.add(piece);
        }
    }
    texts.into_values().map(|(_, text)| text).collect()
}

impl Text {
    /// Returns the number of the last event.
    #[must_use]
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the weight versions that made it, in the order of their events.
    #[must_use]
    pub fn versions(&self) -> &[u64] {
        &self.versions
    }

    /// Returns the data and the versions.
    #[must_use]
    pub fn into_parts(self) -> (String, Vec<u64>) {
        (self.data, self.versions)
    }

    /// Adds an event that a version made; `false` if it doesn't follow the last.
    pub fn extend(&mut self, number: u64, data: &str, version: Option<u64>) -> bool {
        if self.last.is_some_and(|last| number != last + 1) {
            return false;
        }
        self.join(data);
        self.last = Some(number);
        if let Some(version) = version
            && !self.versions.contains(&version)
        {
            self.versions.push(version);
        }
        true
    }

    /// Adds a part that was kept; `false` if it doesn't follow the last.
    pub fn add(&mut self, piece: Piece) -> bool {
        if piece.after != self.last {
            return false;
        }
        self.join(&piece.text);
        self.last = Some(piece.last);
        self.versions = piece.versions;
        self.kept = self.last;
        self.kept_bytes = self.data.len();
        true
    }

    fn join(&mut self, data: &str) {
        if self.last.is_some() {
            self.data.push('\n');
        }
        self.data.push_str(data);
    }

    /// Returns what isn't kept yet, if there is something.
    #[must_use]
    pub fn unkept(&self, round: u32) -> Option<Piece> {
        let last = self.last.filter(|last| Some(*last) != self.kept)?;
        // The line feed behind what is kept is put back when it is read.
        let begin = self.kept_bytes + usize::from(self.kept.is_some());
        Some(Piece {
            round,
            after: self.kept,
            last,
            versions: self.versions.clone(),
            text: self.data[begin..].to_owned(),
        })
    }

    /// Notes that a part is kept.
    pub fn keep(&mut self, piece: &Piece) {
        if self.kept == piece.after {
            self.kept_bytes += usize::from(self.kept.is_some()) + piece.text.len();
            self.kept = Some(piece.last);
        }
    }

    /// Notes that nothing of it is kept where it is needed from now on.
    pub fn unkeep(&mut self) {
        self.kept = None;
        self.kept_bytes = 0;
    }

    /// Says whether no version that made it is older than `floor`, and with
    /// `single` that there is one at most.
    #[must_use]
    pub fn fits(&self, floor: u64, single: bool) -> bool {
        let old = self.versions.iter().any(|version| *version < floor);
        let mixed = single && self.versions.len() > 1;
        !old && !mixed
    }
}
