//! The newest configuration that a process has received.

use crate::config::Document;
use std::sync::Arc;

/// Holds the newest document, and never replaces it by an older one.
///
/// Documents arrive from the table, from streams and from the process's own commits, out
/// of order and repeatedly. A slow read of the table, started before a change, could
/// otherwise revert it for some seconds.
#[derive(Clone, Debug, Default)]
pub struct Register {
    newest: Arc<Document>,
}

impl Register {
    /// Creates a register with the empty document of version 0.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores the document if it is newer; returns whether it was.
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

    /// Returns the newest version; 0 if no document has arrived.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.newest.version
    }
}
