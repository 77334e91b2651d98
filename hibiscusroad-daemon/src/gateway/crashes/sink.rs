//! Applies the crash evidence of all gateways, as read from the store.

use super::Crashes;
use crate::{
    gateway::sync::{Position, Sink},
    logs::CALLS,
};
use hibiscusroad::{
    quarantine::{CRASHES, Crash},
    table::{Row, RowId},
};
use std::{rc::Rc, time::Duration};

/// Builds the sink of the table of crashes, which applies its rows to `crashes`.
pub(in crate::gateway) fn sink(crashes: Rc<Crashes>) -> Sink {
    let replacing = Rc::clone(&crashes);
    Sink {
        table: CRASHES,
        parts: vec![String::new()],
        replace: Box::new(move |rows, _version| replacing.replace_rows(&rows)),
        change: Box::new(move |changes| {
            crashes.apply_changes(changes.written(), changes.removed());
        }),
        confirm: Box::new(|| {}),
        pause: Box::new(|| Duration::ZERO),
        position: Position::default(),
    }
}

impl Crashes {
    /// Replaces the evidence with all rows of the table.
    ///
    /// Rows that are expired or can't be decoded are removed from the store, since the
    /// process that wrote them may no longer run.
    fn replace_rows(&self, rows: &[Row]) {
        self.ledger.borrow_mut().clear();
        self.apply_changes(rows, &[]);
        let now = self.now();
        let is_obsolete = |row: &&Row| {
            let crash = Crash::decode(row);
            crash.map_or(true, |crash| self.ledger.borrow().is_expired(now, &crash))
        };
        for row in rows.iter().filter(is_obsolete) {
            self.queue_write(row.id.clone(), None);
        }
    }

    /// Applies rows that changed and rows that were removed.
    fn apply_changes(&self, rows: &[Row], removed: &[RowId]) {
        let mut ledger = self.ledger.borrow_mut();
        for row in removed {
            ledger.remove(row);
        }
        for row in rows {
            match Crash::decode(row) {
                Ok(crash) => {
                    ledger.add(crash);
                }
                Err(error) => log::error!(target: CALLS, row = row.id.key.as_str(),
                    error = error.to_string().as_str();
                    "A row of crashes can't be decoded and is ignored."),
            }
        }
        // Changes that are not written yet override the store's rows.
        for (id, value) in &*self.pending.borrow() {
            ledger.remove(id);
            let row = value.clone().map(|value| Row {
                id: id.clone(),
                value,
                version: 0,
            });
            if let Some(Ok(crash)) = row.as_ref().map(Crash::decode) {
                ledger.add(crash);
            }
        }
        drop(ledger);
        self.update_quarantines();
    }
}
