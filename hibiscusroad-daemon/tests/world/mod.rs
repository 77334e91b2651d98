//! Real entries and sides before stand-ins of the platform and of a plain
//! service, with the operators' port.

#![allow(dead_code, reason = "each test uses its part")]

use hibiscusroad_daemon::{
    entry::{self, Running},
    settings::Settings,
    side::{self, Handle},
};
use hibiscusroad_standins::{
    plain::{self, Plain},
    platform::{self, Platform, hosts::Target},
};
use serde_json::{Map, Value, json};
use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Longer than anything here takes on a busy host.
const PATIENCE: Duration = Duration::from_secs(10);

/// One row of an answer.
pub type Row = Map<String, Value>;

/// An answer to an operator.
#[derive(Debug)]
pub struct Shown {
    pub status: u16,
    pub rows: Vec<Row>,
    pub lacks: Vec<String>,
    pub body: Value,
}

/// Two endpoints of the service `desk`, in two places, and entries.
pub struct World {
    pub platform: Platform,
    pub desks: Vec<Plain>,
    pub sides: Vec<Handle>,
    pub entries: Vec<Running>,
}

impl World {
    /// Starts an entry for each of `entries`, with that added to its settings.
    pub fn start(entries: &[&str]) -> Self {
        let mut world = Self {
            platform: Platform::start(&platform::Settings::default()).unwrap(),
            desks: Vec::new(),
            sides: Vec::new(),
            entries: Vec::new(),
        };
        for i in 0..2 {
            let desk = Plain::start(plain::Settings::default()).unwrap();
            world.sides.push(world.start_side(i, desk.addr()));
            world.desks.push(desk);
        }
        for (i, more) in entries.iter().enumerate() {
            let part = format!(
                "[entry]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n{more}\n"
            );
            let settings = world.settings(&format!("entry-{i}"), &part);
            world.entries.push(entry::start(&settings).unwrap());
        }
        world.list(&[]);
        world
    }

    fn settings(&self, name: &str, part: &str) -> Settings {
        let url = self.platform.url();
        let text = format!(
            "name = \"{name}\"\nhost = \"host-{name}\"\nplace = \"senec\"\nregion = \"zapad\"\n\
             [platform]\ntable = \"{url}\"\nhosts = \"{url}\"\n[stop]\ndeadline_s = 5\n{part}"
        );
        toml::from_str(&text).unwrap()
    }

    fn start_side(&self, i: usize, address: SocketAddr) -> Handle {
        let part = format!(
            "[side]\nlinks = \"127.0.0.1:0\"\nservice = \"desk\"\nendpoint = \"desk-{i}\"\n\
             address = \"{address}\"\nkind = \"plain\"\n"
        );
        let settings = self.settings(&format!("side-{i}"), &part);
        let (sender, handles) = flume::bounded(1);
        thread::spawn(move || {
            let lease = Arc::new(|_: &str| None);
            side::serve(&settings, lease, |handle| sender.send(handle).unwrap()).unwrap();
        });
        handles.recv_timeout(PATIENCE).unwrap()
    }

    /// Puts all on the host list, and more entries that may not exist.
    pub fn list(&self, more: &[(&str, SocketAddr)]) {
        let sides = self.sides.iter().enumerate();
        let sides = sides.map(|(i, side)| {
            let place = ["senec", "trnava"][i];
            target("side", "desk", &format!("desk-{i}"), place, side.links)
        });
        let entries = self.entries.iter().enumerate();
        let entries = entries
            .map(|(i, e)| target("entry", "", &format!("entry-{i}"), "senec", e.operators()));
        let more = more
            .iter()
            .map(|(name, address)| target("entry", "", name, "senec", *address));
        self.platform
            .set_hosts(sides.chain(entries).chain(more).collect());
    }

    /// Asks an entry what is at `path`, below `/v1/`.
    pub fn ask(&self, entry: usize, path: &str) -> Shown {
        self.ask_with(entry, path, "none")
    }

    pub fn ask_with(&self, entry: usize, path: &str, token: &str) -> Shown {
        let url = format!("http://{}/v1/{path}", self.entries[entry].operators());
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .build()
            .into();
        let request = agent
            .get(url)
            .header("authorization", format!("Bearer {token}"));
        let mut answer = request.call().unwrap();
        let body: Value =
            serde_json::from_str(&answer.body_mut().read_to_string().unwrap()).unwrap();
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let rows = list("rows")
            .into_iter()
            .map(|row| row.as_object().unwrap().clone());
        let lacks = list("lacks")
            .into_iter()
            .map(|name| name.as_str().unwrap().to_owned());
        Shown {
            status: answer.status().as_u16(),
            rows: rows.collect(),
            lacks: lacks.collect(),
            body,
        }
    }

    /// Asks until `is` holds for the answer.
    pub fn wait(&self, entry: usize, path: &str, is: impl Fn(&Shown) -> bool) -> Shown {
        let start = Instant::now();
        loop {
            let shown = self.ask(entry, path);
            if is(&shown) {
                return shown;
            }
            assert!(start.elapsed() < PATIENCE, "{path}: {shown:#?}");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Changes the configuration that has version `base`.
    pub fn change(&self, base: u64, change: &Value) {
        let url = format!("http://{}/v1/change", self.entries[0].operators());
        let command =
            json!({ "id": format!("c{base}"), "base": base, "who": "jana", "change": change });
        let mut answer = ureq::post(url).send(command.to_string()).unwrap();
        let said = answer.body_mut().read_to_string().unwrap();
        assert!(said.contains("\"done\""), "{said}");
    }
}

fn target(role: &str, service: &str, endpoint: &str, place: &str, address: SocketAddr) -> Target {
    let labels = [
        ("host", format!("host-{endpoint}")),
        ("place", place.to_owned()),
        ("role", role.to_owned()),
        ("service", service.to_owned()),
        ("endpoint", endpoint.to_owned()),
        ("state", "live".to_owned()),
    ];
    Target {
        targets: vec![address.to_string()],
        labels: labels.map(|(name, value)| (name.to_owned(), value)).into(),
    }
}

/// Returns a text of a row; empty if there is none.
pub fn text<'a>(row: &'a Row, column: &str) -> &'a str {
    row.get(column).and_then(Value::as_str).unwrap_or_default()
}

/// Returns a column of all rows, in order.
pub fn column(shown: &Shown, column: &str) -> Vec<String> {
    let mut column: Vec<_> = shown
        .rows
        .iter()
        .map(|row| text(row, column).to_owned())
        .collect();
    column.sort();
    column
}
