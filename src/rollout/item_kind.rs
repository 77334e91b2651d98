//! Tells items apart by what they need of an engine.
//!
//! Where the next item of a step finds no engine, the items behind it may still find one:
//! its text needs a weight version that few engines have, it was just moved away from the
//! only free engine, or it is long and the free engines are slow. Trying every item would
//! read all engines for each, so only those of other kinds are tried.

use crate::rollout::engines::EngineKey;

/// Limit of the kinds of items of a step that are tried in a pass although no engine can run
/// them. Each try reads all engines.
const MAX_KINDS: usize = 8;
/// An item needs less of an engine than another if its hint is below this percentage of the
/// other's. Eight such steps lead from the longest texts to a tenth of their length.
const SHORTER_PERCENT: u64 = 75;

/// What an item needs of an engine, as far as items of one step differ.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ItemKind {
    /// The only weight version that is allowed, if it is fixed.
    pub required_version: Option<u64>,
    /// The engine that it was just moved away from.
    pub avoided_engine: Option<EngineKey>,
    /// The expected tokens of its text.
    pub hint: u32,
}

/// The kinds of items of one step that found no engine in a pass.
#[derive(Debug, Default)]
pub struct SkippedKinds {
    kinds: Vec<ItemKind>,
}

impl SkippedKinds {
    /// Returns whether no item was skipped.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.kinds.is_empty()
    }

    /// Records that an item found no engine; returns `false` if no other item of its step
    /// should be tried in this pass.
    pub fn skip(&mut self, kind: ItemKind) -> bool {
        self.kinds.push(kind);
        self.kinds.len() < MAX_KINDS
    }

    /// Returns whether an item may find an engine although the skipped ones didn't.
    #[must_use]
    pub fn allows(&self, item: &ItemKind) -> bool {
        !self.kinds.iter().any(|kind| {
            item.required_version == kind.required_version
                && item.avoided_engine == kind.avoided_engine
                && u64::from(item.hint) * 100 >= u64::from(kind.hint) * SHORTER_PERCENT
        })
    }
}
