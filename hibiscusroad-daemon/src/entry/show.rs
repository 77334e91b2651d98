//! What an entry answers when an operator asks.
//!
//! Each row says where it comes from and how old it is, because an entry knows
//! of the rest only what links and lists last told it.

use crate::entry::{
    operators::{Row, Shown},
    side::Side,
    tables::Tables,
};
use hibiscusroad::{
    Class,
    config::{Document, Edit},
};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// How old a side's news may be before an answer says that it lacks the side:
/// four heartbeats.
const STALE: Duration = Duration::from_secs(1);

impl Tables {
    /// Answers what an operator asks about `subject`.
    #[must_use]
    pub fn show(&self, now: Instant, subject: &str) -> Shown {
        let rows = match subject {
            "endpoints" => self.endpoint_rows(now),
            "services" => self.service_rows(),
            "hosts" => self.group_rows(now, "host", |side| &side.host),
            "places" => self.group_rows(now, "place", |side| &side.place),
            "versions" => self.group_rows(now, "weights", |side| &side.weights),
            "entries" => vec![self.entry_row()],
            "config" => config_rows(&self.config.newest()),
            _ => Vec::new(),
        };
        Shown {
            rows,
            lacks: self.lacks(now, subject),
            version: self.config.version(),
        }
    }

    fn lacks(&self, now: Instant, subject: &str) -> Vec<String> {
        if matches!(subject, "config" | "entries" | "services") {
            return Vec::new();
        }
        let silent = self
            .sides
            .values()
            .filter(|side| now.duration_since(side.heard) > STALE);
        silent.map(|side| side.name.clone()).collect()
    }

    fn endpoint_rows(&self, now: Instant) -> Vec<Row> {
        let rows = self.sides.values().map(|side| {
            row([
                ("endpoint", json!(side.name)),
                ("service", json!(side.service)),
                ("host", json!(side.host)),
                ("place", json!(side.place)),
                ("address", json!(side.address.to_string())),
                ("state", json!(state(side))),
                ("running", json!(side.report.running)),
                ("queued", json!(side.report.queued)),
                ("mine", json!(side.attempts.len())),
                ("weights", json!(side.weights)),
                ("config", json!(side.config)),
                ("age_ms", age(now, side.heard)),
                ("source", json!(self.name)),
            ])
        });
        rows.collect()
    }

    fn service_rows(&self) -> Vec<Row> {
        let document = self.config.newest();
        let rows = document.services.iter().map(|(name, service)| {
            let sides = || self.sides.values().filter(|side| side.service == *name);
            let key = self.router.service(name);
            let waiting = |class| key.map_or(0, |key| self.router.waiting(key, class));
            row([
                ("service", json!(name)),
                ("kind", json!(service.kind)),
                ("endpoints", json!(sides().count())),
                (
                    "open",
                    json!(sides().filter(|side| side.takes_work()).count()),
                ),
                ("interactive", json!(waiting(Class::Interactive))),
                ("partner", json!(waiting(Class::Partner))),
                ("rollout", json!(waiting(Class::Rollout))),
                ("deadline_ms", json!(service.rule.deadline_ms)),
                ("depth", json!(service.rule.depth)),
                ("limit", json!(service.rule.limit)),
                ("age_ms", json!(0)),
                ("source", json!(self.name)),
            ])
        });
        rows.collect()
    }

    /// Counts endpoints by what `name` takes from them.
    fn group_rows(&self, now: Instant, column: &str, name: impl Fn(&Side) -> &str) -> Vec<Row> {
        let mut groups: BTreeMap<&str, Vec<&Side>> = BTreeMap::new();
        for side in self.sides.values() {
            groups.entry(name(side)).or_default().push(side);
        }
        let rows = groups.into_iter().map(|(name, sides)| {
            let open = sides.iter().filter(|side| side.takes_work()).count();
            let oldest = sides.iter().map(|side| side.heard).min();
            row([
                (column, json!(name)),
                ("endpoints", json!(sides.len())),
                ("open", json!(open)),
                ("age_ms", age(now, oldest.unwrap_or(now))),
                ("source", json!(self.name)),
            ])
        });
        rows.collect()
    }

    fn entry_row(&self) -> Row {
        let linked = self.sides.values().filter(|side| side.link.is_some());
        row([
            ("entry", json!(self.name)),
            ("place", json!(self.place)),
            ("config", json!(self.config.version())),
            ("links", json!(linked.count())),
            ("sides", json!(self.sides.len())),
            ("calls", json!(self.open_calls())),
            ("stopping", json!(self.stopping())),
            ("age_ms", json!(0)),
            ("source", json!(self.name)),
        ])
    }
}

fn config_rows(document: &Document) -> Vec<Row> {
    let edits = Edit::between(&Document::default(), document);
    let rows = edits.into_iter().map(|edit| {
        row([
            ("key", json!(edit.key)),
            ("value", json!(edit.new)),
            ("version", json!(document.version)),
        ])
    });
    rows.collect()
}

const fn state(side: &Side) -> &'static str {
    let leaving = side.leaving;
    if side.link.is_none() {
        "unlinked"
    } else if side.suspect {
        "silent"
    } else if leaving.drained {
        "drained"
    } else if leaving.listed || leaving.told {
        "leaving"
    } else {
        "open"
    }
}

fn age(now: Instant, heard: Instant) -> Value {
    let ms = now.saturating_duration_since(heard).as_millis();
    json!(u64::try_from(ms).unwrap_or(u64::MAX))
}

fn row<const N: usize>(columns: [(&str, Value); N]) -> Row {
    let columns = columns.into_iter();
    columns
        .map(|(key, value)| (key.to_owned(), value))
        .collect()
}
