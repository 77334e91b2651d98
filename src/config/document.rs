//! The configuration document.

use crate::{class::Class, route::ServiceSpec};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The whole configuration of one version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Document {
    /// The version, which increases by one with each accepted change; 0 if there was none.
    pub version: u64,
    /// The services by name.
    #[serde(default)]
    pub services: BTreeMap<String, Service>,
    /// The endpoints that accept no new requests.
    #[serde(default)]
    pub drains: Drains,
    /// Deployment-wide settings by key.
    #[serde(default)]
    pub settings: BTreeMap<String, String>,
}

impl Document {
    /// Returns whether an endpoint accepts no new requests because it, its host or its data
    /// centre is drained.
    #[must_use]
    pub fn is_drained(&self, endpoint: &str, host: &str, data_centre: &str) -> bool {
        self.drains.endpoints.contains(endpoint)
            || self.drains.hosts.contains(host)
            || self.drains.data_centres.contains(data_centre)
    }
}

/// The names of drained endpoints, hosts and data centres.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Drains {
    /// Single endpoints.
    #[serde(default)]
    pub endpoints: BTreeSet<String>,
    /// All endpoints on these hosts.
    #[serde(default)]
    pub hosts: BTreeSet<String>,
    /// All endpoints in these data centres.
    #[serde(default, rename = "places")]
    pub data_centres: BTreeSet<String>,
}

/// One service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// The kind of the endpoints.
    pub kind: Kind,
    /// The rule for requests.
    #[serde(default)]
    pub rule: Rule,
}

/// The kind of the endpoints of a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model engines, whose calls are repeatable.
    Model,
    /// Plain HTTP services, whose POST and PATCH requests may not run twice.
    Plain,
}

/// The rule by which the requests of a service are admitted and run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rule {
    /// Most requests that may wait, for each class.
    pub depth: usize,
    /// The share guaranteed to interactive requests, in [0, 1].
    pub floor_interactive: f64,
    /// The share guaranteed to partners, in [0, 1].
    pub floor_partner: f64,
    /// The share guaranteed to rollouts, in [0, 1].
    pub floor_rollout: f64,
    /// The default deadline in milliseconds, for requests without one.
    pub deadline_ms: u64,
    /// Most requests that one endpoint runs at once.
    pub limit: u32,
}

impl Default for Rule {
    fn default() -> Self {
        let spec = ServiceSpec::new();
        Self {
            depth: spec.max_queued,
            floor_interactive: spec.min_shares[Class::Interactive.index()],
            floor_partner: spec.min_shares[Class::Partner.index()],
            floor_rollout: spec.min_shares[Class::Rollout.index()],
            deadline_ms: 10_000,
            limit: 64,
        }
    }
}

impl Rule {
    /// Returns the share guaranteed to each class, by [`Class::index`].
    #[must_use]
    pub const fn floors(&self) -> [f64; 3] {
        [
            self.floor_interactive,
            self.floor_partner,
            self.floor_rollout,
        ]
    }

    /// Returns the settings for the router.
    #[must_use]
    pub const fn spec(&self) -> ServiceSpec {
        ServiceSpec::new()
            .max_queued(self.depth)
            .min_shares(self.floors())
    }
}
