//! The actor that owns the tables of a side.

use crate::{
    metrics,
    side::{
        LOG,
        event::{Event, Outbound},
        pool::Pool,
        report::Report,
        request::{Hello, Inbound, Request, WorkerKey},
        setup::Setup,
        throttle::Throttle,
        wire,
    },
};
use hibiscusroad::{
    ErrorKind, RequestId,
    gate::{Admission, Gate, GateLimits, LinkKey, Step, VersionRun},
};
use hibiscusroad_wire::{ToEntry, to_entry::Frame};
use slotmap::SecondaryMap;
use stakker::{CX, MinTimerKey, after, stop, timer_min};
use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::sync::oneshot;

/// Time between two heartbeats on a link.
const BEAT: Duration = Duration::from_millis(250);

/// When an entry may try a refused attempt again here, at the earliest.
const RETRY: Duration = Duration::from_millis(200);

/// How long a stopping side waits for its entries' word that they send no more:
/// longer than an entry may be silent before its link is closed.
const ECHO: Duration = Duration::from_secs(3);

/// A link to an entry.
#[derive(Debug)]
pub(super) struct Link {
    out: Outbound,
    entry: String,
    /// The newest version of the configuration that the entry is known to have.
    config: u64,
    /// Whether the entry has said that it sends no more new work.
    quiet: bool,
}

/// The tables of a side.
pub struct Role {
    pub(super) setup: Setup,
    pub(super) gate: Gate,
    pub(super) links: SecondaryMap<LinkKey, Link>,
    pub(super) pool: Pool,
    pub(super) report: Report,
    /// Duties whose lease rows are being read.
    pub(super) learning: HashSet<String>,
    /// Orders at the engine.
    pub(super) orders: usize,
    /// Until when a stopping side waits for its entries to say that they send
    /// no more.
    quiet: Instant,
    /// When the process ends even if work is in flight; set once it stops.
    ends: Option<Instant>,
    timer: MinTimerKey,
    /// When the gauges were reported.
    pub(super) reported: Instant,
}

impl Role {
    /// Creates the tables and starts the heartbeat.
    #[expect(clippy::unnecessary_wraps, reason = "the actor's interface")]
    pub fn init(cx: CX![], setup: Setup) -> Option<Self> {
        after!(BEAT, [cx], beat());
        let side = &setup.side;
        Some(Self {
            gate: Gate::new(GateLimits::new(side.limit, side.buffer)),
            links: SecondaryMap::new(),
            pool: Pool::new(side, setup.events.clone()),
            report: Report::new(&setup),
            learning: HashSet::new(),
            orders: 0,
            quiet: cx.now(),
            ends: None,
            timer: MinTimerKey::default(),
            reported: cx.now(),
            setup,
        })
    }

    /// Takes an event in and carries out what follows.
    pub fn take(&mut self, cx: CX![], event: Event) {
        let now = cx.now();
        match event {
            Event::Open { hello, out, reply } => self.open(now, hello, out, reply),
            Event::Frame(link, frame) => self.frame(now, link, frame),
            Event::Lost(link) => self.lost(now, link),
            Event::Head(id, head) => self.gate.receive_head(id, head),
            Event::Bytes(id, data) => self.bytes(now, id, data),
            Event::Ended {
                worker,
                id,
                outcome,
            } => self.ended(now, worker, id, outcome),
            Event::Ordered {
                worker,
                link,
                seq,
                outcome,
            } => self.ordered(now, worker, link, seq, outcome),
            Event::Load(load) => self.report.load = load,
            Event::Reached(reached) => self.reached(now, reached),
            Event::Listed { leaving } => self.listed(now, leaving),
            Event::Lease(duty, number) => self.learn(&duty, number),
            Event::Stop => self.stop(now),
        }
        self.carry_out(now);
    }

    /// Runs the systems once a turn, and ends the actor when it may.
    pub fn settle(&mut self, cx: CX![], now: Instant) {
        self.gate.tick(now);
        self.carry_out(now);
        if let Some(due) = self.gate.next_tick() {
            timer_min!(&mut self.timer, due, [cx], wake());
        }
        let Some(ends) = self.ends else {
            return;
        };
        // A Start may be on its way while the gate stands idle. Ending now would
        // leave its caller without a word on whether it ran, so the side waits
        // until each entry has said that it sends no more. A link whose entry
        // stands still is closed for its silence; one of an older release never
        // says it, and is not waited for longer than ECHO.
        let quiet = self.quiet <= now || self.links.values().all(|link| link.quiet);
        let idle = quiet && self.orders == 0 && self.gate.is_idle(now);
        if idle || ends <= now {
            let left = self.gate.load().running;
            log::info!(target: LOG, "Stops with {left} calls in flight.");
            stop!(cx);
        }
    }

    /// Only wakes the loop; the systems run in [`Role::settle`].
    #[expect(clippy::unused_self, reason = "the actor's interface")]
    fn wake(&mut self, _cx: CX![]) {}

    fn beat(&mut self, cx: CX![]) {
        after!(BEAT, [cx], beat());
        self.pool.sweep(cx.now());
        self.report_numbers(cx.now());
        self.beat_all(cx.now());
    }

    fn beat_all(&mut self, now: Instant) {
        let beat = self.report.beat(now, &self.gate);
        let keys: Vec<LinkKey> = self.links.keys().collect();
        for link in keys {
            self.push(now, link, Frame::Beat(beat.clone()).into());
        }
    }

    fn open(&mut self, now: Instant, hello: Hello, out: Outbound, reply: oneshot::Sender<LinkKey>) {
        let link = self.gate.open_link(now, hello.incarnation, hello.epoch);
        log::info!(target: LOG, "Link {} of {} is open.", hello.epoch, hello.entry);
        let row = Link {
            out,
            entry: hello.entry,
            config: hello.config,
            quiet: false,
        };
        self.links.insert(link, row);
        let welcome = self.report.welcome(&self.gate);
        self.push(now, link, Frame::Welcome(welcome).into());
        // A side that is leaving says so before the first call is sent to it.
        let beat = self.report.beat(now, &self.gate);
        self.push(now, link, Frame::Beat(beat).into());
        self.hand_on(now, link);
        if reply.send(link).is_err() {
            self.lost(now, link);
        }
    }

    fn lost(&mut self, now: Instant, link: LinkKey) {
        if let Some(row) = self.links.remove(link) {
            log::info!(target: LOG, "A link of {} is lost.", row.entry);
        }
        self.gate.remove_link(now, link);
    }

    fn frame(&mut self, now: Instant, link: LinkKey, frame: Inbound) {
        if !self.gate.receive_frame(now, link) {
            return;
        }
        match frame {
            Inbound::Start(request) => self.start(now, link, request),
            Inbound::Attach(id, offset) => self.gate.attach(now, link, id, offset),
            Inbound::Ack(id, offset, done) => self.gate.ack(now, link, id, offset, done),
            Inbound::Cancel(id) => self.gate.cancel(now, link, id),
            Inbound::Seal(id) => self.gate.seal_and_report(now, link, id),
            Inbound::Beat(version, quiet) => {
                if let Some(row) = self.links.get_mut(link) {
                    row.quiet = quiet;
                }
                self.heard_version(now, link, version);
            }
            Inbound::Config(version, document) => self.config(now, link, version, document),
            Inbound::Order(order) => self.order(now, link, *order),
        }
    }

    fn start(&mut self, now: Instant, link: LinkKey, request: Box<Request>) {
        let id = request.ask.id;
        match self.gate.start(now, link, request.ask) {
            Admission::Run => {
                if let Err(kind) = self.pool.call(now, request) {
                    self.gate.fail(now, id, kind);
                }
            }
            Admission::Known => log::debug!(target: LOG, "{id} is known already."),
            Admission::Refused(kind) => {
                log::debug!(target: LOG, "{id} is refused: {kind}.");
                self.count_refused(kind);
            }
        }
    }

    fn bytes(&mut self, now: Instant, id: RequestId, data: Arc<[u8]>) {
        self.gate.receive_bytes(id, data);
        // A pause has to take hold before the worker may read on.
        self.carry_out(now);
        if let Some(throttle) = self.pool.throttle(id) {
            throttle.put();
        }
    }

    fn ended(
        &mut self,
        now: Instant,
        worker: WorkerKey,
        id: RequestId,
        outcome: Result<Vec<VersionRun>, ErrorKind>,
    ) {
        self.pool.ended(now, worker, id);
        match outcome {
            Ok(runs) => self.gate.finish(now, id, runs),
            Err(kind) => {
                log::debug!(target: LOG, "{id} failed: {kind}.");
                self.gate.fail(now, id, kind);
            }
        }
    }

    fn heard_version(&mut self, now: Instant, link: LinkKey, version: u64) {
        if let Some(row) = self.links.get_mut(link) {
            row.config = row.config.max(version);
        }
        self.hand_on(now, link);
    }

    /// Sends the configuration to an entry that has an older one.
    fn hand_on(&mut self, now: Instant, link: LinkKey) {
        let version = self.report.version();
        let Some(row) = self.links.get_mut(link) else {
            return;
        };
        if row.config < version {
            row.config = version;
            self.push(now, link, Frame::Config(self.report.config()).into());
        }
    }

    fn config(&mut self, now: Instant, link: LinkKey, version: u64, document: Vec<u8>) {
        if let Some(row) = self.links.get_mut(link) {
            row.config = row.config.max(version);
        }
        if self.report.offer(version, document) {
            log::info!(target: LOG, "Configuration {version} is in force.");
            self.gate.set_max_running(self.report.limit());
            self.show_leaving(now);
        }
    }

    /// Takes note whether anything listens at the endpoint's address.
    fn reached(&mut self, now: Instant, reached: bool) {
        if self.report.unreachable == reached {
            log::info!(target: LOG, "the endpoint can be reached: {reached}");
            self.report.unreachable = !reached;
            self.beat_all(now);
        }
    }

    fn listed(&mut self, now: Instant, leaving: bool) {
        if self.report.unlisted != leaving {
            self.report.unlisted = leaving;
            self.show_leaving(now);
        }
    }

    fn stop(&mut self, now: Instant) {
        log::info!(target: LOG, "Stops: no new work, work in flight completes.");
        let limit = Duration::from_secs(self.setup.settings.stop.deadline_s);
        if self.ends.is_none() {
            self.ends = Some(now + limit);
            self.quiet = now + ECHO;
        }
        self.report.stopping = true;
        self.show_leaving(now);
    }

    /// Shuts or opens the gate and tells all entries at once.
    fn show_leaving(&mut self, now: Instant) {
        let leaving = self.report.is_leaving();
        if leaving != self.gate.is_draining() {
            log::info!(target: LOG, "Takes new work: {}.", !leaving);
        }
        self.gate.set_draining(leaving);
        self.beat_all(now);
    }

    /// Carries out the steps of the gate.
    fn carry_out(&mut self, now: Instant) {
        while let Some(step) = self.gate.next_step() {
            match step {
                Step::Send { link, frame } => {
                    self.push(now, link, wire::outbound(&frame, RETRY));
                }
                Step::Abort { id } => self.hold(id, Throttle::abort),
                Step::Pause { id } => self.hold(id, |throttle| throttle.pause(true)),
                Step::Resume { id } => self.hold(id, |throttle| throttle.pause(false)),
                Step::Close { link, entry } => {
                    log::warn!(target: LOG, "A link of entry {entry} is silent.");
                    self.setup.metrics.count(metrics::LINKS_LOST, &[]);
                    self.links.remove(link);
                }
            }
        }
    }

    fn hold(&self, id: RequestId, act: impl FnOnce(&Throttle)) {
        if let Some(throttle) = self.pool.throttle(id) {
            act(throttle);
        }
    }

    /// Queues a frame. An entry that doesn't read loses its link: its queue is
    /// bounded, and it can attach anew at the offset where it stopped.
    pub(super) fn push(&mut self, now: Instant, link: LinkKey, frame: ToEntry) {
        let Some(row) = self.links.get(link) else {
            return;
        };
        if let Err(error) = row.out.try_send(Ok(frame)) {
            log::warn!(target: LOG, "The queue of a link of {}: {error}.", row.entry);
            self.lost(now, link);
        }
    }
}
