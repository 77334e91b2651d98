//! Rows that answer operators' queries from the state of this entry.
//!
//! Each row has its source and age, because an entry knows other processes only
//! by their last report.

use crate::{
    entry::{
        operators::{Peer, QueryResponse, Row},
        side::{Listing, Side},
        survey::{OPEN, UNKNOWN, UNLINKED},
        tables::Tables,
    },
    platform::Host,
};
use hibiscusroad::{
    Class,
    config::{Document, Edit},
};
use serde_json::{Value, json};
use std::{collections::BTreeMap, time::Instant};

const REQUEST_PREFIX: &str = "explain/request/";
const ENDPOINT_PREFIX: &str = "explain/endpoint/";

impl Tables {
    /// Answers an operator's query about `subject` from the state of this entry.
    #[must_use]
    pub fn show(&self, now: Instant, subject: &str) -> QueryResponse {
        let rows = match subject {
            _ if subject.starts_with(REQUEST_PREFIX) => {
                self.explain_request(now, &subject[REQUEST_PREFIX.len()..])
            }
            _ if subject.starts_with(ENDPOINT_PREFIX) => {
                self.explain_endpoint(now, &subject[ENDPOINT_PREFIX.len()..])
            }
            "endpoints" => self.endpoint_rows(now),
            "services" => self.service_rows(),
            "entries" => vec![self.entry_row()],
            "callers" => self.caller_rows(now),
            "config" => config_rows(&self.config.newest()),
            _ => Vec::new(),
        };
        QueryResponse {
            rows,
            missing: Vec::new(),
            version: self.config.version(),
            peers: self.peers(),
        }
    }

    fn peers(&self) -> Vec<Peer> {
        let hosts = self.hosts.iter();
        let others = hosts.filter(|host| host.role == "entry" && host.endpoint != self.name);
        let peers = others.map(|host| Peer {
            name: host.endpoint.clone(),
            address: host.address,
        });
        peers.collect()
    }

    fn endpoint_rows(&self, now: Instant) -> Vec<Row> {
        let sides = self.sides.values();
        let known = sides.filter(|side| side.listing != Listing::QueryOnly);
        let mut rows: Vec<Row> = known.map(|side| self.endpoint_row(now, side)).collect();
        let hosts = self.hosts.iter().filter(|host| host.role == "side");
        let others = hosts.filter(|host| !self.has_side(host));
        rows.extend(others.map(|host| self.listed_row(now, host)));
        rows
    }

    fn has_side(&self, host: &Host) -> bool {
        let key = self.find_side(&host.service, &host.endpoint);
        key.is_some_and(|key| self.sides[key].listing != Listing::QueryOnly)
    }

    fn endpoint_row(&self, now: Instant, side: &Side) -> Row {
        row([
            ("endpoint", json!(side.name)),
            ("service", json!(side.service)),
            ("host", json!(side.host)),
            ("place", json!(side.data_centre)),
            ("address", json!(side.address.to_string())),
            ("state", json!(state(side))),
            ("running", json!(side.report.running)),
            ("queued", json!(side.report.queued)),
            ("limit", json!(side.report.limit)),
            ("mine", json!(side.attempts.len())),
            ("weights", json!(side.weights)),
            ("config", json!(side.config)),
            ("age_ms", age(now, side.last_received)),
            ("source", json!(self.name)),
        ])
    }

    /// Returns the row of an endpoint that is known only from the host list.
    fn listed_row(&self, now: Instant, host: &Host) -> Row {
        row([
            ("endpoint", json!(host.endpoint)),
            ("service", json!(host.service)),
            ("host", json!(host.name)),
            ("place", json!(host.data_centre)),
            ("address", json!(host.address.to_string())),
            ("state", json!(UNKNOWN)),
            ("age_ms", age(now, self.hosts_received.unwrap_or(now))),
            ("source", json!("host list")),
        ])
    }

    /// Returns the counts of calls in flight, by service and class.
    fn caller_rows(&self, now: Instant) -> Vec<Row> {
        let mut groups: BTreeMap<(&str, Class), (usize, usize, Instant)> = BTreeMap::new();
        for call in self.calls.values() {
            let key = (call.request.service.as_str(), call.request.class);
            let (all, running, oldest) = groups.entry(key).or_insert((0, 0, call.arrived));
            *all += 1;
            *running += usize::from(!call.attempts.is_empty());
            *oldest = call.arrived.min(*oldest);
        }
        let rows = groups.into_iter().map(|((service, class), group)| {
            let (all, running, oldest) = group;
            row([
                ("service", json!(service)),
                ("class", json!(class.name())),
                ("callers", json!(all)),
                ("running", json!(running)),
                ("oldest_ms", age(now, oldest)),
                ("age_ms", json!(0)),
                ("source", json!(self.name)),
            ])
        });
        rows.collect()
    }

    fn service_rows(&self) -> Vec<Row> {
        let document = self.config.newest();
        let rows = document.services.iter().map(|(name, service)| {
            let key = self.router.service(name);
            let waiting = |class| key.map_or(0, |key| self.router.queued(key, class));
            row([
                ("service", json!(name)),
                ("kind", json!(service.kind)),
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

    fn entry_row(&self) -> Row {
        let linked = self.sides.values().filter(|side| side.link.is_some());
        row([
            ("entry", json!(self.name)),
            ("place", json!(self.data_centre)),
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

/// Returns the state of an endpoint as this entry sees it.
pub(super) const fn state(side: &Side) -> &'static str {
    let leaving = side.leaving;
    if side.link.is_none() {
        UNLINKED
    } else if side.suspect {
        "silent"
    } else if leaving.drained {
        "drained"
    } else if leaving.listed || leaving.reported {
        "leaving"
    } else if side.unreachable {
        "unreachable"
    } else {
        OPEN
    }
}

pub(super) fn age(now: Instant, since: Instant) -> Value {
    let ms = now.saturating_duration_since(since).as_millis();
    json!(u64::try_from(ms).unwrap_or(u64::MAX))
}

pub(super) fn row<const N: usize>(columns: [(&str, Value); N]) -> Row {
    let columns = columns.into_iter();
    columns
        .map(|(key, value)| (key.to_owned(), value))
        .collect()
}
