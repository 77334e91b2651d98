//! What a deployment consists of.

use std::time::Duration;

/// What the endpoints of a service are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Model engines.
    Model,
    /// Plain services.
    Plain,
}

impl Kind {
    /// Returns the word for it in settings and statements.
    #[must_use]
    pub const fn word(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Plain => "plain",
        }
    }
}

/// One service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: &'static str,
    /// What its endpoints are.
    pub kind: Kind,
    /// How many it has.
    pub count: usize,
    /// Requests that each works on at once.
    pub limit: u32,
    /// Options of each stand-in.
    pub options: Vec<String>,
    /// The rule in the operators' language, after `with`.
    pub rule: &'static str,
}

/// A whole deployment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Spec {
    /// Its name.
    pub name: &'static str,
    /// Its region.
    pub region: &'static str,
    /// Its places; hosts are spread over them in turn.
    pub places: Vec<&'static str>,
    /// Entries, spread over the places in turn.
    pub entries: usize,
    /// Its services.
    pub services: Vec<Service>,
    /// How late the host list is.
    pub lag: Duration,
    /// Whether endpoints may be killed and started again: they then have fixed
    /// ports, and plain services keep their logs in files.
    pub restarts: bool,
    /// Whether all endpoints of a service are one process: for measurements of
    /// the daemons alone.
    pub shared: bool,
}

const ENGINE_LIMIT: u32 = 16;
const PLAIN_LIMIT: u32 = 64;
const LAG: Duration = Duration::from_secs(1);

impl Spec {
    /// Returns the deployment of the beach huts.
    #[must_use]
    pub fn pobrezie() -> Self {
        Self {
            name: "pobrezie",
            region: "zapad",
            places: vec!["senec", "trnava", "piestany"],
            entries: 2,
            services: vec![
                Service {
                    name: "guide-lm",
                    kind: Kind::Model,
                    count: 9,
                    limit: ENGINE_LIMIT,
                    options: Vec::new(),
                    rule: "deadline = 20s, floor_interactive = 0.5, floor_partner = 0.1, \
                           floor_rollout = 0.2, limit = 16",
                },
                Service {
                    name: "hut-desk",
                    kind: Kind::Plain,
                    count: 6,
                    limit: PLAIN_LIMIT,
                    options: Vec::new(),
                    rule: "deadline = 2s, floor_interactive = 0.6, floor_partner = 0.3, \
                           floor_rollout = 0",
                },
            ],
            lag: LAG,
            restarts: false,
            shared: false,
        }
    }

    /// Returns the deployment of the floor maps.
    #[must_use]
    pub fn lakeshore() -> Self {
        Self {
            name: "lakeshore",
            region: "great-lakes",
            places: vec!["erie-hall", "huron-hall", "superior-hall"],
            entries: 2,
            services: vec![
                Service {
                    name: "map-trainers",
                    kind: Kind::Model,
                    count: 9,
                    limit: ENGINE_LIMIT,
                    options: Vec::new(),
                    rule: "deadline = 60s, floor_interactive = 0.1, floor_partner = 0.1, \
                           floor_rollout = 0.6, limit = 16",
                },
                Service {
                    name: "map-lookup",
                    kind: Kind::Plain,
                    count: 6,
                    limit: PLAIN_LIMIT,
                    options: Vec::new(),
                    rule: "deadline = 1500ms, floor_interactive = 0.6, floor_partner = 0.3, \
                           floor_rollout = 0",
                },
            ],
            lag: LAG,
            restarts: false,
            shared: false,
        }
    }

    /// Finds a deployment by its name.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "pobrezie" => Some(Self::pobrezie()),
            "lakeshore" => Some(Self::lakeshore()),
            _ => None,
        }
    }

    /// Finds the first service whose endpoints are of a kind.
    #[must_use]
    pub fn service(&self, kind: Kind) -> Option<&Service> {
        self.services.iter().find(|service| service.kind == kind)
    }

    /// Returns how many endpoints all services have.
    #[must_use]
    pub fn endpoints(&self) -> usize {
        self.services.iter().map(|service| service.count).sum()
    }

    /// Returns the place of the host with this number.
    #[must_use]
    pub fn place(&self, number: usize) -> &'static str {
        self.places[number % self.places.len()]
    }

    /// Returns the statements that create the services.
    #[must_use]
    pub fn statements(&self) -> Vec<String> {
        let create = |service: &Service| {
            let kind = service.kind.word();
            let text = format!("create service {} kind {kind}", service.name);
            match service.rule {
                "" => text,
                rule => format!("{text} with {rule}"),
            }
        };
        self.services.iter().map(create).collect()
    }
}
