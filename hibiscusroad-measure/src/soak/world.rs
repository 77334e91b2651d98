//! Gateways as processes, the store, the endpoints, and the relays between.

use super::{
    keys::{CALLERS, Keys},
    plan::Fault,
};
use crate::deployment::{Bins, Error, process::Process};
use hibiscusroad_standins::{
    direct::{Behaviour, Billing, Crash, CrashMode, Endpoint, ExecutedRequest, Faults, Store},
    http::ANY_LOOPBACK_PORT,
    ports,
    relay::{Direction, Relay},
};
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

/// The host that all routes have.
pub(super) const HOST: &str = "soak.example";
/// Plain endpoints come first, then engines.
pub(super) const DESKS: usize = 3;
pub(super) const ENDPOINTS: usize = 6;
/// Models, one a trainer.
pub(super) const MODELS: [&str; 2] = ["alpha", "beta"];
/// The lease of the duties, by which their holders have to be apart.
pub(super) const LEASE_MS: u64 = 1_500;
const READY: Duration = Duration::from_secs(20);
/// What crashes a plain endpoint, and for how long it is down then.
pub(super) const CRASHING: &[u8] = b"crashes its endpoint";
const DOWN: Duration = Duration::from_millis(1_200);
/// A process that was told to stop and has not ended by then is ended.
const GRACE: Duration = Duration::from_secs(6);

/// Worlds that this process has started.
static WORLDS: AtomicUsize = AtomicUsize::new(0);

struct Gateway {
    process: Process,
    /// Its own way to the store.
    relay: Relay,
    /// When it has to have stopped, if it was told to.
    stopping: Option<Instant>,
}

enum Undo {
    Thaw(usize),
    Store,
    Delay(usize),
    Manner(usize),
    Return(usize),
    Restart(usize),
}

/// Everything that runs.
pub(super) struct World {
    pub(super) store: Arc<Store>,
    pub(super) endpoints: Vec<Endpoint>,
    /// What plain endpoints ran that have crashed, and how many have.
    past: Vec<ExecutedRequest>,
    pub(super) crashes: usize,
    /// Who takes reports of usage.
    pub(super) billing: Billing,
    pub(super) keys: Keys,
    /// Where callers of each gateway connect.
    pub(super) callers: Vec<SocketAddr>,
    gateways: Vec<Gateway>,
    folder: PathBuf,
    version: u64,
    undo: Vec<(Instant, Undo)>,
    /// Processes that ended by themselves.
    pub(super) ended: usize,
}

impl World {
    pub(super) fn start(processes: usize) -> Result<Self, Error> {
        // Several may run in one process.
        let n = WORLDS.fetch_add(1, Ordering::Relaxed);
        let name = format!("hibiscusroad-soak-{}-{n}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let store = Arc::new(Store::start()?);
        let keys = Keys::new();
        store.put_json("op", "config", &config(1, &keys));
        let mut endpoints = Vec::new();
        for n in 0..ENDPOINTS {
            endpoints.push(endpoint(ANY_LOOPBACK_PORT, &store, n, &format!("e{n}"))?);
        }
        let mut world = Self {
            store,
            endpoints,
            past: Vec::new(),
            crashes: 0,
            billing: Billing::start(true)?,
            keys,
            callers: Vec::new(),
            gateways: Vec::new(),
            folder,
            version: 1,
            undo: Vec::new(),
            ended: 0,
        };
        let daemon = Bins::find()?.daemon;
        for n in 0..processes {
            world.add(n, &daemon)?;
        }
        Ok(world)
    }

    fn add(&mut self, n: usize, daemon: &std::path::Path) -> Result<(), Error> {
        let name = format!("gateway-{n}");
        let relay = Relay::start(ANY_LOOPBACK_PORT, self.store.addr())?;
        let [callers, ready, peers] = [
            ports::free_port()?,
            ports::free_port()?,
            ports::free_port()?,
        ];
        let file = self.folder.join(format!("{name}.toml"));
        let text = format!(
            "name = \"{name}\"\nhost = \"{name}\"\nplace = \"senec\"\nregion = \"zapad\"\n\n\
             [gateway]\ncallers = \"{callers}\"\nready = \"{ready}\"\nstore = \"{}\"\n\
             peers = \"{peers}\"\nlease_ms = {LEASE_MS}\nfences = true\n\n\
             [gateway.usage]\naddress = \"{}\"\nwindow_s = 1\nlate_s = 6\n\n\
             [stop]\ndeadline_s = 4\n",
            relay.addr(),
            self.billing.addr()
        );
        fs::write(&file, text)?;
        let args = [file.to_string_lossy().into_owned()];
        let process = Process::start_logged(&name, daemon, &args, &self.folder)?;
        self.callers.push(callers);
        self.gateways.push(Gateway {
            process,
            relay,
            stopping: None,
        });
        Ok(())
    }

    pub(super) fn wait_ready(&mut self) -> Result<(), Error> {
        for (gateway, callers) in self.gateways.iter_mut().zip(&self.callers) {
            gateway.process.wait_for(*callers)?;
        }
        // Configuration and endpoints are heard of a moment later.
        thread::sleep(Duration::from_millis(500));
        Ok(())
    }

    pub(super) fn inject(&mut self, fault: Fault) -> Result<(), Error> {
        let now = Instant::now();
        match fault {
            Fault::Kill(n) => self.kill(n)?,
            Fault::KillAll => {
                for n in 0..self.gateways.len() {
                    self.kill(n)?;
                }
            }
            Fault::Freeze(n, time) => {
                self.gateways[n].process.freeze()?;
                self.undo.push((now + time, Undo::Thaw(n)));
            }
            Fault::Stop(n) => {
                let gateway = &mut self.gateways[n];
                gateway.process.terminate()?;
                gateway.stopping.get_or_insert(now + GRACE);
            }
            Fault::Store(faults, time) => {
                self.store.set_faults(faults);
                self.undo.push((now + time, Undo::Store));
            }
            Fault::Forget => self.store.compact_log(),
            Fault::SilenceStore(n, way) => self.gateways[n].relay.silence(way),
            Fault::CutStore(n, time) => {
                self.gateways[n].relay.cut_all();
                // Longer than any time limit: as good as no way at all.
                self.gateways[n].relay.set_delay(Duration::from_secs(9));
                self.undo.push((now + time, Undo::Delay(n)));
            }
            Fault::DelayStore(n, delay) => {
                self.gateways[n].relay.set_delay(delay);
                self.undo
                    .push((now + Duration::from_secs(2), Undo::Delay(n)));
            }
            Fault::ResetStore => self.store.relay().cut_all(),
            Fault::Endpoint(n, manner, time) => {
                self.endpoints[n].set_behaviour(manner);
                self.undo.push((now + time, Undo::Manner(n)));
            }
            Fault::SilenceEndpoint(n, way) => self.endpoints[n].relay().silence(way),
            Fault::Leave(n) => {
                self.endpoints[n].register("draining");
                self.undo
                    .push((now + Duration::from_secs(2), Undo::Return(n)));
            }
            Fault::Config => {
                self.version += 3;
                self.keys.turn();
                let config = config(self.version, &self.keys);
                self.store.put_json("op", "config", &config);
            }
        }
        Ok(())
    }

    fn kill(&mut self, n: usize) -> Result<(), Error> {
        let gateway = &mut self.gateways[n];
        gateway.process.kill()?;
        gateway.stopping = None;
        gateway.process.restart()
    }

    /// Ends faults whose time is over, and starts again what has stopped.
    pub(super) fn heal(&mut self) -> Result<(), Error> {
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) = self.undo.drain(..).partition(|(at, _)| *at <= now);
        self.undo = later;
        for (_, undo) in due {
            self.undo(&undo)?;
        }
        for n in 0..DESKS {
            let known = |(_, undo): &(Instant, Undo)| matches!(undo, Undo::Restart(m) if *m == n);
            if self.endpoints[n].is_down() && !self.undo.iter().any(known) {
                self.crashes += 1;
                self.undo.push((now + DOWN, Undo::Restart(n)));
            }
        }
        for gateway in &mut self.gateways {
            let over = gateway.stopping.is_some_and(|end| end <= now);
            let ended = gateway.process.wait(now).is_ok();
            if ended {
                self.ended += usize::from(gateway.stopping.is_none());
            } else if over {
                gateway.process.kill()?;
            }
            if ended || over {
                gateway.stopping = None;
                gateway.process.restart()?;
            }
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
            Undo::Manner(n) => self.endpoints[*n].set_behaviour(Behaviour::Sound),
            Undo::Return(n) if self.endpoints[*n].is_down() => {}
            Undo::Return(n) => self.endpoints[*n].register("ready"),
            Undo::Restart(n) => self.restart(*n)?,
        }
        Ok(())
    }

    /// Starts an endpoint that has crashed, under another id.
    fn restart(&mut self, n: usize) -> Result<(), Error> {
        let before = &self.endpoints[n];
        before.stop();
        let id = format!("e{n}-{}", self.crashes);
        let next = endpoint(before.addr(), &self.store, n, &id)?;
        let before = std::mem::replace(&mut self.endpoints[n], next);
        self.store.remove("servers", before.id());
        self.past.extend(before.runs());
        Ok(())
    }

    /// Returns what all endpoints ran, those that have crashed included.
    pub(super) fn ran(&self) -> Vec<ExecutedRequest> {
        let now = self.endpoints.iter().flat_map(Endpoint::runs);
        self.past.iter().cloned().chain(now).collect()
    }

    /// Ends all faults.
    pub(super) fn calm(&mut self) -> Result<(), Error> {
        for (_, undo) in std::mem::take(&mut self.undo) {
            self.undo(&undo)?;
        }
        for gateway in &mut self.gateways {
            if let Some(end) = gateway.stopping.take() {
                if gateway.process.wait(end).is_err() {
                    gateway.process.kill()?;
                }
                gateway.process.restart()?;
            }
        }
        let end = Instant::now() + READY;
        while Instant::now() < end {
            let up = |at: &SocketAddr| std::net::TcpStream::connect(at).is_ok();
            if self.callers.iter().all(up) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Returns where logs and settings are.
    pub(super) fn folder(&self) -> &std::path::Path {
        &self.folder
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            // One that is frozen would not end, and one may have ended.
            let _ = gateway.process.thaw();
            let _ = gateway.process.kill();
            gateway.relay.silence(Direction::Forth);
            gateway.relay.stop();
        }
    }
}

fn endpoint(
    listen: SocketAddr,
    store: &Arc<Store>,
    n: usize,
    id: &str,
) -> std::io::Result<Endpoint> {
    let (service, models) = if n < DESKS {
        ("desk", &[][..])
    } else {
        ("lm", &MODELS[..])
    };
    let endpoint = Endpoint::start_at(listen, store, service, id, models)?;
    endpoint.set_work_duration(Duration::from_millis(25));
    endpoint.set_event_count(20);
    endpoint.crash_on(Crash {
        marker: CRASHING.to_vec(),
        mode: CrashMode::ProcessExit,
    });
    Ok(endpoint)
}

fn config(version: u64, keys: &Keys) -> Value {
    let mut routes = vec![
        json!({ "name": "desk", "hostname": HOST, "prefix": "/desk/", "type": "idempotent",
            "timeoutMs": 3000, "targetLatencyMs": 150, "priority": 2, "service": "desk",
            "maxAttempts": 3 }),
        json!({ "name": "once", "hostname": HOST, "prefix": "/once/", "type": "non_idempotent",
            "timeoutMs": 3000, "targetLatencyMs": 150, "priority": 2, "service": "desk",
            "maxAttempts": 3 }),
        json!({ "name": "lm", "hostname": HOST, "prefix": "/lm/", "type": "rollout",
            "timeoutMs": 10000, "targetLatencyMs": 400, "priority": 0, "service": "lm",
            "maxAttempts": 9, "dueMs": 7500, "itemTtlS": 120 }),
    ];
    for n in 0..version % 5 {
        routes.push(
            json!({ "name": format!("r{n}"), "hostname": HOST, "type": "idempotent",
            "prefix": format!("/more/{n}/"), "timeoutMs": 900, "service": "desk" }),
        );
    }
    let mut accounts = vec![json!({ "name": CALLERS, "apiKeys": keys.held() })];
    accounts.extend(MODELS.map(|name| json!({ "name": name, "apiKeys": [name] })));
    let models = MODELS.map(|name| json!({ "name": name }));
    json!({ "version": version, "routes": routes, "tenants": accounts,
        "services": [{ "name": "desk", "maxConns": 90 }, { "name": "lm", "maxConns": 90,
            "engine": { "slots": 8, "kvCapacity": 40000, "models": models } }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 1_048_576,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 9000 } })
}
