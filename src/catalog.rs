//! Routes, services and limits that are in force.
//!
//! A [`Catalog`] is immutable and replaced whole by the next version, so that a
//! request sees one version from its start to its end. Routes are found by host
//! and longest prefix: a map from host to its routes, longest prefix first. A
//! host has tens of routes at most, for which a scan is faster than a tree.

use crate::{
    ErrorKind,
    account::{Account, Accounts, Credential},
};
use std::{collections::HashMap, time::Duration};

/// What may be done with requests of a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of its client.
    Once,
    /// Answered by a series of events.
    Stream {
        /// Whether another endpoint may go on after the last event.
        resumable: bool,
    },
    /// Takes batches of generations for a trainer.
    Rollout,
}

/// A service's part of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The service.
    pub service: String,
    /// Its weight among the route's services.
    pub weight: f64,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host that its requests name.
    pub host: String,
    /// What their paths begin with.
    pub prefix: String,
    /// What may be done with them.
    pub kind: Kind,
    /// The longest that a request may be kept waiting.
    pub timeout: Option<Duration>,
    /// The time within which an answer is worth most.
    pub target: Option<Duration>,
    /// Rank among routes; 0 is the highest.
    pub priority: u8,
    /// Services that run the requests.
    pub shares: Vec<Share>,
    /// Endpoints to which one request may be sent at most.
    pub attempts: u32,
    /// Time after its first submission in which a batch is to be complete.
    pub due: Option<Duration>,
    /// Time after its submission after which an item may be given up.
    pub ttl: Option<Duration>,
    /// Whether all of a result's text has to come from one weight version.
    pub single: bool,
    /// Whether callers need no key.
    pub public: bool,
}

impl Route {
    /// Chooses a service by weight; `draw` in [0, 1) decides.
    #[must_use]
    pub fn service(&self, draw: f64) -> Option<&str> {
        let total: f64 = self.shares.iter().map(|share| share.weight.max(0.0)).sum();
        let mut left = draw * total;
        let mut found = None;
        for share in self.shares.iter().filter(|share| share.weight > 0.0) {
            found = Some(share.service.as_str());
            left -= share.weight;
            if left < 0.0 {
                break;
            }
        }
        found.or_else(|| self.shares.first().map(|share| share.service.as_str()))
    }
}

/// What an engine's service tells of its engines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineSpec {
    /// Requests that one works on at once.
    pub slots: u32,
    /// Tokens that the memory of one holds.
    pub memory: u64,
    /// Models that it runs.
    pub models: Vec<String>,
}

/// One service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Connections that each endpoint takes from all callers together.
    pub connections: Option<u32>,
    /// Set if its endpoints are model engines.
    pub engine: Option<EngineSpec>,
}

/// What a client may send and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Bytes of a request's headers.
    pub headers: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Time to send the headers.
    pub reading: Duration,
    /// Time that a connection may be idle.
    pub idle: Duration,
}

impl Default for Limits {
    /// What is common among HTTP servers, until the operator says otherwise:
    /// 16 KiB of headers, a body of 1 MiB, 10 s to read and 60 s idle.
    fn default() -> Self {
        Self {
            headers: 16 << 10,
            body: 1 << 20,
            reading: Duration::from_secs(10),
            idle: Duration::from_mins(1),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Catalog {
    /// Its version; versions grow in uneven steps.
    pub version: u64,
    /// Limits towards clients.
    pub limits: Limits,
    routes: HashMap<String, Vec<Route>>,
    services: HashMap<String, Service>,
    /// `None` where callers show no keys at all.
    accounts: Option<Accounts>,
}

impl Catalog {
    /// Builds the catalog of a version.
    #[must_use]
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>, limits: Limits) -> Self {
        let mut by_host: HashMap<String, Vec<Route>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), s));
        Self {
            version,
            limits,
            routes: by_host,
            services: services.collect(),
            accounts: None,
        }
    }

    /// Sets the accounts, without which callers show no keys.
    #[must_use]
    pub fn accounts(mut self, accounts: Accounts) -> Self {
        self.accounts = Some(accounts);
        self
    }

    /// Returns how many keys prove nobody because several accounts hold them.
    #[must_use]
    pub fn shared_keys(&self) -> usize {
        self.accounts.as_ref().map_or(0, Accounts::shared_keys)
    }

    /// Says whether callers show keys.
    #[must_use]
    pub const fn has_accounts(&self) -> bool {
        self.accounts.is_some()
    }

    /// Finds the account of a caller; `None` where callers show no keys.
    ///
    /// # Errors
    ///
    /// Returns the kind of the refusal if the caller proves no account.
    fn authenticate(&self, shown: Credential) -> Result<Option<&Account>, ErrorKind> {
        let Some(accounts) = &self.accounts else {
            return Ok(None);
        };
        accounts.authenticate(shown).map(Some)
    }

    /// Finds for which account a caller asks for something, if for any.
    ///
    /// For what is public no key is asked. One that is shown all the same still says
    /// for whom the request is.
    ///
    /// # Errors
    ///
    /// Returns the kind of the refusal if it is not public and the caller proves no
    /// account.
    pub fn admit(&self, public: bool, shown: Credential) -> Result<Option<&Account>, ErrorKind> {
        match self.authenticate(shown) {
            Err(_) if public => Ok(None),
            found => found,
        }
    }

    /// Finds the route of a host with the longest prefix that begins `path`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Finds a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services, in no order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns all routes, in no order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten()
    }
}
