//! Gateway processes, the store, the endpoints and the relays that connect them.

use super::{
    Options,
    departures::Departures,
    keys::{CALLER_ACCOUNT, Keys},
    plan::Fault,
    stranded::{Disturbance, Subject},
    texts,
};
use crate::deployment::{Bins, Error, process::Process};
use hibiscusroad::rollout::row::PIECES;
use hibiscusroad_standins::{
    direct::{
        Behaviour, Billing, Capacity, Crash, CrashMode, Endpoint, ExecutedRequest, Faults, Store,
    },
    http::ANY_LOOPBACK_PORT,
    ports,
    relay::{Direction, Relay},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{Value, json};
use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// The host name of all routes.
pub(super) const HOSTNAME: &str = "soak.example";
/// Number of plain endpoints; engines follow them in `World::endpoints`.
pub(super) const PLAIN_ENDPOINTS: usize = 3;
pub(super) const ENDPOINT_COUNT: usize = 6;
/// Number of engines where they are like real ones.
pub(super) const ENGINE_COUNT: usize = 5;
/// Slots of an engine.
pub(super) const ENGINE_SLOTS: usize = 8;
/// Items that an engine queues, where it is like a real one.
const ENGINE_QUEUE: usize = 4;
/// How long engines load weights, where they are like real ones.
const LOAD_DURATION: Duration = Duration::from_millis(900);
/// Models, one per trainer.
pub(super) const MODELS: [&str; 2] = ["alpha", "beta"];
/// Duration of the leases on duties; reports of two holders must be at least this far apart.
pub(super) const LEASE_MS: u64 = 1_500;
/// How long an endpoint works on a request, or on each event of a text.
const WORK_DURATION: Duration = Duration::from_millis(25);
/// Time after which other hosts are slow, shorter than most texts take.
const SLOWNESS_INTERVAL: Duration = Duration::from_millis(600);
/// Probability that a host is slow: with six hosts, one is as a rule.
const SLOW_SHARE: f64 = 0.15;
/// Reported slowness in percent and its factor, of a host that is slow and of another one.
const SLOW_HOST: (u32, f64) = (250, 2.5);
const USUAL_HOST: (u32, f64) = (100, 1.0);
/// Limit on the wait for all gateways to accept connections after the faults.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Request body that crashes a plain endpoint.
pub(super) const CRASH_MARKER: &[u8] = b"crashes its endpoint";
/// Time from the detection of a crashed endpoint to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(1_200);
/// Limit on the wait for the address of a stopped endpoint.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which an endpoint is leaving before it stays after all: longer than gateways may send
/// requests to it, so that late ones show.
const LEAVE_DURATION: Duration = Duration::from_secs(6);
/// Time after which a process that was asked to stop is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);

/// Settings of a log that tells where each item is sent.
const DEBUG_LOG: &str = "\n[log]\nlevel = \"debug\"\nlines_s = 5000\n";

/// Number of worlds that this process has started; makes directory names unique.
static WORLD_COUNT: AtomicUsize = AtomicUsize::new(0);

struct Gateway {
    process: Process,
    /// Relay of the connections to the store.
    relay: Relay,
    /// When the process is killed if it has not stopped by itself.
    stop_deadline: Option<Instant>,
    /// Index of the disturbance while it stops.
    stopping: Option<usize>,
}

/// An action that ends a fault.
enum Undo {
    Thaw(usize),
    Store,
    Delay(usize),
    Behaviour(usize),
    Reregister(usize),
    Restart(usize),
    Replace(usize),
    LateTexts,
    Loads(usize),
    EndpointDelay(usize),
}

/// An action that ends a fault, and when it is due.
struct PendingUndo {
    at: Instant,
    undo: Undo,
    /// Index of the fault's disturbance.
    disturbance: usize,
}

/// A request that an endpoint ran.
#[derive(Clone, Debug)]
pub(super) struct Execution {
    /// The index of the endpoint.
    pub(super) endpoint: usize,
    /// The id of the endpoint.
    pub(super) endpoint_id: String,
    pub(super) request: ExecutedRequest,
}

fn executions(n: usize, endpoint: &Endpoint) -> impl Iterator<Item = Execution> + use<'_> {
    let runs = endpoint.runs().into_iter();
    runs.map(move |request| Execution {
        endpoint: n,
        endpoint_id: endpoint.id().to_owned(),
        request,
    })
}

/// All components of a soak.
pub(super) struct World {
    pub(super) store: Arc<Store>,
    pub(super) endpoints: Vec<Endpoint>,
    /// Requests that were run by endpoints that have crashed.
    crashed_runs: Vec<Execution>,
    /// Crashes of plain endpoints.
    pub(super) crash_count: usize,
    restart_count: usize,
    /// Receiver of usage reports.
    pub(super) billing: Billing,
    pub(super) keys: Keys,
    /// Address of each gateway for callers.
    pub(super) caller_addrs: Vec<SocketAddr>,
    gateways: Vec<Gateway>,
    directory: PathBuf,
    version: u64,
    undo: Vec<PendingUndo>,
    disturbances: Vec<Disturbance>,
    pub(super) departures: Departures,
    pub(super) options: Options,
    /// Number of processes that exited without a request to stop.
    pub(super) unexpected_exits: usize,
    /// How slow hosts are, where contention is expected.
    slowness: Option<Slowness>,
}

/// Draws which hosts are slow.
struct Slowness {
    rng: Pcg64,
    next_change: Instant,
}

impl Slowness {
    fn new(seed: u64) -> Self {
        Self {
            rng: Pcg64::seed_from_u64(seed),
            next_change: Instant::now(),
        }
    }

    /// Draws for each host anew whether it is slow, if that is due.
    fn change(&mut self, now: Instant, endpoints: &[Endpoint]) {
        if now < self.next_change {
            return;
        }
        self.next_change = now + SLOWNESS_INTERVAL;
        for endpoint in endpoints {
            let is_slow = self.rng.random_bool(SLOW_SHARE);
            let (percent, factor) = if is_slow { SLOW_HOST } else { USUAL_HOST };
            endpoint.set_slowness(percent);
            endpoint.set_work_duration(WORK_DURATION.mul_f64(factor));
        }
    }
}

impl World {
    pub(super) fn start(options: &Options) -> Result<Self, Error> {
        let n = WORLD_COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("hibiscusroad-soak-{}-{n}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory)?;
        let store = Arc::new(Store::start()?);
        let keys = Keys::new();
        store.put_json("op", "config", &config(1, &keys, options.single_version()));
        let mut endpoints = Vec::new();
        let endpoint_count = if options.engines.is_some() {
            PLAIN_ENDPOINTS + ENGINE_COUNT
        } else {
            ENDPOINT_COUNT
        };
        for n in 0..endpoint_count {
            let id = format!("e{n}");
            endpoints.push(endpoint(ANY_LOOPBACK_PORT, &store, n, &id, options)?);
        }
        let mut world = Self {
            store,
            endpoints,
            crashed_runs: Vec::new(),
            crash_count: 0,
            restart_count: 0,
            billing: Billing::start(true)?,
            keys,
            caller_addrs: Vec::new(),
            gateways: Vec::new(),
            directory,
            version: 1,
            undo: Vec::new(),
            disturbances: Vec::new(),
            departures: Departures::default(),
            options: *options,
            unexpected_exits: 0,
            slowness: options.contention.then(|| Slowness::new(options.seed)),
        };
        let daemon = Bins::find()?.daemon;
        for n in 0..options.processes {
            world.add_gateway(n, &daemon)?;
        }
        Ok(world)
    }

    fn add_gateway(&mut self, n: usize, daemon: &std::path::Path) -> Result<(), Error> {
        let name = format!("gateway-{n}");
        let relay = Relay::start(ANY_LOOPBACK_PORT, self.store.addr())?;
        let [callers, ready, peers] = [
            ports::free_port()?,
            ports::free_port()?,
            ports::free_port()?,
        ];
        let file = self.directory.join(format!("{name}.toml"));
        let contention = match self.slowness {
            Some(_) => "contention = \"on\"\naccount_share = 50\n",
            None => "",
        };
        let text = format!(
            "name = \"{name}\"\nhost = \"{name}\"\nplace = \"senec\"\nregion = \"zapad\"\n\n\
             [gateway]\ncallers = \"{callers}\"\nready = \"{ready}\"\nstore = \"{}\"\n\
             peers = \"{peers}\"\nlease_ms = {LEASE_MS}\nfences = true\n{contention}\n\
             [gateway.usage]\naddress = \"{}\"\nwindow_s = 1\nlate_s = 6\n\n\
             [stop]\ndeadline_s = 4\n{}",
            relay.addr(),
            self.billing.addr(),
            if self.options.engines.is_some() {
                DEBUG_LOG
            } else {
                ""
            }
        );
        fs::write(&file, text)?;
        let args = [file.to_string_lossy().into_owned()];
        let process = Process::start_logged(&name, daemon, &args, &self.directory)?;
        self.caller_addrs.push(callers);
        self.gateways.push(Gateway {
            process,
            relay,
            stop_deadline: None,
            stopping: None,
        });
        Ok(())
    }

    pub(super) fn wait_ready(&mut self) -> Result<(), Error> {
        for (gateway, callers) in self.gateways.iter_mut().zip(&self.caller_addrs) {
            gateway.process.wait_for(*callers)?;
        }
        // Leaves time for the gateways to receive the configuration and the endpoints.
        thread::sleep(Duration::from_millis(500));
        Ok(())
    }

    /// Records that something is disturbed from now on, until it is settled.
    fn disturb(&mut self, subject: Subject) -> usize {
        let endpoint = match subject {
            Subject::Endpoint(n) | Subject::Link(n) | Subject::Departure(n) => Some(n),
            Subject::Gateway(_) | Subject::Store | Subject::Config => None,
        };
        let engine = endpoint.filter(|n| *n >= PLAIN_ENDPOINTS);
        self.disturbances.push(Disturbance {
            subject,
            engine,
            is_fault: endpoint == engine,
            from: Instant::now(),
            until: None,
        });
        self.disturbances.len() - 1
    }

    fn settle(&mut self, disturbance: usize) {
        let until = &mut self.disturbances[disturbance].until;
        until.get_or_insert_with(Instant::now);
    }

    /// Records a disturbance that ends after `duration` with `undo`.
    fn disturb_for(&mut self, subject: Subject, duration: Duration, undo: Undo) {
        let disturbance = self.disturb(subject);
        self.undo.push(PendingUndo {
            at: Instant::now() + duration,
            undo,
            disturbance,
        });
    }

    /// Records a disturbance that has no end of its own.
    fn disturb_once(&mut self, subject: Subject) {
        let disturbance = self.disturb(subject);
        self.settle(disturbance);
    }

    /// Returns all disturbances and loads of weights.
    pub(super) fn disturbances(&self) -> Vec<Disturbance> {
        let engines = self.endpoints.iter().enumerate().skip(PLAIN_ENDPOINTS);
        let loads = engines.flat_map(|(n, engine)| loads(n, engine, None));
        self.disturbances.iter().copied().chain(loads).collect()
    }

    pub(super) const fn engine_count(&self) -> usize {
        self.endpoints.len() - PLAIN_ENDPOINTS
    }

    pub(super) fn inject(&mut self, fault: Fault) -> Result<(), Error> {
        match fault {
            Fault::Kill(n) => self.kill(n)?,
            Fault::KillAll => {
                for n in 0..self.gateways.len() {
                    self.kill(n)?;
                }
            }
            Fault::Freeze(n, duration) => {
                self.gateways[n].process.freeze()?;
                self.disturb_for(Subject::Gateway(n), duration, Undo::Thaw(n));
            }
            Fault::Stop(n) => self.stop(n)?,
            Fault::Store(faults, duration) => {
                self.store.set_faults(faults);
                self.disturb_for(Subject::Store, duration, Undo::Store);
            }
            Fault::LateTexts(late, duration) => {
                let is_text = |table: &str, _key: &str, _value: &[u8]| table == PIECES;
                self.store.delay_writes(late, is_text);
                self.disturb_for(Subject::Store, duration, Undo::LateTexts);
            }
            Fault::Forget => {
                self.store.compact_log();
                self.disturb_once(Subject::Store);
            }
            Fault::SilenceStore(n, direction) => {
                self.gateways[n].relay.silence(direction);
                self.disturb_once(Subject::Gateway(n));
            }
            Fault::CutStore(n, duration) => {
                self.gateways[n].relay.cut_all();
                // Longer than any timeout, so new connections are unusable too.
                self.gateways[n].relay.set_delay(Duration::from_secs(9));
                self.disturb_for(Subject::Gateway(n), duration, Undo::Delay(n));
            }
            Fault::DelayStore(n, delay) => {
                self.gateways[n].relay.set_delay(delay);
                self.disturb_for(Subject::Gateway(n), Duration::from_secs(2), Undo::Delay(n));
            }
            Fault::ResetStore => {
                self.store.relay().cut_all();
                self.disturb_once(Subject::Store);
            }
            Fault::Endpoint(n, behaviour, duration) => {
                self.endpoints[n].set_behaviour(behaviour);
                self.disturb_for(Subject::Endpoint(n), duration, Undo::Behaviour(n));
            }
            Fault::SilenceEndpoint(n, direction) => {
                self.endpoints[n].relay().silence(direction);
                self.disturb_once(Subject::Link(n));
            }
            Fault::Leave(n) => {
                self.endpoints[n].register("draining");
                self.departures.record(self.endpoints[n].id());
                self.disturb_for(Subject::Departure(n), LEAVE_DURATION, Undo::Reregister(n));
            }
            Fault::Config => {
                self.version += 3;
                self.keys.rotate();
                let config = config(self.version, &self.keys, self.options.single_version());
                self.store.put_json("op", "config", &config);
                self.disturb_once(Subject::Config);
            }
            Fault::CutEndpoint(n) => {
                self.endpoints[n].relay().cut_all();
                self.disturb_once(Subject::Link(n));
            }
            Fault::Garble(n) => {
                self.endpoints[n].garble_texts();
                self.disturb_once(Subject::Endpoint(n));
            }
            // An engine that is down already is restarted as planned.
            Fault::Crash(n, mode) => {
                if !self.endpoints[n].is_down() {
                    self.endpoints[n].crash(mode);
                }
            }
            Fault::Replace(n, drain) => {
                self.endpoints[n].register("draining");
                self.departures.record(self.endpoints[n].id());
                self.disturb_for(Subject::Departure(n), drain, Undo::Replace(n));
            }
            Fault::Withdraw(n, served) => {
                self.endpoints[n].withdraw();
                self.departures.record(self.endpoints[n].id());
                // Twice as long, so that requests show that come later than they may.
                self.disturb_for(Subject::Departure(n), 2 * served, Undo::Replace(n));
            }
            Fault::SlowLoads(n, load, duration) => {
                self.endpoints[n].set_load_duration(load);
                self.disturb_for(Subject::Endpoint(n), duration, Undo::Loads(n));
            }
            Fault::DelayEndpoint(n, delay, duration) => {
                self.endpoints[n].relay().set_delay(delay);
                self.disturb_for(Subject::Link(n), duration, Undo::EndpointDelay(n));
            }
        }
        Ok(())
    }

    /// Asks a gateway to stop.
    fn stop(&mut self, n: usize) -> Result<(), Error> {
        let stopping = self.disturb(Subject::Gateway(n));
        let gateway = &mut self.gateways[n];
        gateway.process.terminate()?;
        let deadline = Instant::now() + STOP_TIMEOUT;
        gateway.stop_deadline.get_or_insert(deadline);
        if let Some(previous) = gateway.stopping.replace(stopping) {
            self.settle(previous);
        }
        Ok(())
    }

    fn kill(&mut self, n: usize) -> Result<(), Error> {
        self.disturb_once(Subject::Gateway(n));
        let gateway = &mut self.gateways[n];
        gateway.process.kill()?;
        gateway.stop_deadline = None;
        if let Some(stopping) = gateway.stopping.take() {
            self.settle(stopping);
        }
        self.gateways[n].process.restart()
    }

    /// Ends the faults that are due, and restarts stopped processes and crashed endpoints.
    pub(super) fn recover_due(&mut self) -> Result<(), Error> {
        let now = Instant::now();
        if let Some(slowness) = &mut self.slowness {
            slowness.change(now, &self.endpoints);
        }
        let (due, later): (Vec<_>, Vec<_>) = self.undo.drain(..).partition(|it| it.at <= now);
        self.undo = later;
        for pending in due {
            self.undo(&pending.undo)?;
            self.settle(pending.disturbance);
        }
        for n in 0..self.endpoints.len() {
            let is_scheduled = |it: &PendingUndo| matches!(it.undo, Undo::Restart(m) if m == n);
            if self.endpoints[n].is_down() && !self.undo.iter().any(is_scheduled) {
                self.crash_count += usize::from(n < PLAIN_ENDPOINTS);
                self.disturb_for(Subject::Endpoint(n), RESTART_DELAY, Undo::Restart(n));
            }
        }
        let mut settled = Vec::new();
        for gateway in &mut self.gateways {
            let is_overdue = gateway.stop_deadline.is_some_and(|end| end <= now);
            let has_exited = gateway.process.wait(now).is_ok();
            if has_exited {
                self.unexpected_exits += usize::from(gateway.stop_deadline.is_none());
            } else if is_overdue {
                gateway.process.kill()?;
            }
            if has_exited || is_overdue {
                gateway.stop_deadline = None;
                gateway.process.restart()?;
                settled.extend(gateway.stopping.take());
            }
        }
        for disturbance in settled {
            self.settle(disturbance);
        }
        Ok(())
    }

    fn undo(&mut self, undo: &Undo) -> Result<(), Error> {
        match undo {
            Undo::Thaw(n) => self.gateways[*n].process.thaw()?,
            Undo::Store => self.store.set_faults(Faults::default()),
            Undo::Delay(n) => {
                self.gateways[*n].relay.set_delay(Duration::ZERO);
                self.gateways[*n].relay.cut_all();
            }
            Undo::Behaviour(n) => self.endpoints[*n].set_behaviour(Behaviour::Sound),
            Undo::Reregister(n) if self.endpoints[*n].is_down() => {}
            Undo::Reregister(n) => {
                self.departures.end(self.endpoints[*n].id());
                self.endpoints[*n].register("ready");
            }
            Undo::Restart(n) => self.restart(*n)?,
            Undo::Replace(n) if self.endpoints[*n].is_down() => {}
            Undo::Replace(n) => {
                self.endpoints[*n].crash(CrashMode::ProcessExit);
                self.restart(*n)?;
            }
            Undo::LateTexts => self.store.resume_writes(),
            Undo::Loads(n) => self.endpoints[*n].set_load_duration(LOAD_DURATION),
            Undo::EndpointDelay(n) => self.endpoints[*n].relay().set_delay(Duration::ZERO),
        }
        Ok(())
    }

    /// Replaces a crashed endpoint by one with another id at the same address.
    fn restart(&mut self, n: usize) -> Result<(), Error> {
        let crashed = &self.endpoints[n];
        crashed.stop();
        self.restart_count += 1;
        let id = format!("e{n}-{}", self.restart_count);
        let deadline = Instant::now() + RELEASE_TIMEOUT;
        let replacement = loop {
            let started = endpoint(crashed.addr(), &self.store, n, &id, &self.options);
            match started {
                // The old listener may still hold the address.
                Err(error)
                    if error.kind() == std::io::ErrorKind::AddrInUse
                        && Instant::now() < deadline =>
                {
                    thread::sleep(Duration::from_millis(10));
                }
                other => break other?,
            }
        };
        let crashed = std::mem::replace(&mut self.endpoints[n], replacement);
        self.store.remove("servers", crashed.id());
        self.crashed_runs.extend(executions(n, &crashed));
        let loads = loads(n, &crashed, Some(Instant::now()));
        self.disturbances.extend(loads);
        Ok(())
    }

    /// Returns the requests that all endpoints ran, including those that have crashed.
    pub(super) fn executed(&self) -> Vec<ExecutedRequest> {
        let executions = self.executions().into_iter();
        executions.map(|execution| execution.request).collect()
    }

    /// Returns the requests that all endpoints ran, with their endpoints.
    pub(super) fn executions(&self) -> Vec<Execution> {
        let endpoints = self.endpoints.iter().enumerate();
        let current = endpoints.flat_map(|(n, endpoint)| executions(n, endpoint));
        self.crashed_runs.iter().cloned().chain(current).collect()
    }

    /// Ends all faults and waits up to `READY_TIMEOUT` for the gateways to accept connections.
    pub(super) fn end_faults(&mut self) -> Result<(), Error> {
        for pending in std::mem::take(&mut self.undo) {
            self.undo(&pending.undo)?;
            self.settle(pending.disturbance);
        }
        let mut settled = Vec::new();
        for gateway in &mut self.gateways {
            settled.extend(gateway.stopping.take());
            if let Some(end) = gateway.stop_deadline.take() {
                if gateway.process.wait(end).is_err() {
                    gateway.process.kill()?;
                }
                gateway.process.restart()?;
            }
        }
        for disturbance in settled {
            self.settle(disturbance);
        }
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            let accepts = |at: &SocketAddr| std::net::TcpStream::connect(at).is_ok();
            if self.caller_addrs.iter().all(accepts) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Returns the log of each gateway so far. One that can't be read is left out of the checks that
    /// need it.
    pub(super) fn logs(&self) -> Vec<String> {
        let logs = (0..self.gateways.len()).map(|n| {
            let file = self.directory.join(format!("gateway-{n}.log"));
            fs::read_to_string(&file).unwrap_or_else(|error| {
                eprintln!("measure: {}: {error}", file.display());
                String::new()
            })
        });
        logs.collect()
    }

    /// Returns the faults that were injected, as far as they disturbed something.
    pub(super) fn faults(&self) -> &[Disturbance] {
        &self.disturbances
    }

    /// Returns the directory of logs and settings.
    pub(super) fn directory(&self) -> &std::path::Path {
        &self.directory
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            // The process may be frozen, or have exited already.
            let _ = gateway.process.thaw();
            let _ = gateway.process.kill();
            gateway.relay.silence(Direction::Forth);
            gateway.relay.stop();
        }
    }
}

/// Returns the loads of weights of an engine, the last of which ends at `crashed_at`.
fn loads(
    n: usize,
    engine: &Endpoint,
    crashed_at: Option<Instant>,
) -> impl Iterator<Item = Disturbance> + use<> {
    let loads = engine.weight_loads().into_iter();
    loads.map(move |load| Disturbance {
        subject: Subject::Endpoint(n),
        engine: Some(n),
        is_fault: false,
        from: load.started_at,
        until: load.ended_at.or(crashed_at),
    })
}

fn endpoint(
    listen: SocketAddr,
    store: &Arc<Store>,
    n: usize,
    id: &str,
    options: &Options,
) -> std::io::Result<Endpoint> {
    let (service, models) = if n < PLAIN_ENDPOINTS {
        ("desk", &[][..])
    } else {
        ("lm", &MODELS[..])
    };
    let endpoint = Endpoint::start_at(listen, store, service, id, models)?;
    endpoint.set_work_duration(WORK_DURATION);
    endpoint.set_event_count(texts::EVENT_COUNT);
    if options.late_writes {
        endpoint.set_text_length(texts::long_length);
        endpoint.set_burst(texts::BURST);
    }
    endpoint.name_runs();
    if let Some(engines) = options.engines.filter(|_| n >= PLAIN_ENDPOINTS) {
        endpoint.set_load_duration(LOAD_DURATION);
        endpoint.set_text_length(texts::drawn_length);
        if engines.long_prompts {
            endpoint.set_prompt_duration(texts::prompt_duration);
        }
        endpoint.set_capacity(Capacity {
            slots: ENGINE_SLOTS,
            queue: ENGINE_QUEUE,
        });
    }
    endpoint.crash_on(Crash {
        marker: CRASH_MARKER.to_vec(),
        mode: CrashMode::ProcessExit,
    });
    Ok(endpoint)
}

fn config(version: u64, keys: &Keys, single_version: bool) -> Value {
    let mut routes = vec![
        json!({ "name": "desk", "hostname": HOSTNAME, "prefix": "/desk/", "type": "idempotent",
            "timeoutMs": 3000, "targetLatencyMs": 150, "priority": 2, "service": "desk",
            "maxAttempts": 3 }),
        json!({ "name": "once", "hostname": HOSTNAME, "prefix": "/once/", "type": "non_idempotent",
            "timeoutMs": 3000, "targetLatencyMs": 150, "priority": 2, "service": "desk",
            "maxAttempts": 3 }),
        json!({ "name": "lm", "hostname": HOSTNAME, "prefix": "/lm/", "type": "rollout",
            "timeoutMs": 10000, "targetLatencyMs": 400, "priority": 0, "service": "lm",
            "maxAttempts": 9, "dueMs": 7500, "itemTtlS": 120,
            "singleVersion": single_version }),
    ];
    for n in 0..version % 5 {
        routes.push(
            json!({ "name": format!("r{n}"), "hostname": HOSTNAME, "type": "idempotent",
            "prefix": format!("/more/{n}/"), "timeoutMs": 900, "service": "desk" }),
        );
    }
    let mut accounts = vec![json!({ "name": CALLER_ACCOUNT, "apiKeys": keys.active() })];
    accounts.extend(MODELS.map(|name| json!({ "name": name, "apiKeys": [name] })));
    let models = MODELS.map(|name| json!({ "name": name }));
    json!({ "version": version, "routes": routes, "tenants": accounts,
        "services": [{ "name": "desk", "maxConns": 90 }, { "name": "lm", "maxConns": 90,
            "engine": { "slots": 8, "kvCapacity": 40000, "models": models } }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 1_048_576,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 9000 } })
}
