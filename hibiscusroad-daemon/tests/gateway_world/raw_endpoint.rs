//! Endpoints of which a test writes each byte.

use super::World;
use hibiscusroad_standins::http::ANY_LOOPBACK_PORT;
use serde_json::json;
use std::{
    io::{BufRead, BufReader, Read},
    net::{TcpListener, TcpStream},
    sync::Arc,
    thread,
};

/// A request as it arrived.
pub struct Request {
    pub path: String,
    pub id: String,
    pub is_generation: bool,
    pub last_event: u64,
}

impl Request {
    /// Reads the next request of a connection; `None` after its end.
    pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Self> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok().filter(|len| *len > 0)?;
            if line.trim().is_empty() {
                break;
            }
            lines.push(line.trim().to_owned());
        }
        let value = |name: &str| {
            let mut headers = lines.iter().filter_map(|line| line.split_once(": "));
            headers.find_map(|(key, value)| key.eq_ignore_ascii_case(name).then_some(value))
        };
        let length = value("content-length").map_or(0, |length| length.parse().unwrap());
        reader.read_exact(&mut vec![0; length]).ok()?;
        Some(Self {
            path: lines[0].split(' ').nth(1)?.to_owned(),
            id: value("x-request-id").unwrap_or_default().to_owned(),
            is_generation: value("x-model").is_some(),
            last_event: value("last-event-id").map_or(0, |id| id.parse().unwrap()),
        })
    }

    /// Returns the headers of a success.
    pub fn success_headers(&self) -> String {
        let id = &self.id;
        format!("X-Request-Id: {id}\r\nX-Server-Stamp: stamp-{id}\r\nX-Weight-Versions: 1\r\n")
    }

    /// Returns the body of a success: an engine's report, a text of `events` events or another one.
    pub fn success_body(&self, events: u64) -> String {
        let id = &self.id;
        if self.is_generation {
            let events =
                (self.last_event + 1..=events).map(|n| format!("id: {n}\ndata: {id}-{n}\n\n"));
            events.collect::<Vec<_>>().concat()
        } else if self.path == "/report" {
            let report = json!({ "stage": "both", "busy": false, "seq": 0,
                "models": [{ "name": "guide", "version": 1, "adapters": [] }] });
            report.to_string()
        } else {
            "ran".to_owned()
        }
    }
}

/// Starts an endpoint that serves each connection by `serve` on a thread of its own.
pub fn start(
    world: &World,
    service: &str,
    id: &str,
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
) {
    let listener = TcpListener::bind(ANY_LOOPBACK_PORT).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let entry = json!({ "service": service, "address": address, "zone": "senec",
        "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "seq": 1,
        "models": [{ "name": "guide", "version": 1, "adapters": [] }] });
    world.store.put_json("servers", id, &entry);
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream.unwrap()));
        }
    });
}
