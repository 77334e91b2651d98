//! Gateway processes with stand-ins for the store and the endpoints.

#![allow(dead_code, reason = "each test uses its part")]

pub mod batches;
pub mod raw_endpoint;

use hibiscusroad_standins::{
    direct::{Endpoint, Store},
    ports,
};
use serde_json::{Value, json};
use std::{
    fs::{self, File},
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};
use ureq::Agent;

/// Timeout of all waits, with a margin for a busy host.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// The hostname of all routes in these tests.
pub const HOST: &str = "huts.example";
/// The location of gateways, unless a test sets another.
const DEFAULT_LOCATION: &str = "place = \"senec\"\nregion = \"zapad\"\n";
const POLL_INTERVAL: Duration = Duration::from_millis(15);

/// An answer as its caller receives it.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(n, _)| n == name);
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }
}

/// A gateway process, which is killed on drop.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub settings: PathBuf,
    pub output: PathBuf,
    child: Child,
}

/// A store and the gateways that use it.
pub struct World {
    pub store: Arc<Store>,
    pub dir: PathBuf,
    pub gateways: Vec<Gateway>,
}

impl World {
    /// Starts a store without gateways.
    pub fn start(test: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("gateway-{test}-{}", std::process::id()));
        fs::create_dir_all(&dir).unwrap();
        Self {
            store: Arc::new(Store::start().unwrap()),
            dir,
            gateways: Vec::new(),
        }
    }

    /// Starts a store with a configuration, two endpoints and ready gateways.
    pub fn ready(test: &str, gateways: usize) -> (Self, Endpoint, Endpoint) {
        let mut world = Self::start(test);
        let [desk, engine] = world.start_gateways(gateways);
        (world, desk, engine)
    }

    /// Writes a configuration, and starts two endpoints and gateways that are ready.
    pub fn start_gateways(&mut self, count: usize) -> [Endpoint; 2] {
        self.configure(1, &[]);
        let desk = self.endpoint("hut-desk", "i-desk", &[]);
        let engine = self.endpoint("guide-lm", "i-lm", &["guide"]);
        for _ in 0..count {
            self.gateway();
        }
        for n in 0..count {
            self.wait_ready(n);
        }
        // Endpoints become known separately from the configuration.
        for gateway in &self.gateways {
            until("the endpoints are known", || {
                let answer = gateway.call("POST", "/desk/warm", "warm", b"");
                (answer.status == 200).then_some(())
            });
        }
        [desk, engine]
    }

    pub fn endpoint(&self, service: &str, id: &str, models: &[&str]) -> Endpoint {
        Endpoint::start(&self.store, service, id, models).unwrap()
    }

    /// Writes a configuration with the common routes and `extra_routes`.
    pub fn configure(&self, version: u64, extra_routes: &[Value]) {
        self.store
            .put_json("op", "config", &config(version, extra_routes));
    }

    /// Starts another gateway.
    pub fn gateway(&mut self) -> &Gateway {
        self.gateway_with("")
    }

    /// Starts another gateway with lines added to its settings.
    pub fn gateway_with(&mut self, extra_settings: &str) -> &Gateway {
        let name = format!("gateway-{}", self.gateways.len() + 1);
        let gateway = Gateway::start(&self.dir, &name, self.store.addr(), extra_settings);
        self.gateways.push(gateway);
        self.gateways.last().unwrap()
    }

    pub fn wait_ready(&self, n: usize) {
        let ready = self.gateways[n].ready;
        until("the gateway is ready", || {
            let answer = ask("GET", ready, "/readyz", &[], b"", Duration::from_secs(2));
            (answer?.status == 200).then_some(())
        });
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.gateways.clear();
        if thread::panicking() {
            eprintln!("the logs are kept in {}", self.dir.display());
            return;
        }
        // Leftover files are in the system's temporary folder.
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Gateway {
    /// Starts a gateway with lines added to its settings.
    pub fn start(
        dir: &std::path::Path,
        name: &str,
        store: SocketAddr,
        extra_settings: &str,
    ) -> Self {
        Self::start_in(dir, name, store, DEFAULT_LOCATION, extra_settings)
    }

    /// Starts a gateway with these lines on its location and others in its own table.
    pub fn start_in(
        dir: &std::path::Path,
        name: &str,
        store: SocketAddr,
        location: &str,
        extra_settings: &str,
    ) -> Self {
        let [callers, ready, metrics, peers] = [(); 4].map(|()| ports::free_port().unwrap());
        let extra_settings = format!("peers = \"{peers}\"\n{extra_settings}");
        let settings = dir.join(format!("{name}.toml"));
        fs::write(
            &settings,
            settings_text(name, callers, ready, metrics, store, &extra_settings)
                .replace(DEFAULT_LOCATION, location),
        )
        .unwrap();
        let output = dir.join(format!("{name}.log"));
        let mut command = Command::new(env!("CARGO_BIN_EXE_hibiscusroadd"));
        command
            .arg(&settings)
            .stdout(File::create(&output).unwrap());
        command.stderr(Stdio::inherit());
        let child = ports::with_spawn_lock(|| command.spawn()).unwrap();
        Self {
            name: name.to_owned(),
            callers,
            ready,
            metrics,
            settings,
            output,
            child,
        }
    }

    /// Sends a request with an id, and a deadline of five seconds.
    pub fn call(&self, method: &str, path: &str, id: &str, body: &[u8]) -> Answer {
        let headers = [("X-Request-Id", id), ("X-Deadline-Ms", "5000")];
        ask(method, self.callers, path, &headers, body, WAIT_TIMEOUT).expect("an answer")
    }

    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: rustix::process::Signal) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).unwrap();
    }

    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    pub fn wait(&mut self) -> ExitStatus {
        until("the process ends", || self.child.try_wait().unwrap())
    }

    /// Returns its log lines as JSON.
    pub fn lines(&self) -> Vec<Value> {
        let text = fs::read_to_string(&self.output).unwrap();
        let lines = text
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        lines.collect()
    }

    /// Waits for a log line whose text starts with `text`, and returns it.
    pub fn line(&self, text: &str) -> Value {
        until(text, || {
            let mut lines = self.lines().into_iter();
            lines.find(|line| line["text"].as_str().is_some_and(|t| t.starts_with(text)))
        })
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn settings_text(
    name: &str,
    callers: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    store: SocketAddr,
    extra_settings: &str,
) -> String {
    let lease = if extra_settings.contains("lease_ms") {
        ""
    } else {
        "lease_ms = 1500\n"
    };
    format!(
        "name = \"{name}\"\nhost = \"{name}\"\n{DEFAULT_LOCATION}\n\
         [gateway]\ncallers = \"{callers}\"\nready = \"{ready}\"\nmetrics = \"{metrics}\"\n\
         store = \"{store}\"\n{lease}fences = true\n{extra_settings}\n[stop]\ndeadline_s = 4\n"
    )
}

/// Returns a configuration with a plain service, an engine, their routes and
/// `extra_routes`.
pub fn config(version: u64, extra_routes: &[Value]) -> Value {
    let mut routes = vec![
        json!({ "name": "desk", "hostname": HOST, "prefix": "/desk/", "type": "idempotent",
            "timeoutMs": 3000, "targetLatencyMs": 150, "priority": 2, "service": "hut-desk",
            "maxAttempts": 3 }),
        json!({ "name": "once", "hostname": HOST, "prefix": "/once/", "type": "non_idempotent",
            "timeoutMs": 3000, "targetLatencyMs": 150, "priority": 2, "service": "hut-desk",
            "maxAttempts": 2 }),
        json!({ "name": "lm", "hostname": HOST, "prefix": "/lm/", "type": "rollout",
            "timeoutMs": 10000, "targetLatencyMs": 400, "priority": 0, "service": "guide-lm",
            "maxAttempts": 3, "dueMs": 7500, "itemTtlS": 30 }),
    ];
    routes.extend_from_slice(extra_routes);
    json!({ "version": version, "routes": routes,
        "services": [
            { "name": "hut-desk", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1" },
            { "name": "guide-lm", "healthPath": "/healthz", "maxConns": 140, "protocol": "h1",
              "engine": { "slots": 8, "kvCapacity": 40000, "models": [{ "name": "guide" }] } },
        ],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 1_048_576,
            "headerTimeoutMs": 600, "idleTimeoutMs": 3000 } })
}

/// Returns a submission of `groups` groups of `group_size` items, each scored by the
/// plain service.
pub fn submission(step: u64, min_version: u64, groups: usize, group_size: usize) -> Value {
    let mut items = Vec::new();
    for group in 0..groups {
        for n in 0..group_size {
            let id = format!("item-{step}-{group}-{n}");
            items.push(json!({ "id": id, "path": format!("/lm/{id}"),
                "headers": { "X-Model": "guide", "X-Token-Counts": "20,400" },
                "body": "q83v", "tokens": 420, "group": format!("group-{step}-{group}"),
                "scorer": { "id": format!("score-{id}"), "hostname": HOST,
                    "path": format!("/desk/{id}"), "body": "3q2+" } }));
        }
    }
    json!({ "step": step, "model": "guide", "minVersion": min_version, "targetGroups": groups,
        "requests": items })
}

/// Polls `check` until it returns a value; panics with `what` after [`WAIT_TIMEOUT`].
pub fn until<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(Instant::now() < end, "timed out: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Sends a request and reads the complete answer; `None` on failure or timeout.
pub fn ask(
    method: &str,
    addr: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<Answer> {
    let agent = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(timeout))
        .build()
        .new_agent();
    let mut request = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"))
        .header("Host", HOST);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let mut response = agent.run(request.body(body.to_vec()).unwrap()).ok()?;
    let headers = response.headers().iter().map(|(name, value)| {
        let value = value.to_str().unwrap_or_default();
        (name.to_string(), value.to_owned())
    });
    Some(Answer {
        status: response.status().as_u16(),
        headers: headers.collect(),
        body: response.body_mut().read_to_vec().ok()?,
    })
}

/// Opens a connection and sends raw bytes.
pub fn raw(addr: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(bytes).unwrap();
    stream
}

/// Reads until the connection is closed.
pub fn read_all(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    // A reset ends the text too.
    let _ = stream.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}
