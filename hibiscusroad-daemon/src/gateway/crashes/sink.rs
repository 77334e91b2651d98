//! Takes in what all gateways saw of crashes.

use super::Crashes;
use crate::{gateway::sync::Sink, logs::CALLS};
use hibiscusroad::{
    quarantine::{CRASHES, Crash},
    table::{Row, RowId},
};
use std::rc::Rc;

/// Builds the sink of the table of crashes.
pub(in crate::gateway) fn sink(crashes: Rc<Crashes>) -> Sink {
    let all = Rc::clone(&crashes);
    Sink {
        table: CRASHES,
        parts: vec![String::new()],
        replace: Box::new(move |rows| all.replace(&rows)),
        change: Box::new(move |changes| crashes.change(&changes.rows, &changes.removed)),
        confirm: Box::new(|| {}),
    }
}

impl Crashes {
    /// Takes in all rows there are, and removes those that count no more: whoever wrote
    /// them may be gone.
    fn replace(&self, rows: &[Row]) {
        self.ledger.borrow_mut().clear();
        self.change(rows, &[]);
        let now = self.now();
        let over = |row: &&Row| {
            let crash = Crash::decode(row);
            crash.map_or(true, |crash| self.ledger.borrow().is_expired(now, &crash))
        };
        for row in rows.iter().filter(over) {
            self.write(row.id.clone(), None);
        }
    }

    fn change(&self, rows: &[Row], gone: &[RowId]) {
        let mut ledger = self.ledger.borrow_mut();
        for row in gone {
            ledger.remove(row);
        }
        for row in rows {
            match Crash::decode(row) {
                Ok(crash) => {
                    ledger.add(crash);
                }
                Err(error) => log::error!(target: CALLS, row = row.id.key.as_str(),
                    error = error.to_string().as_str();
                    "A row of crashes is broken; it is ignored."),
            }
        }
        // What the store has not taken yet holds here all the same.
        for (id, value) in &*self.unkept.borrow() {
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
        self.judge();
    }
}
