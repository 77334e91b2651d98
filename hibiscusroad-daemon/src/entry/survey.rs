//! Merges the endpoint rows of several entries into one answer.
//!
//! Rows of entries that are connected to the endpoint's sidecar take precedence,
//! then the most recent ones. Endpoints without such a row are known only from
//! the host list and are reported as missing.

use crate::entry::operators::Row;
use serde_json::{Value, json};
use std::collections::{BTreeMap, btree_map::Entry};

/// Age after which an endpoint's row is reported as missing: four heartbeats.
const STALE_MS: u64 = 1000;

/// The state of an endpoint that takes new work.
pub const OPEN: &str = "open";
/// The state of an endpoint whose sidecar the entry isn't connected to.
pub const UNLINKED: &str = "unlinked";
/// The state of an endpoint that an entry knows only from the host list.
pub const UNKNOWN: &str = "unknown";

/// The best known row of each endpoint.
#[derive(Clone, Debug, Default)]
pub struct Survey {
    rows: BTreeMap<(String, String), Row>,
}

impl Survey {
    /// Creates a survey from the rows of one entry.
    #[must_use]
    pub fn new(rows: Vec<Row>) -> Self {
        let mut survey = Self::default();
        survey.add(rows);
        survey
    }

    /// Merges the rows of another entry.
    pub fn add(&mut self, rows: Vec<Row>) {
        for row in rows {
            let key = (text(&row, "service"), text(&row, "endpoint"));
            match self.rows.entry(key) {
                Entry::Vacant(slot) => {
                    slot.insert(row);
                }
                Entry::Occupied(mut slot) => {
                    if rank(&row) < rank(slot.get()) {
                        slot.insert(row);
                    }
                }
            }
        }
    }

    /// Returns whether each endpoint has a row of a connected entry.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.rows.values().all(|row| rank(row).0 == 0)
    }

    /// Returns the endpoints without a recent row of a connected entry.
    #[must_use]
    pub fn stale_endpoints(&self) -> Vec<String> {
        let rows = self.rows.values();
        let stale = rows.filter(|row| rank(row) > (0, STALE_MS));
        stale.map(|row| text(row, "endpoint")).collect()
    }

    /// Returns the rows.
    #[must_use]
    pub fn into_rows(self) -> Vec<Row> {
        self.rows.into_values().collect()
    }

    /// Counts the endpoints by their value in `column`; `common` are columns
    /// that all of a group have in common.
    #[must_use]
    pub fn groups(&self, column: &str, common: &[&str], source: &str) -> Vec<Row> {
        let mut groups: BTreeMap<String, Vec<&Row>> = BTreeMap::new();
        for row in self.rows.values() {
            groups.entry(text(row, column)).or_default().push(row);
        }
        let rows = groups.into_iter().map(|(name, rows)| {
            let mut group = Row::new();
            group.insert(column.to_owned(), json!(name));
            for column in common {
                group.insert((*column).to_owned(), json!(text(rows[0], column)));
            }
            let oldest = rows.iter().map(|row| age(row)).max();
            group.insert("endpoints".to_owned(), json!(rows.len()));
            group.insert("open".to_owned(), json!(open(&rows)));
            group.insert("age_ms".to_owned(), json!(oldest));
            group.insert("source".to_owned(), json!(source));
            group
        });
        rows.collect()
    }

    /// Adds the counts to rows of services.
    #[must_use]
    pub fn count(&self, mut services: Vec<Row>) -> Vec<Row> {
        for service in &mut services {
            let name = text(service, "service");
            let rows = self.rows.values();
            let rows: Vec<&Row> = rows.filter(|row| text(row, "service") == name).collect();
            service.insert("endpoints".to_owned(), json!(rows.len()));
            service.insert("open".to_owned(), json!(open(&rows)));
        }
        services
    }
}

fn open(rows: &[&Row]) -> usize {
    let open = rows.iter().filter(|row| text(row, "state") == OPEN);
    open.count()
}

/// Ranks rows of one endpoint; the lowest takes precedence.
fn rank(row: &Row) -> (u8, u64) {
    let distance = match text(row, "state").as_str() {
        UNKNOWN => 2,
        UNLINKED => 1,
        _ => 0,
    };
    (distance, age(row))
}

fn age(row: &Row) -> u64 {
    row.get("age_ms").and_then(Value::as_u64).unwrap_or(0)
}

fn text(row: &Row, column: &str) -> String {
    let text = row.get(column).and_then(Value::as_str);
    text.unwrap_or_default().to_owned()
}
