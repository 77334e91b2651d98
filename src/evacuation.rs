//! The data centres that operators have evacuated.
//!
//! A data centre is evacuated while the operator's table has a row for it. A process learns of
//! rows from the feed of the table and from direct reads of it, which overlap, so that an older
//! answer may arrive after a newer one. Each answer is complete up to its version, and only news
//! that is not older than what is known has an effect.

use std::collections::BTreeMap;

/// A row that evacuates a data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationRow {
    /// The data centre.
    pub data_centre: String,
    /// The version of the row.
    pub version: u64,
}

/// What has changed for a data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EvacuationPhase {
    /// It is evacuated from now on.
    Began,
    /// It stays evacuated by another version of its row.
    Renewed,
    /// It is no longer evacuated.
    Ended,
}

/// A change of the evacuated data centres.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationChange {
    /// The data centre.
    pub data_centre: String,
    /// What has changed.
    pub phase: EvacuationPhase,
    /// The version of its row, or the version by which the row was removed.
    pub version: u64,
}

/// The evacuated data centres, with the versions of their rows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Evacuations {
    /// The version up to which the rows are known; `None` before the table was read.
    known_until: Option<u64>,
    rows: BTreeMap<String, u64>,
}

impl Evacuations {
    /// Creates a set of which nothing is known yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the table was read.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.known_until.is_some()
    }

    /// Returns whether a data centre is evacuated.
    #[must_use]
    pub fn contains(&self, data_centre: &str) -> bool {
        self.rows.contains_key(data_centre)
    }

    /// Returns the evacuated data centres by name.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.rows.keys().map(String::as_str)
    }

    /// Applies a read of all rows as of a version, and returns what has changed.
    pub fn replace(
        &mut self,
        version: u64,
        rows: impl IntoIterator<Item = EvacuationRow>,
    ) -> Vec<EvacuationChange> {
        let before = self.rows.clone();
        let is_late = self.is_late(version);
        if !is_late {
            // Newer rows come from pages or answers that were read later.
            self.rows.retain(|_, known| *known > version);
        }
        self.put(is_late, rows);
        self.known_until = self.known_until.max(Some(version));
        self.changes_since(&before, version)
    }

    /// Applies the changes up to a version, and returns what has changed.
    ///
    /// The lists have the last change of each row, so that a data centre is in one of them at most.
    pub fn update<'a>(
        &mut self,
        version: u64,
        rows: impl IntoIterator<Item = EvacuationRow>,
        removed: impl IntoIterator<Item = &'a str>,
    ) -> Vec<EvacuationChange> {
        let before = self.rows.clone();
        let is_late = self.is_late(version);
        for data_centre in removed {
            let known = self.rows.get(data_centre);
            if !is_late && known.is_some_and(|known| *known <= version) {
                self.rows.remove(data_centre);
            }
        }
        self.put(is_late, rows);
        if self.is_known() {
            self.known_until = self.known_until.max(Some(version));
        }
        self.changes_since(&before, version)
    }

    /// Returns whether everything up to a later version is known.
    fn is_late(&self, version: u64) -> bool {
        self.known_until.is_some_and(|known| version < known)
    }

    /// Adds rows that are not older than what is known.
    fn put(&mut self, is_late: bool, rows: impl IntoIterator<Item = EvacuationRow>) {
        for row in rows {
            let known = self.rows.get(&row.data_centre).copied();
            let is_news = match known {
                Some(known) => row.version > known,
                None => !is_late || !self.is_late(row.version),
            };
            if is_news {
                self.rows.insert(row.data_centre, row.version);
            }
        }
    }

    fn changes_since(&self, before: &BTreeMap<String, u64>, version: u64) -> Vec<EvacuationChange> {
        let change = |data_centre: &str, phase, version| EvacuationChange {
            data_centre: data_centre.to_owned(),
            phase,
            version,
        };
        let ended = before.keys().filter(|known| !self.contains(known));
        let ended = ended.map(|known| change(known, EvacuationPhase::Ended, version));
        let present = self.rows.iter().filter_map(|(data_centre, row)| {
            let phase = match before.get(data_centre) {
                None => EvacuationPhase::Began,
                Some(previous) if previous != row => EvacuationPhase::Renewed,
                Some(_) => return None,
            };
            Some(change(data_centre, phase, *row))
        });
        ended.chain(present).collect()
    }
}
