//! The document and what is in it.

use crate::{class::Class, route::ServiceSpec};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The whole configuration of one version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Document {
    /// Counts up by one with each accepted change; 0 is "nothing yet".
    pub version: u64,
    /// The services by name.
    #[serde(default)]
    pub services: BTreeMap<String, Service>,
    /// What takes no new work.
    #[serde(default)]
    pub drains: Drains,
    /// Deployment-wide settings by key.
    #[serde(default)]
    pub settings: BTreeMap<String, String>,
}

impl Document {
    /// Says whether an endpoint takes no new work, be it by its own name, its
    /// host's or its place's.
    #[must_use]
    pub fn is_drained(&self, endpoint: &str, host: &str, place: &str) -> bool {
        self.drains.endpoints.contains(endpoint)
            || self.drains.hosts.contains(host)
            || self.drains.places.contains(place)
    }
}

/// Names of what takes no new work.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Drains {
    /// Single endpoints.
    #[serde(default)]
    pub endpoints: BTreeSet<String>,
    /// All endpoints on these hosts.
    #[serde(default)]
    pub hosts: BTreeSet<String>,
    /// All endpoints in these places.
    #[serde(default)]
    pub places: BTreeSet<String>,
}

/// One service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// What its endpoints are.
    pub kind: Kind,
    /// How its requests are treated.
    #[serde(default)]
    pub rule: Rule,
}

/// What the endpoints of a service are.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model engines, whose calls are repeatable.
    Model,
    /// Plain HTTP services, whose POST and PATCH may not run twice.
    Plain,
}

/// How the requests of a service are treated.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rule {
    /// Requests that may wait, for each class.
    pub depth: usize,
    /// Share that interactive callers are sure of, in [0, 1].
    pub floor_interactive: f64,
    /// Share that partners are sure of, in [0, 1].
    pub floor_partner: f64,
    /// Share that rollouts are sure of, in [0, 1].
    pub floor_rollout: f64,
    /// Milliseconds that a caller waits who names no deadline.
    pub deadline_ms: u64,
    /// Requests that one endpoint takes at once.
    pub limit: u32,
}

impl Default for Rule {
    fn default() -> Self {
        let spec = ServiceSpec::new();
        Self {
            depth: spec.depth,
            floor_interactive: spec.floors[Class::Interactive.index()],
            floor_partner: spec.floors[Class::Partner.index()],
            floor_rollout: spec.floors[Class::Rollout.index()],
            deadline_ms: 10_000,
            limit: 64,
        }
    }
}

impl Rule {
    /// Returns the share that each class is sure of, by [`Class::index`].
    #[must_use]
    pub const fn floors(&self) -> [f64; 3] {
        [
            self.floor_interactive,
            self.floor_partner,
            self.floor_rollout,
        ]
    }

    /// Returns what the router needs of this rule.
    #[must_use]
    pub const fn spec(&self) -> ServiceSpec {
        ServiceSpec::new().depth(self.depth).floors(self.floors())
    }
}
