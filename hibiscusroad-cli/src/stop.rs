//! `stop service`: a graceful stop with a timeout and progress reports.
//!
//! The client drains each endpoint of the service, so that its sidecar accepts
//! no new work, and polls the endpoints until no request is running. No request
//! is aborted: at the timeout the endpoints stay drained, and the operator sees
//! what is still running.

use crate::{
    rows::Row,
    session::{Exit, Session},
};
use hibiscusroad::config::{Change, Target};
use serde_json::Value;
use std::{
    collections::BTreeSet,
    io, thread,
    time::{Duration, Instant},
};

const POLL_INTERVAL: Duration = Duration::from_secs(1);

const ENDPOINT_COLUMN: &str = "endpoint";
const KEY_COLUMN: &str = "key";
const RUNNING_COLUMN: &str = "running";
const SERVICE_COLUMN: &str = "service";
const STATE_COLUMN: &str = "state";

/// The state of an endpoint whose sidecar has confirmed the drain.
const DRAINED_STATE: &str = "drained";

/// The prefix of the configuration keys of drained endpoints, followed by the
/// name.
const DRAIN_KEY_PREFIX: &str = "drains.endpoints.";

impl Session<'_> {
    /// Drains the endpoints of a service and waits until none runs a request.
    pub(crate) fn stop(&mut self, service: &str, within: Duration) -> io::Result<Exit> {
        if !self.is_forced() {
            return self.refuse_without_force(service);
        }
        let start = Instant::now();
        let rows = match service_endpoints(self, service)? {
            Ok(rows) => rows,
            Err(exit) => return Ok(exit),
        };
        let config = match self.query("show/config")? {
            Ok(config) => config,
            Err(exit) => return Ok(exit),
        };
        if rows.is_empty() {
            writeln!(
                self.err,
                "refused: no endpoint of {service}; see show endpoints"
            )?;
            return Ok(Exit::Refused);
        }
        let keys = config.iter().filter_map(|row| text_cell(row, KEY_COLUMN));
        let drained: BTreeSet<&str> = keys
            .filter_map(|key| key.strip_prefix(DRAIN_KEY_PREFIX))
            .collect();
        let names = rows
            .iter()
            .filter_map(|row| text_cell(row, ENDPOINT_COLUMN));
        for name in names.filter(|name| !drained.contains(name)) {
            let change = Change::Drain {
                target: Target::Endpoint,
                name: name.to_owned(),
            };
            let exit = self.submit(&change)?;
            if exit != Exit::Done {
                return Ok(exit);
            }
        }
        if self.is_dry_run() {
            return Ok(Exit::Done);
        }
        wait_until_idle(self, service, start, within)
    }
}

fn wait_until_idle(
    session: &mut Session<'_>,
    service: &str,
    start: Instant,
    within: Duration,
) -> io::Result<Exit> {
    loop {
        // Sidecars learn of the drains with a delay, so an immediate poll could
        // find an endpoint that is idle but still accepts work.
        thread::sleep(POLL_INTERVAL);
        let rows = match service_endpoints(session, service)? {
            Ok(rows) => rows,
            Err(exit) => return Ok(exit),
        };
        // An endpoint without a current report of its sidecar may still run
        // requests, so it counts as not drained.
        let undrained = rows
            .iter()
            .filter(|row| text_cell(row, STATE_COLUMN) != Some(DRAINED_STATE));
        let (undrained, running) = (
            undrained.count(),
            rows.iter().map(running_count).sum::<u64>(),
        );
        if undrained == 0 && running == 0 {
            writeln!(session.out, "done: {service} takes no work and runs none")?;
            return Ok(Exit::Done);
        }
        let elapsed = start.elapsed().as_secs();
        writeln!(
            session.err,
            "{elapsed} s: {running} requests run, {undrained} endpoints not known to be drained"
        )?;
        if start.elapsed() > within {
            writeln!(
                session.err,
                "not finished: the endpoints stay drained; repeat the command to keep waiting, or undrain them"
            )?;
            return Ok(Exit::Refused);
        }
    }
}

fn service_endpoints(
    session: &mut Session<'_>,
    service: &str,
) -> io::Result<Result<Vec<Row>, Exit>> {
    let rows = session.query("show/endpoints")?;
    Ok(rows.map(|mut rows| {
        rows.retain(|row| text_cell(row, SERVICE_COLUMN) == Some(service));
        rows
    }))
}

fn text_cell<'a>(row: &'a Row, column: &str) -> Option<&'a str> {
    row.get(column)?.as_str()
}

fn running_count(row: &Row) -> u64 {
    row.get(RUNNING_COLUMN).and_then(Value::as_u64).unwrap_or(0)
}
