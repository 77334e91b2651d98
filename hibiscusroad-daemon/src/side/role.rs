//! The actor that owns the state of a sidecar.

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

/// Time between two heartbeats on a stream.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time before an entry retries a refused request here.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// How long a stopping sidecar waits for its entries to report that they send no
/// more work. Longer than a stream may be silent before it is closed.
const QUIESCENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// A stream to an entry.
#[derive(Debug)]
pub(super) struct Link {
    out: Outbound,
    entry: String,
    /// The newest configuration version that the entry is known to have.
    config_version: u64,
    /// Whether the entry reported that it sends no more new work.
    quiescent: bool,
}

/// The state of a sidecar.
pub struct Role {
    pub(super) setup: Setup,
    pub(super) gate: Gate,
    pub(super) links: SecondaryMap<LinkKey, Link>,
    pub(super) pool: Pool,
    pub(super) report: Report,
    /// Duties whose lease rows are being read.
    pub(super) lease_reads: HashSet<String>,
    /// Number of orders in flight at the engine.
    pub(super) orders_in_flight: usize,
    /// Until when a stopping sidecar waits for its entries to report that they send
    /// no more work.
    quiescence_deadline: Instant,
    /// When the process ends even if work is in flight; set when it is stopped.
    stop_deadline: Option<Instant>,
    timer: MinTimerKey,
    /// When the gauges were last reported.
    pub(super) reported_at: Instant,
}

impl Role {
    /// Creates the state and starts the heartbeats.
    #[expect(clippy::unnecessary_wraps, reason = "the actor's interface")]
    pub fn init(cx: CX![], setup: Setup) -> Option<Self> {
        after!(HEARTBEAT_INTERVAL, [cx], on_heartbeat());
        let side = &setup.side;
        Some(Self {
            gate: Gate::new(GateLimits::new(side.limit, side.buffer)),
            links: SecondaryMap::new(),
            pool: Pool::new(side, setup.events.clone()),
            report: Report::new(&setup),
            lease_reads: HashSet::new(),
            orders_in_flight: 0,
            quiescence_deadline: cx.now(),
            stop_deadline: None,
            timer: MinTimerKey::default(),
            reported_at: cx.now(),
            setup,
        })
    }

    /// Handles an event and executes the steps that follow from it.
    pub fn handle_event(&mut self, cx: CX![], event: Event) {
        let now = cx.now();
        match event {
            Event::Open { hello, out, reply } => self.open(now, hello, out, reply),
            Event::Frame(link, frame) => self.handle_frame(now, link, frame),
            Event::Lost(link) => self.remove_link(now, link),
            Event::Head(id, head) => self.gate.receive_head(id, head),
            Event::Bytes(id, data) => self.buffer_bytes(now, id, data),
            Event::Ended {
                worker,
                id,
                outcome,
            } => self.finish_call(now, worker, id, outcome),
            Event::OrderEnded {
                worker,
                link,
                seq,
                outcome,
            } => self.finish_order(now, worker, link, seq, outcome),
            Event::Load(load) => self.report.load = load,
            Event::Reachable(reachable) => self.set_reachable(now, reachable),
            Event::HostList { leaving } => self.set_host_leaving(now, leaving),
            Event::Lease(duty, token) => self.record_token(&duty, token),
            Event::Stop => self.stop(now),
        }
        self.execute_steps(now);
    }

    /// Handles the gate's timeouts once per iteration of the event loop, and ends the
    /// actor when a shutdown is complete.
    pub fn settle(&mut self, cx: CX![], now: Instant) {
        self.gate.tick(now);
        self.execute_steps(now);
        if let Some(due) = self.gate.next_tick() {
            timer_min!(&mut self.timer, due, [cx], wake());
        }
        let Some(stop_deadline) = self.stop_deadline else {
            return;
        };
        // A Start may be on its way although the gate is idle, and without a
        // refusal its caller could not tell whether it ran. So the sidecar waits
        // until every entry has reported that it sends no more work, but not longer
        // than QUIESCENCE_TIMEOUT: an entry of an older release never reports it.
        // The stream of a suspended entry is closed earlier for its silence.
        let quiescent =
            self.quiescence_deadline <= now || self.links.values().all(|link| link.quiescent);
        let idle = quiescent && self.orders_in_flight == 0 && self.gate.is_idle(now);
        if idle || stop_deadline <= now {
            let running = self.gate.load().running;
            log::info!(target: LOG, "The sidecar stops with {running} calls in flight.");
            stop!(cx);
        }
    }

    /// Wakes the event loop, which then calls [`Role::settle`].
    #[expect(clippy::unused_self, reason = "the actor's interface")]
    fn wake(&mut self, _cx: CX![]) {}

    fn on_heartbeat(&mut self, cx: CX![]) {
        after!(HEARTBEAT_INTERVAL, [cx], on_heartbeat());
        self.pool.remove_idle(cx.now());
        self.report_gauges(cx.now());
        self.send_heartbeats(cx.now());
    }

    fn send_heartbeats(&mut self, now: Instant) {
        let heartbeat = self.report.next_heartbeat(now, &self.gate);
        let keys: Vec<LinkKey> = self.links.keys().collect();
        for link in keys {
            self.queue_frame(now, link, Frame::Beat(heartbeat.clone()).into());
        }
    }

    fn open(&mut self, now: Instant, hello: Hello, out: Outbound, reply: oneshot::Sender<LinkKey>) {
        let link = self.gate.open_link(now, hello.incarnation, hello.epoch);
        log::info!(target: LOG, "Stream {} of entry {} is open.", hello.epoch, hello.entry);
        let row = Link {
            out,
            entry: hello.entry,
            config_version: hello.config_version,
            quiescent: false,
        };
        self.links.insert(link, row);
        let welcome = self.report.welcome_frame(&self.gate);
        self.queue_frame(now, link, Frame::Welcome(welcome).into());
        // Tells the entry before its first call whether the sidecar is leaving.
        let heartbeat = self.report.next_heartbeat(now, &self.gate);
        self.queue_frame(now, link, Frame::Beat(heartbeat).into());
        self.send_newer_config(now, link);
        if reply.send(link).is_err() {
            self.remove_link(now, link);
        }
    }

    fn remove_link(&mut self, now: Instant, link: LinkKey) {
        if let Some(row) = self.links.remove(link) {
            log::info!(target: LOG, "A stream of entry {} is lost.", row.entry);
        }
        self.gate.remove_link(now, link);
    }

    fn handle_frame(&mut self, now: Instant, link: LinkKey, frame: Inbound) {
        if !self.gate.receive_frame(now, link) {
            return;
        }
        match frame {
            Inbound::Start(request) => self.start_call(now, link, request),
            Inbound::Attach(id, offset) => self.gate.attach(now, link, id, offset),
            Inbound::Ack(id, offset, done) => self.gate.ack(now, link, id, offset, done),
            Inbound::Cancel(id) => self.gate.cancel(now, link, id),
            Inbound::Seal(id) => self.gate.seal_and_report(now, link, id),
            Inbound::Beat(version, quiescent) => {
                if let Some(row) = self.links.get_mut(link) {
                    row.quiescent = quiescent;
                }
                self.record_version(now, link, version);
            }
            Inbound::Config(version, document) => self.update_config(now, link, version, document),
            Inbound::Order(order) => self.start_order(now, link, *order),
        }
    }

    fn start_call(&mut self, now: Instant, link: LinkKey, request: Box<Request>) {
        let id = request.attempt.id;
        match self.gate.start(now, link, request.attempt) {
            Admission::Run => {
                if let Err(kind) = self.pool.start_call(now, request) {
                    self.gate.fail(now, id, kind);
                }
            }
            Admission::Known => log::debug!(target: LOG, "Attempt {id} is already known."),
            Admission::Refused(kind) => {
                log::debug!(target: LOG, "Attempt {id} is refused: {kind}.");
                self.count_refused(kind);
            }
        }
    }

    fn buffer_bytes(&mut self, now: Instant, id: RequestId, data: Arc<[u8]>) {
        self.gate.receive_bytes(id, data);
        // A pause must take effect before the worker may read the next chunk.
        self.execute_steps(now);
        if let Some(throttle) = self.pool.throttle(id) {
            throttle.release();
        }
    }

    fn finish_call(
        &mut self,
        now: Instant,
        worker: WorkerKey,
        id: RequestId,
        outcome: Result<Vec<VersionRun>, ErrorKind>,
    ) {
        self.pool.finish_call(now, worker, id);
        match outcome {
            Ok(runs) => self.gate.finish(now, id, runs),
            Err(kind) => {
                log::debug!(target: LOG, "Attempt {id} failed: {kind}.");
                self.gate.fail(now, id, kind);
            }
        }
    }

    fn record_version(&mut self, now: Instant, link: LinkKey, version: u64) {
        if let Some(row) = self.links.get_mut(link) {
            row.config_version = row.config_version.max(version);
        }
        self.send_newer_config(now, link);
    }

    /// Sends the configuration to an entry that has an older one.
    fn send_newer_config(&mut self, now: Instant, link: LinkKey) {
        let version = self.report.config_version();
        let Some(row) = self.links.get_mut(link) else {
            return;
        };
        if row.config_version < version {
            row.config_version = version;
            self.queue_frame(now, link, Frame::Config(self.report.config_frame()).into());
        }
    }

    fn update_config(&mut self, now: Instant, link: LinkKey, version: u64, document: Vec<u8>) {
        if let Some(row) = self.links.get_mut(link) {
            row.config_version = row.config_version.max(version);
        }
        if self.report.update_config(version, document) {
            log::info!(target: LOG, "Configuration {version} is in force.");
            self.gate.set_max_running(self.report.max_running());
            self.update_admission(now);
        }
    }

    /// Records whether the endpoint is reachable.
    fn set_reachable(&mut self, now: Instant, reachable: bool) {
        if self.report.unreachable == reachable {
            log::info!(target: LOG, "The endpoint is reachable: {reachable}.");
            self.report.unreachable = !reachable;
            self.send_heartbeats(now);
        }
    }

    /// Records whether the host list says that this host is leaving.
    fn set_host_leaving(&mut self, now: Instant, leaving: bool) {
        if self.report.host_leaving != leaving {
            self.report.host_leaving = leaving;
            self.update_admission(now);
        }
    }

    fn stop(&mut self, now: Instant) {
        log::info!(target: LOG, "Graceful shutdown: new work is refused, work in flight completes.");
        let timeout = Duration::from_secs(self.setup.settings.stop.deadline_s);
        if self.stop_deadline.is_none() {
            self.stop_deadline = Some(now + timeout);
            self.quiescence_deadline = now + QUIESCENCE_TIMEOUT;
        }
        self.report.stopping = true;
        self.update_admission(now);
    }

    /// Sets whether the gate accepts new work, and sends heartbeats that say so.
    fn update_admission(&mut self, now: Instant) {
        let leaving = self.report.is_leaving();
        if leaving != self.gate.is_draining() {
            log::info!(target: LOG, "The sidecar accepts new work: {}.", !leaving);
        }
        self.gate.set_draining(leaving);
        self.send_heartbeats(now);
    }

    /// Executes the steps that the gate has queued.
    fn execute_steps(&mut self, now: Instant) {
        while let Some(step) = self.gate.next_step() {
            match step {
                Step::Send { link, frame } => {
                    self.queue_frame(now, link, wire::outbound(&frame, RETRY_DELAY));
                }
                Step::Abort { id } => self.with_throttle(id, Throttle::abort),
                Step::Pause { id } => self.with_throttle(id, |t| t.set_paused(true)),
                Step::Resume { id } => self.with_throttle(id, |t| t.set_paused(false)),
                Step::Close { link, entry } => {
                    log::warn!(target: LOG, "A stream of entry {entry} is silent and is closed.");
                    self.setup.metrics.count(metrics::LINKS_LOST, &[]);
                    self.links.remove(link);
                }
            }
        }
    }

    /// Calls `act` with the throttle of a call, if it is in flight.
    fn with_throttle(&self, id: RequestId, act: impl FnOnce(&Throttle)) {
        if let Some(throttle) = self.pool.throttle(id) {
            act(throttle);
        }
    }

    /// Queues a frame to an entry. If the entry reads too slowly and its queue is
    /// full, its stream is closed; it can attach again at its last offset.
    pub(super) fn queue_frame(&mut self, now: Instant, link: LinkKey, frame: ToEntry) {
        let Some(row) = self.links.get(link) else {
            return;
        };
        if let Err(error) = row.out.try_send(Ok(frame)) {
            log::warn!(target: LOG, "The queue to entry {} failed: {error}.", row.entry);
            self.remove_link(now, link);
        }
    }
}
