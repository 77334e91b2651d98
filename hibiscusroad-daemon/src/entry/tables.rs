//! The tables of an entry and the systems that run over them.
//!
//! A call is what a caller asked for; an attempt is one try to run it at one
//! endpoint. The router decides where calls run; these tables carry it out and
//! keep account of what each caller may be told.

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
    settings::{Entry as Part, Settings},
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

/// All that an entry knows.
#[derive(Debug)]
pub struct Tables {
    pub(super) name: String,
    pub(super) place: String,
    pub(super) subset: usize,
    pub(super) ids: Arc<Ids>,
    pub(super) dialer: Dialer,
    pub(super) router: Router,
    pub(super) config: Register,
    pub(super) sides: SlotMap<SideKey, Side>,
    /// The last host list, and when it came.
    pub(super) hosts: Vec<Host>,
    pub(super) listed: Option<Instant>,
    pub(super) endpoints: HashMap<EndpointKey, SideKey>,
    pub(super) calls: HashMap<RequestId, CallRow>,
    pub(super) attempts: HashMap<RequestId, Attempt>,
    pub(super) crashes: Crashes,
    pub(super) ticked: Instant,
    pub(super) metrics: Metrics,
    pub(super) reported: Instant,
    pub(super) trace: Trace,
    pub(super) writes: Sender<Write>,
    /// Calls of each key, in their turn.
    pub(super) keys: HashMap<String, VecDeque<RequestId>>,
    /// How long callers wait who don't say, of a service without a rule.
    pub(super) patience: Duration,
    pub(super) deadlines: BTreeSet<(Instant, RequestId)>,
    stopping: bool,
}

impl Tables {
    /// Creates the tables of an entry that knows no side yet.
    #[must_use]
    pub fn new(
        settings: &Settings,
        part: &Part,
        ids: Arc<Ids>,
        dialer: Dialer,
        writes: Sender<Write>,
        metrics: Metrics,
    ) -> Self {
        let seed = ids.origin().0;
        Self {
            name: settings.name.clone(),
            place: settings.data_centre.clone(),
            subset: part.subset,
            ids,
            dialer,
            router: Router::new(&settings.data_centre, seed),
            config: Register::new(),
            sides: SlotMap::with_key(),
            hosts: Vec::new(),
            listed: None,
            endpoints: HashMap::new(),
            calls: HashMap::new(),
            attempts: HashMap::new(),
            crashes: Crashes::new(Instant::now()),
            ticked: Instant::now(),
            metrics,
            reported: Instant::now(),
            trace: Trace::default(),
            writes,
            keys: HashMap::new(),
            patience: Duration::from_millis(part.deadline_ms),
            deadlines: BTreeSet::new(),
            stopping: false,
        }
    }

    /// Takes in one event.
    pub fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Arrive(arrival) => self.arrive(now, *arrival),
            Event::Taken(id) => self.acknowledge_call(id),
            Event::Left(id) => self.left(now, id),
            Event::Link(side, epoch, LinkEvent::Frame(frame)) => {
                self.frame(now, side, epoch, frame);
            }
            Event::Link(side, epoch, LinkEvent::Down(reason)) => {
                self.link_down(now, side, epoch, &reason);
            }
            Event::Hosts(hosts) => self.hosts(now, hosts),
            Event::Claimed(call, attempt, verdict) => {
                self.claimed(now, call, attempt, *verdict);
            }
            Event::Config(document) => self.adopt(now, *document),
            Event::Ask(subject, reply) => {
                let _ = reply.try_send(self.show(now, &subject));
            }
            Event::Stop => self.stopping = true,
        }
        self.steps(now);
    }

    /// Runs the systems over the tables, if it is time.
    ///
    /// Events come thousands of times a second; what waits for time alone need
    /// not be looked at with each of them.
    pub fn tick(&mut self, now: Instant) {
        let due = self.next_due().is_some_and(|due| due <= now);
        if !due && now < self.ticked + TICK {
            return;
        }
        self.expire(now);
        self.expire_crashes(now);
        self.acknowledge_all();
        self.tick_sides(now);
        self.router.tick(now);
        self.report_numbers(now);
        self.trace_endpoints(now);
        self.steps(now);
    }

    /// Says when [`Tables::tick`] has something to do at the latest.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        [deadline, self.router.next_due()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Says whether the process is to stop.
    #[must_use]
    pub const fn stopping(&self) -> bool {
        self.stopping
    }

    /// Returns how many calls have no final answer yet.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Puts a configuration in force if it is newer than the one that is.
    pub fn adopt(&mut self, now: Instant, document: Document) {
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
            self.set_open(now, key);
            // Not left to the next heartbeat: news is to be everywhere at once.
            self.offer_config(key, self.sides[key].config);
        }
    }

    /// Carries out what the router decided.
    pub(super) fn steps(&mut self, now: Instant) {
        while let Some(step) = self.router.next_step() {
            match step {
                Step::Start { id, endpoint, .. } => self.start(now, id, endpoint),
                Step::Cancel { id, endpoint } => self.cancel(id, endpoint),
                Step::Refuse {
                    id,
                    kind,
                    retry_after,
                } => self.refuse(now, id, kind, retry_after),
            }
        }
    }

    /// Finds a service, unless the configuration in force has none of this name.
    pub(super) fn known(&self, name: &str) -> Option<ServiceKey> {
        let document = self.config.newest();
        if document.version > 0 && !document.services.contains_key(name) {
            return None;
        }
        self.router.service(name)
    }

    /// A name can be said to be unknown only by an entry that knows names: one
    /// that has just started must not turn callers away for good.
    pub(super) fn unknown_service(&self) -> ErrorKind {
        if self.sides.is_empty() && self.config.version() == 0 {
            ErrorKind::NoConfig
        } else {
            ErrorKind::UnknownService
        }
    }

    pub(super) fn repeat(&self, request: &Inbound) -> Repeat {
        let document = self.config.newest();
        let model = match document.services.get(&request.service) {
            Some(service) => service.kind == Kind::Model,
            None => request.prompt.is_some(),
        };
        if request.idempotent || model {
            Repeat::Idempotent
        } else {
            Repeat::Once
        }
    }

    /// Adds a service that a host list names and no configuration does.
    pub(super) fn ensure_service(&mut self, now: Instant, name: &str) {
        if self.router.service(name).is_none() {
            self.router.set_service(now, name, ServiceSpec::new());
        }
    }
}
