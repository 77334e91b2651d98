//! `stop service`: a graceful stop with a deadline and progress.
//!
//! It is made of what entries offer anyway: each endpoint of the service is
//! drained, so that its side takes no new work, and then the endpoints are
//! looked at until none runs anything. No request is cut off: if the time is
//! over first, the drains stand and the operator is told what still runs.

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

/// Time between two looks.
const EVERY: Duration = Duration::from_secs(1);

const ENDPOINT: &str = "endpoint";
const KEY: &str = "key";
const RUNNING: &str = "running";
const SERVICE: &str = "service";
const STATE: &str = "state";

/// The state of an endpoint that its side said takes no new work.
const DRAINED: &str = "drained";

/// Keys of drained endpoints in `show config`, up to the name.
const DRAINS: &str = "drains.endpoints.";

impl Session<'_> {
    /// Drains the endpoints of a service and waits until none runs anything.
    pub(crate) fn stop(&mut self, service: &str, within: Duration) -> io::Result<Exit> {
        if !self.is_forced() {
            return self.want_force(service);
        }
        let start = Instant::now();
        let rows = match endpoints(self, service)? {
            Ok(rows) => rows,
            Err(exit) => return Ok(exit),
        };
        let config = match self.ask("show/config")? {
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
        let keys = config.iter().filter_map(|row| text(row, KEY));
        let drained: BTreeSet<&str> = keys.filter_map(|key| key.strip_prefix(DRAINS)).collect();
        let names = rows.iter().filter_map(|row| text(row, ENDPOINT));
        for name in names.filter(|name| !drained.contains(name)) {
            let change = Change::Drain {
                target: Target::Endpoint,
                name: name.to_owned(),
            };
            let exit = self.change(&change)?;
            if exit != Exit::Done {
                return Ok(exit);
            }
        }
        if self.is_dry() {
            return Ok(Exit::Done);
        }
        wait(self, service, start, within)
    }
}

fn wait(
    session: &mut Session<'_>,
    service: &str,
    start: Instant,
    within: Duration,
) -> io::Result<Exit> {
    loop {
        // Sides learn of the drains a moment later, so that a look at once
        // could find an idle endpoint that still takes work.
        thread::sleep(EVERY);
        let rows = match endpoints(session, service)? {
            Ok(rows) => rows,
            Err(exit) => return Ok(exit),
        };
        // An endpoint whose side is silent may run anything, so it counts as
        // not stopped.
        let open = rows.iter().filter(|row| text(row, STATE) != Some(DRAINED));
        let (open, running) = (open.count(), rows.iter().map(running).sum::<u64>());
        if open == 0 && running == 0 {
            writeln!(session.out, "done: {service} takes no work and runs none")?;
            return Ok(Exit::Done);
        }
        let spent = start.elapsed().as_secs();
        writeln!(
            session.err,
            "{spent} s: {running} requests run, {open} endpoints not known to be drained"
        )?;
        if start.elapsed() > within {
            writeln!(
                session.err,
                "not finished: the drains stand; ask again to wait on, or undrain"
            )?;
            return Ok(Exit::Refused);
        }
    }
}

fn endpoints(session: &mut Session<'_>, service: &str) -> io::Result<Result<Vec<Row>, Exit>> {
    let rows = session.ask("show/endpoints")?;
    Ok(rows.map(|mut rows| {
        rows.retain(|row| text(row, SERVICE) == Some(service));
        rows
    }))
}

fn text<'a>(row: &'a Row, column: &str) -> Option<&'a str> {
    row.get(column)?.as_str()
}

fn running(row: &Row) -> u64 {
    row.get(RUNNING).and_then(Value::as_u64).unwrap_or(0)
}
