//! What a side tells of itself, and the configuration that it has.

use crate::side::{request::EndpointLoad, setup::Setup, wire};
use hibiscusroad::{
    config::{Document, Register},
    gate::Gate,
};
use hibiscusroad_wire::{Beat, Config, Load, VERSION, Welcome};
use std::time::{Duration, Instant};

/// How old a report of the endpoint may be to count as its present load.
const STALE: Duration = Duration::from_secs(5);

/// What a side tells of itself.
#[derive(Debug)]
pub struct Report {
    /// The load that the endpoint reported last.
    pub load: EndpointLoad,
    /// Whether the host list calls this host leaving.
    pub unlisted: bool,
    /// Whether nothing listens at the endpoint's address.
    pub unreachable: bool,
    /// Whether the process was told to stop.
    pub stopping: bool,
    names: Names,
    register: Register,
    /// The newest document as it came, to hand it on unchanged.
    document: Vec<u8>,
    beats: u64,
}

#[derive(Debug)]
struct Names {
    side: String,
    host: String,
    place: String,
    service: String,
    endpoint: String,
    incarnation: u64,
    limit: u32,
}

impl Report {
    /// Creates the report of a side that knows nothing yet.
    #[must_use]
    pub fn new(setup: &Setup) -> Self {
        let names = Names {
            side: setup.settings.name.clone(),
            host: setup.settings.host.clone(),
            place: setup.settings.data_centre.clone(),
            service: setup.side.service.clone(),
            endpoint: setup.side.endpoint.clone(),
            incarnation: setup.incarnation.0,
            limit: setup.side.limit,
        };
        Self {
            load: EndpointLoad::default(),
            unlisted: false,
            unreachable: false,
            stopping: false,
            names,
            register: Register::new(),
            document: Vec::new(),
            beats: 0,
        }
    }

    /// Makes the frame that answers Hello.
    #[must_use]
    pub fn welcome(&self, gate: &Gate) -> Welcome {
        Welcome {
            version: VERSION,
            side: self.names.side.clone(),
            incarnation: self.names.incarnation,
            service: self.names.service.clone(),
            place: self.names.place.clone(),
            limit: gate.load().max_running,
            config_version: self.version(),
        }
    }

    /// Makes the next heartbeat.
    pub fn beat(&mut self, now: Instant, gate: &Gate) -> Beat {
        self.beats += 1;
        Beat {
            seq: self.beats,
            config_version: self.version(),
            load: Some(self.load_at(now, gate)),
            leaving: gate.is_draining(),
            fence: gate.highest_token(),
            unreachable: self.unreachable,
        }
    }

    /// The endpoint's own report while it is fresh, else what the gate counts.
    fn load_at(&self, now: Instant, gate: &Gate) -> Load {
        let own = gate.load();
        let age = self.load.at.map(|at| now.saturating_duration_since(at));
        let Some(age) = age.filter(|age| *age < STALE) else {
            return Load {
                running: own.running,
                limit: own.max_running,
                ..Load::default()
            };
        };
        // More than the endpoint can work on would wait inside it.
        let limit = match self.load.limit {
            0 => own.max_running,
            theirs => theirs.min(own.max_running),
        };
        Load {
            running: self.load.running,
            queued: self.load.queued,
            limit,
            tokens: self.load.tokens,
            cache_free: self.load.cache_free,
            age_ms: wire::millis(age),
            weights: self.load.weights.clone(),
        }
    }

    /// Returns the version of the newest configuration; 0 is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.register.version()
    }

    /// Makes the frame that hands the configuration on.
    #[must_use]
    pub fn config(&self) -> Config {
        Config {
            version: self.version(),
            document: self.document.clone(),
        }
    }

    /// Takes a configuration if it is newer; says whether it was.
    pub fn offer(&mut self, version: u64, bytes: Vec<u8>) -> bool {
        if version <= self.version() {
            return false;
        }
        let parsed = serde_json::from_slice::<Document>(&bytes);
        let document = match parsed {
            Ok(document) if document.version == version => document,
            Ok(document) => {
                let found = document.version;
                log::error!(target: super::LOG, "Configuration {version} says it is {found}.");
                return false;
            }
            Err(error) => {
                log::error!(target: super::LOG, "Configuration {version} can't be read: {error}.");
                return false;
            }
        };
        self.document = bytes;
        self.register.offer(document)
    }

    /// Says whether the endpoint takes no new work, for whatever reason.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        let names = &self.names;
        let document = self.register.newest();
        let drained = document.is_drained(&names.endpoint, &names.host, &names.place);
        drained || self.unlisted || self.stopping
    }

    /// Returns how many requests the endpoint takes at once: what its settings
    /// allow, or less if the service's rule says so.
    #[must_use]
    pub fn limit(&self) -> u32 {
        let document = self.register.newest();
        let service = document.services.get(&self.names.service);
        let rule = service.map_or(self.names.limit, |service| service.rule.limit);
        rule.min(self.names.limit)
    }
}
