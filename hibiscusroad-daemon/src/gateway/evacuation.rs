//! Evacuations of data centres, from the rows of the operator's table to the roster, which says which
//! data centres are evacuated.

use super::sync::EndpointRoster;
use crate::logs::HOSTS;
use hibiscusroad::{
    evacuation::{EvacuationChange, EvacuationPhase, EvacuationRow},
    roster::{Endpoint, EvacuationUpdate},
    table::{Changes, Row, RowId},
};
use hibiscusroad_platform::table;

impl EndpointRoster {
    /// Applies a read of the whole operator's table as of a version.
    pub(super) fn replace_evacuations(&self, version: u64, rows: &[Row]) {
        let rows = self.decode_evacuations(rows);
        let is_first = !self.roster_mut().knows_evacuations();
        let update = self.roster_mut().replace_evacuations(version, rows);
        self.apply_evacuations(&update, is_first);
    }

    /// Applies changes of the operator's table.
    pub(super) fn update_evacuations(&self, changes: &Changes) {
        let rows = self.decode_evacuations(changes.written());
        let removed = changes.removed().iter().filter_map(evacuated_by);
        let update = self
            .roster_mut()
            .update_evacuations(changes.version(), rows, removed);
        self.apply_evacuations(&update, false);
    }

    /// Returns the rows that evacuate a data centre. One without a name is logged once.
    fn decode_evacuations(&self, rows: &[Row]) -> Vec<EvacuationRow> {
        let rows = rows.iter().filter_map(|row| {
            let data_centre = evacuated_by(&row.id)?;
            if data_centre.is_empty() {
                if self.is_new_broken(&row.id.key, row.version) {
                    log::warn!(target: HOSTS, row = row.version;
                        "The row of an evacuation names no data centre; it is ignored.");
                }
                return None;
            }
            Some(EvacuationRow {
                data_centre: data_centre.to_owned(),
                version: row.version,
            })
        });
        rows.collect()
    }

    /// Stops new requests to evacuated data centres, then publishes the changed endpoints, which
    /// are new to this process if `is_first` is set.
    fn apply_evacuations(&self, update: &EvacuationUpdate, is_first: bool) {
        for change in &update.evacuations {
            let running = self.data_centres().apply(change);
            self.log_evacuation(change, running);
        }
        if is_first {
            self.publish(&update.endpoints, None);
        } else {
            self.publish_marked(&update.endpoints);
        }
    }

    fn log_evacuation(&self, change: &EvacuationChange, running: usize) {
        let place = change.data_centre.as_str();
        let endpoints = self.count(|endpoint: &Endpoint| endpoint.data_centre == place);
        let text = match change.phase {
            EvacuationPhase::Began => "A data centre is evacuated; nothing more is sent there.",
            EvacuationPhase::Renewed => "The row of an evacuation has changed.",
            EvacuationPhase::Ended => "The evacuation of a data centre has ended.",
        };
        log::info!(target: HOSTS, place = place, row = change.version, endpoints = endpoints,
            running = running; "{text}");
    }
}

/// Returns the data centre that a row of the operator's table evacuates.
fn evacuated_by(id: &RowId) -> Option<&str> {
    table::evacuated_data_centre(&id.key)
}
