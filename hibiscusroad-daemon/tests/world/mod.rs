//! Entries and sidecars with stand-ins for the platform and for a plain service.

#![allow(dead_code, reason = "not every test uses all of it")]

use hibiscusroad_daemon::{
    entry::{self, Running},
    settings::Settings,
    side::{self, Handle},
};
use hibiscusroad_standins::{
    plain::{self, Plain},
    platform::{self, Platform, hosts::TargetGroup},
};
use serde_json::{Map, Value, json};
use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Time limit for conditions to become true, long enough for a busy host.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A row of an operator's query result.
pub type Row = Map<String, Value>;

/// Response to an operator's query.
#[derive(Debug)]
pub struct QueryResponse {
    pub status: u16,
    pub rows: Vec<Row>,
    pub missing: Vec<String>,
    pub body: Value,
}

/// Two endpoints of the service `desk` in two data centres, and entries.
pub struct World {
    pub platform: Platform,
    pub endpoints: Vec<Plain>,
    pub sides: Vec<Handle>,
    pub entries: Vec<Running>,
}

impl World {
    /// Starts an entry for each element of `entries`, which is appended to its settings.
    pub fn start(entries: &[&str]) -> Self {
        let mut world = Self {
            platform: Platform::start(&platform::Settings::default()).unwrap(),
            endpoints: Vec::new(),
            sides: Vec::new(),
            entries: Vec::new(),
        };
        for i in 0..2 {
            let endpoint = Plain::start(plain::Settings::default()).unwrap();
            world.sides.push(world.start_side(i, endpoint.addr()));
            world.endpoints.push(endpoint);
        }
        for (i, extra) in entries.iter().enumerate() {
            let role_table = format!(
                "[entry]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n{extra}\n"
            );
            let settings = world.settings(&format!("entry-{i}"), &role_table);
            world.entries.push(entry::start(&settings).unwrap());
        }
        world.set_hosts(&[]);
        world
    }

    fn settings(&self, name: &str, role_table: &str) -> Settings {
        let url = self.platform.url();
        let text = format!(
            "name = \"{name}\"\nhost = \"host-{name}\"\nplace = \"senec\"\nregion = \"zapad\"\n\
             [platform]\ntable = \"{url}\"\nhosts = \"{url}\"\n[stop]\ndeadline_s = 5\n{role_table}"
        );
        toml::from_str(&text).unwrap()
    }

    fn start_side(&self, i: usize, address: SocketAddr) -> Handle {
        let role_table = format!(
            "[side]\nlinks = \"127.0.0.1:0\"\nservice = \"desk\"\nendpoint = \"desk-{i}\"\n\
             address = \"{address}\"\nkind = \"plain\"\n"
        );
        let settings = self.settings(&format!("side-{i}"), &role_table);
        let (tx, rx) = flume::bounded(1);
        thread::spawn(move || {
            let fencing_token = Arc::new(|_: &str| None);
            side::serve(&settings, fencing_token, |handle| tx.send(handle).unwrap()).unwrap();
        });
        rx.recv_timeout(TIMEOUT).unwrap()
    }

    /// Sets the host list to all processes and `extra` entries, which may not exist.
    pub fn set_hosts(&self, extra: &[(&str, SocketAddr)]) {
        let sides = self.sides.iter().enumerate();
        let sides = sides.map(|(i, side)| {
            let data_centre = ["senec", "trnava"][i];
            target(
                "side",
                "desk",
                &format!("desk-{i}"),
                data_centre,
                side.links,
            )
        });
        let entries = self.entries.iter().enumerate();
        let entries = entries
            .map(|(i, e)| target("entry", "", &format!("entry-{i}"), "senec", e.operators()));
        let extra = extra
            .iter()
            .map(|(name, address)| target("entry", "", name, "senec", *address));
        self.platform
            .set_hosts(sides.chain(entries).chain(extra).collect());
    }

    /// Sends a query for `path`, below `/v1/`, to an entry.
    pub fn query(&self, entry: usize, path: &str) -> QueryResponse {
        self.query_with_token(entry, path, "none")
    }

    pub fn query_with_token(&self, entry: usize, path: &str, token: &str) -> QueryResponse {
        let url = format!("http://{}/v1/{path}", self.entries[entry].operators());
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .build()
            .into();
        let request = agent
            .get(url)
            .header("authorization", format!("Bearer {token}"));
        let mut response = request.call().unwrap();
        let body: Value =
            serde_json::from_str(&response.body_mut().read_to_string().unwrap()).unwrap();
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let rows = list("rows")
            .into_iter()
            .map(|row| row.as_object().unwrap().clone());
        let missing = list("lacks")
            .into_iter()
            .map(|name| name.as_str().unwrap().to_owned());
        QueryResponse {
            status: response.status().as_u16(),
            rows: rows.collect(),
            missing: missing.collect(),
            body,
        }
    }

    /// Repeats a query until `condition` holds for the response.
    pub fn wait(
        &self,
        entry: usize,
        path: &str,
        condition: impl Fn(&QueryResponse) -> bool,
    ) -> QueryResponse {
        let start = Instant::now();
        loop {
            let response = self.query(entry, path);
            if condition(&response) {
                return response;
            }
            assert!(start.elapsed() < TIMEOUT, "{path}: {response:#?}");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Changes the configuration, whose current version must be `base`.
    pub fn change(&self, base: u64, change: &Value) {
        let url = format!("http://{}/v1/change", self.entries[0].operators());
        let command =
            json!({ "id": format!("c{base}"), "base": base, "who": "jana", "change": change });
        let mut response = ureq::post(url).send(command.to_string()).unwrap();
        let body = response.body_mut().read_to_string().unwrap();
        assert!(body.contains("\"done\""), "{body}");
    }
}

fn target(
    role: &str,
    service: &str,
    endpoint: &str,
    data_centre: &str,
    address: SocketAddr,
) -> TargetGroup {
    let labels = [
        ("host", format!("host-{endpoint}")),
        ("place", data_centre.to_owned()),
        ("role", role.to_owned()),
        ("service", service.to_owned()),
        ("endpoint", endpoint.to_owned()),
        ("state", "live".to_owned()),
    ];
    TargetGroup {
        targets: vec![address.to_string()],
        labels: labels.map(|(name, value)| (name.to_owned(), value)).into(),
    }
}

/// Returns a string column of a row; empty if it is missing.
pub fn text<'a>(row: &'a Row, column: &str) -> &'a str {
    row.get(column).and_then(Value::as_str).unwrap_or_default()
}

/// Returns a column of all rows, sorted.
pub fn column(response: &QueryResponse, column: &str) -> Vec<String> {
    let mut column: Vec<_> = response
        .rows
        .iter()
        .map(|row| text(row, column).to_owned())
        .collect();
    column.sort();
    column
}
