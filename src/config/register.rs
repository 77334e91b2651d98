//! The newest configuration that a process has seen.

use crate::config::Document;
use std::sync::Arc;

/// Holds the newest document; an older one is never applied again.
///
/// News comes from the table, from links and from a process's own commits, in
/// any order and repeated. Without this check a slow read of the table that
/// was started before a change would revert it for some seconds.
#[derive(Clone, Debug, Default)]
pub struct Register {
    newest: Arc<Document>,
}

impl Register {
    /// Creates a register that holds version 0: nothing yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the document if it is newer than all seen; says whether it was.
    pub fn offer(&mut self, document: Document) -> bool {
        if document.version <= self.newest.version {
            return false;
        }
        self.newest = Arc::new(document);
        true
    }

    /// Returns the newest document.
    #[must_use]
    pub fn newest(&self) -> Arc<Document> {
        Arc::clone(&self.newest)
    }

    /// Returns the newest version; 0 while there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.newest.version
    }
}
