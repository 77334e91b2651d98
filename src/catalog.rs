//! The routes, services and limits of one version of the configuration.
//!
//! A [`Catalog`] is immutable and the next version replaces it as a whole, so a request
//! sees one version from start to end. Routes are found by host and longest prefix, by
//! a scan of the routes of the host: there are tens of them at most, for which a scan is
//! faster than a tree.

use crate::{
    ErrorKind,
    account::{Account, Accounts, Credential},
};
use std::{collections::HashMap, time::Duration};

/// How the requests of a route may be run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once for each attempt of its client.
    Once,
    /// A request is answered by a series of events.
    Stream {
        /// Whether another endpoint may continue after the last event received.
        resumable: bool,
    },
    /// The route takes batches of generations for a trainer.
    Rollout,
}

/// The share of a route's requests that one service runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The name of the service.
    pub service: String,
    /// The weight among the services of the route.
    pub weight: f64,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name, for logs.
    pub name: String,
    /// The host that requests are sent to.
    pub host: String,
    /// The prefix of request paths.
    pub prefix: String,
    /// How requests may be run.
    pub kind: Kind,
    /// The longest time that a request may wait for its answer.
    pub timeout: Option<Duration>,
    /// The target latency, within which an answer has its full value.
    pub target_latency: Option<Duration>,
    /// The priority among routes; 0 is the highest.
    pub priority: u8,
    /// The services that run the requests.
    pub shares: Vec<Share>,
    /// Most endpoints to which one request may be sent.
    pub max_attempts: u32,
    /// The time from the first submission within which a batch should be complete.
    pub due: Option<Duration>,
    /// The time from its submission after which an item may be abandoned.
    pub item_ttl: Option<Duration>,
    /// Whether the whole text of a result must come from one weight version.
    pub single_version: bool,
    /// Whether callers need no key.
    pub public: bool,
    /// The regions in which requests may be served, cached and stored; empty for all.
    pub allowed_regions: Vec<String>,
}

impl Route {
    /// Chooses a service by weight, from a random `draw` in [0, 1).
    #[must_use]
    pub fn service(&self, draw: f64) -> Option<&str> {
        let total: f64 = self.shares.iter().map(|share| share.weight.max(0.0)).sum();
        let mut remaining = draw * total;
        let mut chosen = None;
        for share in self.shares.iter().filter(|share| share.weight > 0.0) {
            chosen = Some(share.service.as_str());
            remaining -= share.weight;
            if remaining < 0.0 {
                break;
            }
        }
        chosen.or_else(|| self.shares.first().map(|share| share.service.as_str()))
    }
}

/// The properties that a service declares for its model engines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineSpec {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that fit into the key-value cache of one engine.
    pub kv_capacity: u64,
    /// The models that the engines run.
    pub models: Vec<String>,
}

/// What an endpoint of a service bears while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Time for which an endpoint is cold after its start.
    pub duration: Duration,
    /// Requests per second that a cold endpoint bears, from all gateways together.
    pub per_second: f64,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name.
    pub name: String,
    /// Connections that each endpoint accepts from all callers together.
    pub max_connections: Option<u32>,
    /// What a cold endpoint bears; `None` if the service sets no limit.
    pub cold_start: Option<ColdStart>,
    /// Set if the endpoints are model engines.
    pub engine: Option<EngineSpec>,
}

/// Limits on the size and duration of what clients send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Most bytes of the headers of a request.
    pub header_bytes: usize,
    /// Most bytes of the body of a request.
    pub body_bytes: usize,
    /// Longest time to receive the headers.
    pub header_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply unless the configuration sets others.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_mins(1),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Catalog {
    /// The version; versions increase, with gaps.
    pub version: u64,
    /// The limits for clients.
    pub limits: Limits,
    routes: HashMap<String, Vec<Route>>,
    services: HashMap<String, Service>,
    /// `None` if callers need no keys.
    accounts: Option<Accounts>,
}

impl Catalog {
    /// Creates the catalog of a version.
    #[must_use]
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>, limits: Limits) -> Self {
        let mut by_host: HashMap<String, Vec<Route>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), service));
        Self {
            version,
            limits,
            routes: by_host,
            services: services.collect(),
            accounts: None,
        }
    }

    /// Sets the accounts; without them, callers need no keys.
    #[must_use]
    pub fn with_accounts(mut self, accounts: Accounts) -> Self {
        self.accounts = Some(accounts);
        self
    }

    /// Returns the number of keys that several accounts have, which authenticate none of them.
    #[must_use]
    pub fn shared_key_count(&self) -> usize {
        self.accounts.as_ref().map_or(0, Accounts::shared_key_count)
    }

    /// Returns whether callers are authenticated by keys.
    #[must_use]
    pub const fn has_accounts(&self) -> bool {
        self.accounts.is_some()
    }

    /// Returns the account of a caller, or `None` if callers need no keys.
    ///
    /// # Errors
    ///
    /// Returns the kind of the refusal if the credential authenticates no account.
    fn authenticate(&self, credential: Credential) -> Result<Option<&Account>, ErrorKind> {
        let Some(accounts) = &self.accounts else {
            return Ok(None);
        };
        accounts.authenticate(credential).map(Some)
    }

    /// Returns the account with a name.
    #[must_use]
    pub fn account(&self, name: &str) -> Option<&Account> {
        self.accounts.as_ref()?.find(name)
    }

    /// Decides whether a caller is admitted, and returns its account if it has one.
    ///
    /// What is public needs no key, but a valid key still identifies the account.
    ///
    /// # Errors
    ///
    /// Returns the kind of the refusal if authentication is needed and fails.
    pub fn admit(
        &self,
        public: bool,
        credential: Credential,
    ) -> Result<Option<&Account>, ErrorKind> {
        match self.authenticate(credential) {
            Err(_) if public => Ok(None),
            result => result,
        }
    }

    /// Returns the route of a host with the longest prefix of `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns all routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten()
    }
}
