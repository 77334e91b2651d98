//! The tables of an entry and the systems that run over them.
//!
//! A call is a caller's request; an attempt is one run of it at one endpoint. The
//! router decides where calls run. These tables perform its steps and track
//! whether a call may have run.

use crate::{
    entry::{
        attempt::Attempt,
        call::CallRow,
        claims::Write,
        event::{Event, Ids, Inbound, LinkEvent},
        link::Dialer,
        quarantine::Crashes,
        side::{Side, SideKey},
        trace::Trace,
    },
    metrics::Metrics,
    platform::Host,
    settings::{Entry as EntrySettings, Settings},
};
use flume::Sender;
use hibiscusroad::{
    ErrorKind, Repeat, RequestId,
    config::{Document, Kind, Register},
    route::{EndpointKey, Router, ServiceKey, ServiceSpec, Step},
};
use slotmap::SlotMap;
use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

/// Time between two runs of the systems when no deadline passes.
pub const TICK: Duration = Duration::from_millis(25);

/// The state of an entry.
#[derive(Debug)]
pub struct Tables {
    pub(super) name: String,
    pub(super) data_centre: String,
    pub(super) subset: usize,
    pub(super) ids: Arc<Ids>,
    pub(super) dialer: Dialer,
    pub(super) router: Router,
    pub(super) config: Register,
    pub(super) sides: SlotMap<SideKey, Side>,
    /// The last host list; `hosts_received` is when it was fetched.
    pub(super) hosts: Vec<Host>,
    pub(super) hosts_received: Option<Instant>,
    pub(super) endpoints: HashMap<EndpointKey, SideKey>,
    pub(super) calls: HashMap<RequestId, CallRow>,
    pub(super) attempts: HashMap<RequestId, Attempt>,
    pub(super) crashes: Crashes,
    pub(super) last_tick: Instant,
    pub(super) metrics: Metrics,
    pub(super) last_report: Instant,
    pub(super) trace: Trace,
    pub(super) claim_writes: Sender<Write>,
    /// Open calls by the row of their idempotency key, in order of arrival.
    pub(super) key_queues: HashMap<String, VecDeque<RequestId>>,
    /// Timeout of calls that set none, for services without a rule.
    pub(super) default_timeout: Duration,
    pub(super) deadlines: BTreeSet<(Instant, RequestId)>,
    stopping: bool,
}

impl Tables {
    /// Creates the tables of an entry without sidecars.
    #[must_use]
    pub fn new(
        settings: &Settings,
        entry_settings: &EntrySettings,
        ids: Arc<Ids>,
        dialer: Dialer,
        claim_writes: Sender<Write>,
        metrics: Metrics,
    ) -> Self {
        let seed = ids.origin().0;
        Self {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            subset: entry_settings.subset,
            ids,
            dialer,
            router: Router::new(&settings.data_centre, seed),
            config: Register::new(),
            sides: SlotMap::with_key(),
            hosts: Vec::new(),
            hosts_received: None,
            endpoints: HashMap::new(),
            calls: HashMap::new(),
            attempts: HashMap::new(),
            crashes: Crashes::new(Instant::now()),
            last_tick: Instant::now(),
            metrics,
            last_report: Instant::now(),
            trace: Trace::default(),
            claim_writes,
            key_queues: HashMap::new(),
            default_timeout: Duration::from_millis(entry_settings.deadline_ms),
            deadlines: BTreeSet::new(),
            stopping: false,
        }
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Arrive(arrival) => self.accept_call(now, *arrival),
            Event::Delivered(id) => self.acknowledge_call(id),
            Event::CallerGone(id) => self.caller_gone(now, id),
            Event::Link(side, epoch, LinkEvent::Frame(frame)) => {
                self.handle_frame(now, side, epoch, frame);
            }
            Event::Link(side, epoch, LinkEvent::Down(reason)) => {
                self.link_down(now, side, epoch, &reason);
            }
            Event::Hosts(hosts) => self.apply_hosts(now, hosts),
            Event::Claimed(call, attempt, outcome) => {
                self.apply_claim_outcome(now, call, attempt, *outcome);
            }
            Event::Config(document) => self.apply_config(now, *document),
            Event::Query(subject, reply) => {
                let _ = reply.try_send(self.show(now, &subject));
            }
            Event::Stop => self.stopping = true,
        }
        self.apply_router_steps(now);
    }

    /// Runs the time-driven systems if a deadline or [`TICK`] has passed.
    ///
    /// They don't run after every event, of which there may be thousands a second.
    pub fn tick(&mut self, now: Instant) {
        let due = self.next_due().is_some_and(|due| due <= now);
        if !due && now < self.last_tick + TICK {
            return;
        }
        self.expire(now);
        self.expire_crashes(now);
        self.acknowledge_all();
        self.tick_sides(now);
        self.router.tick(now);
        self.report_gauges(now);
        self.trace_endpoints(now);
        self.apply_router_steps(now);
    }

    /// Returns the earliest deadline of the calls and the router.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        [deadline, self.router.next_due()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns whether the process was asked to stop.
    #[must_use]
    pub const fn stopping(&self) -> bool {
        self.stopping
    }

    /// Returns the number of calls without a final answer.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Applies a configuration if it is newer than the current one.
    pub fn apply_config(&mut self, now: Instant, document: Document) {
        if !self.config.offer(document) {
            return;
        }
        let document = self.config.newest();
        log::info!(target: "config", "Version {} is in force.", document.version);
        for (name, service) in &document.services {
            self.router.set_service(now, name, service.rule.spec());
        }
        let keys: Vec<SideKey> = self.sides.keys().collect();
        for key in keys {
            self.update_accepting(now, key);
            // Sent before the next heartbeat, so that it spreads at once.
            self.offer_config(key, self.sides[key].config);
        }
    }

    /// Performs the steps that the router decided.
    pub(super) fn apply_router_steps(&mut self, now: Instant) {
        while let Some(step) = self.router.next_step() {
            match step {
                Step::Start { id, endpoint, .. } => self.start_attempt(now, id, endpoint),
                Step::Cancel { id, endpoint } => self.cancel_attempt(id, endpoint),
                Step::Refuse {
                    id,
                    kind,
                    retry_after,
                } => self.refuse(now, id, kind, retry_after),
            }
        }
    }

    /// Finds a service, unless the current configuration has none of this name.
    pub(super) fn find_service(&self, name: &str) -> Option<ServiceKey> {
        let document = self.config.newest();
        if document.version > 0 && !document.services.contains_key(name) {
            return None;
        }
        self.router.service(name)
    }

    /// Returns the error for a service that isn't found. An entry that has just
    /// started knows no services yet and must not refuse callers permanently.
    pub(super) fn unknown_service(&self) -> ErrorKind {
        if self.sides.is_empty() && self.config.version() == 0 {
            ErrorKind::NoConfig
        } else {
            ErrorKind::UnknownService
        }
    }

    pub(super) fn repeat_policy(&self, request: &Inbound) -> Repeat {
        let document = self.config.newest();
        let is_model = match document.services.get(&request.service) {
            Some(service) => service.kind == Kind::Model,
            None => request.prompt.is_some(),
        };
        if request.idempotent || is_model {
            Repeat::Idempotent
        } else {
            Repeat::Once
        }
    }

    /// Adds a service of the host list that no configuration defines.
    pub(super) fn ensure_service(&mut self, now: Instant, name: &str) {
        if self.router.service(name).is_none() {
            self.router.set_service(now, name, ServiceSpec::new());
        }
    }
}
