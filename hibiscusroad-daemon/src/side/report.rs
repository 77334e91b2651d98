//! State that a sidecar reports to entries, and its configuration.

use crate::side::{request::EndpointLoad, setup::Setup, wire};
use hibiscusroad::{
    config::{Document, Register},
    gate::Gate,
};
use hibiscusroad_wire::{Beat, Config, Load, VERSION, Welcome};
use std::time::{Duration, Instant};

/// Maximum age of a load report before the gate's own counts replace it.
const LOAD_TTL: Duration = Duration::from_secs(5);

/// State that a sidecar reports to entries.
#[derive(Debug)]
pub struct Report {
    /// The last load that the endpoint reported.
    pub load: EndpointLoad,
    /// Whether the host list says that this host is leaving.
    pub host_leaving: bool,
    /// Whether the endpoint refuses connections.
    pub unreachable: bool,
    /// Whether a graceful shutdown was requested.
    pub stopping: bool,
    identity: Identity,
    register: Register,
    /// The newest configuration as received, to forward it unchanged.
    document: Vec<u8>,
    heartbeats: u64,
}

#[derive(Debug)]
struct Identity {
    side: String,
    host: String,
    data_centre: String,
    service: String,
    endpoint: String,
    incarnation: u64,
    max_running: u32,
}

impl Report {
    /// Creates the report of a sidecar without configuration and load.
    #[must_use]
    pub fn new(setup: &Setup) -> Self {
        let identity = Identity {
            side: setup.settings.name.clone(),
            host: setup.settings.host.clone(),
            data_centre: setup.settings.data_centre.clone(),
            service: setup.side.service.clone(),
            endpoint: setup.side.endpoint.clone(),
            incarnation: setup.incarnation.0,
            max_running: setup.side.limit,
        };
        Self {
            load: EndpointLoad::default(),
            host_leaving: false,
            unreachable: false,
            stopping: false,
            identity,
            register: Register::new(),
            document: Vec::new(),
            heartbeats: 0,
        }
    }

    /// Returns the frame that answers Hello.
    #[must_use]
    pub fn welcome_frame(&self, gate: &Gate) -> Welcome {
        Welcome {
            version: VERSION,
            side: self.identity.side.clone(),
            incarnation: self.identity.incarnation,
            service: self.identity.service.clone(),
            place: self.identity.data_centre.clone(),
            limit: gate.load().max_running,
            config_version: self.config_version(),
        }
    }

    /// Returns the next heartbeat.
    pub fn next_heartbeat(&mut self, now: Instant, gate: &Gate) -> Beat {
        self.heartbeats += 1;
        Beat {
            seq: self.heartbeats,
            config_version: self.config_version(),
            load: Some(self.load_at(now, gate)),
            leaving: gate.is_draining(),
            fence: gate.highest_token(),
            unreachable: self.unreachable,
        }
    }

    /// Returns the load that the endpoint reported, or the gate's counts if the
    /// report is too old.
    fn load_at(&self, now: Instant, gate: &Gate) -> Load {
        let gate_load = gate.load();
        let age = self
            .load
            .measured_at
            .map(|at| now.saturating_duration_since(at));
        let Some(age) = age.filter(|age| *age < LOAD_TTL) else {
            return Load {
                running: gate_load.running,
                limit: gate_load.max_running,
                ..Load::default()
            };
        };
        // Requests above the endpoint's own limit would queue inside it.
        let limit = match self.load.limit {
            0 => gate_load.max_running,
            reported => reported.min(gate_load.max_running),
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

    /// Returns the version of the configuration; 0 if there is none.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.register.version()
    }

    /// Returns the frame that carries the configuration.
    #[must_use]
    pub fn config_frame(&self) -> Config {
        Config {
            version: self.config_version(),
            document: self.document.clone(),
        }
    }

    /// Applies a configuration if it is valid and newer. Returns whether it was
    /// applied.
    pub fn update_config(&mut self, version: u64, bytes: Vec<u8>) -> bool {
        if version <= self.config_version() {
            return false;
        }
        let parsed = serde_json::from_slice::<Document>(&bytes);
        let document = match parsed {
            Ok(document) if document.version == version => document,
            Ok(document) => {
                let found = document.version;
                log::error!(target: super::LOG, "Configuration {version} contains version {found}; it is ignored.");
                return false;
            }
            Err(error) => {
                log::error!(target: super::LOG, "Configuration {version} is invalid: {error}.");
                return false;
            }
        };
        self.document = bytes;
        self.register.offer(document)
    }

    /// Returns whether the endpoint accepts no new work: it is drained, its host is
    /// leaving, or the process is stopping.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        let identity = &self.identity;
        let document = self.register.newest();
        let drained =
            document.is_drained(&identity.endpoint, &identity.host, &identity.data_centre);
        drained || self.host_leaving || self.stopping
    }

    /// Returns the concurrency limit: the lower of those in the settings and in the
    /// service's rule.
    #[must_use]
    pub fn max_running(&self) -> u32 {
        let document = self.register.newest();
        let service = document.services.get(&self.identity.service);
        let rule_limit = service.map_or(self.identity.max_running, |service| service.rule.limit);
        rule_limit.min(self.identity.max_running)
    }
}
